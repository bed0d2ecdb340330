import type { Vm } from "../connection/vm_directory.ts";
import type { ConfigDocument } from "./config_schema.ts";
import type { DomainPlacement } from "./placement.ts";

/** Input of `planAssignment`. */
export interface DomainAssignmentInput {
  readonly document: ConfigDocument;
  /** Backend servers that the VM directory lists, in all zones. */
  readonly vms: readonly Vm[];
  /** Current placements of the fabric domains. */
  readonly placements: readonly DomainPlacement[];
  /** Gets whether groups may be assigned to the zone; false when it is out of service or will be soon. */
  readonly isZoneOpen: (zone: string) => boolean;
}

/** Capacity of one fabric domain that is left at this point of the assignment. */
interface DomainCapacity {
  readonly name: string;
  readonly zone: string;
  /** Number of VMs that are not assigned to a group. */
  freeVmCount: number;
  /** Number of placed groups by model that are not yet attributed to a placement entry. */
  readonly unattributedCountByModel: Map<string, number>;
}

/** One entry of a model's `placements` list, with the assignment of its groups. */
interface PlacementEntry {
  readonly model: string;
  /** Number of VMs of one group. */
  readonly size: number;
  /** Number of groups that the entry requests. */
  readonly count: number;
  /** Fabric domains in which the groups may run. */
  readonly domains: readonly DomainCapacity[];
  /** Number of assigned groups by fabric domain. */
  readonly countByDomain: Map<string, number>;
}

/** Number of groups by fabric domain and model. */
export type DomainAssignment = ReadonlyMap<string, ReadonlyMap<string, number>>;

/**
 * Computes how many groups of each model each fabric domain should run. The result depends on the input alone, so that all planners with the same input compute the same assignment.
 *
 * Placed groups stay in their domain as long as it has the capacity. Each further group goes to the zone with the fewest groups of its entry, and within the zone to the domain with the most free VMs.
 *
 * @param input - Configuration, VMs and placements.
 * @example
 * ```ts
 * const desiredCount = planAssignment(input).get("rack-1")?.get("model-1") ?? 0;
 * ```
 */
export function planAssignment(input: DomainAssignmentInput): DomainAssignment {
  const domains = collectDomains(input);
  const assignment = new Map<string, Map<string, number>>(
    domains.map((domain) => [domain.name, new Map()]),
  );
  const entries = createEntries(input.document, domains);
  // Placed groups keep their VMs before VMs are assigned to missing groups. Entries with fewer eligible domains come first, since they have fewer alternatives.
  for (
    const entry of entries.toSorted((x, y) =>
      x.domains.length - y.domains.length
    )
  ) {
    retainPlacedGroups(entry);
  }
  for (const entry of entries) {
    addMissingGroups(entry);
    for (const [domain, count] of entry.countByDomain) {
      const models = assignment.get(domain)!;
      models.set(entry.model, (models.get(entry.model) ?? 0) + count);
    }
  }
  return assignment;
}

function collectDomains(input: DomainAssignmentInput): DomainCapacity[] {
  const vmsByDomain = new Map<string, Vm[]>();
  for (const vm of input.vms) {
    if (vm.fabricDomain !== undefined) {
      const domainVms = vmsByDomain.get(vm.fabricDomain);
      if (domainVms === undefined) {
        vmsByDomain.set(vm.fabricDomain, [vm]);
      } else {
        domainVms.push(vm);
      }
    }
  }
  const placementByDomain = new Map(
    input.placements.map((p) => [p.fabricDomain, p]),
  );
  const drainedVms = new Set(input.document.drainedVms);
  const domainNames = new Set([
    ...vmsByDomain.keys(),
    ...placementByDomain.keys(),
  ]);
  return [...domainNames].sort()
    .map((name) =>
      createDomainCapacity(name, {
        placement: placementByDomain.get(name),
        listedVms: vmsByDomain.get(name) ?? [],
        drainedVms,
      })
    )
    .filter((domain) => input.isZoneOpen(domain.zone));
}

