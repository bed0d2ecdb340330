import { getHash32 } from "../../shared/rendezvous_hash.ts";

/** Load above the average at which a group loses its prefix affinity, as a factor. */
const LOAD_BOUND = 1.25;

/** Group that a request may run on. */
export interface GroupCandidate {
  readonly groupId: string;
  readonly zone: string;
  /** Requests that run on the group, as far as known. */
  readonly load: number;
}

/** What the choice depends on. */
export interface GroupPreference {
  readonly zone: string;
  readonly prefixHash: number;
}

/**
 * Orders groups for a request: groups of the own zone first; within a zone by rendezvous on the prefix hash, groups whose load is above the bound last.
 *
 * @param candidates - Groups that may take the request.
 * @param preference - Zone of the daemon and prefix of the request.
 */
export function listPreferredGroups<T extends GroupCandidate>(
  candidates: readonly T[],
  preference: GroupPreference,
): T[] {
  const total = candidates.reduce((sum, c) => sum + c.load, 0);
  const bound = Math.ceil(LOAD_BOUND * (total + 1) / candidates.length);
  const ranked = candidates.map((candidate) => ({
    candidate,
    remote: candidate.zone === preference.zone ? 0 : 1,
    overloaded: candidate.load + 1 > bound ? 1 : 0,
    weight: getHash32(`${candidate.groupId}|${preference.prefixHash}`),
  }));
  ranked.sort((a, b) =>
    a.remote - b.remote || a.overloaded - b.overloaded ||
    (a.overloaded === 1 ? a.candidate.load - b.candidate.load : 0) ||
    b.weight - a.weight
  );
  return ranked.map((r) => r.candidate);
}
