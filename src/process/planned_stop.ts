import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import type { Logger } from "../shared/logger.ts";
import type { Verdict } from "../shared/verdict.ts";
import {
  type AbortableRequest,
  InFlightRequests,
} from "./in_flight_requests.ts";

/** Part of the stop's grace period that is reserved for closing the listeners and their connections, in milliseconds. */
const STOP_RESERVE_MS = 700;
/** Time until the load balancer has noticed that the daemon is not ready, in milliseconds. */
const BALANCER_LAG_MS = 2_500;
/** Time after the start of a planned stop for which the daemon still accepts connections, in milliseconds. The load balancer keeps sending callers to this daemon while most daemons of the zone are unavailable. */
const LISTEN_DURING_STOP_MS = 4_500;
/** Time from the deadline of a request until its response has been sent, in milliseconds. */
const RESPONSE_MARGIN_MS = 100;
/** Time for which the stop waits for aborted requests to end, in milliseconds. It exceeds the time for which a failed attempt waits for the check of its group. */
const ABORT_TIMEOUT_MS = 400;

/** Routed request in flight, as seen by a planned stop. */
export interface RoutedInFlightRequest extends AbortableRequest {
  readonly requestId: string;
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly receivedAtMs: number;
  /** Monotonic deadline of the response, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Gets whether the request has been sent to a backend server that may still run it or may have run it. */
  hasBeenSent(): boolean;
  /** Gets whether the caller has received a part of the response. */
  hasStarted(): boolean;
}

/**
 * Phase of the planned stop of a routing daemon.
 *
 * - `serving`: no stop has begun.
 * - `leaving`: the daemon reports that it is not ready, and accepts requests until the load balancer has noticed.
 * - `finishing`: the daemon accepts only requests whose deadline lies before the end of the stop.
 * - `closing`: the daemon refuses new requests and waits for those in flight.
 */
export type PlannedStopPhase = "serving" | "leaving" | "finishing" | "closing";

/** Runs the planned stop of a routing daemon, which lets requests in flight complete within the grace period, and refuses those that may not. */
export class PlannedStop {
  readonly #graceMs: number;
  readonly #logger: Logger;
  readonly #requests = new InFlightRequests<RoutedInFlightRequest>();
  /** Requests whose bodies have not arrived in full. */
  readonly #incomingRequests = new InFlightRequests<AbortableRequest>();
  #phase: PlannedStopPhase = "serving";
  #startedAtMs = 0;
  #endAtMs = Number.POSITIVE_INFINITY;
  #cutCount = 0;

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

  /**
   * Checks that the daemon still accepts requests.
   *
   * @throws {RequestError} When the daemon refuses all requests.
   */
  checkOpen(): void {
    if (this.#phase === "closing") {
      throw createStopError("not-run");
    }
  }

  /**
   * Checks that a request that has not run may be sent to a backend server, so that the end of the stop does not cut it.
   *
   * @param deadlineAtMs - Monotonic deadline of its response, in milliseconds.
   * @throws {RequestError} When the request may outlast the stop.
   */
  checkDeadline(deadlineAtMs: number): void {
    if (!this.#isInTime(deadlineAtMs)) {
      throw createStopError("not-run");
    }
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

  /** Finds a request in flight by the id that its caller gave it. */
  findRequest(requestId: string): RoutedInFlightRequest | undefined {
    return this.#requests.list().find((request) =>
      request.requestId === requestId
    );
  }

  /**
   * Registers a request whose body has not arrived in full. The stop waits for it, so that it can be refused.
   *
   * @returns Function to call when the body has arrived and the request is registered as in flight, or the request has ended.
   */
  addIncomingRequest(): () => void {
    // The connection of a request that has not been read needs no answer when the stop ends.
    return this.#incomingRequests.add({ abort: () => {} });
  }

  /**
   * Runs the stop until no request is in flight or the grace period is over.
   *
   * @param stopListening - Stops accepting connections, without closing open ones.
   */
  async run(stopListening: () => void): Promise<void> {
    this.#startedAtMs = performance.now();
    this.#endAtMs = this.#startedAtMs + this.#graceMs - STOP_RESERVE_MS;
    this.#phase = "leaving";
    this.#logger.write("info", "stop-started", {
      requests: this.#requests.size,
    });
    await delay(this.#limitToStop(BALANCER_LAG_MS));
    this.#phase = "finishing";
    this.#refuseWaitingRequests();
    await this.#waitUntilIdle(
      this.#startedAtMs + this.#limitToStop(LISTEN_DURING_STOP_MS),
    );
    // Also without a request in flight: one that arrives before the listeners are disposed would be cut.
    this.#phase = "closing";
    if (this.#hasRequests()) {
      stopListening();
      await this.#waitUntilIdle(this.#endAtMs);
      await this.#abortRequests();
    }
  }

  /** Gets the fields of the log line that reports the end of the daemon. */
  describeEnd(): { cut: number; tookMs: number } {
    return {
      cut: this.#cutCount,
      tookMs: Math.round(performance.now() - this.#startedAtMs),
    };
  }

  /** Limits a time after the start of the stop, so that a short grace period leaves time to abort the requests in flight. */
  #limitToStop(durationMs: number): number {
    return Math.max(0, Math.min(durationMs, this.#endAtMs - this.#startedAtMs));
  }

  /** Gets whether a request may be sent: the load balancer has not noticed the stop yet, or the deadline lies before its end. */
  #isInTime(deadlineAtMs: number): boolean {
    return this.#phase === "serving" || this.#phase === "leaving" ||
      deadlineAtMs + RESPONSE_MARGIN_MS <= this.#endAtMs;
  }

  /** Refuses the requests that wait to be sent and may outlast the stop, so that their callers can turn to another daemon at once. */
  #refuseWaitingRequests(): void {
    for (const request of this.#requests.list()) {
      if (
        !request.hasBeenSent() && !this.#isInTime(request.deadlineAtMs)
      ) {
        request.abort();
      }
    }
  }

  async #abortRequests(): Promise<void> {
    const requests = this.#requests.list();
    this.#cutCount = requests.length;
    for (const request of requests) {
      this.#recordCut(request);
      request.abort();
    }
    await this.#requests.waitUntilIdle(ABORT_TIMEOUT_MS);
  }

  #hasRequests(): boolean {
    return this.#requests.size > 0 || this.#incomingRequests.size > 0;
  }

  async #waitUntilIdle(endAtMs: number): Promise<void> {
    while (this.#hasRequests() && performance.now() < endAtMs) {
      await this.#incomingRequests.waitUntilIdle(endAtMs - performance.now());
      await this.#requests.waitUntilIdle(endAtMs - performance.now());
    }
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

/**
 * Creates the error of a request that a planned stop refuses or aborts.
 *
 * @param verdict - Whether a backend server may have run the request.
 * @example
 * ```ts
 * createStopError("not-run").status; // 503
 * ```
 */
export function createStopError(verdict: Verdict): RequestError {
  const isNotRun = verdict === "not-run";
  return new RequestError(
    isNotRun
      ? "The daemon is shutting down; send the request to another daemon"
      : "The daemon shut down before the request finished",
    {
      code: "shutting-down",
      verdict,
      status: isNotRun ? 503 : 502,
      retryAfterMs: isNotRun ? 0 : undefined,
    },
  );
}
