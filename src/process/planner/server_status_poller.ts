import type { Vm } from "../../connection/vm_directory.ts";
import { getGroupMembers, type PlacedGroup } from "../../version/placement.ts";
import type { DaemonContext } from "../daemon_context.ts";
import { HEALTH_EXPIRY_MS } from "../group_health.ts";
import type { ServerHealth } from "./server_health.ts";
import { ServerHealthTracker } from "./server_health_tracker.ts";

/** Requests the statuses of the backend servers of one zone and keeps their addresses and health. */
export class ServerStatusPoller {
  readonly healthTracker: ServerHealthTracker;
  /** Addresses by VM name. The address of a placed VM is kept while the VM is missing from the list, which lags. */
  readonly addresses = new Map<string, string>();
  readonly #context: DaemonContext;
  /** Monotonic time since which a draining group has had no requests, by group identifier, in milliseconds. */
  readonly #idleSinceMs = new Map<string, number>();

  constructor(context: DaemonContext) {
    this.#context = context;
    this.healthTracker = new ServerHealthTracker({
      vmListLagMs: context.settings.vmListLagMs,
    });
  }

  /**
   * Requests the status of each server that is not a member of a healthy serving group: free servers, and members of groups that are loading, draining or not healthy. The health of a serving group covers its members.
   *
   * @param vms - Listed backend servers of the zone.
   * @param zone - Name of the zone.
   */
  async refreshStatuses(vms: readonly Vm[], zone: string): Promise<void> {
    const placements = this.#context.placementHolder.getPlacements()
      .map((p) => p.placement).filter((p) => p.zone === zone);
    vms.forEach((vm) => this.addresses.set(vm.name, vm.address));
    const groupByVmName = new Map<string, PlacedGroup>();
    for (const placement of placements) {
      for (const [vm, groupId] of Object.entries(placement.groupByVm)) {
        groupByVmName.set(vm, placement.groups[groupId]);
      }
    }
    const knownVms = new Set([
      ...vms.map((vm) => vm.name),
      ...groupByVmName.keys(),
    ]);
    this.healthTracker.trim(knownVms);
    this.#trimAddresses(knownVms);
    await Promise.all([...knownVms].map((name) => {
      if (this.#isGroupHealthy(groupByVmName.get(name))) {
        return this.healthTracker.recordHealthy(name);
      }
      return this.#requestStatus(name);
    }));
    this.#updateIdleTimes(placements.flatMap((p) => Object.values(p.groups)));
  }

  /**
   * Gets the health of the given servers, without those that were never observed.
   *
   * @param names - Names of the VMs.
   */
  getHealthByName(names: readonly string[]): Map<string, ServerHealth> {
    return new Map(names.flatMap((name) => {
      const health = this.healthTracker.getHealth(name);
      return health === undefined ? [] : [[name, health] as const];
    }));
  }

  /** Clears the statuses and idle times, which are out of date after a period without polling. */
  clear(): void {
    this.healthTracker.clearStatuses();
    this.#idleSinceMs.clear();
  }

  /** Gets the identifiers of the draining groups that have been idle for so long that no daemon can send them another request. */
  getIdleGroupIds(): Set<string> {
    const { freshnessLimitMs, exchangeIntervalMs } = this.#context.settings;
    // A daemon that has not received the draining placement after this time is stale and refuses new requests.
    const minIdleMs = freshnessLimitMs + 2 * exchangeIntervalMs;
    const now = performance.now();
    return new Set(
      [...this.#idleSinceMs]
        .filter(([, sinceMs]) => now - sinceMs >= minIdleMs)
        .map(([groupId]) => groupId),
    );
  }

  #trimAddresses(knownVms: ReadonlySet<string>): void {
    for (const name of this.addresses.keys()) {
      if (!knownVms.has(name)) {
        this.addresses.delete(name);
      }
    }
  }

  #isGroupHealthy(group: PlacedGroup | undefined): boolean {
    if (group?.phase !== "serving") {
      return false;
    }
    const health = this.#context.healthTable.getHealth(group.groupId);
    return health !== undefined && health.generation === group.generation &&
      health.state !== "incomplete" &&
      performance.now() - health.observedAtMs <= HEALTH_EXPIRY_MS;
  }

  async #requestStatus(name: string): Promise<void> {
    const address = this.addresses.get(name);
    const result = address === undefined
      ? undefined
      : await this.#context.engineClient.getStatus(address);
    this.healthTracker.record({
      name,
      status: result?.toMaybe().extract(),
      hasAddress: address !== undefined,
    });
  }

  #updateIdleTimes(groups: readonly PlacedGroup[]): void {
    const drainingGroups = groups.filter((g) => g.phase === "draining");
    const drainingGroupIds = new Set(drainingGroups.map((g) => g.groupId));
    for (const groupId of this.#idleSinceMs.keys()) {
      if (!drainingGroupIds.has(groupId)) {
        this.#idleSinceMs.delete(groupId);
      }
    }
    for (const group of drainingGroups) {
      if (!this.#isGroupIdle(group)) {
        this.#idleSinceMs.delete(group.groupId);
      } else if (!this.#idleSinceMs.has(group.groupId)) {
        this.#idleSinceMs.set(group.groupId, performance.now());
      }
    }
  }

  /** Gets whether every member of a group reports that it has neither running nor waiting requests. */
  #isGroupIdle(group: PlacedGroup): boolean {
    const placement = this.#context.placementHolder
      .getPlacement(group.fabricDomain)?.placement;
    return placement !== undefined &&
      getGroupMembers(placement, group.groupId).every((name) => {
        const status = this.healthTracker.getHealth(name)?.status;
        return status !== undefined && status.runningRequests === 0 &&
          status.waitingRequests === 0;
      });
  }
}
