import type { Vm } from "../connection/vm_directory.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { Freshness } from "./freshness_tracker.ts";
import type { GroupHealthState } from "./group_health.ts";
import type { HeldBytes } from "./held_bytes_limiter.ts";

/** State of one availability zone as known to the reporting daemon. */
export interface ZoneStatus {
  readonly name: string;
  readonly region: string;
  /** Whether the availability zone currently accepts new work. */
  readonly inService: boolean;
  readonly entryVms: number;
  readonly backendVms: number;
  /** Number of backend servers that belong to no complete group. */
  readonly strandedVms: number;
  readonly completeGroups: number;
}

/** State of one group as known to the reporting daemon. */
export interface GroupStatus extends PlacedGroup {
  readonly members: readonly string[];
  readonly health: GroupHealthState | "unknown";
  /** Whether the group currently accepts new work. */
  readonly takesNewWork: boolean;
  readonly runningRequests: number;
  readonly heldTokens: number;
  readonly maxTokens: number;
}

/** State of one VM as known to the reporting daemon. */
export interface VmStatus extends Vm {
  /** Group that the VM belongs to, if any. */
  readonly groupId?: string;
  readonly drained: boolean;
}

/** State of the deployment as known to the reporting daemon. */
export interface StatusReport {
  /** Name of the reporting daemon. */
  readonly daemon: string;
  readonly zone: string;
  /** Version of the configuration in force; 0 before the first one. */
  readonly configVersion: number;
  readonly freshness: Freshness;
  readonly zones: readonly ZoneStatus[];
  readonly groups: readonly GroupStatus[];
  readonly vms: readonly VmStatus[];
  /** Numbers of declared and complete groups of each model. */
  readonly models: readonly ModelStatus[];
  /** Bytes that the reporting daemon buffers for slow readers. */
  readonly heldBytes: HeldBytes;
}

/** Numbers of declared and complete groups of one model. */
export interface ModelStatus {
  readonly name: string;
  readonly declaredGroups: number;
  readonly completeGroups: number;
}

/**
 * Creates a report of the deployment's state as known to a daemon.
 *
 * @param context - Components of the daemon.
 * @example
 * ```ts
 * const report = createStatusReport(context);
 * ```
 */
export function createStatusReport(context: DaemonContext): StatusReport {
  const groups = context.placementHolder.getGroups()
    .map((group) => getGroupStatus(context, group))
    .sort((a, b) => a.groupId < b.groupId ? -1 : 1);
  const vms = getVmStatuses(context);
  return {
    daemon: context.settings.name,
    zone: context.settings.zone,
    configVersion: context.configHolder.getVersion(),
    freshness: context.freshness.getState(),
    zones: getZoneStatuses(context, groups, vms),
    groups,
    vms,
    models: getModelStatuses(context, groups),
    heldBytes: context.heldBytes.getHeldBytes(),
  };
}

function getGroupStatus(
  context: DaemonContext,
  group: PlacedGroup,
): GroupStatus {
  const health = context.healthTable.getHealth(group.groupId);
  const placement = context.placementHolder.getPlacement(group.fabricDomain);
  const groupByVm = placement?.placement.groupByVm ?? {};
  return {
    ...group,
    members: Object.keys(groupByVm)
      .filter((vm) => groupByVm[vm] === group.groupId),
    health: health?.generation === group.generation ? health.state : "unknown",
    takesNewWork: context.groupDirectory.getServingGroup(group) !== undefined,
    runningRequests: health?.runningRequests ?? 0,
    heldTokens: health?.heldTokens ?? 0,
    maxTokens: health?.maxTokens ?? 0,
  };
}

function getVmStatuses(context: DaemonContext): VmStatus[] {
  const groupByVm = new Map(
    context.placementHolder.getPlacements()
      .flatMap((p) => Object.entries(p.placement.groupByVm)),
  );
  const drainedVms = new Set(
    context.configHolder.getCurrent()?.document.drainedVms ?? [],
  );
  return context.vmTable.getVms().map((vm) => ({
    ...vm,
    groupId: groupByVm.get(vm.name),
    drained: drainedVms.has(vm.name),
  })).sort((a, b) => a.name < b.name ? -1 : 1);
}

function getZoneStatuses(
  context: DaemonContext,
  groups: readonly GroupStatus[],
  vms: readonly VmStatus[],
): ZoneStatus[] {
  const completeGroupIds = new Set(
    groups.filter(isComplete).map((group) => group.groupId),
  );
  const zones = context.configHolder.getCurrent()?.document.zones ?? [];
  return zones.map((zone) => {
    const backends = vms.filter((vm) =>
      vm.zone === zone.name && vm.role === "backend"
    );
    return {
      name: zone.name,
      region: zone.region,
      inService: context.zonePolicy.takesNewWork(zone.name),
      entryVms: vms.filter((vm) => vm.zone === zone.name && vm.role === "entry")
        .length,
      backendVms: backends.length,
      strandedVms: backends.filter((vm) =>
        !completeGroupIds.has(vm.groupId ?? "")
      )
        .length,
      completeGroups: groups.filter((group) =>
        group.zone === zone.name && completeGroupIds.has(group.groupId)
      ).length,
    };
  });
}

function getModelStatuses(
  context: DaemonContext,
  groups: readonly GroupStatus[],
): ModelStatus[] {
  const models = context.configHolder.getCurrent()?.document.models ?? [];
  return models.map((model) => ({
    name: model.name,
    declaredGroups: model.placements.reduce((sum, p) => sum + p.count, 0),
    completeGroups:
      groups.filter((group) => group.model === model.name && isComplete(group))
        .length,
  }));
}

function isComplete(group: GroupStatus): boolean {
  return group.health === "cold" || group.health === "ready";
}
