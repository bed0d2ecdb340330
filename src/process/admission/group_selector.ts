import { getHash32 } from "../../shared/rendezvous_hash.ts";
import { combineHashes } from "./home_selection.ts";

/** Ratio of a group's load to the average load above which the group loses its prefix affinity. */
const LOAD_BOUND_FACTOR = 1.25;

/** Group that a request may run on. */
export interface GroupCandidate {
  readonly groupId: string;
  readonly zone: string;
  /** Known number of requests that run on the group. */
  readonly load: number;
}

/** Properties of a request that determine the order of the groups. */
export interface GroupPreference {
  /** Availability zone of the daemon. */
  readonly zone: string;
  /** Hash of the prompt's prefix, for cache affinity. */
  readonly prefixHash: number;
}

interface RankedGroup<T> {
  readonly candidate: T;
  /** 0 in the daemon's zone, 1 in another zone. */
  readonly zoneRank: number;
  /** 0 when the group's load including the request is within the load bound, otherwise 1. */
  readonly overloadRank: number;
  /** Rendezvous weight of the group for the prefix. */
  readonly weight: number;
}

/**
 * Sorts groups by preference for a request: rendezvous hashing of the prefix hash with bounded loads. Groups in the daemon's zone come first. Groups whose load is above the bound come last among those in the daemon's zone, and among those in other zones, by ascending load.
 *
 * @param candidates - Groups that may take the request.
 * @param preference - Zone of the daemon and prefix of the request.
 */
export function listPreferredGroups<T extends GroupCandidate>(
  candidates: readonly T[],
  preference: GroupPreference,
): T[] {
  const loadBound = getLoadBound(candidates);
  const rankedGroups = candidates.map((c) =>
    createRankedGroup(c, { preference, loadBound })
  );
  rankedGroups.sort(compareRankedGroups);
  return rankedGroups.map((r) => r.candidate);
}

/**
 * Chooses the group that is first in the order of `listPreferredGroups`, without sorting.
 *
 * @param candidates - Groups that may take the request.
 * @param preference - Zone of the daemon and prefix of the request.
 * @returns The group, or undefined without candidates.
 */
export function choosePreferredGroup<T extends GroupCandidate>(
  candidates: readonly T[],
  preference: GroupPreference,
): T | undefined {
  const loadBound = getLoadBound(candidates);
  let bestGroup: RankedGroup<T> | undefined;
  for (const candidate of candidates) {
    const rankedGroup = createRankedGroup(candidate, {
      preference,
      loadBound,
    });
    if (
      bestGroup === undefined || compareRankedGroups(rankedGroup, bestGroup) < 0
    ) {
      bestGroup = rankedGroup;
    }
  }
  return bestGroup?.candidate;
}

function getLoadBound(candidates: readonly GroupCandidate[]): number {
  const totalLoad = candidates.reduce((sum, c) => sum + c.load, 0);
  return Math.ceil(LOAD_BOUND_FACTOR * (totalLoad + 1) / candidates.length);
}

function createRankedGroup<T extends GroupCandidate>(
  candidate: T,
  options: { preference: GroupPreference; loadBound: number },
): RankedGroup<T> {
  const { preference, loadBound } = options;
  return {
    candidate,
    zoneRank: candidate.zone === preference.zone ? 0 : 1,
    overloadRank: candidate.load + 1 > loadBound ? 1 : 0,
    weight: combineHashes(
      getHash32(candidate.groupId),
      preference.prefixHash,
    ),
  };
}

function compareRankedGroups<T extends GroupCandidate>(
  a: RankedGroup<T>,
  b: RankedGroup<T>,
): number {
  return a.zoneRank - b.zoneRank || a.overloadRank - b.overloadRank ||
    (a.overloadRank === 1 ? a.candidate.load - b.candidate.load : 0) ||
    b.weight - a.weight;
}
