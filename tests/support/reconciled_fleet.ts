import { type Either, Left, Right } from "purify-ts";
import type { BackendTarget } from "../../src/connection/backend_transport.ts";
import {
  type GroupOrder,
  type GroupOrderClient,
  type GroupOrderOutcome,
  ReportTimeoutError,
  type ServerHealth,
} from "../../src/connection/group_order_client.ts";
import { BackendDirectory } from "../../src/process/fleet/backend_directory.ts";
import type { GroupLoads } from "../../src/process/fleet/group_loads.ts";
import { GroupTable } from "../../src/process/fleet/group_table.ts";
import { MemberOrderExecutor } from "../../src/process/fleet/member_order_executor.ts";
import type { PlannerLeaseHolder } from "../../src/process/fleet/planner_lease_holder.ts";
import { ReplicaReconciler } from "../../src/process/fleet/replica_reconciler.ts";
import { ConfirmedGroups } from "../../src/process/registration/confirmed_groups.ts";
import { MissingMemberTask } from "../../src/process/registration/missing_member_task.ts";
import { MissingMembers } from "../../src/process/registration/missing_members.ts";
import type {
  BackendReport,
  BackendServer,
  GroupMembership,
} from "../../src/shared/backend_server.ts";
import { NullLogger } from "../../src/shared/logger.ts";
import type { RoutedService } from "../../src/version/routing_config.ts";
import { createBackendServer } from "./backend_servers.ts";
import { ENGINE } from "./planned_fleet.ts";

/** Time that a join or an open takes, in milliseconds. */
const ORDER_MS = 50;
/** Time after which a call to a silent server ends, in milliseconds. */
const SILENCE_TIMEOUT_MS = 300;
/** Time after which an order that gets no response ends, in milliseconds. */
const ORDER_TIMEOUT_MS = 500;
/** Time of a call to a server that responds or refuses the connection, in milliseconds. */
const ROUND_TRIP_MS = 1;

/** Server of a `ReconciledFleet`. */
export interface FleetServer {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly domain: string;
  model: string | undefined;
  group:
    | (GroupMembership & { readonly memberIds: readonly string[] })
    | undefined;
  highestTerm: number;
  /** Whether the list contains the server. */
  isListed: boolean;
  isDraining: boolean;
  condition: "running" | "silent" | "ended";
  /** Whether requests are in flight at the group whose head this server is. */
  isBusy: boolean;
  /** What the server states about its health; undefined when it has no health check. */
  health?: ServerHealth;
  /** Time of a call to the running server, in milliseconds. */
  responseMs: number;
}

/** Creates a service with one model whose groups have two servers. */
export function createModelService(
  change: { name?: string; model?: string; groupSize?: number } = {},
): RoutedService {
  return {
    name: change.name ?? "models",
    healthPath: "/health",
    maxConnections: 0,
    coldRequestsPerSecond: 0,
    engine: {
      ...ENGINE,
      openMs: ORDER_MS,
      models: [{
        name: change.model ?? "m",
        groupSize: change.groupSize ?? 2,
        expectedShare: 1,
        stepFactor: 1,
        loadMs: 100,
        warmMs: 100,
      }],
    },
  };
}

/** Model servers in memory, and one reconciler at a time that plans their groups. Requires a paused clock. */
export class ReconciledFleet implements GroupOrderClient {
  readonly servers = new Map<string, FleetServer>();
  readonly excludedZones = new Set<string>();
  /** Servers that left their group, or joined another one, while the head of their group served. */
  readonly interruptions: string[] = [];
  /** Number of `open` orders that heads have accepted, by group name. */
  readonly openings = new Map<string, number>();
  services: readonly RoutedService[] = [createModelService()];
  /** Returns the time until an order is carried out that gets no response, in milliseconds, or 0 for an order that is carried out at once. */
  getOrderDelayMs: (serverId: string, order: GroupOrder) => number = () => 0;
  /** Time within which requests to a removed server have to end, in milliseconds; undefined when a missing entry takes a group out of service. */
  drainNoticeMs: number | undefined;
  /** Age of the planner's last notice, in milliseconds. */
  plannerAgeMs: number | undefined = 0;
  #directory = new BackendDirectory({ logger: new NullLogger() });
  #missingMembers: MissingMembers | undefined;
  #groups: GroupTable | undefined;
  #controller = new AbortController();
  #term = 0;
  #revision = 1;

  /** Table of the groups at the current planner. */
  get groups(): GroupTable {
    return this.#groups!;
  }

