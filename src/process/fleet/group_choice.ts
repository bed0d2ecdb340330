/** Group that is considered for a request. */
export interface GroupCandidate {
  /** Number of requests in flight that this daemon knows of. */
  readonly load: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Number of requests added to the load, for example for a group in another zone. */
  readonly penalty: number;
}

/** Figures from which the number of requests that the known loads do not yet include is estimated. */
export interface UnreportedArrivals {
  /** Mean age of the loads that other daemons reported, in milliseconds. */
  readonly stalenessMs: number;
  /** Mean time that a request holds its slot, in milliseconds. */
  readonly durationMs: number;
  /** Fraction of all requests that other daemons send, from 0 to 1. */
  readonly peersShare: number;
}

/**
 * Chooses the group for a request. Many daemons choose concurrently, with loads that are several hundred milliseconds old. If each chose the least loaded group, all would send to the same group until the next exchange. The number of requests that other daemons have sent since is therefore estimated by Little's law from the requests in flight, and distributed over the groups by water-filling. The probability of a group is proportional to the difference between the water level and its load with the penalty. Without other daemons, the least loaded group is chosen.
 *
 * @param candidates - Groups to choose from.
 * @param unreported - Figures for the estimate of requests that the loads do not include.
 * @param random - Random number from 0 to 1.
 * @returns Index of the chosen group; undefined when no group has a free slot.
 * @example
 * ```ts
 * const index = chooseGroup(candidates, unreported, Math.random());
 * ```
 */
export function chooseGroup(
  candidates: readonly GroupCandidate[],
  unreported: UnreportedArrivals,
  random: number,
): number | undefined {
  const freeGroups = candidates.flatMap(({ load, slots, penalty }, index) =>
    load < slots ? [{ index, effectiveLoad: load + penalty }] : []
  ).sort((a, b) => a.effectiveLoad - b.effectiveLoad);
  if (freeGroups.length === 0) {
    return undefined;
  }
  const inFlight = candidates.reduce((sum, { load }) => sum + load, 0);
  const unreportedRequests = inFlight * unreported.peersShare *
    Math.min(1, unreported.stalenessMs / Math.max(1, unreported.durationMs));
  const waterLevel = getWaterLevel(
    freeGroups.map(({ effectiveLoad }) => effectiveLoad),
    unreportedRequests + 1,
  );
  let remainingVolume = random * (unreportedRequests + 1);
  for (const { index, effectiveLoad } of freeGroups) {
    remainingVolume -= Math.max(0, waterLevel - effectiveLoad);
    if (remainingVolume < 0) {
      return index;
    }
  }
  return freeGroups[0].index;
}

/** Gets the common level that the lowest levels reach when `volume` is distributed over them by water-filling. */
function getWaterLevel(
  sortedLevels: readonly number[],
  volume: number,
): number {
  let filled = 0;
  for (let i = 1; i < sortedLevels.length; i++) {
    const capacity = (sortedLevels[i] - sortedLevels[i - 1]) * i;
    if (filled + capacity >= volume) {
      return sortedLevels[i - 1] + (volume - filled) / i;
    }
    filled += capacity;
  }
  return sortedLevels[sortedLevels.length - 1] +
    (volume - filled) / sortedLevels.length;
}
