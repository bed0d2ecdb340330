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

/** What the plan of one fabric domain is computed from. */
export interface DomainPlanInput {
  readonly document: ConfigDocument;
  /** Listed backend servers of the domain. */
  readonly vms: readonly Vm[];
  /** What is known about the domain's servers, by name. */
  readonly members: ReadonlyMap<string, ServerHealth>;
  readonly placement: DomainPlacement;
  /** Groups that the domain has to hold, by model. */
  readonly desiredGroupCounts: ReadonlyMap<string, number>;
  /** Draining groups that hold no request any more. */
  readonly idleGroupIds: ReadonlySet<string>;
  /** Number of groups whose load may still start. */
  readonly loadSlots: number;
  /** Whether it is the domain's turn to drain an outdated group of a model. */
  readonly isReplacementTurn: (model: string) => boolean;
  /** Whether groups of the domain's zone count; false when it is out of service or about to leave. */
  readonly zoneOpen: boolean;
  /** Whether the domain's zone takes new work now. */
  readonly zoneTakesNewWork: boolean;
}

/** Future state of one fabric domain. */
export interface DomainPlan {
  readonly placement: DomainPlacement;
  /** Whether the placement differs from the current one. */
  readonly changed: boolean;
}

/** Creates the placement of a fabric domain without groups. */
export function createEmptyPlacement(
  fabricDomain: string,
  zone: string,
): DomainPlacement {
  return { fabricDomain, zone, lastGeneration: 0, groupByVm: {}, groups: {} };
}

/**
 * Gets the placement with the losses that are confirmed now.
 *
 * @param placement - Placement of a fabric domain.
 * @param members - What is known about the domain's servers, by name.
 */
export function updateLostVms(
  placement: DomainPlacement,
  members: ReadonlyMap<string, ServerHealth>,
): DomainPlacement {
  const lostVms = [...members].filter(([, view]) => view.lost)
    .map(([name]) => name).sort();
  return { ...placement, lostVms };
}

/**
 * Gets whether a group loads another version, other adapters or another size than the configuration declares.
 *
 * @param group - Placed group.
 * @param model - Declared model, or undefined when it was removed.
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
 * Gets whether all members report the group and generation of the placement and reach each other.
 *
 * @param group - Placed group.
 * @param statuses - Status of each member, the leader first.
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
 * Gets whether a server reports a group in the placement's generation.
 *
 * @param status - Status of the server.
 * @param group - Placed group.
 */
export function isMemberOf(status: EngineStatus, group: PlacedGroup): boolean {
  return status.state !== "empty" && status.groupId === group.groupId &&
    status.generation === group.generation;
}

