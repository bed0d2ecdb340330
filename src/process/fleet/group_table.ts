import type { Logger } from "../../shared/logger.ts";
import type { ServedModel } from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { MissingMembers } from "../registration/missing_members.ts";
import { getFormedSize } from "./group_name.ts";

/** Time for which a suspicion holds without being confirmed, in milliseconds; longer than the time between two checks of a suspected group. */
const SUSPICION_PERIOD_MS = 1_000;

/** Replica of a model, served by a group of backend servers. */
export interface ReplicaGroup {
  /** Name and generation; never reused for another group. */
  readonly key: string;
  readonly name: string;
  readonly generation: number;
  readonly service: string;
  readonly model: string;
  /** Member that accepts the group's requests. */
  readonly head: BackendServer;
  /** Members in the order of their ranks. */
  readonly members: readonly BackendServer[];
}

/** Finds the configuration of a service's model. */
export type ModelLookup = (
  service: string,
  model: string,
) => ServedModel | undefined;

/** Table of the groups that accept requests, derived from the reported memberships of the backend servers. */
export class GroupTable {
  readonly #directory: BackendDirectory;
  readonly #logger: Logger;
  readonly #findModel: ModelLookup;
  /** Members with which groups stay in service although their entries were removed; undefined when a missing entry takes a group out of service. */
  readonly #missingMembers: MissingMembers | undefined;
  /** Reason for each recorded loss, by group key. */
  readonly #lossReasons = new Map<string, string>();
  /** Monotonic time until which a group with a silent member gets no requests, in milliseconds, by group key. */
  readonly #suspectedUntilMs = new Map<string, number>();
  /** Monotonic time at which all members of a group last responded to this daemon, in milliseconds, by group key. */
  readonly #confirmedAtMs = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  readonly #groups = new Map<string, ReplicaGroup>();
  /** Servers that report to be members, by group key and server id. */
  readonly #members = new Map<string, Map<string, BackendServer>>();
  /** Key of the group that a server reports, by server id. */
  readonly #keysByServer = new Map<string, string>();
  /** Groups that accept requests by service and model; cleared with each change. */
  readonly #groupsByModel = new Map<string, readonly ReplicaGroup[]>();
  #excludedZones: ReadonlySet<string> = new Set();

  constructor(options: {
    directory: BackendDirectory;
    logger: Logger;
    findModel: ModelLookup;
    missingMembers?: MissingMembers;
  }) {
    this.#directory = options.directory;
    this.#logger = options.logger;
    this.#findModel = options.findModel;
    this.#missingMembers = options.missingMembers;
    this.#directory.onChange((changedIds) => this.#applyServers(changedIds));
  }

  /** Lists the groups that accept requests for a model. */
  listServingGroups(service: string, model: string): readonly ReplicaGroup[] {
    const key = `${service} ${model}`;
    let groups = this.#groupsByModel.get(key);
    if (groups === undefined) {
      groups = this.listAll().filter((group) =>
        group.service === service && group.model === model
      );
      this.#groupsByModel.set(key, groups);
    }
    return groups;
  }

