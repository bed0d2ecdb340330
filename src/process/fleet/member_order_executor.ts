import { type Either, Left } from "purify-ts";
import type { BackendTarget } from "../../connection/backend_transport.ts";
import type {
  GroupOrder,
  GroupOrderClient,
  GroupOrderOutcome,
  ServerHealth,
} from "../../connection/group_order_client.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type {
  BackendReport,
  BackendServer,
  GroupMembership,
} from "../../shared/backend_server.ts";
import { CloseRecords } from "./close_records.ts";
import { OtherProcessError } from "./other_process_error.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";

/** Time limit for a status report of a server, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Initial interval of the status requests to a server with an order in progress, in milliseconds. */
const INITIAL_POLL_INTERVAL_MS = 100;
/** Factor by which the polling interval grows with each status request, as every request has a cost. */
const POLL_BACKOFF_FACTOR = 1.5;
/** Upper limit of the polling interval, in milliseconds. */
const MAX_POLL_INTERVAL_MS = 2_000;
/** Upper limit of the polling interval while a group closes, in milliseconds. Its requests take about a second, and no slot of its members is in use from their end until the planner knows it. */
const MAX_CLOSE_POLL_INTERVAL_MS = 250;
/** Interval between checks of the server's entry in the directory, in milliseconds. */
const ENTRY_CHECK_INTERVAL_MS = 50;

/** Name and generation that identify a group. */
export interface GroupIdentity {
  readonly groupName: string;
  readonly generation: number;
}

/** Options of a wait for a server's state. */
export interface WaitOptions {
  readonly timeoutMs: number;
  /** Time before the first status request, in milliseconds. */
  readonly firstPollMs?: number;
  /** Upper limit of the polling interval, in milliseconds; defaults to `MAX_POLL_INTERVAL_MS`. */
  readonly maxPollIntervalMs?: number;
  /** Whether the wait goes on while the server is not in the list; defaults to false. */
  readonly includesRemoved?: boolean;
  /** Called when a server that is to join a group has left another one. */
  onLeft?(): void;
  /** Called when the outcome of a close is known. */
  onCloseSent?(): void;
}

/** Sends orders to individual group members under the planner lease, and waits until the server's state shows the effect of each order. */
export class MemberOrderExecutor {
  readonly #directory: BackendDirectory;
  readonly #orders: GroupOrderClient;
  readonly #lease: PlannerLeaseHolder;
  readonly #getHealthPath: (service: string) => string | undefined;
  readonly #logger: Logger;
  /** Lease term in which the state of a server was last requested, by server id and start time. */
  readonly #refreshedTerms = new Map<string, number | undefined>();
  /** Highest generation of a join without a response, by server id and start time, until the server is known to have received it or a later one. */
  readonly #unansweredJoins = new Map<string, number>();
  /** Generation of the last group for which a server got a leave without a response, by server id and start time, until the server is known to have left that group. */
  readonly #unansweredLeaves = new Map<string, number>();
  readonly #closes = new CloseRecords();

  constructor(options: {
    directory: BackendDirectory;
    orders: GroupOrderClient;
    lease: PlannerLeaseHolder;
    /** Gets the path of the health check of a service; undefined when it has none. */
    getHealthPath?(service: string): string | undefined;
    logger: Logger;
  }) {
    this.#directory = options.directory;
    this.#orders = options.orders;
    this.#lease = options.lease;
    this.#getHealthPath = (service) => options.getHealthPath?.(service);
    this.#logger = options.logger;
  }