/** Plans the groups of one fabric domain, without input or output. */
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
    // An engine may know a newer order than the placement, for example after the object was restored.
    this.#lastGeneration = Math.max(
      input.placement.lastGeneration,
      ...[...input.members.values()].map((v) => v.status?.generation ?? 0),
    );
    this.#loadSlots = input.loadSlots;
    this.#vms = new Map(input.vms.map((vm) => [vm.name, vm]));
  }

  /** Plans the domain once. */
  plan(): DomainPlan {
    // A domain of which nothing answers may be cut off from this planner alone, while its groups serve others.
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
    const { placement, members } = this.#input;
    const next = updateLostVms({
      fabricDomain: placement.fabricDomain,
      zone: placement.zone,
      lastGeneration: this.#lastGeneration,
      groupByVm: this.#groupByVm,
      groups: this.#groups,
    }, members);
    const current = { ...placement, lostVms: placement.lostVms ?? [] };
    return {
      placement: next,
      changed: !isSamePlacement(current, next),
    };
  }

  /** Gets whether every listed and every placed server is lost. */
  #isUnreachable(): boolean {
    const names = [...this.#vms.keys(), ...Object.keys(this.#groupByVm)];
    return this.#vms.size > 0 &&
      names.every((name) => this.#input.members.get(name)?.lost === true);
  }

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
        .map((name) => this.#input.members.get(name)?.status);
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
    // Orders that free the members need a newer fencing number than the group's.
    this.#lastGeneration++;
  }

  #repairBrokenGroups(): void {
    for (const group of Object.values(this.#groups)) {
      if (this.#isBroken(group)) {
        this.#repairGroup(group);
      }
    }
  }

  #isBroken(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => {
      const view = this.#input.members.get(name);
      if (view === undefined) {
        return false;
      }
      const { status } = view;
      const hasLeftGroup = status !== undefined &&
        (group.phase === "loading"
          ? status.generation > group.generation
          : !isMemberOf(status, group) || status.state === "loading");
      return view.lost || hasLeftGroup;
    });
  }

  /** Forms a new generation of a broken group from its survivors and spares, or frees the survivors. */
  #repairGroup(group: PlacedGroup): void {
    const model = this.#getModel(group.model);
    if (this.#hasUnconfirmedLoss(group)) {
      return;
    }
    const survivors = this.#getMembers(group)
      .filter((name) => this.#isAvailable(name));
    const spares = this.#getFreeVms();
    const canRepair = group.phase !== "draining" && this.#input.zoneOpen &&
      model !== undefined && !isOutdated(group, model) &&
      survivors.length + spares.length >= group.sizeVms &&
      this.#countHealthyGroups(group.model) <
        this.#getDesiredCount(group.model);
    if (!canRepair) {
      this.#removeGroup(group);
      return;
    }
    // A group that was loading already holds a load slot.
    if (group.phase === "loading" || this.#loadSlots > 0) {
      this.#loadSlots -= group.phase === "loading" ? 0 : 1;
      this.#replaceMembers(group, [...survivors, ...spares]);
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

  /** Counts the groups that neither drain nor have to be replaced nor are broken. */
  #countHealthyGroups(model: string): number {
    return this.#getGroupsOfModel(model)
      .filter((g) => !this.#isBroken(g) && this.#isKept(g)).length;
  }

  #isKept(group: PlacedGroup): boolean {
    return group.phase !== "draining" && !this.#hasLeavingMember(group) &&
      !isOutdated(group, this.#getModel(group.model));
  }

  #hasLeavingMember(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => this.#isLeaving(name));
  }

  #isLeaving(name: string): boolean {
    return this.#vms.get(name)?.state === "leaving" ||
      this.#input.document.drainedVms.includes(name);
  }

  /** Gets whether a server answers; one that is missing from the lagging list still counts. */
  #isAvailable(name: string): boolean {
    const view = this.#input.members.get(name);
    return !this.#isLeaving(name) && view?.status !== undefined &&
      !view.lost && !view.backedOff;
  }

  #isListedAndAvailable(name: string): boolean {
    return this.#vms.get(name)?.state === "live" && this.#isAvailable(name);
  }

  #hasUnconfirmedLoss(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((name) => {
      const view = this.#input.members.get(name);
      return view === undefined || (view.status === undefined && !view.lost);
    });
  }

  #getFreeVms(): string[] {
    return [...this.#vms.keys()]
      .filter((name) =>
        this.#groupByVm[name] === undefined && this.#isListedAndAvailable(name)
      )
      .sort();
  }

  /** Returns draining groups to service when they are wanted again before they were unloaded. */
  #resumeDrainingGroups(model: string): void {
    for (const group of this.#getGroupsOfModel(model)) {
      const resumed: PlacedGroup = { ...group, phase: "serving" };
      if (
        group.phase === "draining" && this.#input.zoneOpen &&
        this.#isKept(resumed) &&
        this.#countHealthyGroups(model) < this.#getDesiredCount(model)
      ) {
        this.#groups[group.groupId] = resumed;
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

  /** Counts the broken groups that wait for a load slot. */
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
    // Before the window the groups serve on, while other zones load theirs.
    if (!this.#input.zoneOpen) {
      return;
    }
    this.#drainLeavingGroups(model);
    this.#drainOutdatedGroups(model);
    this.#drainSurplusGroups(model);
  }

  #drainGroup(group: PlacedGroup): void {
    if (group.phase === "loading") {
      this.#removeGroup(group);
    } else if (group.phase === "serving") {
      this.#groups[group.groupId] = { ...group, phase: "draining" };
    }
  }

  #drainLeavingGroups(model: string): void {
    for (const group of this.#getGroupsOfModel(model)) {
      if (this.#hasLeavingMember(group) && this.#isReplacementDone(model)) {
        this.#drainGroup(group);
      }
    }
  }

  /** Gets whether the wanted groups serve without those that have to be replaced, or no further group can be formed. */
  #isReplacementDone(model: string): boolean {
    const groupSizeVms = this.#getModel(model)?.groupSizeVms ?? 1;
    const servingCount = this.#getGroupsOfModel(model)
      .filter((g) => g.phase === "serving" && this.#isKept(g)).length;
    const hasLoadingGroup = this.#getGroupsOfModel(model)
      .some((g) => g.phase === "loading" && this.#isKept(g));
    return servingCount >= this.#getDesiredCount(model) ||
      (!hasLoadingGroup && this.#getFreeVms().length < groupSizeVms);
  }

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

  /** Drains the groups above the wanted count, those that load first. */
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
 * @param input - Configuration, VMs, statuses and the current placement.
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
