import type { BackendTarget } from "../../connection/backend_transport.ts";
import type {
  GroupOrder,
  GroupOrderClient,
  GroupOrderOutcome,
} from "../../connection/group_order_client.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  ModelServing,
  RoutedService,
} from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendReport, BackendServer } from "./backend_server.ts";
import { getMembershipKey, type GroupTable } from "./group_table.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";
import {
  type FleetPlan,
  type GroupFormation,
  planFleet,
  type PlannedGroup,
  type PlannedServer,
  type ServerPreparation,
} from "./replica_planner.ts";

const PLAN_INTERVAL_MS = 100;
const REPORT_TIMEOUT_MS = 500;
/** Time between two status requests to a server whose order is in progress, in milliseconds. */
const POLL_INTERVAL_MS = 100;
/** Time beyond the usual one after which an order that is in progress is given up, in milliseconds. */
const ORDER_SLACK_MS = 2_000;
/** Generations of one term, which leaves room for every order that a term can see. */
const GENERATIONS_PER_TERM = 100_000;
/** Time after which a server whose order failed is ordered again, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;

/** Parts that the task works with. */
export interface ReplicaTaskOptions {
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly orders: GroupOrderClient;
  readonly lease: PlannerLeaseHolder;
  readonly logger: Logger;
  /** Lists the services with engines. */
  listEngineServices(): RoutedService[];
  getExcludedZones(): ReadonlySet<string>;
}

/** Forms groups, replaces lost ones and prepares spare servers, while this daemon holds the planner's lease. */
export class ReplicaTask {
  readonly #options: ReplicaTaskOptions;
  /** Servers with an order in progress. */
  readonly #busy = new Map<string, "load" | "order">();
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #lastModels = new Map<string, string>();
  readonly #closing = new Set<string>();
  readonly #forming = new Map<string, PlannedGroup>();
  #generation = 0;
  #term = 0;

  constructor(options: ReplicaTaskOptions) {
    this.#options = options;
  }

