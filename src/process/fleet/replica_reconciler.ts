import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { PlannedServer } from "./fleet_state.ts";
import type { GroupLoads } from "./group_loads.ts";
import { getMembershipKey, type GroupTable } from "./group_table.ts";
import { GroupTasks } from "./group_tasks.ts";
import {
  getProcessKey,
  isSpareGroup,
  type MemberOrderExecutor,
} from "./member_order_executor.ts";
import type { MissingMembers } from "../registration/missing_members.ts";
import { ReplacementTrace } from "../registration/replacement_trace.ts";
import { OrderSchedule } from "./order_schedule.ts";
import { ServiceState } from "./service_state.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";
import type { ReportedGroup } from "./reported_group.ts";
import type { ReportedGroups } from "./reported_groups.ts";
import { type FleetPlan, planFleet } from "./replica_planner.ts";

/** Minimum time between two plans, in milliseconds. */
const PLAN_INTERVAL_MS = 50;
/** Time after which the planner plans again although no server has changed and no order has ended, in milliseconds, since pauses and grace periods end without an event. */
const MAX_PLAN_INTERVAL_MS = 250;
/** Interval between checks of the planner lease while another daemon holds it, in milliseconds. */
const STANDBY_INTERVAL_MS = 250;
/** Dependencies of a `ReplicaReconciler`. */
export interface ReplicaReconcilerOptions {
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly orders: MemberOrderExecutor;
  readonly lease: PlannerLeaseHolder;
  readonly loads: GroupLoads;
  readonly logger: Logger;
  /** Members with which groups stay in service although their entries were removed. */
  readonly missingMembers?: MissingMembers;
  /** Lists the services that have an engine. */
  listEngineServices(): RoutedService[];
  getExcludedZones(): ReadonlySet<string>;
}

