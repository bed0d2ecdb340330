/** Life-cycle state of a group that the planner records in the placement. */
export type GroupPhase = "loading" | "serving" | "draining";

/** Group of VMs that together serve one replica of a model. */
export interface PlacedGroup {
  readonly groupId: string;
  readonly model: string;
  readonly modelVersion: string;
  readonly zone: string;
  readonly fabricDomain: string;
  /** Fencing token of the orders to the members; it increases with each change of the group. */
  readonly generation: number;
  readonly phase: GroupPhase;
  /** Name of the member that receives the group's requests. */
  readonly leader: string;
  /** Number of members of the complete group. */
  readonly sizeVms: number;
  /** Adapters that the members load; none when left out. */
  readonly adapters?: readonly string[];
}

/** Groups that are placed on the VMs of one fabric domain; stored as one object of the platform's object store. */
export interface DomainPlacement {
  readonly fabricDomain: string;
  readonly zone: string;
  /** Highest generation that a group of this domain has received. */
  readonly lastGeneration: number;
  /** Group id by VM name. Since each VM occurs at most once as a key, it belongs to at most one group. */
  readonly groupByVm: Readonly<Record<string, string>>;
  /** Groups by group id. */
  readonly groups: Readonly<Record<string, PlacedGroup>>;
  /** Names of the VMs whose loss the domain's planner has confirmed, sorted; planners of other domains subtract them from the domain's capacity. */
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
