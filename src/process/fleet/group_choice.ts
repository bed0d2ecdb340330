import { getScaledLoad } from "../concurrency/candidate_limits.ts";

/** Group that is considered for a request. */
export interface GroupCandidate {
  /** Number of requests in flight that this daemon knows of. */
  readonly load: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Number of requests added to the load, for example for a group in another zone. */
  readonly penalty: number;
  /** Speed as a share of that of the other groups; defaults to 1. */
  readonly speed?: number;
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
 * Chooses the group for a request. Many daemons choose concurrently, with loads that are several hundred milliseconds old. If each chose the least loaded group, all would send to the same group until the next exchange. The number of requests that other daemons have sent since is therefore estimated by Little's law from the requests in flight, and distributed over the groups by water-filling. The probability of a group is proportional to the difference between the water level and its load with the penalty. A group of half the usual speed counts as twice as loaded, and its level rises twice as fast. Without other daemons, the least loaded group is chosen.
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
  const freeGroups = candidates.flatMap((candidate, index) => {
    const { load, slots, penalty, speed = 1 } = candidate;
    const effectiveLoad = getScaledLoad(load, speed) + penalty;
    return load < slots ? [{ index, effectiveLoad, speed }] : [];
  }).sort((a, b) => a.effectiveLoad - b.effectiveLoad);
  if (freeGroups.length === 0) {
    return undefined;
  }
  const inFlight = candidates.reduce((sum, { load }) => sum + load, 0);
  const unreportedRequests = inFlight * unreported.peersShare *
    Math.min(1, unreported.stalenessMs / Math.max(1, unreported.durationMs));
  const waterLevel = getWaterLevel(freeGroups, unreportedRequests + 1);
  let remainingVolume = random * (unreportedRequests + 1);
  for (const { index, effectiveLoad, speed } of freeGroups) {
    remainingVolume -= Math.max(0, waterLevel - effectiveLoad) * speed;
    if (remainingVolume < 0) {
      return index;
    }
  }
  return freeGroups[0].index;
}

/** Gets the common level that the lowest levels reach when `volume` is distributed over them by water-filling. A group of half the usual speed takes half the volume. */
function getWaterLevel(
  sortedGroups: readonly {
    readonly effectiveLoad: number;
    readonly speed: number;
  }[],
  volume: number,
): number {
  let filled = 0;
  let width = 0;
  for (let i = 1; i < sortedGroups.length; i++) {
    const level = sortedGroups[i - 1].effectiveLoad;
    width += sortedGroups[i - 1].speed;
    const capacity = (sortedGroups[i].effectiveLoad - level) * width;
    if (filled + capacity >= volume) {
      return level + (volume - filled) / width;
    }
    filled += capacity;
  }
  const lastGroup = sortedGroups[sortedGroups.length - 1];
  return lastGroup.effectiveLoad +
    (volume - filled) / (width + lastGroup.speed);
}
