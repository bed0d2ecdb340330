import { getHash32 } from "../../shared/rendezvous_hash.ts";
import { PARTITIONS_PER_GROUP } from "./capacity.ts";

/** Entry VM that may become a home of a group, that is, own at least one partition of its capacity. */
export interface HomeCandidate {
  readonly name: string;
  readonly zone: string;
}

/** Group and its availability zone. */
export interface GroupLocation {
  readonly groupId: string;
  readonly zone: string;
}

/**
 * Gets the owner of each partition of a group's capacity by rendezvous hashing.
 *
 * Each partition ranks the entry VMs by a total order that does not depend on which other VMs are listed. Together with the hold-down of `ShareCalculator`, this keeps the shares of daemons with different VM lists from overlapping. The owner of partition 0 is the first home. Even-numbered partitions prefer the group's own zone. Odd-numbered ones prefer a zone chosen by hash, so that the homes are spread over the zones.
 *
 * @param group - Group to look up.
 * @param candidates - Entry VMs.
 * @returns Names of the owners by partition number; empty without candidates.
 */
export function getPartitionOwners(
  group: GroupLocation,
  candidates: readonly HomeCandidate[],
): string[] {
  if (candidates.length === 0) {
    return [];
  }
  const hashes = candidates.map((c) => getHash32(c.name));
  const zones = new Map(
    candidates.map((c) => [c.zone, getHash32(c.zone)]),
  );
  return Array.from({ length: PARTITIONS_PER_GROUP }, (_, partition) => {
    const zone = choosePreferredZone(group, zones, partition);
    const seed = getHash32(`${group.groupId}#${partition}`);
    let bestIndex = -1;
    let bestWeight = -1;
    for (let index = 0; index < candidates.length; index++) {
      if (candidates[index].zone === zone) {
        const weight = combineHashes(hashes[index], seed);
        const winsTie = weight === bestWeight &&
          candidates[index].name < candidates[bestIndex].name;
        if (weight > bestWeight || winsTie) {
          bestIndex = index;
          bestWeight = weight;
        }
      }
    }
    return candidates[bestIndex].name;
  });
}

/**
 * Lists the distinct homes of a group, starting with the first home.
 *
 * @param group - Group to look up.
 * @param candidates - Entry VMs.
 */
export function listHomes(
  group: GroupLocation,
  candidates: readonly HomeCandidate[],
): string[] {
  return [...new Set(getPartitionOwners(group, candidates))];
}

function choosePreferredZone(
  group: GroupLocation,
  zones: ReadonlyMap<string, number>,
  partition: number,
): string {
  if (partition % 2 === 0 && zones.has(group.zone)) {
    return group.zone;
  }
  const seed = getHash32(`${group.groupId}@${partition}`);
  let bestZone = "";
  let bestWeight = -1;
  for (const [zone, hash] of zones) {
    const weight = combineHashes(hash, seed);
    if (weight > bestWeight || (weight === bestWeight && zone < bestZone)) {
      bestZone = zone;
      bestWeight = weight;
    }
  }
  return bestZone;
}

/**
 * Combines two 32-bit hashes into one that depends on all bits of both.
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
