import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  RoutedService,
  ServedModel,
} from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { PlannedServer } from "./fleet_state.ts";
import type { GroupLoads } from "./group_loads.ts";
import { createGroupName, getFormedSize } from "./group_name.ts";
import {
  collectMembers,
  getMembershipKey,
  type GroupTable,
} from "./group_table.ts";
import {
  createSpareGroupName,
  getProcessKey,
  isSpareGroup,
  type MemberOrderExecutor,
} from "./member_order_executor.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";
import { SurvivorProber } from "./survivor_prober.ts";
import {
  type FleetPlan,
  type GroupFormation,
  planFleet,
  type ServerPreparation,
} from "./replica_planner.ts";

/** Minimum time between two plans, in milliseconds. */
const PLAN_INTERVAL_MS = 50;
/** Time after which the planner plans again although no server has changed and no order has ended, in milliseconds, since pauses and grace periods end without an event. */
const MAX_PLAN_INTERVAL_MS = 250;
/** Interval between checks of the planner lease while another daemon holds it, in milliseconds. */
const STANDBY_INTERVAL_MS = 250;
/** Margin by which the timeout of an order exceeds the expected duration of the order, in milliseconds. */
const ORDER_TIMEOUT_MARGIN_MS = 2_000;
/** Time limit for a closing group to finish its requests, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000;
/** Number of group generations reserved for each lease term. It exceeds the number of orders that can be sent in one term. */
const GENERATIONS_PER_TERM = 100_000;
/** Time for which a server gets no further order after an order to it failed, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;
/** Time for which a server that did not respond gets no further order, in milliseconds. It spans several heartbeats, after which a dead server has left the server list. */
const UNRESPONSIVE_PAUSE_MS = 4_000;
/** Time for which a group has to be incomplete before its remaining members may join other groups, in milliseconds. Entries of the server list arrive in batches, so a member may be missing temporarily. */
const INCOMPLETE_GRACE_MS = 250;

/** Time for which the number of fabric domains has to stay the same before the domains of a new fleet count as complete, in milliseconds. Each domain is assigned a model once, so all domains have to be known first. */
const DOMAIN_SETTLE_MS = 300;

/** Dependencies of a `ReplicaReconciler`. */
export interface ReplicaReconcilerOptions {
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly orders: MemberOrderExecutor;
  readonly lease: PlannerLeaseHolder;
  readonly loads: GroupLoads;
  readonly logger: Logger;
  /** Lists the services that have an engine. */
  listEngineServices(): RoutedService[];
  getExcludedZones(): ReadonlySet<string>;
}

/** Replica group as reported by its members. */
interface ReportedGroup {
  readonly key: string;
  readonly members: readonly BackendServer[];
  readonly head: BackendServer | undefined;
  /** Number of servers that the group was formed of; undefined while the head joins a group of a model that is not in the configuration. */
  readonly size: number | undefined;
  /** Whether none of these servers is missing. */
  readonly isComplete: boolean;
  /** Whether the configuration no longer has the group's model, or has it with another number of servers. */
  readonly isOutdated: boolean;
  /** Whether all members are ready, so that the group can be opened. */
  readonly isReady: boolean;
}

/** Compares the reported replica groups with the plan, and orders backend servers to form, open or close groups and to load models, while this daemon holds the planner lease. */
export class ReplicaReconciler {
  readonly #options: ReplicaReconcilerOptions;
  /** Kind of the order in progress, by server id: `load` for an order to load weights from the weight store, `order` for any other. */
  readonly #pendingOrders = new Map<string, "load" | "order">();
  /** Monotonic time until which a server gets no orders, by server id. */
  readonly #pausedUntilMs = new Map<string, number>();
  /** Model of the last group that a server joined, by server id and start time. */
  readonly #lastModels = new Map<string, string>();
  /** Monotonic time since which a group is incomplete, by group key. */
  readonly #incompleteSinceMs = new Map<string, number>();
  /** Monotonic time from which the members of a group that must not be opened may join other groups, by group key. */
  readonly #reusableFromMs = new Map<string, number>();
  /** Number of servers that each reported group was formed of, by service and group key. It counts for groups that an earlier version has formed, whose names do not state it. */
  readonly #groupSizes = new Map<string, Map<string, number>>();
  readonly #survivorProber: SurvivorProber;
  /** Model assigned to each fabric domain, by service. */
  readonly #assignments = new Map<string, ReadonlyMap<string, string>>();
  #generation = 0;
  #term = 0;
  /** Whether a server has changed or an order has ended since the last plan. */
  #hasChanged = true;
  #plannedAtMs = Number.NEGATIVE_INFINITY;
  #domainCount = 0;
  #domainCountChangedAtMs = 0;