  /** Lists all groups that accept requests. */
  listAll(): ReplicaGroup[] {
    return [...this.#groups.values()];
  }

  /** Gets whether a group accepts requests. */
  isServing(key: string): boolean {
    return this.#groups.has(key);
  }

  /** Gets whether the loss of a member was recorded for a group. */
  isLost(key: string): boolean {
    return this.#lossReasons.has(key);
  }

  /** Lists the keys of the groups whose loss was recorded. */
  listLostKeys(): string[] {
    return [...this.#lossReasons.keys()];
  }

  /** Lists the keys of the groups with a silent member. */
  listSuspectedKeys(): string[] {
    return [...this.#suspectedUntilMs.keys()];
  }

  /** Registers a listener that is called after each refresh of the table. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Sets the zones whose backend servers get no requests, and refreshes the table. */
  setExcludedZones(zones: ReadonlySet<string>): void {
    this.#excludedZones = zones;
    this.refresh();
  }

  /**
   * Records that a group has lost a member, so that the group gets no further request.
   *
   * @param key - Key of the group.
   * @param reason - Evidence of the loss, for the log.
   * @returns Whether the group is in the directory and its loss was not recorded before.
   */
  recordLoss(key: string, reason: string): boolean {
    if (this.#lossReasons.has(key) || !this.#members.has(key)) {
      return false;
    }
    this.#lossReasons.set(key, reason);
    this.#suspectedUntilMs.delete(key);
    this.#missingMembers?.removeGroup(key);
    this.#logger.write("info", "group-lost", { group: key, reason });
    this.#refreshGroups([key]);
    return true;
  }

  /**
   * Records that a member of a group is silent, so that the group gets no further request for a moment.
   *
   * @param key - Key of the group.
   * @param reason - Evidence, for the log.
   * @returns Whether the group is in the directory and was not suspected before.
   */
  recordSuspicion(key: string, reason: string): boolean {
    if (this.#lossReasons.has(key) || !this.#members.has(key)) {
      return false;
    }
    const isNew = !this.#suspectedUntilMs.has(key);
    this.#suspectedUntilMs.set(key, performance.now() + SUSPICION_PERIOD_MS);
    if (isNew) {
      this.#logger.write("info", "group-suspected", { group: key, reason });
      this.#refreshGroups([key]);
    }
    return isNew;
  }

  /**
   * Records that another daemon suspects a group, unless the members of the group have responded to this daemon since the suspicion may have begun: a report that was relayed would suspect a group anew that serves again.
   *
   * @returns Whether the group is in the directory and was not suspected before.
   */
  recordReportedSuspicion(key: string, source: string): boolean {
    const confirmedAtMs = this.#confirmedAtMs.get(key) ??
      Number.NEGATIVE_INFINITY;
    const isOutdated = performance.now() - confirmedAtMs < SUSPICION_PERIOD_MS;
    return !isOutdated &&
      this.recordSuspicion(key, `reported by ${source}`);
  }

  /** Records that all members of a group have responded, which lets the group get requests again. */
  confirmGroup(key: string): void {
    if (this.#members.has(key)) {
      this.#confirmedAtMs.set(key, performance.now());
    }
    this.#removeSuspicion(key);
  }

  /** Lets a suspected group get requests again. */
  #removeSuspicion(key: string): void {
    if (this.#suspectedUntilMs.delete(key)) {
      this.#refreshGroups([key]);
    }
  }

  /** Lets the groups get requests again whose suspicion nobody has confirmed for `SUSPICION_PERIOD_MS`. */
  removeExpiredSuspicions(): void {
    const nowMs = performance.now();
    for (const [key, untilMs] of this.#suspectedUntilMs) {
      if (untilMs <= nowMs) {
        this.#removeSuspicion(key);
      }
    }
  }

  /** Takes the groups out of service whose missing members are not allowed any more. */
  removeExpiredMissing(): void {
    const keys = this.#missingMembers?.sweep() ?? [];
    if (keys.length > 0) {
      this.#refreshGroups(keys);
    }
  }

  /** Rebuilds all groups, and calls the listeners. */
  refresh(): void {
    this.#refreshGroups([...this.#members.keys()]);
  }

  #applyServers(changedIds: ReadonlySet<string>): void {
    const changedKeys = new Set<string>();
    for (const id of changedIds) {
      const server = this.#directory.findServer(id);
      const previousKey = this.#keysByServer.get(id);
      const key = server === undefined ? undefined : getMembershipKey(server);
      if (server !== undefined) {
        this.#missingMembers?.removeServer(id);
      } else if (previousKey !== undefined) {
        this.#recordMissing(previousKey, id);
      }
      if (previousKey !== undefined && previousKey !== key) {
        this.#removeMember(previousKey, id);
        changedKeys.add(previousKey);
      }
      if (server !== undefined && key !== undefined) {
        this.#addMember(key, server);
        changedKeys.add(key);
      }
    }
    this.#refreshGroups([...changedKeys]);
  }

  #addMember(key: string, server: BackendServer): void {
    const members = this.#members.get(key) ?? new Map<string, BackendServer>();
    members.set(server.id, server);
    this.#members.set(key, members);
    this.#keysByServer.set(server.id, key);
  }

