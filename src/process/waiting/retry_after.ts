/** Shortest time after which a refused caller is asked to return, in milliseconds: three notices, after which the other daemons know of the refusal. */
export const MIN_RETRY_AFTER_MS = 300;
/** Longest time after which a refused caller is asked to return, in milliseconds; above the longest time limit of a request, and below the time for which refusals are recorded. */
export const MAX_RETRY_AFTER_MS = 8_000;
/** Share of the freed slots that is promised to callers who return. The rest is for new requests, which can still be on time. */
const RETURN_SHARE = 0.5;
/** Share of a time that is added to it at random: the relative standard deviation of the estimated rate with some 25 observed slots. */
const JITTER_SHARE = 0.2;

/** Figures from which the time of a return is derived. */
export interface ReturnFigures {
  /** Time until the requests that wait for a slot have been served, in milliseconds. */
  readonly queueMs: number;
  /** Time until the last return that has been promised, in milliseconds; negative when it has passed. */
  readonly promisedMs: number;
  /** Slots that become free for this daemon, per millisecond. */
  readonly slotsPerMs: number;
  /** Shortest time to return, in milliseconds; defaults to `MIN_RETRY_AFTER_MS`. */
  readonly minMs?: number;
}

/** Time at which a refused caller should return. */
export interface PlannedReturn {
  /** Time until the slot that is promised to the caller, in milliseconds. */
  readonly promisedMs: number;
  /** Time for which the caller is told to wait, in whole milliseconds. */
  readonly returnMs: number;
}

/**
 * Plans the return of a refused caller: once the waiting requests have been served, and after the callers who have been told to return before. The returns are spread evenly over the time in which slots become free, since a random time within a growing span would gather them at its start.
 *
 * Load pattern: many callers are refused within a moment, as in a burst or after the loss of groups. With a constant time they return together and are refused again.
 *
 * @param random - Random number from 0 to 1.
 * @example
 * ```ts
 * planReturn({ queueMs: 200, promisedMs: 0, slotsPerMs: 0.1 }, Math.random());
 * ```
 */
export function planReturn(
  { queueMs, promisedMs, slotsPerMs, minMs = MIN_RETRY_AFTER_MS }:
    ReturnFigures,
  random: number,
): PlannedReturn {
  const earliestMs = Math.max(minMs, queueMs);
  const gapMs = 1 / (slotsPerMs * RETURN_SHARE);
  const nextMs = Math.max(earliestMs, promisedMs + gapMs);
  const jitterMs = random * Math.max(gapMs, nextMs * JITTER_SHARE);
  // Callers who find no slot in time are told a random time near the bound, and no slot is promised to them.
  return nextMs >= MAX_RETRY_AFTER_MS
    ? {
      promisedMs,
      returnMs: Math.ceil(MAX_RETRY_AFTER_MS * (1 - random * JITTER_SHARE)),
    }
    : {
      promisedMs: nextMs,
      returnMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, nextMs + jitterMs)),
    };
}
