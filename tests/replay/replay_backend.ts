import type { Vm } from "../../src/connection/vm_directory.ts";
import type { GroupHealthState } from "../../src/process/group_health.ts";
import {
  createEmptyPlacement,
  isLoaded,
  planDomain,
  updateLostVms,
} from "../../src/process/planner/domain_planner.ts";
import {
  countLoadSlots,
  isReplacementTurn,
} from "../../src/process/planner/load_slots.ts";
import { ServerHealthTracker } from "../../src/process/planner/server_health_tracker.ts";
import { planOrders } from "../../src/process/planner/planner_orders.ts";
import { planAssignment } from "../../src/version/domain_assignment.ts";
import {
  type DomainPlacement,
  getGroupMembers,
  type PlacedGroup,
  type VersionedPlacement,
} from "../../src/version/placement.ts";
import {
  createModelEngines,
  type ModelEngine,
} from "../support/model_engine.ts";
import type { ReplayDaemon } from "./replay_daemon.ts";
import type { TraceHeader } from "./trace.ts";

const LOAD_STEPS = 10;

/** Request that a group runs. */
export interface RunningRequest {
  readonly id: string;
  readonly kvTokens: number;
  readonly daemon: ReplayDaemon;
  readonly fingerprint: string;
  readonly startedAtMs: number;
  /** Called when the group is lost, with the fingerprints of all requests that the same daemon had on the group. */
  readonly onLost: (fingerprints: readonly string[]) => void;
}

/** Requests of one group since it was loaded. */
interface GroupWork {
  readonly runningRequests: Set<RunningRequest>;
  finishedCount: number;
  /** Changes each time that the group's members load their weights again. */
  readonly loadId: string;
}

/** Backend servers, stored placements and the planner of a replay, simulated as plain state. */
export class ReplayBackend {
  readonly engines: Map<string, ModelEngine>;
  readonly stored = new Map<string, VersionedPlacement>();
  readonly #header: TraceHeader;
  readonly #domains: readonly { name: string; zone: string }[];
  readonly #tracker = new ServerHealthTracker({ vmListLagMs: 0 });
  readonly #workByGroup = new Map<string, GroupWork>();

  constructor(header: TraceHeader) {
    this.#header = header;
    const domains = header.zones.map((zone) => ({
      name: `${zone}-rack-1`,
      zone,
      vms: header.vmsPerZone,
    }));
    this.#domains = domains;
    this.engines = createModelEngines(domains, { loadSteps: LOAD_STEPS });
  }

  get vms(): Vm[] {
    return [...this.engines.values()].map((engine) => engine.vm);
  }

  /** Finds an engine by its zone and the number of its VM in the zone, from 1. */
  getEngine(zone: string, member: number): ModelEngine {
    return [...this.engines.values()]
      .filter((engine) => engine.vm.zone === zone)[member - 1];
  }

  /** Advances loading by one step on all engines. */
  runStep(): void {
    this.engines.forEach((engine) => engine.runStep());
  }

  /** Runs one planner pass with the state of one daemon: reads the engines' status, plans each domain, stores the placement and sends the orders. */
  planAll(daemon: ReplayDaemon): void {
    for (const [name, engine] of this.engines) {
      const status = engine.getStatus(this.engines);
      this.#tracker.record({ name, status, hasAddress: true });
    }
    this.#domains.forEach((domain) => this.#planDomain(daemon, domain));
  }

  /** Gets the health state of a group from the status of its members. */
  getHealthState(group: PlacedGroup): GroupHealthState {
    const statuses = this.#getMembers(group)
      .map((engine) => engine.getStatus(this.engines));
    if (!isLoaded(group, statuses)) {
      return "incomplete";
    }
    return this.#getWork(group).finishedCount < this.#header.warmAfterRequests
      ? "cold"
      : "ready";
  }

  getBootId(group: PlacedGroup): string {
    const leader = this.engines.get(group.leader)!;
    return `${leader.vm.name}-${leader.bootCount}`;
  }

