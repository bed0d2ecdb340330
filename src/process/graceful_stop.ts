import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { Logger } from "../shared/logger.ts";
import type { DaemonSettings } from "./daemon_settings.ts";
import {
  type AbortableRequest,
  InFlightRequests,
} from "./in_flight_requests.ts";

/** Time for which the stop waits for aborted requests to end, in milliseconds. */
const ABORT_GRACE_MS = 1_000;
/** Time limit for the drain hooks and for the release hooks, in milliseconds. */
const HOOK_TIMEOUT_MS = 5_000;
/** Time limit for background work at the end of the stop, in milliseconds. A retry of a call whose outcome was not written by then receives the verdict `may-have-run`. */
const BACKGROUND_TIMEOUT_MS = 30_000;
/** Time at the end of the stop for which the daemon still refuses requests that arrive on open connections, in milliseconds. */
const LATE_REQUEST_GRACE_MS = 250;

/** Callbacks of a component that takes part in a planned stop. */
export interface StopHook {
  readonly name: string;
  /** Called when the daemon starts to refuse new requests; may hand over long-running work. */
  drain?(): Promise<void>;
  /** Called after the requests in flight have ended; returns loans and leases. */
  release?(): Promise<void>;
}

/** Request in flight, which a planned stop waits for. */
export interface InFlightRequest extends AbortableRequest {
  readonly requestId: string;
}

/** Phases of a planned stop: `leaving` reports the daemon as not ready but accepts requests, `closing` refuses new requests and waits for those in flight. */
export type StopPhase = "serving" | "leaving" | "closing" | "stopped";

/** Runs the phases of a planned stop, which lets requests in flight complete. Only requests that exceed the stop's time limit are aborted. */
export class GracefulStop {
  readonly #settings: Pick<DaemonSettings, "balancerLagMs" | "stopTimeoutMs">;
  readonly #logger: Logger;
  readonly #hooks: StopHook[] = [];
  readonly #requests = new InFlightRequests<InFlightRequest>();
  readonly #backgroundWork = new Set<Promise<unknown>>();
  #phase: StopPhase = "serving";
  #stopPromise: Promise<void> | undefined;

  constructor(
    settings: Pick<DaemonSettings, "balancerLagMs" | "stopTimeoutMs">,
    logger: Logger,
  ) {
    this.#settings = settings;
    this.#logger = logger;
  }

  /** Gets the current phase. */
  getPhase(): StopPhase {
    return this.#phase;
  }

  /** Gets whether the stop has begun, in which case the daemon reports that it is not ready. */
  isLeaving(): boolean {
    return this.#phase !== "serving";
  }

  /** Gets whether new requests are accepted. */
  takesRequests(): boolean {
    return this.#phase === "serving" || this.#phase === "leaving";
  }

  /** Gets the number of requests in flight. */
  getRequestCount(): number {
    return this.#requests.size;
  }

  /**
   * Registers a hook that runs during the stop. Its failure is logged and does not end the stop.
   *
   * @param hook - Callbacks of the component.
   */
  addHook(hook: StopHook): void {
    this.#hooks.push(hook);
  }

  /**
   * Registers a request in flight.
   *
   * @param request - Request that the stop waits for.
   * @returns Function to call when the request has ended.
   */
  addRequest(request: InFlightRequest): () => void {
    return this.#requests.add(request);
  }

  /**
   * Registers work that continues after its request, for example the write of an outcome. The stop waits for it; failures have to be handled by the caller.
   *
   * @param work - Promise of the work.
   */
  addBackgroundWork(work: Promise<unknown>): void {
    const settledPromise = work.then(() => {}, () => {});
    this.#backgroundWork.add(settledPromise);
    settledPromise.then(() => this.#backgroundWork.delete(settledPromise));
  }

  /**
   * Runs the stop once; later calls return the same promise.
   *
   * @param closeListener - Stops accepting connections, without closing open ones.
   */
  run(closeListener: () => void): Promise<void> {
    this.#stopPromise ??= this.#runOnce(closeListener);
    return this.#stopPromise;
  }

  async #runOnce(closeListener: () => void): Promise<void> {
    this.#phase = "leaving";
    this.#logger.write("info", "stop-started", {
      requests: this.#requests.size,
    });
    await delay(this.#settings.balancerLagMs);
    this.#phase = "closing";
    closeListener();
    this.#runHooks("drain").catch(() => {});
    await this.#requests.waitUntilIdle(this.#settings.stopTimeoutMs);
    await this.#abortRequests();
    await waitAtMost([...this.#backgroundWork], BACKGROUND_TIMEOUT_MS);
    await this.#runHooks("release");
    await delay(LATE_REQUEST_GRACE_MS);
    this.#phase = "stopped";
  }

  async #abortRequests(): Promise<void> {
    for (const request of this.#requests.list()) {
      this.#logger.write("warn", "request-cut-by-stop", {
        requestId: request.requestId,
        stopTimeoutMs: this.#settings.stopTimeoutMs,
      });
      request.abort();
    }
    await this.#requests.waitUntilIdle(ABORT_GRACE_MS);
  }

  async #runHooks(step: "drain" | "release"): Promise<void> {
    const hookRuns = this.#hooks.map(async (hook) => {
      try {
        await hook[step]?.();
      } catch (error) {
        this.#logger.write("warn", "stop-hook-failed", {
          hook: hook.name,
          step,
          message: getErrorMessage(error),
        });
      }
    });
    await waitAtMost(hookRuns, HOOK_TIMEOUT_MS);
  }
}

async function waitAtMost(
  work: readonly Promise<unknown>[],
  timeoutMs: number,
): Promise<void> {
  const stopTimer = new AbortController();
  await Promise.race([
    Promise.all(work),
    delay(timeoutMs, stopTimer.signal),
  ]);
  stopTimer.abort();
}
