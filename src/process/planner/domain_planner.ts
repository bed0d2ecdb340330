import type { EngineStatus } from "../../connection/engine_client.ts";
import type { Vm } from "../../connection/vm_directory.ts";
import type {
  ConfigDocument,
  ModelConfig,
} from "../../version/config_schema.ts";
import {
  type DomainPlacement,
  getGroupMembers,
  type PlacedGroup,
} from "../../version/placement.ts";
import type { ServerHealth } from "./server_health.ts";

/** Input from which the plan of one fabric domain is computed. */
export interface DomainPlanInput {
  readonly document: ConfigDocument;
  /** Backend servers of the domain that the VM list contains. */
  readonly vms: readonly Vm[];
  /** Observed health of the domain's listed and placed servers, by VM name. */
  readonly healthByVm: ReadonlyMap<string, ServerHealth>;
  readonly placement: DomainPlacement;
  /** Number of groups that the domain has to run, by model name. */
  readonly desiredGroupCounts: ReadonlyMap<string, number>;
  /** Identifiers of the draining groups that have no requests left and can be unloaded. */
  readonly idleGroupIds: ReadonlySet<string>;
  /** Number of further groups that may start to load now, within the limit of the whole deployment. */
  readonly loadSlots: number;
  /** Gets whether this domain is the one that may drain an outdated group of the model now. */
  readonly isReplacementTurn: (model: string) => boolean;
  /** Whether groups in the domain's zone count towards the desired number; false when the zone is out of service or is about to be taken out. */
  readonly zoneOpen: boolean;
  /** Whether the domain's zone accepts new requests now. */
  readonly zoneTakesNewWork: boolean;
}

/** Planned state of one fabric domain. */
export interface DomainPlan {
  readonly placement: DomainPlacement;
  /** Whether the placement differs from the current one. */
  readonly isChanged: boolean;
}

/** Creates a placement without groups for a fabric domain. */
export function createEmptyPlacement(
  fabricDomain: string,
  zone: string,
): DomainPlacement {
  return { fabricDomain, zone, lastGeneration: 0, groupByVm: {}, groups: {} };
}

/**
 * Gets a copy of the placement whose `lostVms` are the servers with a confirmed loss.
 *
 * @param placement - Placement of a fabric domain.
 * @param healthByVm - Observed health of the domain's servers, by VM name.
 */
export function updateLostVms(
  placement: DomainPlacement,
  healthByVm: ReadonlyMap<string, ServerHealth>,
): DomainPlacement {
  const lostVms = [...healthByVm].filter(([, health]) => health.isLost)
    .map(([name]) => name).sort();
  return { ...placement, lostVms };
}

/**
 * Gets whether a group differs from the configuration in its model version, adapters or size.
 *
 * @param group - Placed group.
 * @param model - Model in the configuration, or undefined when it was removed; the group is outdated then.
 */
export function isOutdated(
  group: PlacedGroup,
  model: ModelConfig | undefined,
): boolean {
  return model === undefined || group.modelVersion !== model.version ||
    group.sizeVms !== model.groupSizeVms ||
    (group.adapters ?? []).join("\n") !== model.adapters.join("\n");
}

/**
 * Gets whether a group has finished loading: every member reports the placement's group and generation, and the leader is connected to all members.
 *
 * @param group - Placed group.
 * @param statuses - Status of each member, the leader first; undefined for a member without a status.
 */
export function isLoaded(
  group: PlacedGroup,
  statuses: readonly (EngineStatus | undefined)[],
): boolean {
  return statuses.length === group.sizeVms &&
    statuses.every((status) =>
      status !== undefined && isMemberOf(status, group) &&
      (status.state === "cold" || status.state === "ready")
    ) && statuses[0]!.connectedMembers.length === group.sizeVms;
}

/**
 * Gets whether a server reports that it belongs to the group in the generation of the placement.
 *
 * @param status - Status of the server.
 * @param group - Placed group.
 */
export function isMemberOf(status: EngineStatus, group: PlacedGroup): boolean {
  return status.state !== "empty" && status.groupId === group.groupId &&
    status.generation === group.generation;
}

/** Plans the groups of one fabric domain. Performs no I/O. */
export class DomainPlanner {
  readonly #input: DomainPlanInput;
  readonly #groupByVm: Record<string, string>;
  readonly #groups: Record<string, PlacedGroup>;
  readonly #vms: ReadonlyMap<string, Vm>;
  #lastGeneration: number;
  #loadSlots: number;

