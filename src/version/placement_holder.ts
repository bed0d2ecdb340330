import { EventEmitter } from "node:events";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import {
  type DomainPlacement,
  getGroupMembers,
  type PlacedGroup,
  type VersionedPlacement,
} from "./placement.ts";

type MembersByGroup = ReadonlyMap<string, readonly string[]>;

/** Holds the newest known placement of each fabric domain; a placement is only replaced by one with a higher object version. */
export class PlacementHolder {
  readonly #placementByDomain = new Map<string, VersionedPlacement>();
  /** Members by group for each fabric domain, computed once per placement since each request that selects a group reads them. */
  readonly #membersByGroupByDomain = new Map<string, MembersByGroup>();
  readonly #emitter = new EventEmitter<{ change: [VersionedPlacement] }>();
  #digest: number | undefined;

  /**
   * Gets the placement of a fabric domain; undefined when none has been received.
   *
   * @param fabricDomain - Name of the fabric domain.
   */
  getPlacement(fabricDomain: string): VersionedPlacement | undefined {
    return this.#placementByDomain.get(fabricDomain);
  }

  /** Gets the placements of all fabric domains. */
  getPlacements(): VersionedPlacement[] {
    return [...this.#placementByDomain.values()];
  }

  /** Gets the groups of all fabric domains. */
  getGroups(): PlacedGroup[] {
    return this.getPlacements().flatMap((p) =>
      Object.values(p.placement.groups)
    );
  }

  /**
   * Gets a group by its id; undefined when it is not placed.
   *
   * @param groupId - Group to look up.
   */
  getGroup(groupId: string): PlacedGroup | undefined {
    for (const { placement } of this.#placementByDomain.values()) {
      const group = placement.groups[groupId];
      if (group !== undefined) {
        return group;
      }
    }
    return undefined;
  }

  /** Gets a hash of the object versions, which is equal for holders with the same placements. */
  getDigest(): number {
    this.#digest ??= getHash32(
      [...this.#placementByDomain]
        .map(([domain, p]) => `${domain}@${p.objectVersion}`)
        .sort().join("|"),
    );
    return this.#digest;
  }

  /**
   * Gets the names of a group's members, the leader first; undefined when its fabric domain has no placement.
   *
   * @param group - Placed group.
   */
  getMembers(group: PlacedGroup): readonly string[] | undefined {
    const members = this.#membersByGroupByDomain.get(group.fabricDomain);
    return members && (members.get(group.groupId) ?? []);
  }

  /**
   * Replaces the placement of a fabric domain if the given one has a higher object version.
   *
   * @param placement - Placement from the store or a peer.
   * @returns Whether the placement was replaced.
   */
  offer(placement: VersionedPlacement): boolean {
    const domain = placement.placement.fabricDomain;
    const currentVersion = this.#placementByDomain.get(domain)?.objectVersion ??
      0;
    if (placement.objectVersion <= currentVersion) {
      return false;
    }
    this.#placementByDomain.set(domain, placement);
    this.#membersByGroupByDomain.set(
      domain,
      getMembersByGroup(placement.placement),
    );
    this.#digest = undefined;
    this.#emitter.emit("change", placement);
    return true;
  }

  /**
   * Registers a listener that is called after each change.
   *
   * @param listener - Receives the new placement.
   */
  onChange(listener: (placement: VersionedPlacement) => void): void {
    this.#emitter.on("change", listener);
  }
}

function getMembersByGroup(placement: DomainPlacement): MembersByGroup {
  const groupIds = new Set(Object.values(placement.groupByVm));
  return new Map(
    [...groupIds].map((id) => [id, getGroupMembers(placement, id)]),
  );
}
