import { planReturn } from "./retry_after.ts";

/** Shortest time after which a caller of a plain service is asked to return, in milliseconds: about the round trip between a caller and the servers of another zone, with a margin. */
const MIN_SERVICE_RETRY_AFTER_MS = 50;
/** Weight of the latest response in the exponentially weighted mean of the duration. */
const DURATION_SMOOTHING_FACTOR = 0.05;
/** Number of responses from which on the mean is used. */
const MIN_RESPONSES = 5;
/** Maximum number of services whose durations are measured. */
const MAX_SERVICES = 256;

/** Load of one server of a plain service. */
export interface ServerLoad {
  /** Requests of this daemon in flight at the server. */
  readonly load: number;
  /** Requests that the server runs concurrently. */
  readonly slots: number;
}

interface ServiceWait {
  meanMs: number;
  responses: number;
  /** Monotonic time of the last slot that is promised to a refused caller, in milliseconds. */
  promisedAtMs: number;
}

/**
 * Gets the time until the first of several servers has a free slot, in milliseconds. A server that refused a request is full, whatever this daemon has sent to it, so that each of its slots becomes free once in a duration.
 *
 * @param durationMs - Mean duration of a request, in milliseconds.
 * @example
 * ```ts
 * getNextSlotMs([{ load: 5, slots: 4 }], 100); // 50
 * ```
 */
export function getNextSlotMs(
  servers: readonly ServerLoad[],
  durationMs: number,
): number {
  return Math.min(
    ...servers.map(({ load, slots }) =>
      (Math.max(0, load - slots) + 1) * durationMs / Math.max(1, slots)
    ),
  );
}

/**
 * Measures the durations of plain services, and plans the returns of callers that no server took.
 *
 * Load pattern: all servers of a service are full for a moment, and many callers are refused at once. With a constant time they return together.
 */
export class ServiceWaits {
  readonly #services = new Map<string, ServiceWait>();

  /** Records the duration of a request that a server answered, in milliseconds. */
  recordDuration(service: string, durationMs: number): void {
    const wait = this.#services.get(service);
    if (wait !== undefined) {
      wait.responses++;
      wait.meanMs += (durationMs - wait.meanMs) *
        Math.max(DURATION_SMOOTHING_FACTOR, 1 / wait.responses);
    } else if (this.#services.size < MAX_SERVICES) {
      this.#services.set(service, {
        meanMs: durationMs,
        responses: 1,
        promisedAtMs: Number.NEGATIVE_INFINITY,
      });
    }
  }

  /**
   * Promises a slot to a refused caller, and gets the time after which it should return, in milliseconds; undefined without servers or measured durations.
   *
   * @param servers - Servers of the service that accept requests.
   */
  createReturn(
    service: string,
    servers: readonly ServerLoad[],
  ): number | undefined {
    const wait = this.#services.get(service);
    if (
      wait === undefined || wait.responses < MIN_RESPONSES ||
      servers.length === 0
    ) {
      return undefined;
    }
    const nowMs = performance.now();
    const durationMs = Math.max(1, wait.meanMs);
    const ownLoad = servers.reduce((sum, { load }) => sum + load, 0);
    const { promisedMs, returnMs } = planReturn({
      queueMs: getNextSlotMs(servers, durationMs),
      promisedMs: wait.promisedAtMs - nowMs,
      // Slots that requests of other daemons free are not counted, since they are likely to be filled by these.
      slotsPerMs: Math.max(1, ownLoad) / durationMs,
      minMs: MIN_SERVICE_RETRY_AFTER_MS,
    }, Math.random());
    wait.promisedAtMs = nowMs + promisedMs;
    return returnMs;
  }
}