  /** Adds servers that have no group yet. */
  addServers(count: number, server: Partial<FleetServer> = {}): void {
    for (let i = 0; i < count; i++) {
      const id = `${server.domain ?? "d0"}-${server.service ?? "models"}-${i}`;
      this.servers.set(id, {
        id,
        service: "models",
        zone: "z1",
        domain: "d0",
        model: "m",
        group: undefined,
        highestTerm: 0,
        isListed: true,
        isDraining: false,
        condition: "running",
        isBusy: false,
        responseMs: ROUND_TRIP_MS,
        ...server,
      });
      this.#publishEntry(id);
    }
  }

  /**
   * Lets another daemon become the planner.
   *
   * @param options - Whether the daemon has started just now, and so knows nothing but the present list of servers. Another daemon knows the servers that were removed from it.
   */
  startPlanner({ isNew = true }: { isNew?: boolean } = {}): void {
    this.stopPlanner();
    this.#term++;
    const { signal } = this.#controller = new AbortController();
    const logger = new NullLogger();
    if (isNew || this.#groups === undefined) {
      this.#startDaemon();
    }
    const directory = this.#directory;
    const term = this.#term;
    const lease = {
      getTerm: () => signal.aborted ? undefined : term,
      drop: () => {},
    } as unknown as PlannerLeaseHolder;
    const orders = new MemberOrderExecutor({
      directory,
      orders: this,
      lease,
      getHealthPath: () => "/health",
      logger,
    });
    const reconciler = new ReplicaReconciler({
      directory,
      groups: this.groups,
      orders,
      missingMembers: this.#missingMembers,
      lease,
      loads: { hasTraffic: () => true } as GroupLoads,
      logger,
      listEngineServices: () => [...this.services],
      getExcludedZones: () => this.excludedZones,
    });
    void reconciler.run(signal);
    if (this.#missingMembers !== undefined) {
      const task = new MissingMemberTask({
        missingMembers: this.#missingMembers,
        groups: this.groups,
        orders,
        isPlanner: () => !signal.aborted,
        announceLoss: () => {},
      });
      void task.run(signal);
    }
  }

  /** Ends the planner, whose orders in progress are not continued. */
  stopPlanner(): void {
    this.#controller.abort();
  }

  /** Changes a server, and its entry in the list. */
  changeServer(id: string, change: Partial<FleetServer>): void {
    Object.assign(this.servers.get(id)!, change);
    this.#publishEntry(id);
  }

  /** Assumes that the list brings a state of a group's member that is out of date. */
  assumeOutdatedEntry(id: string, state: GroupMembership["state"]): void {
    const server = this.servers.get(id)!;
    const { group } = server;
    server.group = { ...group!, state };
    this.#publishEntry(id);
    server.group = group;
  }

  /** Ends the requests in flight at a head. */
  finishRequests(id: string): void {
    const server = this.servers.get(id)!;
    server.isBusy = false;
    if (server.group?.state === "closing") {
      this.#setState(server, "ready");
    }
  }

  /** Lists the members of the groups of a service whose head is open. */
  listOpenGroups(service = "models"): string[][] {
    return [...this.servers.values()].filter((server) =>
      server.service === service && server.group?.rank === 0 &&
      server.group.state === "open"
    ).map(({ group }) => [...group!.memberIds]);
  }

  async sendOrder(
    { serverId }: BackendTarget,
    order: GroupOrder,
    term: number,
  ): Promise<GroupOrderOutcome> {
    const server = this.servers.get(serverId)!;
    await this.#waitForResponse(server);
    if (server.condition !== "running") {
      return "unknown";
    }
    const delayMs = this.getOrderDelayMs(serverId, order);
    if (delayMs > 0) {
      setTimeout(() => this.#acceptOrder(server, order, term), delayMs);
      await new Promise((resolve) => setTimeout(resolve, ORDER_TIMEOUT_MS));
      return "unknown";
    }
    return this.#acceptOrder(server, order, term);
  }

  #acceptOrder(
    server: FleetServer,
    order: GroupOrder,
    term: number,
  ): GroupOrderOutcome {
    if (term < server.highestTerm) {
      return "fenced";
    }
    server.highestTerm = term;
    return this.#applyOrder(server, order);
  }

  getHealth({ serverId }: BackendTarget): Promise<ServerHealth> {
    const server = this.servers.get(serverId)!;
    return Promise.resolve(
      server.condition === "running" ? server.health ?? "unknown" : "unknown",
    );
  }

  async getReport(
    { serverId }: BackendTarget,
  ): Promise<Either<Error, BackendReport>> {
    const server = this.servers.get(serverId)!;
    await this.#waitForResponse(server);
    if (server.condition === "silent") {
      return Left(
        new ReportTimeoutError("No response", { hasConnected: false }),
      );
    }
    if (server.condition === "ended") {
      return Left(new Error("The connection was refused"));
    }
    const { startedAtMs, membership, stagedModels, loadedModels } = this
      .#createEntry(server);
    return Right({
      startedAtMs,
      membership,
      stagedModels,
      loadedModels,
      isBusy: false,
      runningRequests: 0,
      waitingRequests: 0,
      heldTokens: 0,
      slowness: 1,
    });
  }

