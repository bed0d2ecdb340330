import type { Logger } from "../../shared/logger.ts";
import type { ServedModel } from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";

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
  /** Reason for each recorded loss, by group key. */
  readonly #lossReasons = new Map<string, string>();
  readonly #listeners = new Set<() => void>();
  #groups = new Map<string, ReplicaGroup>();
  #excludedZones: ReadonlySet<string> = new Set();

  constructor(options: {
    directory: BackendDirectory;
    logger: Logger;
    findModel: ModelLookup;
  }) {
    this.#directory = options.directory;
    this.#logger = options.logger;
    this.#findModel = options.findModel;
    this.#directory.onChange(() => this.refresh());
  }

  /** Lists the groups that accept requests for a model. */
  listServingGroups(service: string, model: string): ReplicaGroup[] {
    return this.listAll().filter((group) =>
      group.service === service && group.model === model
    );
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
    if (this.#lossReasons.has(key) || !this.#collectMembers().has(key)) {
      return false;
    }
    this.#lossReasons.set(key, reason);
    this.#logger.write("info", "group-lost", { group: key, reason });
    this.refresh();
    return true;
  }

  /** Rebuilds the table from the directory, and calls the listeners. */
  refresh(): void {
    const members = this.#collectMembers();
    this.#forgetDissolvedGroups(members);
    const groups = new Map<string, ReplicaGroup>();
    for (const [key, servers] of members) {
      const group = this.#createGroup(key, servers);
      if (group !== undefined) {
        groups.set(key, group);
      }
    }
    this.#recordServingChanges(groups);
    this.#groups = groups;
    this.#listeners.forEach((listener) => listener());
  }

  #collectMembers(): Map<string, BackendServer[]> {
    return collectMembers(this.#directory.listServers());
  }

  #createGroup(
    key: string,
    servers: readonly BackendServer[],
  ): ReplicaGroup | undefined {
    const head = servers.find(({ membership }) => membership?.rank === 0);
    if (head?.membership?.state !== "open" || this.#lossReasons.has(key)) {
      return undefined;
    }
    const model = head.loadedModels[0];
    const groupSize = this.#findModel(head.service, model)?.groupSize;
    const isComplete = servers.length === groupSize &&
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

  #forgetDissolvedGroups(members: ReadonlyMap<string, unknown>): void {
    for (const key of this.#lossReasons.keys()) {
      if (!members.has(key)) {
        this.#lossReasons.delete(key);
      }
    }
  }

  #recordServingChanges(groups: ReadonlyMap<string, ReplicaGroup>): void {
    for (const [key, group] of groups) {
      if (!this.#groups.has(key)) {
        this.#logger.write("info", "group-serving", {
          group: key,
          model: group.model,
          head: group.head.id,
          zone: group.head.zone,
        });
      }
    }
    for (const key of this.#groups.keys()) {
      if (!groups.has(key)) {
        this.#logger.write("info", "group-not-serving", { group: key });
      }
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
      members.set(key, [...(members.get(key) ?? []), server]);
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