function createDomainCapacity(
  name: string,
  options: {
    placement: DomainPlacement | undefined;
    listedVms: readonly Vm[];
    drainedVms: ReadonlySet<string>;
  },
): DomainCapacity {
  const { placement, listedVms, drainedVms } = options;
  const lostVms = new Set(placement?.lostVms ?? []);
  const listedNames = new Set(listedVms.map((vm) => vm.name));
  const usableVms = new Set(
    listedVms.filter((vm) => vm.state === "live").map((vm) => vm.name),
  );
  // The VM list is updated with a delay, so a placed VM that is missing from it counts as usable until its loss is confirmed.
  for (const vm of Object.keys(placement?.groupByVm ?? {})) {
    if (!listedNames.has(vm)) {
      usableVms.add(vm);
    }
  }
  const availableVms = [...usableVms].filter((vm) =>
    !lostVms.has(vm) && !drainedVms.has(vm)
  );
  return {
    name,
    zone: placement?.zone ?? listedVms[0].zone,
    freeVmCount: availableVms.length,
    unattributedCountByModel: countPlacedGroups(
      placement,
      new Set(availableVms),
    ),
  };
}

/** Counts the placed groups by model, without draining groups and groups with an unavailable member, so that a broken group does not take the capacity of a healthy one. */
function countPlacedGroups(
  placement: DomainPlacement | undefined,
  availableVms: ReadonlySet<string>,
): Map<string, number> {
  const placedCountByModel = new Map<string, number>();
  const incompleteGroupIds = new Set(
    Object.entries(placement?.groupByVm ?? {})
      .filter(([vm]) => !availableVms.has(vm))
      .map(([, groupId]) => groupId),
  );
  for (const group of Object.values(placement?.groups ?? {})) {
    if (group.phase !== "draining" && !incompleteGroupIds.has(group.groupId)) {
      placedCountByModel.set(
        group.model,
        (placedCountByModel.get(group.model) ?? 0) + 1,
      );
    }
  }
  return placedCountByModel;
}

function createEntries(
  document: ConfigDocument,
  domains: readonly DomainCapacity[],
): PlacementEntry[] {
  return document.models.flatMap((model) =>
    model.placements.map((placement) => ({
      model: model.name,
      size: model.groupSizeVms,
      count: placement.count,
      domains: domains.filter((domain) =>
        placement.zones.includes(domain.zone) &&
        (placement.fabricDomains?.includes(domain.name) ?? true)
      ),
      countByDomain: new Map<string, number>(),
    }))
  );
}

/** Attributes placed groups to an entry, up to the requested count and the capacity of their domains. */
function retainPlacedGroups(entry: PlacementEntry): void {
  let missingCount = entry.count;
  for (const domain of entry.domains) {
    const placedCount = domain.unattributedCountByModel.get(entry.model) ?? 0;
    const keptCount = Math.min(
      placedCount,
      missingCount,
      Math.floor(domain.freeVmCount / entry.size),
    );
    if (keptCount > 0) {
      entry.countByDomain.set(domain.name, keptCount);
      domain.unattributedCountByModel.set(entry.model, placedCount - keptCount);
      domain.freeVmCount -= keptCount * entry.size;
      missingCount -= keptCount;
    }
  }
}

/** Assigns the groups that an entry still lacks to domains, until no eligible domain has enough free VMs. */
function addMissingGroups(entry: PlacementEntry): void {
  const { countByDomain, size } = entry;
  const countByZone = new Map<string, number>();
  let missingCount = entry.count;
  for (const domain of entry.domains) {
    const count = countByDomain.get(domain.name) ?? 0;
    countByZone.set(domain.zone, (countByZone.get(domain.zone) ?? 0) + count);
    missingCount -= count;
  }
  for (; missingCount > 0; missingCount--) {
    const chosenDomain = chooseDomain(entry, countByZone);
    if (chosenDomain === undefined) {
      return;
    }
    chosenDomain.freeVmCount -= size;
    countByDomain.set(
      chosenDomain.name,
      (countByDomain.get(chosenDomain.name) ?? 0) + 1,
    );
    countByZone.set(chosenDomain.zone, countByZone.get(chosenDomain.zone)! + 1);
  }
}

/** Chooses the domain with the most free VMs in the zone with the fewest groups of the entry; ties go to the first domain by name. */
function chooseDomain(
  entry: PlacementEntry,
  countByZone: ReadonlyMap<string, number>,
): DomainCapacity | undefined {
  let chosenDomain: DomainCapacity | undefined;
  for (const domain of entry.domains) {
    if (domain.freeVmCount < entry.size) {
      continue;
    }
    const comparison = chosenDomain === undefined
      ? -1
      : countByZone.get(domain.zone)! - countByZone.get(chosenDomain.zone)! ||
        chosenDomain.freeVmCount - domain.freeVmCount;
    if (comparison < 0) {
      chosenDomain = domain;
    }
  }
  return chosenDomain;
}
