import type { PlacedGroup } from "../version/placement.ts";
import type { Freshness } from "./freshness_tracker.ts";
import type { ConfigHolder } from "../version/config_holder.ts";
import type { PlacementHolder } from "../version/placement_holder.ts";
import type { ReceivedGroupHealth } from "./group_health.ts";
import { type GroupHealthTable, HEALTH_EXPIRY_MS } from "./group_health.ts";
import type { VmTable } from "./vm_table.ts";
import type { ZonePolicy } from "../version/zone_policy.ts";

export { HEALTH_EXPIRY_MS };

/** Group that can take new requests. */
export interface ServingGroup {
  readonly group: PlacedGroup;
  readonly health: ReceivedGroupHealth;
  readonly leaderAddress: string;
}

/** Provides the freshness of the configuration. */
export interface FreshnessSource {
  /** Gets `fresh` if the configuration is known to be the newest, so that new requests may be sent to backend servers. */
  getState(): Freshness;
}

/** Options of the group directory. */
export interface GroupDirectoryOptions {
  readonly configHolder: ConfigHolder;
  readonly placementHolder: PlacementHolder;
  readonly healthTable: GroupHealthTable;
  readonly vmTable: VmTable;
  readonly zonePolicy: ZonePolicy;
  readonly freshness: FreshnessSource;
}

/** Finds the groups that can take new requests. */
export class GroupDirectory {
  readonly #options: GroupDirectoryOptions;

  constructor(options: GroupDirectoryOptions) {
    this.#options = options;
  }

  /**
   * Gets the complete groups of a model in zones that are in service. It returns no groups while the configuration is stale, because a zone may have been taken out of service since. Call it again for a request that has waited in a queue and for a stream that resumes.
   *
   * @param model - Name of the model.
   */
  getServingGroups(model: string): ServingGroup[] {
    const servingGroups: ServingGroup[] = [];
    if (this.#options.freshness.getState() === "stale") {
      return servingGroups;
    }
    for (const group of this.#options.placementHolder.getGroups()) {
      if (group.model === model) {
        const servingGroup = this.getServingGroup(group);
        if (servingGroup !== undefined) {
          servingGroups.push(servingGroup);
        }
      }
    }
    return servingGroups;
  }

  /**
   * Gets a group with its health and leader address, or undefined if it can't take new requests.
   *
   * @param group - Placed group.
   */
  getServingGroup(group: PlacedGroup): ServingGroup | undefined {
    const { healthTable, vmTable, zonePolicy } = this.#options;
    const health = healthTable.getHealth(group.groupId);
    const leader = vmTable.getVm(group.leader);
    if (health === undefined || leader === undefined) {
      return undefined;
    }
    const isHealthy = group.phase === "serving" &&
      health.generation === group.generation &&
      health.state !== "incomplete" &&
      performance.now() - health.observedAtMs <= HEALTH_EXPIRY_MS;
    const isInService = zonePolicy.takesNewWork(group.zone) &&
      !this.#hasUnavailableMember(group);
    if (!isHealthy || !isInService) {
      return undefined;
    }
    return { group, health, leaderAddress: leader.address };
  }

  #hasUnavailableMember(group: PlacedGroup): boolean {
    const { configHolder, placementHolder, vmTable } = this.#options;
    const drainedVms = configHolder.getCurrent()?.document.drainedVms ?? [];
    const members = placementHolder.getMembers(group);
    return members === undefined ||
      members.some((name) =>
        drainedVms.includes(name) || vmTable.getVm(name)?.state !== "live"
      );
  }
}
