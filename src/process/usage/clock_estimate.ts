/** Number of clocks from which a median leaves out a clock that has jumped. */
const MIN_CLOCKS = 3;

/** Estimate of the true time. */
export interface ClockEstimate {
  /** Unix time at the start of this daemon's monotonic clock, in milliseconds. */
  readonly baseMs: number;
  /** Number of clocks that the estimate was chosen from. */
  readonly clockCount: number;
}

/**
 * Chooses the true time from the wall clocks of several daemons. Load pattern: under steady traffic the wall clocks of up to 30% of the VMs jump by seconds, and links open and close; neither may move requests into another window.
 *
 * Each clock is given relative to the monotonic clock of this daemon, so that a jump of its own wall clock changes one value of many. The median of three or more is taken. Fewer clocks cannot show which of them has jumped, so an earlier estimate from at least as many is kept; the drift of the monotonic clock is some milliseconds a minute at most.
 *
 * @param basesMs - Unix time at the start of this daemon's monotonic clock by each of the clocks, in milliseconds; at least one.
 * @param previous - Estimate so far.
 * @example
 * ```ts
 * chooseClock([1_000, 1_004, 6_002], undefined); // { baseMs: 1_004, clockCount: 3 }
 * ```
 */
export function chooseClock(
  basesMs: readonly number[],
  previous: ClockEstimate | undefined,
): ClockEstimate {
  const clockCount = basesMs.length;
  const isLessCertain = previous !== undefined && clockCount < MIN_CLOCKS &&
    clockCount <= previous.clockCount;
  if (isLessCertain) {
    return previous;
  }
  const sortedMs = [...basesMs].sort((a, b) => a - b);
  const middle = Math.floor((clockCount - 1) / 2);
  const lowerMs = sortedMs[middle];
  const upperMs = sortedMs[clockCount - 1 - middle];
  // Between two values in the middle, an earlier median decides. Without one, all daemons take the lower value, so that they agree.
  const isUpperNearer = previous !== undefined &&
    previous.clockCount >= MIN_CLOCKS &&
    Math.abs(upperMs - previous.baseMs) < Math.abs(lowerMs - previous.baseMs);
  return { baseMs: isUpperNearer ? upperMs : lowerMs, clockCount };
}