  constructor(input: DomainPlanInput) {
    this.#input = input;
    this.#groupByVm = { ...input.placement.groupByVm };
    this.#groups = { ...input.placement.groups };
    // An engine may have received a higher generation than the placement contains, for example after the placement object was restored to an earlier version.
    this.#lastGeneration = Math.max(
      input.placement.lastGeneration,
      ...[...input.healthByVm.values()].map((v) => v.status?.generation ?? 0),
    );
    this.#loadSlots = input.loadSlots;
    this.#vms = new Map(input.vms.map((vm) => [vm.name, vm]));
  }

  /** Computes the next placement of the domain. */
  plan(): DomainPlan {
    // If every server of the domain is lost, the network may be partitioned between this planner and the domain while its groups still serve other daemons, so the groups stay as they are.
    if (this.#isUnreachable()) {
      return this.#createPlan();
    }
    this.#updateLoadedGroups();
    this.#removeDrainedGroups();
    this.#repairBrokenGroups();
    for (const model of this.#getModelNames()) {
      this.#resumeDrainingGroups(model);
      this.#addGroups(model);
      this.#drainGroups(model);
    }
    return this.#createPlan();
  }

  #createPlan(): DomainPlan {
    const { placement, healthByVm } = this.#input;
    const nextPlacement = updateLostVms({
      fabricDomain: placement.fabricDomain,
      zone: placement.zone,
      lastGeneration: this.#lastGeneration,
      groupByVm: this.#groupByVm,
      groups: this.#groups,
    }, healthByVm);
    const currentPlacement = { ...placement, lostVms: placement.lostVms ?? [] };
    return {
      placement: nextPlacement,
      isChanged: !isSamePlacement(currentPlacement, nextPlacement),
    };
  }

  /** Gets whether the domain has listed servers, and every listed and every placed server is lost. */
  #isUnreachable(): boolean {
    const names = [...this.#vms.keys(), ...Object.keys(this.#groupByVm)];
    return this.#vms.size > 0 &&
      names.every((name) => this.#input.healthByVm.get(name)?.isLost === true);
  }

  /** Gets the names of the models in the configuration, then those of removed models that still have groups. */
  #getModelNames(): string[] {
    const names = this.#input.document.models.map((m) => m.name);
    const removedNames = Object.values(this.#groups).map((g) => g.model)
      .filter((name) => !names.includes(name));
    return [...names, ...new Set(removedNames)];
  }

  #getModel(name: string): ModelConfig | undefined {
    return this.#input.document.models.find((m) => m.name === name);
  }

  #getMembers(group: PlacedGroup): string[] {
    return getGroupMembers(
      {
        ...this.#input.placement,
        groupByVm: this.#groupByVm,
        groups: this.#groups,
      },
      group.groupId,
    );
  }

  #getGroupsOfModel(model: string): PlacedGroup[] {
    return Object.values(this.#groups).filter((g) => g.model === model);
  }

  #updateLoadedGroups(): void {
    for (const group of Object.values(this.#groups)) {
      const statuses = this.#getMembers(group)
        .map((name) => this.#input.healthByVm.get(name)?.status);
      if (group.phase === "loading" && isLoaded(group, statuses)) {
        this.#groups[group.groupId] = { ...group, phase: "serving" };
      }
    }
  }

  #removeDrainedGroups(): void {
    for (const group of Object.values(this.#groups)) {
      if (
        group.phase === "draining" &&
        this.#input.idleGroupIds.has(group.groupId)
      ) {
        this.#removeGroup(group);
      }
    }
  }

  #removeGroup(group: PlacedGroup): void {
    for (const name of this.#getMembers(group)) {
      delete this.#groupByVm[name];
    }
    delete this.#groups[group.groupId];
    // The unload orders for the members need a higher generation, which is the fencing token, than the group's.
    this.#lastGeneration++;
  }

  #repairBrokenGroups(): void {
    for (const group of Object.values(this.#groups)) {
      if (this.#isBroken(group)) {
        this.#repairGroup(group);
      }
    }
  }

  /** Gets whether a member is lost or has left the generation of the group: in a loading group it reports a higher generation, otherwise it reports another group or generation, or that it is loading. */
  #isBroken(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => {
      const health = this.#input.healthByVm.get(name);
      if (health === undefined) {
        return false;
      }
      const { status } = health;
      const hasLeftGroup = status !== undefined &&
        (group.phase === "loading"
          ? status.generation > group.generation
          : !isMemberOf(status, group) || status.state === "loading");
      return health.isLost || hasLeftGroup;
    });
  }

  /** Repairs a broken group: forms a new generation from its surviving members and free servers, or removes the group if it cannot be completed or is not needed. */
  #repairGroup(group: PlacedGroup): void {
    const model = this.#getModel(group.model);
    if (this.#hasUnconfirmedLoss(group)) {
      return;
    }
    const survivors = this.#getMembers(group)
      .filter((name) => this.#isAvailable(name));
    const freeVms = this.#getFreeVms();
    const shouldRepair = group.phase !== "draining" && this.#input.zoneOpen &&
      model !== undefined && !isOutdated(group, model) &&
      survivors.length + freeVms.length >= group.sizeVms &&
      this.#countHealthyGroups(group.model) <
        this.#getDesiredCount(group.model);
    if (!shouldRepair) {
      this.#removeGroup(group);
      return;
    }
    // A group that was loading already occupies a load slot.
    if (group.phase === "loading" || this.#loadSlots > 0) {
      this.#loadSlots -= group.phase === "loading" ? 0 : 1;
      this.#replaceMembers(group, [...survivors, ...freeVms]);
    }
  }

  #replaceMembers(group: PlacedGroup, candidates: readonly string[]): void {
    for (const name of this.#getMembers(group)) {
      delete this.#groupByVm[name];
    }
    const members = candidates.slice(0, group.sizeVms);
    members.forEach((name) => this.#groupByVm[name] = group.groupId);
    this.#groups[group.groupId] = {
      ...group,
      generation: ++this.#lastGeneration,
      phase: "loading",
      leader: members.includes(group.leader) ? group.leader : members[0],
    };
  }

  #getDesiredCount(model: string): number {
    return this.#input.desiredGroupCounts.get(model) ?? 0;
  }

  /** Counts the groups of a model that are neither broken nor draining nor due for replacement. */
  #countHealthyGroups(model: string): number {
    return this.#getGroupsOfModel(model)
      .filter((g) => !this.#isBroken(g) && this.#isKept(g)).length;
  }

  /** Gets whether a group is not draining and not due for replacement. A group is due for replacement when it is outdated or has a leaving member. */
  #isKept(group: PlacedGroup): boolean {
    return group.phase !== "draining" && !this.#hasLeavingMember(group) &&
      !isOutdated(group, this.#getModel(group.model));
  }

  #hasLeavingMember(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => this.#isLeaving(name));
  }

  /** Gets whether a server is listed as leaving or is drained by the configuration. */
  #isLeaving(name: string): boolean {
    return this.#vms.get(name)?.state === "leaving" ||
      this.#input.document.drainedVms.includes(name);
  }

  /** Gets whether a server responds and is neither leaving nor backed off. It need not be listed, since the VM list lags. */
  #isAvailable(name: string): boolean {
    const health = this.#input.healthByVm.get(name);
    return !this.#isLeaving(name) && health?.status !== undefined &&
      !health.isLost && !health.isBackedOff;
  }

  #isListedAndAvailable(name: string): boolean {
    return this.#vms.get(name)?.state === "live" && this.#isAvailable(name);
  }

  /** Gets whether a member of the group has no status although its loss is not confirmed yet. */
  #hasUnconfirmedLoss(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => {
      const health = this.#input.healthByVm.get(name);
      return health === undefined ||
        (health.status === undefined && !health.isLost);
    });
  }

  /** Gets the available listed servers that belong to no group, sorted by name. */
  #getFreeVms(): string[] {
    return [...this.#vms.keys()]
      .filter((name) =>
        this.#groupByVm[name] === undefined && this.#isListedAndAvailable(name)
      )
      .sort();
  }

  /** Sets draining groups that have not been unloaded back to serving when the desired number of groups requires them. */
  #resumeDrainingGroups(model: string): void {
    for (const group of this.#getGroupsOfModel(model)) {
      const resumedGroup: PlacedGroup = { ...group, phase: "serving" };
      if (
        group.phase === "draining" && this.#input.zoneOpen &&
        this.#isKept(resumedGroup) &&
        this.#countHealthyGroups(model) < this.#getDesiredCount(model)
      ) {
        this.#groups[group.groupId] = resumedGroup;
      }
    }
  }

  #addGroups(modelName: string): void {
    const model = this.#getModel(modelName);
    if (model === undefined || !this.#input.zoneOpen) {
      return;
    }
    let missingCount = this.#getDesiredCount(modelName) -
      this.#countHealthyGroups(modelName) -
      this.#countPendingRepairs(modelName);
    const freeVms = this.#getFreeVms();
    while (
      missingCount > 0 && this.#loadSlots > 0 &&
      freeVms.length >= model.groupSizeVms
    ) {
      this.#addGroup(model, freeVms.splice(0, model.groupSizeVms));
      this.#loadSlots--;
      missingCount--;
    }
  }

  /** Counts the broken groups that remain to be repaired, for example because no load slot is free. */
  #countPendingRepairs(model: string): number {
    return this.#getGroupsOfModel(model)
      .filter((g) => this.#isBroken(g) && this.#isKept(g)).length;
  }

  #addGroup(model: ModelConfig, members: readonly string[]): void {
    const { fabricDomain, zone } = this.#input.placement;
    const generation = ++this.#lastGeneration;
    const groupId = `${fabricDomain}-${generation}`;
    members.forEach((name) => this.#groupByVm[name] = groupId);
    this.#groups[groupId] = {
      groupId,
      model: model.name,
      modelVersion: model.version,
      zone,
      fabricDomain,
      generation,
      phase: "loading",
      leader: members[0],
      sizeVms: model.groupSizeVms,
      adapters: model.adapters,
    };
  }

  #drainGroups(model: string): void {
    if (!this.#input.zoneTakesNewWork) {
      this.#getGroupsOfModel(model).forEach((g) => this.#drainGroup(g));
      return;
    }
    // The zone is about to be taken out: its groups keep serving while other zones load the groups that take over.
    if (!this.#input.zoneOpen) {
      return;
    }
    this.#drainLeavingGroups(model);
    this.#drainOutdatedGroups(model);
    this.#drainSurplusGroups(model);
  }

  /** Starts to drain a serving group. Removes a loading group at once, since it serves no requests. */
  #drainGroup(group: PlacedGroup): void {
    if (group.phase === "loading") {
      this.#removeGroup(group);
    } else if (group.phase === "serving") {
      this.#groups[group.groupId] = { ...group, phase: "draining" };
    }
  }

  /** Drains the groups with a leaving member once they are replaced or cannot be replaced. */
  #drainLeavingGroups(model: string): void {
    for (const group of this.#getGroupsOfModel(model)) {
      if (this.#hasLeavingMember(group) && this.#isReplacementDone(model)) {
        this.#drainGroup(group);
      }
    }
  }

  /** Gets whether the desired number of groups serve without those due for replacement, or no replacement is loading and too few servers are free to form one. */
  #isReplacementDone(model: string): boolean {
    const groupSizeVms = this.#getModel(model)?.groupSizeVms ?? 1;
    const servingCount = this.#getGroupsOfModel(model)
      .filter((g) => g.phase === "serving" && this.#isKept(g)).length;
    const hasLoadingGroup = this.#getGroupsOfModel(model)
      .some((g) => g.phase === "loading" && this.#isKept(g));
    return servingCount >= this.#getDesiredCount(model) ||
      (!hasLoadingGroup && this.#getFreeVms().length < groupSizeVms);
  }

  /** Drains the outdated groups: all of them if the model is removed or not desired here, otherwise the loading ones and at most one serving group at a time. */
  #drainOutdatedGroups(modelName: string): void {
    const model = this.#getModel(modelName);
    const outdatedGroups = this.#getGroupsOfModel(modelName)
      .filter((g) => g.phase !== "draining" && isOutdated(g, model));
    if (model === undefined || this.#getDesiredCount(modelName) === 0) {
      outdatedGroups.forEach((g) => this.#drainGroup(g));
      return;
    }
    const loadingGroups = outdatedGroups.filter((g) => g.phase === "loading");
    loadingGroups.forEach((g) => this.#drainGroup(g));
    const candidate = outdatedGroups.find((g) => g.phase === "serving");
    const hasUnsettledGroup = this.#getGroupsOfModel(modelName)
      .some((g) => g.phase !== "serving" || this.#isBroken(g));
    const hasSurplusGroup =
      this.#countHealthyGroups(modelName) + outdatedGroups.length >
        this.#getDesiredCount(modelName);
    const hasVmsForGroup = this.#getFreeVms().length >= model.groupSizeVms;
    if (
      candidate !== undefined && !hasUnsettledGroup &&
      (hasSurplusGroup || !hasVmsForGroup) &&
      this.#input.isReplacementTurn(modelName)
    ) {
      this.#drainGroup(candidate);
    }
  }

  /** Drains the groups above the desired number: loading groups first, then those with the highest generations. */
  #drainSurplusGroups(model: string): void {
    const keptGroups = this.#getGroupsOfModel(model).filter((g) =>
      this.#isKept(g)
    );
    keptGroups.sort((a, b) =>
      Number(b.phase === "loading") - Number(a.phase === "loading") ||
      b.generation - a.generation
    );
    const surplusCount = keptGroups.length - this.#getDesiredCount(model);
    keptGroups.slice(0, Math.max(0, surplusCount)).forEach((g) =>
      this.#drainGroup(g)
    );
  }
}

/**
 * Plans the groups of one fabric domain.
 *
 * @param input - Configuration, servers with their health, and the current placement.
 * @example
 * ```ts
 * const { placement, changed } = planDomain(input);
 * ```
 */
export function planDomain(input: DomainPlanInput): DomainPlan {
  return new DomainPlanner(input).plan();
}

function isSamePlacement(a: DomainPlacement, b: DomainPlacement): boolean {
  return a.lastGeneration === b.lastGeneration &&
    JSON.stringify(a.lostVms) === JSON.stringify(b.lostVms) &&
    JSON.stringify(Object.entries(a.groupByVm).sort()) ===
      JSON.stringify(Object.entries(b.groupByVm).sort()) &&
    JSON.stringify(a.groups) === JSON.stringify(b.groups);
}
