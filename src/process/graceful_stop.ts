import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { Logger } from "../shared/logger.ts";
import type { DaemonSettings } from "./daemon_settings.ts";

const ABORT_GRACE_MS = 1_000;
const HOOK_TIMEOUT_MS = 5_000;
/** Outcomes that cannot be written in this time end as `may-have-run` for a retry. */
const BACKGROUND_TIMEOUT_MS = 30_000;
/** Time in which requests that were on the way when the last one ended still get their refusal. */
const LATE_REQUEST_GRACE_MS = 250;

/** Part of the daemon that takes part in a planned stop. */
export interface StopHook {
  readonly name: string;
  /** Runs when new requests are refused: hands over long work, if it can. */
  drain?(): Promise<void>;
  /** Runs after the requests in flight have ended: gives loans and leases back. */
  release?(): Promise<void>;
}

/** Request in flight. */
export interface InFlightRequest {
  readonly requestId: string;
  /** Ends the request when the stop's time limit has passed. */
  abort(): void;
}

/** Phases of a planned stop. */
export type StopPhase = "serving" | "leaving" | "closing" | "stopped";

/** Order of a planned stop, which cuts no request in flight. */
export class GracefulStop {
  readonly #settings: Pick<DaemonSettings, "balancerLagMs" | "stopTimeoutMs">;
  readonly #logger: Logger;
  readonly #hooks: StopHook[] = [];
  readonly #requests = new Set<InFlightRequest>();
  readonly #backgroundWork = new Set<Promise<unknown>>();
  #phase: StopPhase = "serving";
  #stopPromise: Promise<void> | undefined;
  #onIdle: (() => void) | undefined;

  constructor(
    settings: Pick<DaemonSettings, "balancerLagMs" | "stopTimeoutMs">,
    logger: Logger,
  ) {
    this.#settings = settings;
    this.#logger = logger;
  }

  /** Gets the phase. */
  getPhase(): StopPhase {
    return this.#phase;
  }

  /** Gets whether the stop has begun, so that the daemon is not ready. */
  isLeaving(): boolean {
    return this.#phase !== "serving";
  }

  /** Gets whether new requests are taken. */
  takesRequests(): boolean {
    return this.#phase === "serving" || this.#phase === "leaving";
  }

  /** Gets the number of requests in flight. */
  getRequestCount(): number {
    return this.#requests.size;
  }

  /**
   * Registers a part that hands over or releases something.
   *
   * @param hook - Part of the daemon.
   */
  addHook(hook: StopHook): void {
    this.#hooks.push(hook);
  }

  /**
   * Registers a request in flight.
   *
   * @param request - Request.
   * @returns Function that removes the request when it has ended.
   */
  addRequest(request: InFlightRequest): () => void {
    this.#requests.add(request);
    return () => {
      this.#requests.delete(request);
      if (this.#requests.size === 0) {
        this.#onIdle?.();
      }
    };
  }

  /**
   * Registers work that ends after its request, for example the write of an outcome. Its failure is handled by its owner.
   *
   * @param work - Work that ends by itself.
   */
  addBackgroundWork(work: Promise<unknown>): void {
    const settled = work.then(() => {}, () => {});
    this.#backgroundWork.add(settled);
    settled.then(() => this.#backgroundWork.delete(settled));
  }

  /**
   * Runs the stop once; later calls get the same promise.
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
    await this.#waitUntilIdle(this.#settings.stopTimeoutMs);
    await this.#abortRequests();
    await waitAtMost([...this.#backgroundWork], BACKGROUND_TIMEOUT_MS);
    await this.#runHooks("release");
    await delay(LATE_REQUEST_GRACE_MS);
    this.#phase = "stopped";
  }

  async #waitUntilIdle(timeoutMs: number): Promise<void> {
    if (this.#requests.size === 0) {
      return;
    }
    const idle = new Promise<void>((resolve) => this.#onIdle = resolve);
    await waitAtMost([idle], timeoutMs);
    this.#onIdle = undefined;
  }

  async #abortRequests(): Promise<void> {
    if (this.#requests.size === 0) {
      return;
    }
    for (const request of [...this.#requests]) {
      this.#logger.write("warn", "request-cut-by-stop", {
        requestId: request.requestId,
        stopTimeoutMs: this.#settings.stopTimeoutMs,
      });
      request.abort();
    }
    await this.#waitUntilIdle(ABORT_GRACE_MS);
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
