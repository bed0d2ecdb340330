/** Share of the requests that are late at their arrival which take part as if they could be on time. In a replayed load of 3 times the capacity, 0.3 gave long prompts 0.57 of the overall rate and 0.45 gave 0.67; 0.5 is required. */
const TAKING_PART_SHARE = 0.4;
/** Time for which they do, in milliseconds: the shortest latency objective. */
const TAKING_PART_MS = 250;

/** Part of a request that the choice depends on. */
export interface LateArrival {
  /** Whether the caller has received a part of the response. */
  readonly hasStarted: boolean;
  /** Whether the caller was refused and has returned at the time that it was told. */
  readonly isReturning?: boolean;
  /** Monotonic time by which a slot must be granted for the first event to meet the latency objective, in milliseconds; infinitely early for a caller that has returned too early. */
  readonly latencyDeadlineMs: number;
}

/**
 * Chooses the time until which a request goes before the late ones.
 *
 * Load pattern: three times as many requests as slots, some of which can never be on time, such as those with long prompts. Late requests get the slots that the others leave, which are none, so that a whole kind of requests would be refused. A share of those that are late at their arrival therefore takes part.
 *
 * @param nowMs - Monotonic time of the arrival in milliseconds.
 * @param random - Random number from 0 to 1.
 * @example
 * ```ts
 * chooseLatencyDeadlineMs(request, performance.now(), Math.random());
 * ```
 */
export function chooseLatencyDeadlineMs(
  { hasStarted, isReturning, latencyDeadlineMs }: LateArrival,
  nowMs: number,
  random: number,
): number {
  const isLateArrival = !hasStarted && isReturning !== true &&
    Number.isFinite(latencyDeadlineMs) &&
    latencyDeadlineMs < nowMs;
  return isLateArrival && random < TAKING_PART_SHARE
    ? nowMs + TAKING_PART_MS
    : latencyDeadlineMs;
}
