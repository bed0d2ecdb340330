import type { Vm } from "../connection/vm_directory.ts";
import type { ConfigDocument } from "./config_schema.ts";
import type { DomainPlacement } from "./placement.ts";

/** What the assignment of groups to fabric domains is computed from. */
export interface DomainAssignmentInput {
  readonly document: ConfigDocument;
  /** Listed backend servers of all zones. */
  readonly vms: readonly Vm[];
  readonly placements: readonly DomainPlacement[];
  /** Gets whether groups of the zone count; false when it is out of service or about to leave. */
  readonly isZoneOpen: (zone: string) => boolean;
}

interface DomainRoom {
  readonly name: string;
  readonly zone: string;
  /** VMs that no counted group takes. */
  left: number;
  /** Groups by model that are placed and not yet counted for an entry. */
  readonly placed: Map<string, number>;
}

interface CountEntry {
  readonly model: string;
  readonly size: number;
  readonly count: number;
  /** Fabric domains in which the groups may run. */
  readonly rooms: readonly DomainRoom[];
  /** Groups by fabric domain. */
  readonly counts: Map<string, number>;
}

/** Number of groups by model, by fabric domain. */
export type DomainAssignment = ReadonlyMap<string, ReadonlyMap<string, number>>;

/**
 * Assigns the number of groups of each model to fabric domains. The result depends on the input alone, so that every planner that sees the same lists computes the same.
 *
 * Placed groups stay where they are as far as the capacity goes; further groups go to the zone with the fewest groups of the entry and there to the domain with the most VMs left.
 *
 * @param input - Configuration, VMs and placements.
 * @example
 * ```ts
 * const wanted = planAssignment(input).get("rack-1")?.get("model-1") ?? 0;
 * ```
 */
export function planAssignment(input: DomainAssignmentInput): DomainAssignment {
  const rooms = collectRooms(input);
  const assignment = new Map<string, Map<string, number>>(
    rooms.map((room) => [room.name, new Map()]),
  );
  const entries = collectEntries(input.document, rooms);
  // All placed groups keep their VMs before any missing group takes some; the entry with the fewest domains chooses first.
  for (
    const entry of entries.toSorted((x, y) => x.rooms.length - y.rooms.length)
  ) {
    takePlaced(entry);
  }
  for (const entry of entries) {
    addMissing(entry);
    for (const [domain, count] of entry.counts) {
      const models = assignment.get(domain)!;
      models.set(entry.model, (models.get(entry.model) ?? 0) + count);
    }
  }
  return assignment;
}

function collectRooms(input: DomainAssignmentInput): DomainRoom[] {
  const listed = new Map<string, Vm[]>();
  for (const vm of input.vms) {
    if (vm.fabricDomain !== undefined) {
      const vms = listed.get(vm.fabricDomain);
      if (vms === undefined) {
        listed.set(vm.fabricDomain, [vm]);
      } else {
        vms.push(vm);
      }
    }
  }
  const placements = new Map(
    input.placements.map((p) => [p.fabricDomain, p]),
  );
  const drained = new Set(input.document.drainedVms);
  const names = new Set([...listed.keys(), ...placements.keys()]);
  return [...names].sort()
    .map((name) =>
      createRoom(name, {
        placement: placements.get(name),
        listed: listed.get(name) ?? [],
        drained,
      })
    )
    .filter((room) => input.isZoneOpen(room.zone));
}

function createRoom(
  name: string,
  options: {
    placement: DomainPlacement | undefined;
    listed: readonly Vm[];
    drained: ReadonlySet<string>;
  },
): DomainRoom {
  const { placement, listed, drained } = options;
  const lost = new Set(placement?.lostVms ?? []);
  const listedNames = new Set(listed.map((vm) => vm.name));
  const usable = new Set(
    listed.filter((vm) => vm.state === "live").map((vm) => vm.name),
  );
  // The list lags, so a placed VM that is missing from it counts until its loss is confirmed.
  for (const vm of Object.keys(placement?.groupByVm ?? {})) {
    if (!listedNames.has(vm)) {
      usable.add(vm);
    }
  }
  const vms = [...usable].filter((vm) => !lost.has(vm) && !drained.has(vm));
  return {
    name,
    zone: placement?.zone ?? listed[0].zone,
    left: vms.length,
    placed: countPlaced(placement, new Set(vms)),
  };
}

/** Counts the groups whose members all stay; a broken group has no claim to the room of a healthy one. */
function countPlaced(
  placement: DomainPlacement | undefined,
  usable: ReadonlySet<string>,
): Map<string, number> {
  const placed = new Map<string, number>();
  const leaving = new Set(
    Object.entries(placement?.groupByVm ?? {})
      .filter(([vm]) => !usable.has(vm))
      .map(([, groupId]) => groupId),
  );
  for (const group of Object.values(placement?.groups ?? {})) {
    if (group.phase !== "draining" && !leaving.has(group.groupId)) {
      placed.set(group.model, (placed.get(group.model) ?? 0) + 1);
    }
  }
  return placed;
}

function collectEntries(
  document: ConfigDocument,
  rooms: readonly DomainRoom[],
): CountEntry[] {
  return document.models.flatMap((model) =>
    model.placements.map((placement) => ({
      model: model.name,
      size: model.groupSizeVms,
      count: placement.count,
      rooms: rooms.filter((room) =>
        placement.zones.includes(room.zone) &&
        (placement.fabricDomains?.includes(room.name) ?? true)
      ),
      counts: new Map<string, number>(),
    }))
  );
}

function takePlaced(entry: CountEntry): void {
  let missing = entry.count;
  for (const room of entry.rooms) {
    const placed = room.placed.get(entry.model) ?? 0;
    const kept = Math.min(placed, missing, Math.floor(room.left / entry.size));
    if (kept > 0) {
      entry.counts.set(room.name, kept);
      room.placed.set(entry.model, placed - kept);
      room.left -= kept * entry.size;
      missing -= kept;
    }
  }
}

function addMissing(entry: CountEntry): void {
  const { counts, size } = entry;
  const inZone = new Map<string, number>();
  let missing = entry.count;
  for (const room of entry.rooms) {
    const count = counts.get(room.name) ?? 0;
    inZone.set(room.zone, (inZone.get(room.zone) ?? 0) + count);
    missing -= count;
  }
  for (; missing > 0; missing--) {
    const chosen = chooseRoom(entry, inZone);
    if (chosen === undefined) {
      return;
    }
    chosen.left -= size;
    counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
    inZone.set(chosen.zone, inZone.get(chosen.zone)! + 1);
  }
}

/** Chooses the domain with the most VMs left in the zone with the fewest groups; the first by name of equal ones. */
function chooseRoom(
  entry: CountEntry,
  inZone: ReadonlyMap<string, number>,
): DomainRoom | undefined {
  let chosen: DomainRoom | undefined;
  for (const room of entry.rooms) {
    if (room.left < entry.size) {
      continue;
    }
    const order = chosen === undefined
      ? -1
      : inZone.get(room.zone)! - inZone.get(chosen.zone)! ||
        chosen.left - room.left;
    if (order < 0) {
      chosen = room;
    }
  }
  return chosen;
}