  /**
   * Orders a server to join a group, and waits until it is ready. A server that may still belong to another group is ordered to leave that one first: the known state of the other group's head can be out of date, and a server must not be in two groups.
   *
   * @param server - Current directory entry of the server.
   * @param group - Group with its model and the ids of its members.
   * @param options - Limits of the wait until the server is ready.
   * @returns Whether the server is ready in the group.
   */
  async joinGroup(
    server: BackendServer,
    group: GroupIdentity & { model: string; members: readonly string[] },
    options: WaitOptions,
  ): Promise<boolean> {
    if (!await this.#confirmMembership(server)) {
      return false;
    }
    const entry = this.#directory.findServer(server.id);
    if (entry === undefined) {
      return false;
    }
    const { membership } = entry;
    const mustLeave = membership !== undefined && !isSpareGroup(membership);
    if (mustLeave) {
      if (!await this.#leaveGroup(server, membership)) {
        return false;
      }
      options.onLeft?.();
    }
    const outcome = await this.#sendOrder(server, {
      action: "join",
      ...group,
    });
    this.#recordJoin(server, group.generation, outcome);
    const isAccepted = outcome === "begun" || outcome === "done";
    const isAlive = isAccepted || await this.refreshServer(server);
    if (!isPossiblyAccepted(outcome) || !isAlive) {
      return false;
    }
    return await this.#waitForState(
      server,
      options,
      (currentMembership) =>
        currentMembership?.groupName === group.groupName &&
        currentMembership.generation === group.generation &&
        currentMembership.state === "ready",
    );
  }

  /**
   * Orders the head of a group whose members are all ready to accept requests, and waits until the group is open.
   *
   * @param head - Head of the group.
   * @param group - Group.
   * @param options - Limits of the wait until the group is open.
   */
  async openGroup(
    head: BackendServer,
    group: GroupIdentity,
    options: WaitOptions,
  ): Promise<boolean> {
    const { groupName, generation } = group;
    return await this.#runOrder(
      head,
      { action: "open", groupName, generation },
      options,
      (currentMembership) =>
        currentMembership?.groupName === groupName &&
        currentMembership.state === "open",
    );
  }

  /**
   * Orders the head of a group to close it once the requests in flight have ended, and waits until the group is closed. A head whose entry was removed is asked at its last address.
   *
   * @param head - Head of the group.
   * @param group - Group.
   * @param options - Limits of the wait until the group is closed.
   */
  async closeGroup(
    head: BackendServer,
    group: GroupIdentity,
    options: WaitOptions,
  ): Promise<boolean> {
    const { groupName, generation } = group;
    const term = this.#lease.getTerm();
    const sentAtMs = performance.now();
    const outcome = await this.#sendOrder(head, {
      action: "close",
      groupName,
      generation,
      inFlight: "finish",
    });
    if (term !== undefined) {
      this.#closes.record(getProcessKey(head), {
        generation,
        term,
        sentAtMs,
        outcome,
      });
      this.#forgetEndedProcesses();
    }
    options.onCloseSent?.();
    return isPossiblyAccepted(outcome) && await this.#waitForState(
      head,
      {
        ...options,
        maxPollIntervalMs: MAX_CLOSE_POLL_INTERVAL_MS,
        includesRemoved: true,
      },
      (currentMembership) =>
        currentMembership?.groupName !== groupName ||
        (currentMembership.state !== "open" &&
          currentMembership.state !== "closing"),
    );
  }

  /**
   * Finds the outcome of the last close that was sent in this term to the head of a group.
   *
   * @param head - Head of the group.
   * @param sinceMs - Monotonic time before which a close does not count, in milliseconds.
   */
  findCloseOutcome(
    head: BackendServer,
    sinceMs = Number.NEGATIVE_INFINITY,
  ): GroupOrderOutcome | undefined {
    return this.#closes.findOutcome(getProcessKey(head), {
      generation: head.membership?.generation,
      term: this.#lease.getTerm(),
      sinceMs,
    });
  }

  /**
   * Gets whether a join that was sent to a server may still be carried out. The server refuses it once it has received a join of a later generation.
   *
   * @param server - Current directory entry of the server.
   * @param afterGeneration - Generation up to which a join does not count.
   */
  hasUnansweredJoin(server: BackendServer, afterGeneration: number): boolean {
    const key = getProcessKey(server);
    const generation = this.#unansweredJoins.get(key) ?? 0;
    if ((server.membership?.generation ?? 0) >= generation) {
      this.#unansweredJoins.delete(key);
      return false;
    }
    return generation > afterGeneration;
  }

  /**
   * Gets whether a leave that was sent to a server may still be carried out in its present group. The server refuses it in any other group.
   *
   * @param server - Current directory entry of the server.
   */
  hasUnansweredLeave(server: BackendServer): boolean {
    const key = getProcessKey(server);
    const generation = this.#unansweredLeaves.get(key);
    if (generation === undefined) {
      return false;
    }
    if (server.membership?.generation === generation) {
      return true;
    }
    this.#unansweredLeaves.delete(key);
    return false;
  }

  #recordJoin(
    server: BackendServer,
    generation: number,
    outcome: GroupOrderOutcome,
  ): void {
    const key = getProcessKey(server);
    const unansweredGeneration = this.#unansweredJoins.get(key) ?? 0;
    if (outcome === "unknown") {
      this.#unansweredJoins.set(
        key,
        Math.max(generation, unansweredGeneration),
      );
      this.#forgetEndedProcesses();
    } else if (
      (outcome === "begun" || outcome === "done") &&
      generation >= unansweredGeneration
    ) {
      this.#unansweredJoins.delete(key);
    }
  }

  #forgetEndedProcesses(): void {
    const servers = [
      ...this.#directory.listServers(),
      ...this.#directory.listRemovedServers(),
    ];
    const keys = new Set(servers.map(getProcessKey));
    this.#closes.retainProcesses(keys);
    for (const orders of [this.#unansweredJoins, this.#unansweredLeaves]) {
      for (const key of orders.keys()) {
        if (!keys.has(key)) {
          orders.delete(key);
        }
      }
    }
  }

  /** Requests a server's state once in each term, since the server list may not show the orders of an earlier planner yet. Returns whether the server has responded in this term. */
  async #confirmMembership(server: BackendServer): Promise<boolean> {
    const key = getProcessKey(server);
    const term = this.#lease.getTerm();
    if (this.#refreshedTerms.get(key) !== term) {
      if (!await this.refreshServer(server)) {
        return false;
      }
      this.#refreshedTerms.set(key, term);
    }
    return true;
  }

  async #leaveGroup(
    server: BackendServer,
    { groupName, generation }: GroupMembership,
  ): Promise<boolean> {
    const outcome = await this.#sendOrder(server, {
      action: "leave",
      groupName,
      generation,
    });
    if (outcome === "begun" || outcome === "done") {
      this.#unansweredLeaves.delete(getProcessKey(server));
      return true;
    }
    if (outcome === "unknown") {
      this.#unansweredLeaves.set(getProcessKey(server), generation);
      this.#forgetEndedProcesses();
    }
    await this.refreshServer(server);
    return false;
  }

  /** Sends an order and, unless it is refused, waits until the server's state shows its effect. */
  async #runOrder(
    server: BackendServer,
    order: GroupOrder,
    options: WaitOptions,
    hasState: (membership: GroupMembership | undefined) => boolean,
  ): Promise<boolean> {
    const outcome = await this.#sendOrder(server, order);
    return isPossiblyAccepted(outcome) &&
      await this.#waitForState(server, options, hasState);
  }

  async #sendOrder(
    server: BackendServer,
    order: GroupOrder,
  ): Promise<GroupOrderOutcome> {
    const term = this.#lease.getTerm();
    if (term === undefined) {
      return "unfit";
    }
    const outcome = await this.#orders.sendOrder(
      getTarget(server),
      order,
      term,
    );
    this.#logger.write("info", "order-sent", {
      server: server.id,
      action: order.action,
      group: "groupName" in order ? order.groupName : undefined,
      model: "model" in order ? order.model : undefined,
      term,
      outcome,
    });
    if (outcome === "fenced") {
      this.#lease.drop(`backend server ${server.id} received a later term`);
    }
    return outcome;
  }

  /**
   * Requests a server's state and applies it to the directory.
   *
   * @param server - Current directory entry of the server.
   * @returns Whether the server responded.
   */
  async refreshServer(server: BackendServer): Promise<boolean> {
    return (await this.requestState(server)).isRight();
  }

  /**
   * Requests a server's state and applies it to the directory. The state of another process that uses the server's address says nothing about the server, except that its process has ended.
   *
   * @param server - Current directory entry of the server.
   * @returns The state, or the reason why there is none.
   */
  async requestState(
    server: BackendServer,
  ): Promise<Either<Error, BackendReport>> {
    const report = await this.#orders.getReport(
      getTarget(server),
      REPORT_TIMEOUT_MS,
    );
    return report.chain((state) => {
      if (!isSameProcess(server, state)) {
        return Left(new OtherProcessError(server.id));
      }
      this.#directory.applyReport(server.id, state);
      return report;
    });
  }

  /** Requests what a server states about its own health. */
  async requestHealth(server: BackendServer): Promise<ServerHealth> {
    const path = this.#getHealthPath(server.service);
    return path === undefined ? "unknown" : await this.#orders.getHealth(
      getTarget(server),
      path,
      REPORT_TIMEOUT_MS,
    );
  }

  /** Waits until a server has the expected state. Checks the server's entry in the directory often, which causes no request, and requests the state at a growing interval. */
  async #waitForState(
    server: BackendServer,
    options: WaitOptions,
    hasState: (membership: GroupMembership | undefined) => boolean,
  ): Promise<boolean> {
    const endMs = performance.now() + options.timeoutMs;
    let intervalMs = INITIAL_POLL_INTERVAL_MS;
    let pollAtMs = performance.now() + (options.firstPollMs ?? intervalMs);
    while (performance.now() < endMs) {
      const entry = this.#directory.findServer(server.id) ??
        (options.includesRemoved
          ? this.#directory.findRemovedServer(server.id)
          : undefined);
      if (entry === undefined || entry.startedAtMs !== server.startedAtMs) {
        return false;
      }
      if (hasState(entry.membership)) {
        return true;
      }
      if (performance.now() >= pollAtMs) {
        await this.refreshServer(server);
        intervalMs = Math.min(
          intervalMs * POLL_BACKOFF_FACTOR,
          options.maxPollIntervalMs ?? MAX_POLL_INTERVAL_MS,
        );
        pollAtMs = performance.now() + intervalMs;
        continue;
      }
      await delay(ENTRY_CHECK_INTERVAL_MS);
    }
    return false;
  }
}

