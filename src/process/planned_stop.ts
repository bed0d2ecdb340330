import { delay } from "../shared/delay.ts";
import type { Logger } from "../shared/logger.ts";
import {
  type AbortableRequest,
  InFlightRequests,
} from "./in_flight_requests.ts";

/** Part of the stop's grace period that is reserved for closing the listeners and their connections, in milliseconds. */
const STOP_RESERVE_MS = 700;
/** Time until the load balancer has noticed that the daemon is not ready, in milliseconds. */
const BALANCER_LAG_MS = 2_500;
/** Time after the start of a planned stop for which the daemon still accepts connections and requests, in milliseconds. The load balancer keeps sending callers to this daemon while most daemons of the zone are unavailable. A request that is accepted in this time has about the same time left to complete, which is several times the usual response time. */
const LISTEN_DURING_STOP_MS = 4_500;

/** Routed request in flight, as seen by a planned stop. */
export interface RoutedInFlightRequest extends AbortableRequest {
  readonly requestId: string;
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic deadline of the response, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Gets whether the request has been sent to a backend server. */
  hasBeenSent(): boolean;
  /** Gets whether the caller has received a part of the response. */
  hasStarted(): boolean;
}

/** Phases of the planned stop of a routing daemon: `leaving` reports the daemon as not ready but accepts requests, `closing` refuses new requests and waits for those in flight. */
export type PlannedStopPhase = "serving" | "leaving" | "closing";

/** Runs the planned stop of a routing daemon, which lets requests in flight complete within the grace period. */
export class PlannedStop {
  readonly #graceMs: number;
  readonly #logger: Logger;
  readonly #requests = new InFlightRequests<RoutedInFlightRequest>();
  #phase: PlannedStopPhase = "serving";
  #startedAtMs = 0;

  /**
   * @param options.graceMs - Time from the signal to stop until the process is killed, in milliseconds.
   */
  constructor(options: { graceMs: number; logger: Logger }) {
    this.#graceMs = options.graceMs;
    this.#logger = options.logger;
  }

  /** Gets whether the stop has begun, in which case the daemon reports that it is not ready. */
  get isLeaving(): boolean {
    return this.#phase !== "serving";
  }

  /** Gets whether the stop has reached the phase in which new requests are refused. */
  get isClosing(): boolean {
    return this.#phase === "closing";
  }

  /**
   * Registers a request in flight.
   *
   * @param request - Request that the stop waits for.
   * @returns Function to call when the request has ended.
   */
  addRequest(request: RoutedInFlightRequest): () => void {
    return this.#requests.add(request);
  }

  /**
   * Runs the stop until no request is in flight or the grace period is over.
   *
   * @param stopListening - Stops accepting connections, without closing open ones.
   */
  async run(stopListening: () => void): Promise<void> {
    this.#startedAtMs = performance.now();
    this.#phase = "leaving";
    const endAtMs = this.#startedAtMs + this.#graceMs - STOP_RESERVE_MS;
    this.#logger.write("info", "stop-started", {
      requests: this.#requests.size,
    });
    await delay(BALANCER_LAG_MS);
    await this.#waitUntilIdle(this.#startedAtMs + LISTEN_DURING_STOP_MS);
    if (this.#requests.size > 0) {
      this.#phase = "closing";
      stopListening();
      await this.#waitUntilIdle(endAtMs);
    }
    this.#requests.list().forEach((request) => this.#recordCut(request));
  }

  /** Gets the fields of the log line that reports the end of the daemon. */
  describeEnd(): { cut: number; tookMs: number } {
    return {
      cut: this.#requests.size,
      tookMs: Math.round(performance.now() - this.#startedAtMs),
    };
  }

  async #waitUntilIdle(endAtMs: number): Promise<void> {
    await this.#requests.waitUntilIdle(endAtMs - performance.now());
  }

  #recordCut(request: RoutedInFlightRequest): void {
    const nowMs = performance.now();
    this.#logger.write("warn", "request-cut-by-stop", {
      requestId: request.requestId,
      // Negative for a request that arrived before the stop.
      receivedAfterMs: Math.round(request.receivedAtMs - this.#startedAtMs),
      ageMs: Math.round(nowMs - request.receivedAtMs),
      leftMs: Math.round(request.deadlineAtMs - nowMs),
      hasBeenSent: request.hasBeenSent(),
      hasStarted: request.hasStarted(),
    });
  }
}
