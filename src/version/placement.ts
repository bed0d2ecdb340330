/** Life-cycle state of a group as the planner records it. */
export type GroupPhase = "loading" | "serving" | "draining";

/** One group of VMs that together hold one replica of a model. */
export interface PlacedGroup {
  readonly groupId: string;
  readonly model: string;
  readonly modelVersion: string;
  readonly zone: string;
  readonly fabricDomain: string;
  /** Fencing number of the orders to the members; rises with every change of the group. */
  readonly generation: number;
  readonly phase: GroupPhase;
  /** Name of the member that takes requests. */
  readonly leader: string;
  /** Number of members that make the group complete. */
  readonly sizeVms: number;
  /** Adapters that the members load; none when left out. */
  readonly adapters?: readonly string[];
}

/** Placement of one fabric domain: the value of one object of the platform's store. */
export interface DomainPlacement {
  readonly fabricDomain: string;
  readonly zone: string;
  /** Highest generation given out in this domain. */
  readonly lastGeneration: number;
  /** Group of each placed VM. A VM occurs once as a key, so that it is in one group at most. */
  readonly groupByVm: Readonly<Record<string, string>>;
  readonly groups: Readonly<Record<string, PlacedGroup>>;
  /** VMs whose loss the domain's planner has confirmed, sorted; the planners of other domains subtract them from the capacity. */
  readonly lostVms?: readonly string[];
}

/** Placement of one fabric domain with the version of its object. */
export interface VersionedPlacement {
  /** Version of the object in the platform's store. */
  readonly objectVersion: number;
  readonly placement: DomainPlacement;
}

/**
 * Gets the names of a group's members, the leader first.
 *
 * @param placement - Placement of the group's fabric domain.
 * @param groupId - Group to look up.
 * @example
 * ```ts
 * getGroupMembers(placement, "rack-1-g3"); // ["vm-4", "vm-5", "vm-6", "vm-7"]
 * ```
 */
export function getGroupMembers(
  placement: DomainPlacement,
  groupId: string,
): string[] {
  const leader = placement.groups[groupId]?.leader;
  const members: string[] = [];
  for (const [vm, id] of Object.entries(placement.groupByVm)) {
    if (id === groupId) {
      members.push(vm);
    }
  }
  members.sort((a, b) =>
    Number(b === leader) - Number(a === leader) || (a < b ? -1 : 1)
  );
  return members;
}
