import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  ModelServing,
  RoutedService,
} from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { PlannedServer } from "./fleet_state.ts";
import type { GroupLoads } from "./group_loads.ts";
import {
  collectMembers,
  getMembershipKey,
  type GroupTable,
} from "./group_table.ts";
import {
  createSpareName,
  isSpareGroup,
  type MemberOrders,
} from "./member_orders.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";
import { SurvivorCheck } from "./survivor_check.ts";
import {
  type FleetPlan,
  type GroupFormation,
  planFleet,
  type ServerPreparation,
} from "./replica_planner.ts";

const PLAN_INTERVAL_MS = 50;
/** Time between two looks at the lease while another daemon holds it, in milliseconds. */
const IDLE_INTERVAL_MS = 250;
/** Time beyond the usual one after which an order in progress is given up, in milliseconds. */
const ORDER_SLACK_MS = 2_000;
/** Longest time that a closing group takes to end its requests, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000;
/** Generations of one term, which leaves room for every order that a term can see. */
const GENERATIONS_PER_TERM = 100_000;
/** Time after which a server whose order failed is ordered again, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;
/** The same for one that did not answer, in milliseconds: several heartbeats, after which the list has dropped a dead server. */
const SILENCE_PAUSE_MS = 4_000;
/** Time for which a group has to lack a member before the others are used elsewhere, in milliseconds: entries of the list arrive in bunches. */
const INCOMPLETE_MS = 250;

/** Time without a further fabric domain in the list after which a new fleet counts as listed, in milliseconds. Models are assigned to domains once, so all domains have to be known. */
const SETTLE_MS = 300;

/** Parts that the task works with. */
export interface ReplicaTaskOptions {
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly orders: MemberOrders;
  readonly lease: PlannerLeaseHolder;
  readonly loads: GroupLoads;
  readonly logger: Logger;
  /** Lists the services with engines. */
  listEngineServices(): RoutedService[];
  getExcludedZones(): ReadonlySet<string>;
}

/** Group as its members report it. */
interface ReportedGroup {
  readonly key: string;
  readonly members: readonly BackendServer[];
  readonly head: BackendServer | undefined;
  /** Whether it has all members that its model needs. */
  readonly isWhole: boolean;
}

/** Forms groups, replaces lost ones and prepares spare servers, while this daemon holds the planner's lease. */
export class ReplicaTask {
  readonly #options: ReplicaTaskOptions;
  /** Servers with an order in progress. */
  readonly #busy = new Map<string, "load" | "order">();
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #lastModels = new Map<string, string>();
  readonly #incompleteSinceMs = new Map<string, number>();
  readonly #survivors: SurvivorCheck;
  /** Models of the domains, by service. */
  readonly #assignments = new Map<string, ReadonlyMap<string, string>>();
  #generation = 0;
  #term = 0;
  #domainCount = 0;
  #countedAtMs = 0;

  constructor(options: ReplicaTaskOptions) {
    this.#options = options;
    this.#survivors = new SurvivorCheck(options);
  }