  constructor(options: ReplicaReconcilerOptions) {
    this.#options = options;
    this.#survivorProber = new SurvivorProber({
      orders: options.orders,
      onResult: () => {
        this.#hasChanged = true;
      },
    });
    // A lost group publishes a change, too.
    options.groups.onChange(() => {
      this.#hasChanged = true;
    });
  }

  /** Runs the reconciliation loop until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let intervalMs = STANDBY_INTERVAL_MS;
    while (await delay(intervalMs, signal)) {
      const term = this.#options.lease.getTerm();
      intervalMs = term === undefined ? STANDBY_INTERVAL_MS : PLAN_INTERVAL_MS;
      if (term === undefined || !this.#options.directory.isPopulated) {
        continue;
      }
      if (term !== this.#term) {
        this.#term = term;
        this.#assignments.clear();
        this.#generation = term * GENERATIONS_PER_TERM;
      }
      if (!this.#isPlanDue()) {
        continue;
      }
      this.#hasChanged = false;
      this.#plannedAtMs = performance.now();
      for (const service of this.#options.listEngineServices()) {
        this.#planService(service);
      }
    }
  }

  #isPlanDue(): boolean {
    return this.#hasChanged ||
      performance.now() - this.#plannedAtMs >= MAX_PLAN_INTERVAL_MS;
  }

  #planService(service: RoutedService): void {
    const servers = this.#options.directory.listServers(service.name);
    if (!this.#isDomainListSettled(servers)) {
      return;
    }
    this.#recordLastModels(servers);
    const reportedGroups = collectReportedGroups(
      service,
      servers,
      this.#groupSizes.get(service.name) ?? new Map(),
    );
    this.#recordGroupSizes(service.name, reportedGroups);
    this.#recordIncompleteGroups(reportedGroups);
    this.#recordSupersededGroups(service, reportedGroups);
    this.#survivorProber.retainGroups(reportedGroups);
    this.#checkSuspectedGroups(reportedGroups);
    for (const group of reportedGroups.values()) {
      this.#continueGroup(service, group);
    }
    const plan = planFleet({
      engine: service.engine!,
      servers: servers.filter(({ domain }) => domain !== undefined)
        .map((server) => this.#describeServer(server, reportedGroups)),
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
    const previousAssignments = this.#assignments.get(service);
    for (const [domain, model] of assignments) {
      if (previousAssignments?.get(domain) !== model) {
        this.#options.logger.write("info", "domain-assigned", {
          service,
          domain,
          model,
          before: previousAssignments?.get(domain),
          term: this.#term,
        });
      }
    }
    this.#assignments.set(service, assignments);
  }

  /** Gets whether models can be assigned: either a load has begun or ended, or the number of fabric domains of the new fleet has settled. */
  #isDomainListSettled(servers: readonly BackendServer[]): boolean {
    const domainCount = new Set(servers.map(({ domain }) => domain)).size;
    if (domainCount !== this.#domainCount) {
      this.#domainCount = domainCount;
      this.#domainCountChangedAtMs = performance.now();
    }
    return this.#pendingOrders.size > 0 ||
      servers.some(({ stagedModels }) => stagedModels.length > 0) ||
      performance.now() - this.#domainCountChangedAtMs >= DOMAIN_SETTLE_MS;
  }

  #applyPlan(service: RoutedService, plan: FleetPlan): void {
    for (const formation of plan.formations) {
      this.#startTask("formation", this.#runFormation(service, formation));
    }
    for (const preparation of plan.preparations) {
      this.#startTask(
        "preparation",
        this.#runPreparation(service, preparation),
      );
    }
  }

  #startTask(taskName: string, task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.#options.logger.write("error", "order-task-failed", {
        what: taskName,
        message: String(error),
      });
    });
  }

  /** Records the loaded models of servers that have joined a group, including those that another daemon ordered to join. */
  #recordLastModels(servers: readonly BackendServer[]): void {
    for (const server of servers) {
      const { membership } = server;
      if (
        membership !== undefined && membership.state !== "joining" &&
        server.loadedModels.length > 0
      ) {
        this.#lastModels.set(getProcessKey(server), server.loadedModels[0]);
      }
    }
  }

  /** Records the sizes of the groups whose head has joined. A new configuration changes the size of the model, but not that of a group. */
  #recordGroupSizes(
    service: string,
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    const sizes = new Map<string, number>();
    for (const { key, size, head } of reportedGroups.values()) {
      if (size !== undefined && hasJoined(head)) {
        sizes.set(key, size);
      }
    }
    this.#groupSizes.set(service, sizes);
  }

  #recordIncompleteGroups(
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#incompleteSinceMs.keys()) {
      if (reportedGroups.get(key)?.isComplete ?? true) {
        this.#incompleteSinceMs.delete(key);
      }
    }
    for (const { key, isComplete } of reportedGroups.values()) {
      if (!isComplete && !this.#incompleteSinceMs.has(key)) {
        this.#incompleteSinceMs.set(key, performance.now());
      }
    }
  }

  /** Records the groups that are ready but must not be opened. An earlier planner may have opened one of them just now, which shows after the time that a group takes to open. */
  #recordSupersededGroups(
    service: RoutedService,
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#reusableFromMs.keys()) {
      const group = reportedGroups.get(key);
      if (group === undefined || !this.#isSuperseded(group)) {
        this.#reusableFromMs.delete(key);
      }
    }
    for (const group of reportedGroups.values()) {
      if (
        this.#isSuperseded(group) && !this.#reusableFromMs.has(group.key)
      ) {
        const { openMs } = service.engine!;
        this.#reusableFromMs.set(group.key, performance.now() + openMs);
        this.#options.logger.write("info", "group-superseded", {
          group: group.key,
          members: group.members.map(({ id }) => id).join(","),
          term: this.#term,
        });
      }
    }
  }

  /**
   * Gets whether a group that is ready must not be opened, since one of its members may still carry out the join of a later group, and a server must not leave an open group for another one.
   *
   * This planner knows only the joins that it has sent in this term. The members of such a group therefore join a new one, whose generation makes all earlier joins void.
   */
  #isSuperseded(
    { head, members, isComplete, isReady }: ReportedGroup,
  ): boolean {
    if (!isComplete || !isReady || isSpareGroup(head!.membership!)) {
      return false;
    }
    const { generation } = head!.membership!;
    return generation < this.#term * GENERATIONS_PER_TERM ||
      members.some((member) =>
        this.#options.orders.hasUnansweredJoin(member, generation)
      );
  }

  #describeServer(
    server: BackendServer,
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): PlannedServer {
    return {
      id: server.id,
      domain: server.domain!,
      zone: server.zone,
      stagedModels: server.stagedModels,
      lastModel: this.#lastModels.get(getProcessKey(server)),
      isFree: this.#isFree(server, reportedGroups),
      isLoading: this.#pendingOrders.get(server.id) === "load",
    };
  }

  /** Gets whether a server can join another group now. */
  #isFree(
    server: BackendServer,
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
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
    const group = reportedGroups.get(getMembershipKey(server)!);
    return membership.state !== "joining" && group !== undefined &&
      this.#hasReusableMembers(group) &&
      this.#survivorProber.isAlive(group.key, server);
  }

  /** Gets whether the members of a group can join other groups. */
  #hasReusableMembers(group: ReportedGroup): boolean {
    if (this.#options.groups.isLost(group.key)) {
      return this.#isLossConfirmed(group);
    }
    const incompleteSinceMs = this.#incompleteSinceMs.get(group.key);
    const isIncomplete = incompleteSinceMs !== undefined &&
      performance.now() - incompleteSinceMs >= INCOMPLETE_GRACE_MS;
    const state = group.head?.membership?.state;
    const hasDrainingMember = group.members.some(({ isDraining }) =>
      isDraining
    );
    // A group with a draining member, or of an earlier configuration, is closed first, which lets its requests finish.
    const reusableFromMs = this.#reusableFromMs.get(group.key);
    const isSuperseded = reusableFromMs !== undefined &&
      performance.now() >= reusableFromMs;
    const isClosed = state === undefined || state === "ready" ||
      state === "broken";
    return hasDrainingMember
      ? isClosed
      : (group.isOutdated && isClosed) || isIncomplete || isSuperseded ||
        state === "broken";
  }

  /**
   * Gets whether the members of a lost group can join other groups: a member is known to have ended, or the head is closed or broken, or has been silent for so long that it counts as ended. A group may be lost although its members are only silent, and a member must not join another group while the head still serves.
   */
  #isLossConfirmed({ key, head, members, isComplete }: ReportedGroup): boolean {
    const states = members.map((member) =>
      this.#survivorProber.getState(key, member, {
        isLost: true,
        mustRepeat: member === head,
      })
    );
    if (!isComplete || head === undefined || states.includes("ended")) {
      return true;
    }
    const headState = states[members.indexOf(head)];
    const isClosed = head.membership?.state === "ready" ||
      head.membership?.state === "broken";
    return headState === "silent" || (headState === "alive" && isClosed);
  }

  /** Starts to probe the members of the groups that other daemons or this one suspect, so that the time of a silence is known when the group is lost. */
  #checkSuspectedGroups(
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#options.groups.listSuspectedKeys()) {
      const group = reportedGroups.get(key);
      if (group?.head?.membership?.state === "open") {
        group.members.forEach((member) =>
          this.#survivorProber.getState(key, member, {
            isLost: false,
            mustRepeat: false,
          })
        );
      }
    }
  }

  /** Gets whether a server may get an order: none is in progress, it is not paused, and its zone is not excluded. */
  #takesOrders(server: BackendServer): boolean {
    const isPaused = (this.#pausedUntilMs.get(server.id) ?? 0) >
      performance.now();
    return !this.#pendingOrders.has(server.id) && !isPaused &&
      !this.#options.getExcludedZones().has(server.zone);
  }

  /** Opens a complete group whose formation has failed although all members are ready now, and closes an open group that has a draining member or does not fit the configuration. */
  #continueGroup(service: RoutedService, group: ReportedGroup): void {
    const { head, members, isComplete, isOutdated, isReady, key } = group;
    if (this.#options.groups.isLost(key)) {
      this.#closeLostGroup(group);
      return;
    }
    if (
      head === undefined || !isComplete || isSpareGroup(head.membership!) ||
      !members.every((member) => this.#takesOrders(member))
    ) {
      return;
    }
    const hasDrainingMember = members.some(({ isDraining }) => isDraining);
    const mustClose = hasDrainingMember || isOutdated;
    if (mustClose && head.membership?.state === "open") {
      this.#startTask("closing", this.#runClosing(head, members));
    } else if (!mustClose && isReady && !this.#isSuperseded(group)) {
      this.#startTask("opening", this.#runOpening(service, head, members));
    }
  }

  /** Closes a lost group whose head still serves, which lets its requests finish. */
  #closeLostGroup(group: ReportedGroup): void {
    const { key, head } = group;
    const mustClose = head?.membership?.state === "open" &&
      this.#takesOrders(head) && !this.#isLossConfirmed(group) &&
      this.#survivorProber.isAlive(key, head);
    if (mustClose) {
      this.#startTask("closing", this.#runClosing(head, [head]));
    }
  }

  async #runClosing(
    head: BackendServer,
    members: readonly BackendServer[],
  ): Promise<void> {
    const ids = members.map(({ id }) => id);
    await this.#runOrders(
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
    await this.#runOrders(ids, "order", () =>
      this.#options.orders.openGroup(
        head,
        head.membership!,
        getOpenWaitOptions(service),
      ));
  }

  /** Orders a server to load a model by joining a single-member group that never opens, so that it can join its next group without loading. */
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
    await this.#runOrders(
      [server.id],
      needsLoad ? "load" : "order",
      () =>
        orders.joinGroup(server, {
          groupName: createSpareGroupName(generation),
          generation,
          model: model.name,
          members: [server.id],
        }, {
          timeoutMs: getMaxPreparationMs(service, model, needsLoad) +
            ORDER_TIMEOUT_MARGIN_MS,
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
    const groupName = createGroupName({ generation, size: model.groupSize });
    const group = { groupName, generation };
    const startedAtMs = performance.now();
    const isOpen = await this.#runOrders(
      formation.members,
      "order",
      async () =>
        members.length === model.groupSize &&
        await this.#joinMembers(model, members, group) &&
        await this.#options.orders.openGroup(
          members[0],
          group,
          getOpenWaitOptions(service),
        ),
    );
    if (isOpen) {
      this.#groupSizes.get(service.name)?.set(
        `${group.groupName}/${generation}`,
        members.length,
      );
    } else {
      await this.#pauseUnresponsiveMembers(members);
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

  /** If some members of a failed formation do not respond, pauses only these until the server list has dropped them, so that the other members can join another group at once. */
  async #pauseUnresponsiveMembers(
    members: readonly BackendServer[],
  ): Promise<void> {
    const areAlive = await Promise.all(
      members.map((member) => this.#options.orders.refreshServer(member)),
    );
    if (areAlive.every(Boolean)) {
      return;
    }
    const untilMs = performance.now() + UNRESPONSIVE_PAUSE_MS;
    members.forEach(({ id }, index) => {
      if (areAlive[index]) {
        this.#pausedUntilMs.delete(id);
      } else {
        this.#pausedUntilMs.set(id, untilMs);
      }
    });
  }

  async #joinMembers(
    model: ServedModel,
    members: readonly BackendServer[],
    group: { groupName: string; generation: number },
  ): Promise<boolean> {
    const ids = members.map(({ id }) => id);
    const joinResults = await Promise.all(
      members.map((member) =>
        this.#options.orders.joinGroup(member, {
          ...group,
          model: model.name,
          members: ids,
        }, {
          timeoutMs: model.warmMs + ORDER_TIMEOUT_MARGIN_MS,
          firstPollMs: EXPECTED_JOIN_MS + FIRST_POLL_MARGIN_MS,
        })
      ),
    );
    return joinResults.every(Boolean);
  }

  /** Runs orders while keeping their servers from getting other orders. If the orders fail, the servers get no further order for `FAILURE_PAUSE_MS`. */
  async #runOrders(
    serverIds: readonly string[],
    kind: "load" | "order",
    sendOrders: () => Promise<boolean>,
  ): Promise<boolean> {
    serverIds.forEach((id) => this.#pendingOrders.set(id, kind));
    let isSuccess = false;
    try {
      isSuccess = await sendOrders();
      return isSuccess;
    } finally {
      const untilMs = performance.now() + FAILURE_PAUSE_MS;
      this.#hasChanged = true;
      for (const id of serverIds) {
        this.#pendingOrders.delete(id);
        if (!isSuccess) {
          this.#pausedUntilMs.set(id, untilMs);
        }
      }
    }
  }
}

