/** Group that may take a request, as the choice sees it. */
export interface GroupCandidate {
  /** Requests in flight as far as they are known. */
  readonly load: number;
  /** Places that the group has. */
  readonly slots: number;
  /** Disadvantage in requests, such as that of a group in another zone. */
  readonly penalty: number;
}

/** What is known of the requests that are not in the loads yet. */
export interface UnreportedArrivals {
  /** Mean time since the loads of the other daemons were true, in milliseconds. */
  readonly stalenessMs: number;
  /** Mean time that a request occupies its place, in milliseconds. */
  readonly durationMs: number;
  /** Part of all requests that other daemons send, from 0 to 1. */
  readonly peersShare: number;
}

/**
 * Chooses the group for a request among many daemons that choose at the same time with loads that are some hundred milliseconds old. If each took the least loaded group, all would send to the same one until the next exchange. The requests that other daemons send meanwhile are therefore estimated (by Little's law from the requests in flight) and poured over the groups up to one level; a group is chosen with a probability in proportion to what it lacks to that level. A daemon alone takes the least loaded group.
 *
 * @param candidates - Groups.
 * @param unreported - What is known of requests that the loads lack.
 * @param random - Random number from 0 to 1.
 * @returns Index of the chosen group; undefined when no group has a free place.
 * @example
 * ```ts
 * const index = chooseGroup(candidates, unseen, Math.random());
 * ```
 */
export function chooseGroup(
  candidates: readonly GroupCandidate[],
  unreported: UnreportedArrivals,
  random: number,
): number | undefined {
  const groupsWithFreeSlots = candidates.flatMap((
    { load, slots, penalty },
    index,
  ) => load < slots ? [{ index, effectiveLoad: load + penalty }] : []).sort((
    a,
    b,
  ) => a.effectiveLoad - b.effectiveLoad);
  if (groupsWithFreeSlots.length === 0) {
    return undefined;
  }
  const inFlight = candidates.reduce((sum, { load }) => sum + load, 0);
  const unreportedRequests = inFlight * unreported.peersShare *
    Math.min(1, unreported.stalenessMs / Math.max(1, unreported.durationMs));
  const waterLevel = getWaterLevel(
    groupsWithFreeSlots.map(({ effectiveLoad }) => effectiveLoad),
    unreportedRequests + 1,
  );
  let remaining = random * (unreportedRequests + 1);
  for (const { index, effectiveLoad } of groupsWithFreeSlots) {
    remaining -= Math.max(0, waterLevel - effectiveLoad);
    if (remaining < 0) {
      return index;
    }
  }
  return groupsWithFreeSlots[0].index;
}

/** Gets the level up to which a volume fills vessels of equal width. */
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