  getRunningRequests(groupId: string): RunningRequest[] {
    return [...this.#workByGroup.get(groupId)?.runningRequests ?? []];
  }

  /** Gets the number of requests that a group's engine can run at once. Computed here independently of the warm-up limiter, which is under test. */
  getRequestLimit(group: PlacedGroup): number {
    const { coldSlots, slotsPerGroup } = this.#header;
    return this.getHealthState(group) === "ready" ? slotsPerGroup : Math.min(
      slotsPerGroup,
      coldSlots + Math.floor(this.#getWork(group).finishedCount / 2),
    );
  }

  /** Gets whether a member of a group is down. */
  hasLostMember(group: PlacedGroup): boolean {
    return this.#getMembers(group).some((engine) => !engine.isUp);
  }

  addRequest(group: PlacedGroup, request: RunningRequest): void {
    this.#getWork(group).runningRequests.add(request);
  }

  /** Removes a request. A finished request counts towards the warm-up of the group. */
  removeRequest(
    group: PlacedGroup,
    request: RunningRequest,
    hasFinished: boolean,
  ): void {
    const work = this.#workByGroup.get(group.groupId);
    if (work?.runningRequests.delete(request) && hasFinished) {
      work.finishedCount++;
    }
  }

  /** Simulates the failure of a VM. All requests of its group are lost. */
  crash(engine: ModelEngine): void {
    engine.isUp = false;
    this.#dropRequests(engine);
  }

  /** Simulates a restart of a group's leader. All requests of the group are lost. */
  assumeLeaderRestart(group: PlacedGroup): void {
    const leader = this.engines.get(group.leader)!;
    leader.assumeRestart();
    this.#dropRequests(leader);
  }

  #dropRequests(engine: ModelEngine): void {
    for (const { placement } of this.stored.values()) {
      const groupId = placement.groupByVm[engine.vm.name];
      const work = this.#workByGroup.get(groupId ?? "");
      const lostRequests = [...work?.runningRequests ?? []];
      this.#workByGroup.delete(groupId ?? "");
      lostRequests.forEach((request) =>
        request.onLost(
          lostRequests.filter((other) => other.daemon === request.daemon)
            .map((other) => other.fingerprint),
        )
      );
    }
  }

  #getMembers(group: PlacedGroup): ModelEngine[] {
    const { placement } = this.stored.get(group.fabricDomain)!;
    return getGroupMembers(placement, group.groupId)
      .map((name) => this.engines.get(name)!);
  }

  #getWork(group: PlacedGroup): GroupWork {
    const loadId = `${group.generation} ${this.getBootId(group)}`;
    let work = this.#workByGroup.get(group.groupId);
    if (work?.loadId !== loadId) {
      work = { runningRequests: new Set(), finishedCount: 0, loadId };
      this.#workByGroup.set(group.groupId, work);
    }
    return work;
  }

  #planDomain(
    daemon: ReplayDaemon,
    domain: { name: string; zone: string },
  ): void {
    const { name, zone } = domain;
    const { document } = daemon.configHolder.getCurrentOrThrow();
    const healthByVm = new Map(
      [...this.#tracker.getHealthByName()].filter(([vm]) =>
        this.engines.get(vm)!.vm.fabricDomain === name
      ),
    );
    const currentPlacement = this.stored.get(name)?.placement ??
      createEmptyPlacement(name, zone);
    const updatedPlacement = updateLostVms(currentPlacement, healthByVm);
    const placements = [
      updatedPlacement,
      ...[...this.stored.values()].map((s) => s.placement)
        .filter((p) => p.fabricDomain !== name),
    ];
    const isOpen = (z: string) => daemon.zonePolicy.takesNewWork(z);
    const plan = planDomain({
      document,
      vms: this.vms.filter((vm) => vm.fabricDomain === name),
      healthByVm,
      placement: currentPlacement,
      desiredGroupCounts: planAssignment({
        document,
        vms: this.vms,
        placements,
        isZoneOpen: isOpen,
      }).get(name) ?? new Map(),
      idleGroupIds: this.#findIdleGroupIds(currentPlacement),
      loadSlots: countLoadSlots(document, placements),
      isReplacementTurn: (model) =>
        isReplacementTurn({ document, placements, fabricDomain: name, model }),
      zoneOpen: isOpen(zone),
      zoneTakesNewWork: isOpen(zone),
    });
    if (plan.isChanged) {
      const objectVersion = (this.stored.get(name)?.objectVersion ?? 0) + 1;
      this.stored.set(name, { objectVersion, placement: plan.placement });
    }
    const orders = planOrders({
      placement: plan.placement,
      healthByVm,
      addresses: new Map(this.vms.map((vm) => [vm.name, vm.address])),
    });
    orders.forEach(({ vm, order }) => this.engines.get(vm)!.applyOrder(order));
  }

  #findIdleGroupIds(placement: DomainPlacement): Set<string> {
    return new Set(
      Object.values(placement.groups)
        .filter((group) =>
          group.phase === "draining" &&
          this.getRunningRequests(group.groupId).length === 0
        )
        .map((group) => group.groupId),
    );
  }
}
