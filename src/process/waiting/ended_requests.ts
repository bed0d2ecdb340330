/** Divisor of the slots that bounds how many requests are sent beyond them. An engine queues a few requests; each of them waits about as long as at the daemon. */
const SLOTS_PER_EXTRA = 8;

/** Figures from which the ended requests of other daemons are estimated. */
export interface ReportedLoad {
  /** Requests in flight of other daemons, as they reported them. */
  readonly peerLoad: number;
  /** Requests by which the load of other daemons has fallen per millisecond, as observed lately; 0 when it has not. */
  readonly fallPerMs: number;
  readonly slots: number;
  /** Age of the reports in milliseconds. */
  readonly ageMs: number;
  /** Mean time that a request holds its slot, in milliseconds. */
  readonly durationMs: number;
}

/**
 * Counts the requests that may be sent beyond the known free slots of a group: those that have probably ended since the reports without being followed by another of the same daemon, at most an eighth of the slots.
 *
 * Load pattern: all slots are taken and requests wait here, while other daemons have fewer requests than before. Their freed slots stay idle until their next notice. Daemons that have waiting requests fill their freed slots at once, which shows in a load that does not fall.
 *
 * @param random - Random number from 0 to 1, by which a fraction is rounded.
 * @example
 * ```ts
 * countEndedRequests({ peerLoad: 24, fallPerMs: 0.02, slots: 32, ageMs: 100, durationMs: 1_000 }, 0); // 2
 * ```
 */
export function countEndedRequests(
  { peerLoad, fallPerMs, slots, ageMs, durationMs }: ReportedLoad,
  random: number,
): number {
  const ended = Math.min(
    peerLoad * Math.min(1, ageMs / Math.max(1, durationMs)),
    fallPerMs * ageMs,
  );
  return ended <= 0
    ? 0
    : Math.min(Math.floor(slots / SLOTS_PER_EXTRA), Math.floor(ended + random));
}