  /** Plans until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let intervalMs = IDLE_INTERVAL_MS;
    while (await delay(intervalMs, signal)) {
      const term = this.#options.lease.getTerm();
      intervalMs = term === undefined ? IDLE_INTERVAL_MS : PLAN_INTERVAL_MS;
      if (term === undefined || !this.#options.directory.isPopulated) {
        continue;
      }
      if (term !== this.#term) {
        this.#term = term;
        this.#assignments.clear();
        this.#generation = term * GENERATIONS_PER_TERM;
      }
      for (const service of this.#options.listEngineServices()) {
        this.#planService(service);
      }
    }
  }

  #planService(service: RoutedService): void {
    const servers = this.#options.directory.listServers(service.name);
    if (!this.#isSettled(servers)) {
      return;
    }
    this.#observeModels(servers);
    const reported = collectGroups(service, servers);
    this.#observeIncomplete(reported);
    this.#survivors.retainGroups(reported);
    for (const group of reported.values()) {
      this.#continueGroup(service, group);
    }
    const plan = planFleet({
      engine: service.engine!,
      servers: servers.filter(({ domain }) => domain !== undefined)
        .map((server) => this.#describeServer(server, reported)),
      assignments: this.#assignments.get(service.name) ?? new Map(),
      hasTraffic: this.#options.loads.hasTraffic(),
    });
    this.#recordAssignments(service.name, plan.assignments);
    this.#applyPlan(service, plan);
  }

  #recordAssignments(
    service: string,
    assignments: ReadonlyMap<string, string>,
  ): void {
    const before = this.#assignments.get(service);
    for (const [domain, model] of assignments) {
      if (before?.get(domain) !== model) {
        this.#options.logger.write("info", "domain-assigned", {
          service,
          domain,
          model,
          before: before?.get(domain),
          term: this.#term,
        });
      }
    }
    this.#assignments.set(service, assignments);
  }

  /** Gets whether all fabric domains of a fleet without any loaded model are known. */
  #isSettled(servers: readonly BackendServer[]): boolean {
    const domains = new Set(servers.map(({ domain }) => domain)).size;
    if (domains !== this.#domainCount) {
      this.#domainCount = domains;
      this.#countedAtMs = performance.now();
    }
    return this.#busy.size > 0 ||
      servers.some(({ stagedModels }) => stagedModels.length > 0) ||
      performance.now() - this.#countedAtMs >= SETTLE_MS;
  }

  #applyPlan(service: RoutedService, plan: FleetPlan): void {
    for (const formation of plan.formations) {
      this.#start("formation", this.#runFormation(service, formation));
    }
    for (const preparation of plan.preparations) {
      this.#start("preparation", this.#runPreparation(service, preparation));
    }
  }

  #start(what: string, work: Promise<void>): void {
    work.catch((error: unknown) => {
      this.#options.logger.write("error", "order-task-failed", {
        what,
        message: String(error),
      });
    });
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

  #observeIncomplete(reported: ReadonlyMap<string, ReportedGroup>): void {
    for (const key of this.#incompleteSinceMs.keys()) {
      if (reported.get(key)?.isWhole ?? true) {
        this.#incompleteSinceMs.delete(key);
      }
    }
    for (const { key, isWhole } of reported.values()) {
      if (!isWhole && !this.#incompleteSinceMs.has(key)) {
        this.#incompleteSinceMs.set(key, performance.now());
      }
    }
  }

  #describeServer(
    server: BackendServer,
    reported: ReadonlyMap<string, ReportedGroup>,
  ): PlannedServer {
    return {
      id: server.id,
      domain: server.domain!,
      zone: server.zone,
      stagedModels: server.stagedModels,
      lastModel: this.#lastModels.get(getLifeKey(server)),
      isFree: this.#isFree(server, reported),
      isLoading: this.#busy.get(server.id) === "load",
    };
  }

  #isFree(
    server: BackendServer,
    reported: ReadonlyMap<string, ReportedGroup>,
  ): boolean {
    const { membership } = server;
    if (server.isDraining || !this.#takesOrders(server)) {
      return false;
    }
    if (
      membership === undefined || membership.state === "broken" ||
      (isSpareGroup(membership) && membership.state === "ready")
    ) {
      return true;
    }
    const group = reported.get(getMembershipKey(server)!);
    return membership.state !== "joining" && group !== undefined &&
      this.#isDissolved(group) &&
      this.#survivors.isAlive(group.key, server);
  }

  /** Gets whether the members of a group can be used for another one. */
  #isDissolved(group: ReportedGroup): boolean {
    if (this.#options.groups.isLost(group.key)) {
      return true;
    }
    const sinceMs = this.#incompleteSinceMs.get(group.key);
    const isIncomplete = sinceMs !== undefined &&
      performance.now() - sinceMs >= INCOMPLETE_MS;
    const state = group.head?.membership?.state;
    const isLeaving = group.members.some(({ isDraining }) => isDraining);
    // A group that a leaving member is part of ends its requests first.
    return isLeaving
      ? state === undefined || state === "ready" || state === "broken"
      : isIncomplete || state === "broken";
  }

  #takesOrders(server: BackendServer): boolean {
    const isPaused = (this.#pausedUntilMs.get(server.id) ?? 0) >
      performance.now();
    return !this.#busy.has(server.id) && !isPaused &&
      !this.#options.getExcludedZones().has(server.zone);
  }

  /** Opens a whole group that an earlier planner left unopened, and closes one that a member is leaving. */
  #continueGroup(service: RoutedService, group: ReportedGroup): void {
    const { head, members, isWhole, key } = group;
    if (
      head === undefined || !isWhole || isSpareGroup(head.membership!) ||
      this.#options.groups.isLost(key) ||
      !members.every((member) => this.#takesOrders(member))
    ) {
      return;
    }
    const isLeaving = members.some(({ isDraining }) => isDraining);
    const areReady = members.every(({ membership }) =>
      membership?.state === "ready"
    );
    if (isLeaving && head.membership?.state === "open") {
      this.#start("closing", this.#runClosing(head, members));
    } else if (!isLeaving && areReady) {
      this.#start("opening", this.#runOpening(service, head, members));
    }
  }

  async #runClosing(
    head: BackendServer,
    members: readonly BackendServer[],
  ): Promise<void> {
    const ids = members.map(({ id }) => id);
    await this.#runWith(
      ids,
      "order",
      () =>
        this.#options.orders.closeGroup(head, head.membership!, {
          timeoutMs: CLOSE_TIMEOUT_MS,
        }),
    );
  }

  async #runOpening(
    service: RoutedService,
    head: BackendServer,
    members: readonly BackendServer[],
  ): Promise<void> {
    const ids = members.map(({ id }) => id);
    await this.#runWith(ids, "order", () =>
      this.#options.orders.openGroup(
        head,
        head.membership!,
        getOpenBounds(service),
      ));
  }

  /** Lets a server load a model into a group of its own that never opens, so that it joins the next group at once. */
  async #runPreparation(
    service: RoutedService,
    preparation: ServerPreparation,
  ): Promise<void> {
    const { directory, orders } = this.#options;
    const server = directory.findServer(preparation.serverId);
    const model = findModel(service, preparation.model);
    if (server === undefined || model === undefined) {
      return;
    }
    const { needsLoad } = preparation;
    const generation = ++this.#generation;
    await this.#runWith(
      [server.id],
      needsLoad ? "load" : "order",
      () =>
        orders.joinGroup(server, {
          groupName: createSpareName(generation),
          generation,
          model: model.name,
          members: [server.id],
        }, {
          timeoutMs: getPreparationMs(service, model, needsLoad) +
            ORDER_SLACK_MS,
          firstPollMs: needsLoad ? undefined : model.warmMs,
        }),
    );
  }

  async #runFormation(
    service: RoutedService,
    formation: GroupFormation,
  ): Promise<void> {
    const { directory, logger } = this.#options;
    const model = findModel(service, formation.model)!;
    const members = formation.members.flatMap((id) =>
      directory.findServer(id) ?? []
    );
    const generation = ++this.#generation;
    const group = { groupName: createGroupName(generation), generation };
    const startedAtMs = performance.now();
    const isOpen = await this.#runWith(
      formation.members,
      "order",
      async () =>
        members.length === model.groupSize &&
        await this.#joinAll(model, members, group) &&
        await this.#options.orders.openGroup(
          members[0],
          group,
          getOpenBounds(service),
        ),
    );
    if (!isOpen) {
      await this.#sortOutSilent(members);
    }
    logger.write("info", "group-formed", {
      group: `${group.groupName}/${generation}`,
      model: model.name,
      domain: formation.domain,
      members: formation.members.join(","),
      outcome: isOpen ? "open" : "failed",
      tookMs: Math.round(performance.now() - startedAtMs),
    });
  }

  /** When members of a failed formation are silent, they are left out until the list has dropped them, and the others are free for the next one at once. */
  async #sortOutSilent(members: readonly BackendServer[]): Promise<void> {
    const areAlive = await Promise.all(
      members.map((member) => this.#options.orders.observeServer(member)),
    );
    if (areAlive.every(Boolean)) {
      return;
    }
    const untilMs = performance.now() + SILENCE_PAUSE_MS;
    members.forEach(({ id }, index) => {
      if (areAlive[index]) {
        this.#pausedUntilMs.delete(id);
      } else {
        this.#pausedUntilMs.set(id, untilMs);
      }
    });
  }

  async #joinAll(
    model: ModelServing,
    members: readonly BackendServer[],
    group: { groupName: string; generation: number },
  ): Promise<boolean> {
    const ids = members.map(({ id }) => id);
    const joined = await Promise.all(
      members.map((member) =>
        this.#options.orders.joinGroup(member, {
          ...group,
          model: model.name,
          members: ids,
        }, {
          timeoutMs: model.warmMs + ORDER_SLACK_MS,
          firstPollMs: JOIN_MS + POLL_DELAY_MS,
        })
      ),
    );
    return joined.every(Boolean);
  }

  /** Runs orders to servers that get no other ones meanwhile. Servers whose orders failed are left alone for a while. */
  async #runWith(
    serverIds: readonly string[],
    use: "load" | "order",
    work: () => Promise<boolean>,
  ): Promise<boolean> {
    serverIds.forEach((id) => this.#busy.set(id, use));
    let succeeded = false;
    try {
      succeeded = await work();
      return succeeded;
    } finally {
      const untilMs = performance.now() + FAILURE_PAUSE_MS;
      for (const id of serverIds) {
        this.#busy.delete(id);
        if (!succeeded) {
          this.#pausedUntilMs.set(id, untilMs);
        }
      }
    }
  }
}

