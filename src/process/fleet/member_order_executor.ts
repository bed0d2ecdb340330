import type { BackendTarget } from "../../connection/backend_transport.ts";
import type {
  GroupOrder,
  GroupOrderClient,
  GroupOrderOutcome,
} from "../../connection/group_order_client.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type {
  BackendServer,
  GroupMembership,
} from "../../shared/backend_server.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";

/** Time in which a living server answers, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Time between two status requests to a server whose order is in progress, in milliseconds. */
const INITIAL_POLL_INTERVAL_MS = 100;
/** Factor by which that time grows with each request, since each of them is priced. */
const POLL_BACKOFF_FACTOR = 1.5;
/** Longest time between two status requests, in milliseconds. */
const MAX_POLL_INTERVAL_MS = 2_000;
/** Time between two looks at the server's entry, in milliseconds. */
const ENTRY_CHECK_INTERVAL_MS = 50;

/** Group under its name and generation. */
export interface GroupIdentity {
  readonly groupName: string;
  readonly generation: number;
}

/** What a wait for a server's state is bounded by. */
export interface WaitOptions {
  readonly timeoutMs: number;
  /** Time before the first status request, in milliseconds. */
  readonly firstPollMs?: number;
}

/** Orders to single members of groups under the planner's lease, each followed until the server shows its effect. */
export class MemberOrderExecutor {
  readonly #directory: BackendDirectory;
  readonly #orders: GroupOrderClient;
  readonly #lease: PlannerLeaseHolder;
  readonly #logger: Logger;
  /** Term in which each life of a server was asked for its state. */
  readonly #refreshedTerms = new Map<string, number | undefined>();

  constructor(options: {
    directory: BackendDirectory;
    orders: GroupOrderClient;
    lease: PlannerLeaseHolder;
    logger: Logger;
  }) {
    this.#directory = options.directory;
    this.#orders = options.orders;
    this.#lease = options.lease;
    this.#logger = options.logger;
  }

  /**
   * Lets a server join a group. A server that may still belong to another one leaves it first: the state that is known of its head can be out of date, and a server must not be in two groups.
   *
   * @param server - Server as it is known.
   * @param group - Group, its model and its members.
   * @param options - Bounds of the wait until the server is ready.
   */
  async joinGroup(
    server: BackendServer,
    group: GroupIdentity & { model: string; members: readonly string[] },
    options: WaitOptions,
  ): Promise<boolean> {
    const membership = await this.#confirmMembership(server);
    const mustLeave = membership !== undefined && !isSpareGroup(membership);
    if (mustLeave && !await this.#leaveGroup(server, membership)) {
      return false;
    }
    const outcome = await this.#sendOrder(server, {
      action: "join",
      ...group,
    });
    const isAnswered = outcome === "begun" || outcome === "done";
    const isAlive = isAnswered || await this.refreshServer(server);
    if (!isPossiblyAccepted(outcome) || !isAlive) {
      return false;
    }
    return await this.#waitForState(
      server,
      options,
      (current) =>
        current?.groupName === group.groupName &&
        current.generation === group.generation && current.state === "ready",
    );
  }

  /**
   * Lets the head of a group whose members are all ready take requests.
   *
   * @param head - Head of the group.
   * @param group - Group.
   * @param options - Bounds of the wait until it is open.
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
      (current) => current?.groupName === groupName && current.state === "open",
    );
  }

  /**
   * Closes a group when its requests in flight have ended.
   *
   * @param head - Head of the group.
   * @param group - Group.
   * @param options - Bounds of the wait until it is closed.
   */
  async closeGroup(
    head: BackendServer,
    group: GroupIdentity,
    options: WaitOptions,
  ): Promise<boolean> {
    const { groupName, generation } = group;
    return await this.#runOrder(
      head,
      { action: "close", groupName, generation, inFlight: "finish" },
      options,
      (current) =>
        current?.groupName !== groupName ||
        (current.state !== "open" && current.state !== "closing"),
    );
  }

  /** Gets the group of a server; in each term it is asked once, since an earlier planner's orders may not show in the list yet. */
  async #confirmMembership(
    server: BackendServer,
  ): Promise<GroupMembership | undefined> {
    const key = `${server.id}@${server.startedAtMs}`;
    const term = this.#lease.getTerm();
    if (this.#refreshedTerms.get(key) !== term) {
      if (await this.refreshServer(server)) {
        this.#refreshedTerms.set(key, term);
      }
    }
    return this.#directory.findServer(server.id)?.membership;
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
      return true;
    }
    await this.refreshServer(server);
    return false;
  }

  /** Sends an order and, unless it is refused, waits until the server shows its effect. */
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
      this.#lease.drop(`the server ${server.id} has seen a later term`);
    }
    return outcome;
  }

  /**
   * Asks a server for its state.
   *
   * @param server - Server as it is known.
   * @returns Whether it answered.
   */
  async refreshServer(server: BackendServer): Promise<boolean> {
    const report = await this.#orders.getReport(
      getTarget(server),
      REPORT_TIMEOUT_MS,
    );
    report.ifRight((state) => this.#directory.applyReport(server.id, state));
    return report.isRight();
  }

  /** Waits until a server has a state. Its entry in the list is looked at first, which costs nothing. */
  async #waitForState(
    server: BackendServer,
    options: WaitOptions,
    hasState: (membership: GroupMembership | undefined) => boolean,
  ): Promise<boolean> {
    const endMs = performance.now() + options.timeoutMs;
    let intervalMs = INITIAL_POLL_INTERVAL_MS;
    let pollAtMs = performance.now() + (options.firstPollMs ?? intervalMs);
    while (performance.now() < endMs) {
      const entry = this.#directory.findServer(server.id);
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
          MAX_POLL_INTERVAL_MS,
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

/** An order without an answer may have been taken, which the server's state shows. */
function isPossiblyAccepted(outcome: GroupOrderOutcome): boolean {
  return outcome === "begun" || outcome === "done" || outcome === "unknown";
}

function getTarget(server: BackendServer): BackendTarget {
  return { serverId: server.id, address: server.address };
}
