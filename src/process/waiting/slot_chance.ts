/** Figures from which the chance of a waiting request is estimated. */
export interface WaitFigures {
  /** Requests that get a slot before this one, among those that wait now. */
  readonly ahead: number;
  /** Slots that the daemon can expect within the window. */
  readonly served: number;
  /** Requests that have arrived within the window and whose successors go before this one. */
  readonly arrivals: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
  /** Time that the request may still wait, in milliseconds. */
  readonly remainingMs: number;
}

/** Chance of a slot below which a request is refused. A refused caller loses that chance and gets the time at which there is capacity; at 5% a request in the middle of a queue that does not shrink is refused, and one near its front never. */
export const MIN_SLOT_CHANCE = 0.05;

/**
 * Estimates the chance that a waiting request gets a slot before its wait ends.
 *
 * Load pattern: more requests arrive than slots become free, for a moment or for longer than a request may wait. The requests before this one change by the arrivals that go ahead and by the slots that become free, both Poisson counts. The request is served when their difference reaches the present number, which is the first passage of a Brownian motion with drift. A queue that merely stays long is thus told from one that grows; both counts get one standard deviation of doubt in favor of the request, so that a short burst or a small sample refuses nobody.
 *
 * @returns Probability from 0 to 1.
 * @example
 * ```ts
 * getSlotChance({ ahead: 50, served: 200, arrivals: 400, windowMs: 2_000, remainingMs: 1_500 });
 * ```
 */
export function getSlotChance(figures: WaitFigures): number {
  const { ahead, arrivals, windowMs, remainingMs } = figures;
  if (remainingMs <= 0) {
    return 0;
  }
  const served = figures.served + Math.sqrt(figures.served + arrivals);
  if (served === 0) {
    return 1;
  }
  const distance = ahead + 1;
  const drift = (served - arrivals) * remainingMs / windowMs;
  const variance = (served + arrivals) * remainingMs / windowMs;
  const deviation = Math.sqrt(variance);
  const exponent = 2 * drift * distance / variance;
  const reflected = getNormalShare((-distance - drift) / deviation);
  // The product tends to 0 where its first factor overflows.
  const returning = exponent > 500 ? 0 : Math.exp(exponent) * reflected;
  return Math.min(
    1,
    getNormalShare((drift - distance) / deviation) + returning,
  );
}

/** Gets the share of a standard normal distribution below `x`, by the logistic approximation of Bowling et al., whose error is below 0.0002. */
function getNormalShare(x: number): number {
  return 1 / (1 + Math.exp(-(0.07056 * x ** 3 + 1.5976 * x)));
}