/** Prefix of the names of groups that prepare one server and never open. */
const SPARE_GROUP_PREFIX = "spare-";

/** Creates the name of a group that prepares one server and never opens. */
export function createSpareGroupName(generation: number): string {
  return `${SPARE_GROUP_PREFIX}${generation}`;
}

/** Gets whether a group prepares one server and never opens. */
export function isSpareGroup({ groupName }: { groupName: string }): boolean {
  return groupName.startsWith(SPARE_GROUP_PREFIX);
}

/** Gets whether the server accepted an order or may have accepted it. An order without a response may have taken effect, which the server's state shows. */
function isPossiblyAccepted(outcome: GroupOrderOutcome): boolean {
  return outcome === "begun" || outcome === "done" || outcome === "unknown";
}

/** Returns a key that identifies the current process of a server. */
export function getProcessKey({ id, startedAtMs }: BackendServer): string {
  return `${id}@${startedAtMs}`;
}

/** Gets whether a report may come from the process of an entry; a start time of 0 is not known. */
function isSameProcess(
  entry: BackendServer,
  { startedAtMs }: BackendReport,
): boolean {
  return startedAtMs === 0 || entry.startedAtMs === 0 ||
    startedAtMs === entry.startedAtMs;
}

function getTarget(server: BackendServer): BackendTarget {
  return { serverId: server.id, address: server.address };
}
