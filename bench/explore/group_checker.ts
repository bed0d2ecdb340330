import type { ServerGroup, SimulatedServer } from "./simulated_server.ts";

/**
 * Rule that a path can break.
 *
 * - `partial-group`: a head began to serve although one of its members had never been ready in the group.
 * - `two-groups`: a server took a join of another group while the head of its group was open or closing.
 * - `left-open-group`: a server left its group on an order while the head was open or closing and no member was missing.
 * - `second-holder`: a daemon sent an order of a term that another daemon holds, or of an earlier term than a server had received, although it was connected to the store.
 * - `not-recovered`: after the faults had ended, not all groups that can be complete were open in time.
 * - `task-failed`: a task of a daemon ended with an error.
 */
export type RuleName =
  | "partial-group"
  | "two-groups"
  | "left-open-group"
  | "second-holder"
  | "not-recovered"
  | "task-failed";

/** Broken rule. */
export interface Violation {
  readonly rule: RuleName;
  readonly message: string;
}

/** Checks the rules on groups, orders and terms as the servers see them. */
export class GroupChecker {
  readonly #listServers: () => readonly SimulatedServer[];
  readonly violations: Violation[] = [];
  /** Servers that have been ready in a group, as server id and group. */
  readonly #readyMembers = new Set<string>();
  /** Daemon that sends the orders of each term. */
  readonly #daemonsByTerm = new Map<number, string>();
  #highestTerm = 0;

  constructor(options: { listServers(): readonly SimulatedServer[] }) {
    this.#listServers = options.listServers;
  }

  /** Records a broken rule. */
  record(rule: RuleName, message: string): void {
    this.violations.push({ rule, message });
  }

  /** Gets whether a head serves a group of which a member has ended, left or is silent. */
  isStanding(head: SimulatedServer): boolean {
    const { group } = head;
    return group !== undefined && isServing(group) &&
      !group.members.every((id) => this.#isInGroup(id, group));
  }

  #isInGroup(id: string, group: ServerGroup): boolean {
    const server = this.#findRunning(id);
    return server !== undefined && !server.isSilent &&
      server.group !== undefined && isSameGroup(server.group, group);
  }

  #findRunning(id: string): SimulatedServer | undefined {
    return this.#listServers().find((server) =>
      server.isRunning && server.id === id
    );
  }

  /** Takes note that a server's state has changed. */
  recordChange({ id, group }: SimulatedServer): void {
    if (group?.state === "ready") {
      this.#readyMembers.add(describeMember(id, group));
    }
  }

  /** Checks that all members of a group have been ready when its head begins to serve. */
  checkOpen({ id, group }: SimulatedServer): void {
    const missing = group!.members.filter((member) =>
      !this.#readyMembers.has(describeMember(member, group!))
    );
    if (missing.length > 0) {
      this.record(
        "partial-group",
        `${id} serves ${
          group!.name
        } although ${missing.join()} never was ready in it`,
      );
    }
  }

  /** Checks that a server may leave its group. */
  checkGroupEnd(server: SimulatedServer, cause: "join" | "leave"): void {
    const { group, id } = server;
    const head = this.#findRunning(group?.members[0] ?? "");
    const isHeadServing = group !== undefined && head?.group !== undefined &&
      isSameGroup(head.group, group) && isServing(head.group);
    if (!isHeadServing) {
      return;
    }
    const state = `while its head ${head.id} is ${head.group!.state}`;
    if (cause === "join") {
      this.record(
        "two-groups",
        `${id} joins another group than ${group.name} ${state}`,
      );
    } else if (!this.isStanding(head)) {
      this.record("left-open-group", `${id} leaves ${group.name} ${state}`);
    }
  }

  /** Checks that a daemon may send an order of a term. */
  checkSentOrder(
    daemon: string,
    term: number,
    { wasCut }: { wasCut: boolean },
  ): void {
    const holder = this.#daemonsByTerm.get(term) ?? daemon;
    this.#daemonsByTerm.set(term, holder);
    if (holder !== daemon) {
      this.record(
        "second-holder",
        `${daemon} and ${holder} send orders of term ${term}`,
      );
    }
    // A daemon without a connection to the store goes on until a server fences it.
    if (term < this.#highestTerm && !wasCut) {
      this.record(
        "second-holder",
        `${daemon} sends an order of term ${term} although a server has received one of term ${this.#highestTerm}`,
      );
    }
  }

  /** Takes note that a server has received an order of a term. */
  recordReceivedTerm(term: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
  }

  /** Counts the groups of a size that are open and miss no member. */
  countOpenGroups(size: number): number {
    return this.#listServers().filter((server) =>
      server.isRunning && server.rank === 0 && server.group?.state === "open" &&
      server.group.members.length === size && !this.isStanding(server)
    ).length;
  }
}

function isServing({ state }: ServerGroup): boolean {
  return state === "open" || state === "closing";
}

function isSameGroup(a: ServerGroup, b: ServerGroup): boolean {
  return a.name === b.name && a.generation === b.generation;
}

function describeMember(
  id: string,
  { name, generation, members }: ServerGroup,
): string {
  return `${id} ${name}/${generation} ${members.join()}`;
}