/** Time in which a server joins a group of the model that it holds, in milliseconds. */
const JOIN_MS = 200;
/** Time after the usual one of an order until the server is asked whether it is done, in milliseconds. */
const POLL_DELAY_MS = 20;

function collectGroups(
  service: RoutedService,
  servers: readonly BackendServer[],
): Map<string, ReportedGroup> {
  const groups = new Map<string, ReportedGroup>();
  for (const [key, list] of collectMembers(servers)) {
    const head = list.find(({ membership }) => membership?.rank === 0);
    const size = findModel(service, head?.loadedModels[0] ?? "")?.groupSize;
    groups.set(key, {
      key,
      members: list,
      head,
      isWhole: list.length === size,
    });
  }
  return groups;
}

/** Radix of the numbers in names of groups: notices name every group several times a second. */
const NAME_RADIX = 36;

function createGroupName(generation: number): string {
  return `g${generation.toString(NAME_RADIX)}`;
}

function findModel(
  service: RoutedService,
  name: string,
): ModelServing | undefined {
  return service.engine?.models.find((model) => model.name === name);
}

function getOpenBounds(service: RoutedService) {
  const { openMs } = service.engine!;
  return {
    timeoutMs: openMs + ORDER_SLACK_MS,
    firstPollMs: openMs + POLL_DELAY_MS,
  };
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

function getLifeKey(server: BackendServer): string {
  return `${server.id}@${server.startedAtMs}`;
}