/** Expected time for a server to join a group of the model that it has loaded, in milliseconds. */
const EXPECTED_JOIN_MS = 200;
/** Margin by which the first status request follows the expected end of an order, in milliseconds. */
const FIRST_POLL_MARGIN_MS = 20;

/**
 * Collects the groups that the servers of a service report.
 *
 * @param service - Service of the servers.
 * @param servers - Servers of the service.
 * @param knownSizes - Number of servers that each group was formed of whose name does not state it, by group key. Any other such group counts as formed as the configuration says.
 */
function collectReportedGroups(
  service: RoutedService,
  servers: readonly BackendServer[],
  knownSizes: ReadonlyMap<string, number>,
): Map<string, ReportedGroup> {
  const groups = new Map<string, ReportedGroup>();
  for (const [key, members] of collectMembers(servers)) {
    const head = members.find(({ membership }) => membership?.rank === 0);
    const groupSize = findModel(service, head?.loadedModels[0] ?? "")
      ?.groupSize;
    const { groupName } = members[0].membership!;
    const expectedSize = getFormedSize(groupName) ?? knownSizes.get(key) ??
      groupSize;
    const size = hasJoined(head)
      ? Math.max(expectedSize ?? 0, members.length)
      : expectedSize;
    groups.set(key, {
      key,
      members,
      head,
      size,
      isComplete: members.length === size,
      isOutdated: hasJoined(head) && size !== groupSize,
      isReady: members.every(({ membership }) => membership?.state === "ready"),
    });
  }
  return groups;
}

/** Gets whether the head of a group has joined it, so that the model which it reports is that of the group. */
function hasJoined(head: BackendServer | undefined): boolean {
  return head?.membership !== undefined && head.membership.state !== "joining";
}

function findModel(
  service: RoutedService,
  name: string,
): ServedModel | undefined {
  return service.engine?.models.find((model) => model.name === name);
}

function getOpenWaitOptions(service: RoutedService) {
  const { openMs } = service.engine!;
  return {
    timeoutMs: openMs + ORDER_TIMEOUT_MARGIN_MS,
    firstPollMs: openMs + FIRST_POLL_MARGIN_MS,
  };
}

/** Gets the longest expected time of a preparation. Concurrent loads share the bandwidth of the weight store. */
function getMaxPreparationMs(
  service: RoutedService,
  model: ServedModel,
  needsLoad: boolean,
): number {
  return needsLoad
    ? model.loadMs * Math.max(1, service.engine!.concurrentLoads)
    : model.warmMs;
}