/** Compares the reported replica groups with the plan, and orders backend servers to form, open or close groups and to load models, while this daemon holds the planner lease. */
export class ReplicaReconciler {
  readonly #options: ReplicaReconcilerOptions;
  readonly #schedule: OrderSchedule;
  readonly #tasks: GroupTasks;
  readonly #trace: ReplacementTrace;
  /** Model of the last group that a server joined, by server id and start time. */
  readonly #lastModels = new Map<string, string>();
  /** State of each service that has an engine, by name. */
  readonly #states = new Map<string, ServiceState>();
  #term = 0;
  /** Whether a server has changed or an order has ended since the last plan. */
  #hasChanged = true;
  #plannedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ReplicaReconcilerOptions) {
    this.#options = options;
    const onChange = () => {
      this.#hasChanged = true;
    };
    this.#schedule = new OrderSchedule({
      orders: options.orders,
      getExcludedZones: () => options.getExcludedZones(),
      onEnd: onChange,
    });
    this.#trace = new ReplacementTrace({ logger: options.logger });
    this.#tasks = new GroupTasks({
      ...options,
      schedule: this.#schedule,
      trace: this.#trace,
      onCloseSent: onChange,
    });
    // A lost group publishes a change, too.
    options.groups.onChange(onChange);
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
        this.#states.forEach((state) => state.startTerm());
        this.#tasks.startTerm(term);
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
    const { directory } = this.#options;
    const servers = directory.listServers(service.name);
    const removedServers = directory.listRemovedServers(service.name);
    const state = this.#getState(service.name);
    if (!this.#isDomainListSettled(state, servers)) {
      return;
    }
    const { reportedGroups } = state;
    this.#recordLastModels(servers);
    reportedGroups.update(service, servers, {
      removedServers,
      term: this.#term,
    });
    this.#trace.observe(
      reportedGroups.list(),
      (key) => this.#options.groups.isLost(key),
    );
    for (const group of reportedGroups.list()) {
      this.#continueGroup(service, { reportedGroups, group });
    }
    const plan = planFleet({
      engine: service.engine!,
      servers: servers.filter(({ domain }) => domain !== undefined)
        .map((server) => this.#describeServer(server, reportedGroups)),
      assignments: state.assignments,
      retainedModels: state.retainedModels.update(service.engine!, {
        servers,
        removedServers,
        assignments: state.assignments,
      }),
      hasTraffic: this.#options.loads.hasTraffic(),
    });
    this.#recordAssignments(service.name, plan.assignments);
    this.#applyPlan(service, plan);
  }

  #recordAssignments(
    service: string,
    assignments: ReadonlyMap<string, string>,
  ): void {
    const state = this.#getState(service);
    for (const [domain, model] of assignments) {
      if (state.assignments.get(domain) !== model) {
        this.#options.logger.write("info", "domain-assigned", {
          service,
          domain,
          model,
          before: state.assignments.get(domain),
          term: this.#term,
        });
      }
    }
    state.assignments = assignments;
  }

  #getState(service: string): ServiceState {
    let state = this.#states.get(service);
    if (state === undefined) {
      const { groups, orders, logger, missingMembers } = this.#options;
      state = new ServiceState({
        groups,
        orders,
        logger,
        missingMembers,
        onProbeResult: () => {
          this.#hasChanged = true;
        },
      });
      this.#states.set(service, state);
    }
    return state;
  }

  /** Gets whether models can be assigned: either a load has begun or ended, or the number of fabric domains of the new fleet has settled. */
  #isDomainListSettled(
    state: ServiceState,
    servers: readonly BackendServer[],
  ): boolean {
    const isSettled = state.isDomainCountSettled(servers);
    return isSettled ||
      servers.some(({ id, stagedModels }) =>
        stagedModels.length > 0 || this.#schedule.isBusy(id)
      );
  }

  #applyPlan(service: RoutedService, plan: FleetPlan): void {
    for (const formation of plan.formations) {
      this.#startTask(
        "formation",
        this.#tasks.runFormation(service, formation),
      );
    }
    for (const preparation of plan.preparations) {
      this.#startTask(
        "preparation",
        this.#tasks.runPreparation(service, preparation),
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

  #describeServer(
    server: BackendServer,
    reportedGroups: ReportedGroups,
  ): PlannedServer {
    return {
      id: server.id,
      domain: server.domain!,
      zone: server.zone,
      stagedModels: server.stagedModels,
      lastModel: this.#lastModels.get(getProcessKey(server)),
      isFree: this.#isFree(server, reportedGroups),
      isLoading: this.#schedule.isLoading(server.id),
    };
  }

  /** Gets whether a server can join another group now. */
  #isFree(
    server: BackendServer,
    reportedGroups: ReportedGroups,
  ): boolean {
    const { membership } = server;
    if (server.isDraining || !this.#schedule.takesOrders(server)) {
      return false;
    }
    if (
      membership === undefined || membership.state === "broken" ||
      (isSpareGroup(membership) && membership.state === "ready")
    ) {
      return true;
    }
    const group = reportedGroups.find(getMembershipKey(server)!);
    return membership.state !== "joining" && group !== undefined &&
      reportedGroups.hasReusableMembers(group) &&
      reportedGroups.isAlive(group.key, server);
  }

  /** Opens a complete group whose formation has failed although all members are ready now, and closes an open group that has a draining member, does not fit the configuration, or has a member that may still carry out a leave. */
  #continueGroup(
    service: RoutedService,
    { reportedGroups, group }: {
      reportedGroups: ReportedGroups;
      group: ReportedGroup;
    },
  ): void {
    const { head, members, isComplete, isOutdated, isReady, key } = group;
    if (this.#options.groups.isLost(key)) {
      this.#closeLostGroup(reportedGroups, group);
      return;
    }
    if (head === undefined || isSpareGroup(head.membership!)) {
      return;
    }
    if (!isComplete) {
      this.#closeIncompleteGroup(reportedGroups, group);
      return;
    }
    if (
      this.#schedule.takesOrders(head) &&
      reportedGroups.hasToConfirmClosing(group)
    ) {
      this.#startTask("closing", this.#tasks.runClosing(head, [head]));
      return;
    }
    if (!members.every((member) => this.#schedule.takesOrders(member))) {
      return;
    }
    const hasDrainingMember = members.some(({ isDraining }) => isDraining);
    const mustClose = hasDrainingMember || isOutdated ||
      reportedGroups.hasUnansweredLeave(group);
    if (mustClose && head.membership?.state === "open") {
      this.#startTask("closing", this.#tasks.runClosing(head, members));
    } else if (
      !mustClose && isReady && !reportedGroups.isSuperseded(group)
    ) {
      this.#startTask(
        "opening",
        this.#tasks.runOpening(service, head, members),
      );
    }
  }

  /** Closes a group that has a member which is not in the list of servers but goes on, which lets its requests finish. */
  #closeIncompleteGroup(
    reportedGroups: ReportedGroups,
    group: ReportedGroup,
  ): void {
    const head = group.head!;
    if (
      this.#schedule.takesOrders(head) &&
      reportedGroups.hasToCloseIncomplete(group)
    ) {
      this.#startTask("closing", this.#tasks.runClosing(head, [head]));
    }
  }

  /** Closes a lost group whose head still serves, which lets its requests finish. */
  #closeLostGroup(
    reportedGroups: ReportedGroups,
    group: ReportedGroup,
  ): void {
    const { key, head } = group;
    const mustClose = head?.membership?.state === "open" &&
      this.#schedule.takesOrders(head) &&
      !reportedGroups.isLossConfirmed(group) &&
      reportedGroups.isAlive(key, head);
    if (mustClose) {
      this.#startTask("closing", this.#tasks.runClosing(head, [head]));
    }
  }
}