  /** Records a member whose entry was removed while its group was in service. A removal after an outage of the store has no known time, and a group without its head's entry is out of service. */
  #recordMissing(key: string, id: string): void {
    const member = this.#members.get(key)?.get(id);
    const removed = this.#directory.findRemovedServer(id);
    if (
      member !== undefined && this.#groups.has(key) &&
      member.membership?.rank !== 0 && removed !== undefined &&
      this.#directory.hasRemovalTime(id) &&
      removed.startedAtMs === member.startedAtMs &&
      getMembershipKey(removed) === key
    ) {
      this.#missingMembers?.record(key, removed);
    }
  }

  #removeMember(key: string, id: string): void {
    const members = this.#members.get(key);
    members?.delete(id);
    this.#keysByServer.delete(id);
    if (members?.size === 0) {
      this.#members.delete(key);
      this.#lossReasons.delete(key);
      this.#suspectedUntilMs.delete(key);
      this.#confirmedAtMs.delete(key);
      this.#missingMembers?.removeGroup(key);
    }
  }

  /** Rebuilds groups whose members may have changed, and calls the listeners. */
  #refreshGroups(keys: readonly string[]): void {
    this.#groupsByModel.clear();
    for (const key of keys) {
      const members = this.#members.get(key);
      const group = members === undefined ? undefined : this.#createGroup(key, [
        ...members.values(),
        ...this.#missingMembers?.listAllowed(key) ?? [],
      ]);
      this.#recordServingChange(key, group);
      if (group === undefined) {
        this.#groups.delete(key);
      } else {
        this.#groups.set(key, group);
      }
    }
    this.#listeners.forEach((listener) => listener());
  }

  #createGroup(
    key: string,
    servers: readonly BackendServer[],
  ): ReplicaGroup | undefined {
    const head = servers.find(({ membership }) => membership?.rank === 0);
    if (
      head?.membership?.state !== "open" || this.#lossReasons.has(key) ||
      this.#suspectedUntilMs.has(key)
    ) {
      return undefined;
    }
    const model = head.loadedModels[0];
    const groupSize = this.#findModel(head.service, model)?.groupSize;
    const formedSize = getFormedSize(head.membership.groupName) ?? groupSize;
    const ranks = new Set(servers.map(({ membership }) => membership?.rank));
    const isComplete = formedSize === groupSize &&
      servers.length === formedSize && ranks.size === formedSize &&
      servers.every(({ isDraining }) => !isDraining);
    if (
      !isComplete || servers.some(({ zone }) => this.#excludedZones.has(zone))
    ) {
      return undefined;
    }
    return {
      key,
      name: head.membership.groupName,
      generation: head.membership.generation,
      service: head.service,
      model,
      head,
      members: [...servers].sort((a, b) =>
        (a.membership?.rank ?? 0) - (b.membership?.rank ?? 0)
      ),
    };
  }

  #recordServingChange(key: string, group: ReplicaGroup | undefined): void {
    const wasServing = this.#groups.has(key);
    if (group !== undefined && !wasServing) {
      this.#logger.write("info", "group-serving", {
        group: key,
        model: group.model,
        head: group.head.id,
        zone: group.head.zone,
      });
    } else if (group === undefined && wasServing) {
      this.#logger.write("info", "group-not-serving", { group: key });
    }
  }
}

/** Collects the backend servers that belong to a group, by the key of their group. */
export function collectMembers(
  servers: readonly BackendServer[],
): Map<string, BackendServer[]> {
  const members = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const key = getMembershipKey(server);
    if (key !== undefined) {
      const groupMembers = members.get(key);
      if (groupMembers === undefined) {
        members.set(key, [server]);
      } else {
        groupMembers.push(server);
      }
    }
  }
  return members;
}

/** Gets the key of the group that a backend server belongs to; undefined when it belongs to none. */
export function getMembershipKey(server: BackendServer): string | undefined {
  const { membership } = server;
  return membership === undefined
    ? undefined
    : `${membership.groupName}/${membership.generation}`;
}