  /** Plans until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(PLAN_INTERVAL_MS, signal)) {
      const term = this.#options.lease.getTerm();
      if (term === undefined || !this.#options.directory.isListed) {
        continue;
      }
      if (term !== this.#term) {
        this.#term = term;
        this.#generation = term * GENERATIONS_PER_TERM;
      }
      for (const service of this.#options.listEngineServices()) {
        this.#planService(service);
      }
    }
  }

  #planService(service: RoutedService): void {
    const { directory } = this.#options;
    const servers = directory.listServers(service.name);
    this.#observeModels(servers);
    this.#closeBroken(servers);
    const plan = planFleet({
      engine: service.engine!,
      servers: servers.filter(({ domain }) => domain !== undefined)
        .map((server) => this.#describeServer(server, servers)),
      groups: [...this.#forming.values()],
    });
    this.#applyPlan(service, plan);
  }

  #applyPlan(service: RoutedService, plan: FleetPlan): void {
    for (const formation of plan.formations) {
      this.#runFormation(service, formation).catch((error: unknown) => {
        this.#options.logger.write("error", "formation-failed", {
          model: formation.model,
          message: String(error),
        });
      });
    }
    for (const preparation of plan.preparations) {
      this.#runPreparation(service, preparation).catch((error: unknown) => {
        this.#options.logger.write("error", "preparation-failed", {
          server: preparation.serverId,
          message: String(error),
        });
      });
    }
  }

  /** A server that is ready in a group has loaded that group's model, whoever ordered it. */
  #observeModels(servers: readonly BackendServer[]): void {
    for (const server of servers) {
      const { membership } = server;
      if (
        membership !== undefined && membership.state !== "joining" &&
        server.loadedModels.length > 0
      ) {
        this.#lastModels.set(getLifeKey(server), server.loadedModels[0]);
      }
    }
  }

  #describeServer(
    server: BackendServer,
    servers: readonly BackendServer[],
  ): PlannedServer {
    return {
      id: server.id,
      domain: server.domain!,
      zone: server.zone,
      stagedModels: server.stagedModels,
      lastModel: this.#lastModels.get(getLifeKey(server)),
      isFree: this.#isFree(server, servers),
      isLoading: this.#busy.get(server.id) === "load",
    };
  }

  #isFree(server: BackendServer, servers: readonly BackendServer[]): boolean {
    const isPaused = (this.#pausedUntilMs.get(server.id) ?? 0) >
      performance.now();
    if (
      server.isDraining || this.#busy.has(server.id) || isPaused ||
      this.#options.getExcludedZones().has(server.zone)
    ) {
      return false;
    }
    const { membership } = server;
    if (membership === undefined || membership.state === "broken") {
      return true;
    }
    if (membership.state === "joining") {
      return false;
    }
    const key = getMembershipKey(server);
    const head = servers.find((other) =>
      getMembershipKey(other) === key && other.membership?.rank === 0
    );
    // A head that left the list is gone, since this daemon could not close it otherwise.
    return head === undefined || head.membership?.state === "ready" ||
      head.membership?.state === "broken";
  }

  /** Closes the groups that have lost a member or will lose one, so that the other members can join the next group. */
  #closeBroken(servers: readonly BackendServer[]): void {
    const { groups } = this.#options;
    for (const head of servers) {
      const key = getMembershipKey(head);
      if (
        key === undefined || head.membership?.rank !== 0 ||
        head.membership.state !== "open" || groups.isServing(key) ||
        this.#closing.has(key) || this.#forming.has(key) ||
        this.#options.getExcludedZones().has(head.zone)
      ) {
        continue;
      }
      const isLeaving = servers.some((server) =>
        server.isDraining && getMembershipKey(server) === key
      );
      this.#closing.add(key);
      this.#runClosing(head, isLeaving ? "finish" : "abort").catch(
        (error: unknown) => {
          this.#options.logger.write("error", "closing-failed", {
            group: key,
            message: String(error),
          });
        },
      ).finally(() => this.#closing.delete(key));
    }
  }

  async #runClosing(
    head: BackendServer,
    inFlight: "finish" | "abort",
  ): Promise<void> {
    const { groupName, generation } = head.membership!;
    const outcome = await this.#sendOrder(head, {
      action: "close",
      groupName,
      generation,
      inFlight,
    });
    if (outcome === "unknown" || outcome === "gone") {
      await delay(FAILURE_PAUSE_MS);
      return;
    }
    await this.#waitFor(
      head,
      ORDER_SLACK_MS,
      ({ membership }) =>
        membership?.groupName !== groupName || membership.state !== "open" &&
          membership.state !== "closing",
    );
  }

  /** Lets a server load a model into a group of its own that never opens, so that it joins the next group at once. */
  async #runPreparation(
    service: RoutedService,
    preparation: ServerPreparation,
  ): Promise<void> {
    const server = this.#options.directory.findServer(preparation.serverId);
    const model = findModel(service, preparation.model);
    if (server === undefined || model === undefined) {
      return;
    }
    this.#busy.set(server.id, preparation.needsLoad ? "load" : "order");
    try {
      const generation = this.#createGeneration();
      const groupName = `spare-${generation}`;
      const outcome = await this.#sendOrder(server, {
        action: "join",
        groupName,
        generation,
        model: model.name,
        members: [server.id],
      });
      const isReady = isTaken(outcome) && await this.#waitUntilReady(
        server,
        { groupName, generation },
        getPreparationMs(service, model, preparation.needsLoad),
      );
      if (!isReady) {
        this.#pause(server.id);
      }
    } finally {
      this.#busy.delete(server.id);
    }
  }

  async #runFormation(
    service: RoutedService,
    formation: GroupFormation,
  ): Promise<void> {
    const { directory, logger } = this.#options;
    const model = findModel(service, formation.model)!;
    const members = formation.members.map((id) => directory.findServer(id));
    const generation = this.#createGeneration();
    const groupName = `group-${generation}`;
    const key = `${groupName}/${generation}`;
    const { domain } = formation;
    this.#forming.set(key, { key, model: model.name, domain });
    formation.members.forEach((id) => this.#busy.set(id, "order"));
    const startedAtMs = performance.now();
    let outcome = "not-ready";
    try {
      const joined = await Promise.all(
        members.map((member) =>
          member !== undefined && this.#joinMember(service, member, {
            action: "join",
            groupName,
            generation,
            model: model.name,
            members: formation.members,
          })
        ),
      );
      if (joined.every(Boolean)) {
        outcome = await this.#openGroup(service, members[0]!, {
          groupName,
          generation,
        });
      }
      if (outcome !== "open") {
        formation.members.forEach((id) => this.#pause(id));
      }
    } finally {
      this.#forming.delete(key);
      formation.members.forEach((id) => this.#busy.delete(id));
      logger.write("info", "group-formed", {
        group: key,
        model: model.name,
        domain,
        members: formation.members.join(","),
        outcome,
        tookMs: Math.round(performance.now() - startedAtMs),
      });
    }
  }

  async #joinMember(
    service: RoutedService,
    member: BackendServer,
    order: Extract<GroupOrder, { action: "join" }>,
  ): Promise<boolean> {
    const outcome = await this.#sendOrder(member, order);
    const model = findModel(service, order.model)!;
    return isTaken(outcome) &&
      await this.#waitUntilReady(member, order, model.warmMs);
  }

  async #openGroup(
    service: RoutedService,
    head: BackendServer,
    group: { groupName: string; generation: number },
  ): Promise<string> {
    const outcome = await this.#sendOrder(head, { action: "open", ...group });
    if (!isTaken(outcome)) {
      return outcome;
    }
    const isOpen = await this.#waitFor(
      head,
      service.engine!.openMs + ORDER_SLACK_MS,
      ({ membership }) =>
        membership?.groupName === group.groupName &&
        membership.state === "open",
      service.engine!.openMs,
    );
    return isOpen ? "open" : "not-open";
  }

  #waitUntilReady(
    server: BackendServer,
    group: { groupName: string; generation: number },
    usualMs: number,
  ): Promise<boolean> {
    return this.#waitFor(server, usualMs + ORDER_SLACK_MS, (report) => {
      const { membership } = report;
      return membership?.groupName === group.groupName &&
        membership.generation === group.generation &&
        membership.state === "ready";
    });
  }

  /** Asks a server for its state until it has the one that is waited for. Its entry in the list is looked at first, which costs nothing. */
  async #waitFor(
    server: BackendServer,
    timeoutMs: number,
    hasState: (report: Pick<BackendReport, "membership">) => boolean,
    firstPollMs = POLL_INTERVAL_MS,
  ): Promise<boolean> {
    const { directory, orders } = this.#options;
    const endMs = performance.now() + timeoutMs;
    let pollAtMs = performance.now() + firstPollMs;
    let intervalMs = POLL_INTERVAL_MS;
    while (performance.now() < endMs) {
      const known = directory.findServer(server.id);
      if (known === undefined || known.startedAtMs !== server.startedAtMs) {
        return false;
      }
      if (hasState(known)) {
        return true;
      }
      if (performance.now() >= pollAtMs) {
        const report = await orders.getReport(
          getTarget(server),
          REPORT_TIMEOUT_MS,
        );
        report.ifRight((found) => directory.applyReport(server.id, found));
        intervalMs = Math.min(intervalMs * 1.5, ORDER_SLACK_MS);
        pollAtMs = performance.now() + intervalMs;
        continue;
      }
      await delay(POLL_INTERVAL_MS / 2);
    }
    return false;
  }

  async #sendOrder(
    server: BackendServer,
    order: GroupOrder,
  ): Promise<GroupOrderOutcome> {
    const { lease, orders, logger } = this.#options;
    const term = lease.getTerm();
    if (term === undefined) {
      return "unknown";
    }
    const outcome = await orders.sendOrder(getTarget(server), order, term);
    logger.write("info", "order-sent", {
      server: server.id,
      action: order.action,
      group: "groupName" in order ? order.groupName : undefined,
      model: "model" in order ? order.model : undefined,
      term,
      outcome,
    });
    if (outcome === "fenced") {
      lease.drop(`the server ${server.id} has seen a later term`);
    }
    return outcome;
  }

  #pause(serverId: string): void {
    this.#pausedUntilMs.set(serverId, performance.now() + FAILURE_PAUSE_MS);
  }

  #createGeneration(): number {
    return ++this.#generation;
  }
}

function isTaken(outcome: GroupOrderOutcome): boolean {
  // An order without an answer may have been taken, which the server's state shows.
  return outcome === "begun" || outcome === "done" || outcome === "unknown";
}

function findModel(
  service: RoutedService,
  name: string,
): ModelServing | undefined {
  return service.engine?.models.find((model) => model.name === name);
}

/** Gets the longest time of a preparation: loads share the weight store's rate. */
function getPreparationMs(
  service: RoutedService,
  model: ModelServing,
  needsLoad: boolean,
): number {
  return needsLoad
    ? model.loadMs * Math.max(1, service.engine!.concurrentLoads)
    : model.warmMs;
}

function getTarget(server: BackendServer): BackendTarget {
  return { serverId: server.id, address: server.address };
}

function getLifeKey(server: BackendServer): string {
  return `${server.id}@${server.startedAtMs}`;
}