  dispose(): void {
    this.stopPlanner();
  }

  #startDaemon(): void {
    const logger = new NullLogger();
    const directory = new BackendDirectory({ logger });
    this.#directory = directory;
    this.#missingMembers = this.drainNoticeMs === undefined
      ? undefined
      : new MissingMembers({
        drainNoticeMs: this.drainNoticeMs,
        getPlannerAgeMs: () => this.plannerAgeMs,
        getListConfirmedAtMs: () => performance.now(),
        confirmedGroups: new ConfirmedGroups({ onChange: () => {} }),
        logger,
      });
    this.#groups = new GroupTable({
      directory,
      logger,
      missingMembers: this.#missingMembers,
      findModel: (service, model) =>
        this.services.find(({ name }) => name === service)?.engine?.models
          .find(({ name }) => name === model),
    });
    directory.applyChange({
      changed: new Map(
        [...this.servers.values()].filter(({ isListed }) => isListed)
          .map((server) => [server.id, this.#createEntry(server)]),
      ),
      removed: [],
      revision: ++this.#revision,
      changeRevision: this.#revision,
      outageMs: 0,
      isSnapshot: true,
    });
  }

  async #waitForResponse(
    { condition, responseMs }: FleetServer,
  ): Promise<void> {
    const durationMs = condition === "silent" ? SILENCE_TIMEOUT_MS : responseMs;
    await new Promise((resolve) => setTimeout(resolve, durationMs));
  }

  #applyOrder(server: FleetServer, order: GroupOrder): GroupOrderOutcome {
    const { group } = server;
    if (order.action === "stage") {
      return "unfit";
    }
    const { groupName, generation } = order;
    if (order.action === "join") {
      if (generation < (group?.generation ?? 0)) {
        return "fenced";
      }
      this.#recordInterruption(server);
      server.model = order.model;
      server.group = {
        groupName,
        generation,
        rank: order.members.indexOf(server.id),
        state: "joining",
        memberIds: order.members,
      };
      this.#publishEntry(server.id);
      this.#scheduleState(server, "ready");
      return "begun";
    }
    if (group?.groupName !== groupName || group.generation !== generation) {
      return "unfit";
    }
    switch (order.action) {
      case "leave":
        this.#recordInterruption(server);
        server.group = undefined;
        this.#publishEntry(server.id);
        return "done";
      case "close":
        if (group.state === "open" || group.state === "closing") {
          this.#setState(server, server.isBusy ? "closing" : "ready");
        }
        return "done";
      case "open":
        if (group.state !== "ready") {
          return group.state === "open" ? "done" : "unfit";
        }
        this.openings.set(groupName, (this.openings.get(groupName) ?? 0) + 1);
        this.#scheduleState(server, "open");
        return "begun";
    }
  }

  #recordInterruption({ id, group }: FleetServer): void {
    const head = this.servers.get(group?.memberIds[0] ?? "");
    const isServing = head?.condition !== "ended" &&
      head?.group?.groupName === group?.groupName &&
      (head?.group?.state === "open" || head?.group?.state === "closing");
    const hasEnded = group?.memberIds.some((memberId) =>
      this.servers.get(memberId)?.condition === "ended"
    );
    if (isServing && !hasEnded) {
      this.interruptions.push(id);
    }
  }

  #scheduleState(server: FleetServer, state: GroupMembership["state"]): void {
    const { group } = server;
    setTimeout(() => {
      if (server.group === group) {
        this.#setState(server, state);
      }
    }, ORDER_MS);
  }

  #setState(server: FleetServer, state: GroupMembership["state"]): void {
    server.group = { ...server.group!, state };
    this.#publishEntry(server.id);
  }

  #publishEntry(id: string): void {
    const server = this.servers.get(id)!;
    const revision = ++this.#revision;
    this.#directory.applyChange({
      changed: server.isListed
        ? new Map([[id, this.#createEntry(server)]])
        : new Map(),
      removed: server.isListed ? [] : [id],
      revision,
      changeRevision: revision,
      outageMs: 0,
      isSnapshot: false,
    });
  }

  #createEntry(server: FleetServer): BackendServer {
    const { id, service, zone, domain, isDraining, model, group } = server;
    const models = model === undefined ? [] : [model];
    return createBackendServer({
      id,
      service,
      zone,
      domain,
      isDraining,
      entryVersion: this.#revision,
      address: `10.0.0.1:${1_000 + [...this.servers.keys()].indexOf(id)}`,
      stagedModels: models,
      loadedModels: models,
      membership: group === undefined ? undefined : {
        groupName: group.groupName,
        generation: group.generation,
        rank: group.rank,
        state: group.state,
      },
    });
  }
}
