import { getHash32 } from "../../shared/rendezvous_hash.ts";
import { LANES } from "./capacity.ts";

/** Entry VM that may be a home. */
export interface HomeCandidate {
  readonly name: string;
  readonly zone: string;
}

/** Group whose homes are sought. */
export interface HomeKey {
  readonly groupId: string;
  readonly zone: string;
}

/**
 * Gets the owner of each lane of a group.
 *
 * Each lane ranks every entry VM by a total order that does not depend on which other VMs are listed; the safety of shares under different lists rests on that. Lane 0, the first home, and every second lane after it prefer the group's own zone; the other lanes prefer a zone by hash, so that homes are spread over the zones.
 *
 * @param key - Group.
 * @param candidates - Entry VMs.
 * @returns Names of the owners by lane; empty without candidates.
 */
export function getLaneOwners(
  key: HomeKey,
  candidates: readonly HomeCandidate[],
): string[] {
  if (candidates.length === 0) {
    return [];
  }
  const hashes = candidates.map((c) => getHash32(c.name));
  const zones = new Map(
    candidates.map((c) => [c.zone, getHash32(c.zone)]),
  );
  return Array.from({ length: LANES }, (_, lane) => {
    const zone = choosePreferredZone(key, zones, lane);
    const seed = getHash32(`${key.groupId}#${lane}`);
    let best = -1;
    let bestWeight = -1;
    for (let index = 0; index < candidates.length; index++) {
      if (candidates[index].zone === zone) {
        const weight = combineHashes(hashes[index], seed);
        const tie = weight === bestWeight &&
          candidates[index].name < candidates[best].name;
        if (weight > bestWeight || tie) {
          best = index;
          bestWeight = weight;
        }
      }
    }
    return candidates[best].name;
  });
}

/**
 * Gets the distinct homes of a group, the first home first.
 *
 * @param key - Group.
 * @param candidates - Entry VMs.
 */
export function getHomes(
  key: HomeKey,
  candidates: readonly HomeCandidate[],
): string[] {
  return [...new Set(getLaneOwners(key, candidates))];
}

function choosePreferredZone(
  key: HomeKey,
  zones: ReadonlyMap<string, number>,
  lane: number,
): string {
  if (lane % 2 === 0 && zones.has(key.zone)) {
    return key.zone;
  }
  const seed = getHash32(`${key.groupId}@${lane}`);
  let best = "";
  let bestWeight = -1;
  for (const [zone, hash] of zones) {
    const weight = combineHashes(hash, seed);
    if (weight > bestWeight || (weight === bestWeight && zone < best)) {
      best = zone;
      bestWeight = weight;
    }
  }
  return best;
}

/**
 * Combines two hashes into one that depends on all bits of both.
 *
 * @param a - First hash.
 * @param b - Second hash.
 */
export function combineHashes(a: number, b: number): number {
  let hash = a ^ b;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
