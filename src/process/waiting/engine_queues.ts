/** Time after a declined request in which its group gets none beyond its slots, in milliseconds. */
const DECLINE_PAUSE_MS = 1_000;
/** Longest time for which the engines of a service count as not queuing, in milliseconds. Then one request tries again. */
const MAX_SERVICE_PAUSE_MS = 60_000;
/** Maximum number of groups whose declined requests are kept. */
const MAX_GROUPS = 1_000;

interface ServicePause {
  readonly untilMs: number;
  readonly lengthMs: number;
}

/**
 * Tells which engines queue requests beyond their slots. An engine is assumed to do so until it declines such a request; each further one without a success between doubles the time in which its service gets none.
 *
 * @example
 * ```ts
 * queues.recordDecline("models", "g/1", { isBeyond: true });
 * queues.takesMore("models", "g/1"); // false for a second
 * ```
 */
export class EngineQueues {
  /** Monotonic time of the last declined request, in milliseconds, by group. */
  readonly #declinedAtMs = new Map<string, number>();
  readonly #servicePauses = new Map<string, ServicePause>();

  /** Gets whether the engine of a group may get a request beyond its slots. */
  takesMore(service: string, groupKey: string): boolean {
    const nowMs = performance.now();
    const declinedAtMs = this.#declinedAtMs.get(groupKey) ??
      Number.NEGATIVE_INFINITY;
    const pausedUntilMs = this.#servicePauses.get(service)?.untilMs ?? 0;
    return nowMs - declinedAtMs >= DECLINE_PAUSE_MS && nowMs >= pausedUntilMs;
  }

  /** Records that a group declined a request. */
  recordDecline(
    service: string,
    groupKey: string,
    { isBeyond }: { isBeyond: boolean },
  ): void {
    const nowMs = performance.now();
    this.#declinedAtMs.delete(groupKey);
    this.#declinedAtMs.set(groupKey, nowMs);
    if (this.#declinedAtMs.size > MAX_GROUPS) {
      const [oldestKey] = this.#declinedAtMs.keys();
      this.#declinedAtMs.delete(oldestKey);
    }
    if (isBeyond) {
      const lastMs = this.#servicePauses.get(service)?.lengthMs ?? 0;
      const lengthMs = Math.min(
        MAX_SERVICE_PAUSE_MS,
        Math.max(DECLINE_PAUSE_MS, 2 * lastMs),
      );
      this.#servicePauses.set(service, { untilMs: nowMs + lengthMs, lengthMs });
    }
  }

  /** Records that an engine has taken a request beyond its slots. */
  recordTaken(service: string): void {
    this.#servicePauses.delete(service);
  }
}
