import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  createModelEngines,
  type ModelEngine,
} from "../../../tests/support/model_engine.ts";
import {
  type ConfigDocument,
  configSchema,
} from "../../version/config_schema.ts";
import { planAssignment } from "../../version/domain_assignment.ts";
import {
  type DomainPlacement,
  getGroupMembers,
  type PlacedGroup,
} from "../../version/placement.ts";
import {
  createEmptyPlacement,
  type DomainPlanInput,
  planDomain,
  updateLostVms,
} from "./domain_planner.ts";
import { countLoadSlots, isReplacementTurn } from "./load_slots.ts";
import { ServerHealthTracker } from "./server_health_tracker.ts";
import type { ServerHealth } from "./server_health.ts";
import { planOrders } from "./planner_orders.ts";

const MODEL = "model-1";

function createDocument(
  options: { zones: string[]; count: number; size?: number; atOnce?: number },
): ConfigDocument {
  return configSchema.parse({
    schemaVersion: 1,
    zones: options.zones.map((name) => ({ name, region: "region-1" })),
    models: [{
      name: MODEL,
      groupSizeVms: options.size ?? 2,
      placements: [{ zones: options.zones, count: options.count }],
      slotsPerGroup: 4,
      kvTokensPerGroup: 1_000,
      honoursFencing: true,
    }],
    clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
    weightLoadsAtOnce: options.atOnce ?? 2,
  });
}

interface StoredPlacement {
  version: number;
  placement: DomainPlacement;
}

/** In-memory simulation of the engines, the store and the planners of a deployment. */
class PlannerSimulation {
  document: ConfigDocument;
  readonly engines: Map<string, ModelEngine>;
  readonly storedPlacements = new Map<string, StoredPlacement>();
  readonly planners: {
    copies: Map<string, StoredPlacement>;
    tracker: ServerHealthTracker;
  }[];
  closedZones = new Set<string>();
  readonly #domains: { name: string; zone: string; vms: number }[];

  constructor(options: {
    document: ConfigDocument;
    domains: { name: string; zone: string; vms: number }[];
    planners?: number;
  }) {
    this.document = options.document;
    this.#domains = options.domains;
    this.engines = createModelEngines(options.domains, { loadSteps: 2 });
    this.planners = Array.from({ length: options.planners ?? 1 }, () => ({
      copies: new Map(),
      tracker: new ServerHealthTracker({ vmListLagMs: 0 }),
    }));
  }

  get placements(): DomainPlacement[] {
    return [...this.storedPlacements.values()].map((s) => s.placement);
  }

  get groups(): PlacedGroup[] {
    return this.placements.flatMap((p) => Object.values(p.groups));
  }

  /** Replaces a planner's copies of the placements with the stored ones. */
  syncPlanner(index: number): void {
    this.planners[index].copies = new Map(this.storedPlacements);
  }

  /** Records the status of every engine in the health tracker of a planner. */
  observe(index: number): void {
    for (const [name, engine] of this.engines) {
      this.planners[index].tracker.record({
        name,
        status: engine.getStatus(this.engines),
        hasAddress: true,
      });
    }
  }

  /** Plans all domains with a planner's copies of the placements, which may be out of date. */
  planAll(index: number, options: { loseResponse?: boolean } = {}): void {
    this.observe(index);
    for (const { name, zone } of this.#domains) {
      this.#planDomain(index, { name, zone, ...options });
    }
  }

  runStep(): void {
    this.engines.forEach((engine) => engine.runStep());
  }

  /** Runs rounds in which the first planner reads all placements and plans; by default enough of them to reach a stable state. */
  runUntilStable(rounds = 30): void {
    for (let round = 0; round < rounds; round++) {
      this.syncPlanner(0);
      this.planAll(0);
      this.runStep();
    }
  }

  #planDomain(
    index: number,
    options: { name: string; zone: string; loseResponse?: boolean },
  ): void {
    const { copies, tracker } = this.planners[index];
    const { name } = options;
    const copy = copies.get(name);
    const plan = planDomain(
      this.#createInput(index, options),
    );
    let placement = copy?.placement;
    if (plan.isChanged) {
      const version = this.storedPlacements.get(name)?.version ?? 0;
      if (version !== (copy?.version ?? 0)) {
        return;
      }
      this.checkChange(copy?.placement, plan.placement);
      const entry = { version: version + 1, placement: plan.placement };
      this.storedPlacements.set(name, entry);
      // The planner task lists the placements before its next write, so it reads its own earlier write even if the response was lost.
      copies.set(name, entry);
      if (options.loseResponse) {
        return;
      }
      placement = plan.placement;
    }
    if (placement !== undefined) {
      this.#sendOrders(placement, tracker.getHealthByName());
    }
  }

  #createInput(
    index: number,
    options: { name: string; zone: string },
  ): DomainPlanInput {
    const { copies, tracker } = this.planners[index];
    const { name, zone } = options;
    const healthByVm = this.#getDomainHealth(name, tracker.getHealthByName());
    const placement = updateLostVms(
      copies.get(name)?.placement ?? createEmptyPlacement(name, zone),
      healthByVm,
    );
    const placements = [
      placement,
      ...[...copies.values()].map((c) => c.placement)
        .filter((p) => p.fabricDomain !== name),
    ];
    const vms = [...this.engines.values()].filter((e) => e.isListed)
      .map((e) => e.vm);
    const isOpen = (z: string) => !this.closedZones.has(z);
    return {
      document: this.document,
      vms: vms.filter((vm) => vm.fabricDomain === name),
      healthByVm,
      placement: copies.get(name)?.placement ?? placement,
      desiredGroupCounts: planAssignment({
        document: this.document,
        vms,
        placements,
        isZoneOpen: isOpen,
      }).get(name) ?? new Map(),
      idleGroupIds: new Set(
        Object.values(placement.groups).filter((g) => g.phase === "draining")
          .map((g) => g.groupId),
      ),
      loadSlots: countLoadSlots(this.document, placements),
      isReplacementTurn: (model) =>
        isReplacementTurn({
          document: this.document,
          placements,
          fabricDomain: name,
          model,
        }),
      zoneOpen: isOpen(zone),
      zoneTakesNewWork: isOpen(zone),
    };
  }

  #getDomainHealth(
    domain: string,
    healthByName: ReadonlyMap<string, ServerHealth>,
  ): Map<string, ServerHealth> {
    return new Map(
      [...healthByName].filter(([name]) =>
        this.engines.get(name)?.vm.fabricDomain === domain
      ),
    );
  }

  #sendOrders(
    placement: DomainPlacement,
    healthByName: ReadonlyMap<string, ServerHealth>,
  ): void {
    const orders = planOrders({
      placement,
      healthByVm: this.#getDomainHealth(placement.fabricDomain, healthByName),
      addresses: new Map(
        [...this.engines.values()].map((e) => [e.vm.name, e.vm.address]),
      ),
    });
    orders.forEach(({ vm, order }) => this.engines.get(vm)!.applyOrder(order));
  }

  /** Gets whether a group serves and all its members are up and have loaded its generation. */
  isHealthy(placement: DomainPlacement, group: PlacedGroup): boolean {
    const members = getGroupMembers(placement, group.groupId);
    return group.phase === "serving" && members.length === group.sizeVms &&
      members.every((name) => {
        const engine = this.engines.get(name)!;
        return engine.isUp && engine.order?.groupId === group.groupId &&
          engine.order.generation === group.generation &&
          engine.stepsLeft === 0;
      });
  }

  /** Checks a change of a placement: generations never decrease, healthy groups keep their members, and groups are complete and within their domain. */
  checkChange(
    previousPlacement: DomainPlacement | undefined,
    nextPlacement: DomainPlacement,
  ): void {
    expect(nextPlacement.lastGeneration).toBeGreaterThanOrEqual(
      previousPlacement?.lastGeneration ?? 0,
    );
    for (const group of Object.values(previousPlacement?.groups ?? {})) {
      if (this.isHealthy(previousPlacement!, group)) {
        const nextGroup = nextPlacement.groups[group.groupId];
        expect({ ...nextGroup, phase: "serving" }).toEqual(group);
        expect(getGroupMembers(nextPlacement, group.groupId))
          .toEqual(getGroupMembers(previousPlacement!, group.groupId));
      }
    }
    for (const group of Object.values(nextPlacement.groups)) {
      const previousGroup = previousPlacement?.groups[group.groupId];
      expect(group.generation).toBeLessThanOrEqual(
        nextPlacement.lastGeneration,
      );
      expect(group.generation).toBeGreaterThanOrEqual(
        previousGroup?.generation ?? 0,
      );
      const members = getGroupMembers(nextPlacement, group.groupId);
      expect(members.length).toBe(group.sizeVms);
      expect(members).toContain(group.leader);
      for (const name of members) {
        expect(this.engines.get(name)!.vm.fabricDomain)
          .toBe(nextPlacement.fabricDomain);
      }
    }
  }

  /** Checks that no VM is placed twice and that at most the given number of groups load. */
  checkState(maxLoading: number): void {
    const placedVms = this.placements.flatMap((p) => Object.keys(p.groupByVm));
    expect(new Set(placedVms).size).toBe(placedVms.length);
    const loadingGroups = this.groups.filter((g) => g.phase === "loading");
    expect(loadingGroups.length).toBeLessThanOrEqual(maxLoading);
  }
}

function createSingleDomainSimulation(
  options: { vms: number; count: number },
): PlannerSimulation {
  const simulation = new PlannerSimulation({
    document: createDocument({ zones: ["zone-a"], count: options.count }),
    domains: [{ name: "rack-1", zone: "zone-a", vms: options.vms }],
  });
  simulation.runUntilStable();
  return simulation;
}

const stepArbitrary = fc.oneof(
  fc.record({ type: fc.constant("fail" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("return" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("restart" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("unlist" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("list" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("drain" as const), vm: fc.nat(11) }),
  fc.record({ type: fc.constant("count" as const), count: fc.nat(6) }),
  fc.record({ type: fc.constant("version" as const), count: fc.nat(3) }),
  fc.record({ type: fc.constant("zone" as const), zone: fc.nat(1) }),
  fc.record({
    type: fc.constant("plan" as const),
    planner: fc.nat(1),
    sync: fc.boolean(),
    loseResponse: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("plan" as const),
    planner: fc.nat(1),
    sync: fc.constant(true),
    loseResponse: fc.constant(false),
  }),
);

function applyStep(
  simulation: PlannerSimulation,
  step: typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never,
): void {
  const engines = [...simulation.engines.values()];
  switch (step.type) {
    case "fail":
      engines[step.vm].isUp = false;
      break;
    case "return":
      engines[step.vm].isUp = true;
      break;
    case "restart":
      engines[step.vm].assumeRestart();
      break;
    case "unlist":
      engines[step.vm].isListed = false;
      break;
    case "list":
      engines[step.vm].isListed = true;
      break;
    case "drain":
      simulation.document = {
        ...simulation.document,
        drainedVms: [engines[step.vm].vm.name],
      };
      break;
    case "count":
      simulation.document = structuredClone(simulation.document);
      simulation.document.models[0].placements[0].count = step.count;
      break;
    case "version":
      simulation.document = structuredClone(simulation.document);
      simulation.document.models[0].version = String(step.count);
      break;
    case "zone":
      simulation.closedZones = new Set([["zone-a"], ["zone-b"]][step.zone]);
      break;
    case "plan":
      if (step.sync) {
        simulation.syncPlanner(step.planner);
      }
      simulation.planAll(step.planner, { loseResponse: step.loseResponse });
      simulation.runStep();
      break;
  }
}

describe("planDomain", () => {
  // Guards against desired groups that are not formed although enough VMs are free.
  it("forms the desired number of groups and leaves the remaining VMs free", () => {
    const simulation = createSingleDomainSimulation({ vms: 7, count: 3 });
    expect(simulation.groups.map((g) => g.phase)).toEqual([
      "serving",
      "serving",
      "serving",
    ]);
    expect(Object.keys(simulation.placements[0].groupByVm).length).toBe(6);
  });

  // Guards against the loss of one VM that affects groups which the VM does not belong to.
  it("repairs only the broken group, with a free VM and a new generation", () => {
    const simulation = createSingleDomainSimulation({ vms: 5, count: 2 });
    const [brokenGroup, otherGroup] = simulation.groups;
    const lostVm =
      getGroupMembers(simulation.placements[0], brokenGroup.groupId)[1];
    simulation.engines.get(lostVm)!.isUp = false;
    simulation.runUntilStable();
    const repairedGroup = simulation.groups.find((g) =>
      g.groupId === brokenGroup.groupId
    )!;
    expect(repairedGroup.generation).toBeGreaterThan(brokenGroup.generation);
    expect(repairedGroup.phase).toBe("serving");
    expect(getGroupMembers(simulation.placements[0], brokenGroup.groupId))
      .not.toContain(lostVm);
    expect(simulation.groups).toContainEqual(otherGroup);
  });

  // Guards against surviving members that stay assigned to a group that cannot be completed.
  it("frees the surviving members when no free VM can replace a lost one", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 2 });
    const [brokenGroup, otherGroup] = simulation.groups;
    const members = getGroupMembers(
      simulation.placements[0],
      brokenGroup.groupId,
    );
    simulation.engines.get(members[0])!.isUp = false;
    simulation.runUntilStable();
    expect(simulation.groups).toEqual([otherGroup]);
    expect(simulation.placements[0].groupByVm[members[1]]).toBeUndefined();
    expect(simulation.engines.get(members[1])!.order).toBeUndefined();
  });

  // Guards against a running VM that is removed from its group because the VM list lags.
  it("keeps a group whose member responds but is missing from the VM list", () => {
    const simulation = createSingleDomainSimulation({ vms: 5, count: 2 });
    const initialGroups = simulation.groups;
    simulation.engines.get("rack-1-vm-001")!.isListed = false;
    simulation.runUntilStable();
    expect(simulation.groups).toEqual(initialGroups);
  });

  // Guards against a group that stays broken after a member restarted and lost its loaded state.
  it("loads a group again after a member restarted", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 2 });
    simulation.engines.get("rack-1-vm-001")!.assumeRestart();
    simulation.runUntilStable();
    expect(simulation.groups.map((g) => g.phase)).toEqual([
      "serving",
      "serving",
    ]);
  });

  // Guards against a planner that is partitioned from a domain and removes groups that still serve other daemons.
  it("keeps the groups of a domain in which no server responds", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 2 });
    const initialGroups = simulation.groups;
    simulation.engines.forEach((e) => e.isUp = false);
    simulation.runUntilStable();
    expect(simulation.groups).toEqual(initialGroups);
    expect(simulation.placements[0].lostVms?.length).toBe(4);
    simulation.engines.forEach((e) => e.isUp = true);
    simulation.runUntilStable();
    expect(simulation.groups).toEqual(initialGroups);
    expect(simulation.placements[0].lostVms).toEqual([]);
  });

  // Guards against too few serving groups while a fabric domain is lost.
  it("forms the groups of a lost domain in another domain", () => {
    const simulation = new PlannerSimulation({
      document: createDocument({ zones: ["zone-a", "zone-b"], count: 2 }),
      domains: [
        { name: "rack-1", zone: "zone-a", vms: 2 },
        { name: "rack-2", zone: "zone-b", vms: 4 },
      ],
    });
    simulation.runUntilStable();
    simulation.engines.forEach((e) => e.isUp = e.vm.zone !== "zone-a");
    simulation.runUntilStable();
    const servingGroups = simulation.groups
      .filter((g) => g.phase === "serving" && g.zone === "zone-b");
    expect(servingGroups.length).toBe(2);
  });

  // Guards against a group with a drained VM that stops before its replacement serves.
  it("loads a replacement before it drains the group of a drained VM", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 1 });
    const [initialGroup] = simulation.groups;
    const [drainedVm] = getGroupMembers(
      simulation.placements[0],
      initialGroup.groupId,
    );
    simulation.document = { ...simulation.document, drainedVms: [drainedVm] };
    const servingGroupIds: string[] = [];
    for (let round = 0; round < 20; round++) {
      simulation.syncPlanner(0);
      simulation.planAll(0);
      simulation.runStep();
      const servingGroups = simulation.groups.filter((g) =>
        g.phase === "serving"
      );
      servingGroupIds.push(servingGroups.map((g) => g.groupId).join());
      expect(servingGroups.length).toBeGreaterThanOrEqual(1);
    }
    expect(servingGroupIds.at(-1)).not.toContain(initialGroup.groupId);
    expect(simulation.placements[0].groupByVm[drainedVm]).toBeUndefined();
  });

  // Guards against a rolling replacement that takes more than one group out of service at a time.
  it("rolls out a new version with at most one group out of service", () => {
    const simulation = new PlannerSimulation({
      document: createDocument({ zones: ["zone-a", "zone-b"], count: 4 }),
      domains: [
        { name: "rack-1", zone: "zone-a", vms: 4 },
        { name: "rack-2", zone: "zone-b", vms: 4 },
      ],
    });
    simulation.runUntilStable();
    simulation.document = structuredClone(simulation.document);
    simulation.document.models[0].version = "2";
    for (let round = 0; round < 60; round++) {
      simulation.syncPlanner(0);
      simulation.planAll(0);
      simulation.runStep();
      const servingGroups = simulation.groups.filter((g) =>
        g.phase === "serving"
      );
      expect(servingGroups.length).toBeGreaterThanOrEqual(3);
    }
    expect(simulation.groups.map((g) => `${g.modelVersion} ${g.phase}`))
      .toEqual(Array(4).fill("2 serving"));
  });

  // Guards against groups of a removed model that keep their VMs occupied.
  it("drains the groups of a removed model and unloads their members", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 2 });
    simulation.document = { ...simulation.document, models: [] };
    simulation.runUntilStable();
    expect(simulation.groups).toEqual([]);
    expect([...simulation.engines.values()].map((e) => e.order))
      .toEqual(Array(4).fill(undefined));
  });

  // Guards against groups that keep serving in a zone that was taken out, or that are not formed again after the zone is back in service.
  it("drains the groups of a zone that is taken out and loads them again when it is back", () => {
    const simulation = createSingleDomainSimulation({ vms: 4, count: 2 });
    simulation.closedZones = new Set(["zone-a"]);
    simulation.runUntilStable();
    expect(simulation.groups).toEqual([]);
    simulation.closedZones = new Set();
    simulation.runUntilStable();
    expect(simulation.groups.map((g) => g.phase)).toEqual([
      "serving",
      "serving",
    ]);
  });

  // Guards against an engine that refuses all orders because its generation is higher than that of a restored placement object.
  it("uses a generation above the highest one that an engine reports", () => {
    const simulation = new PlannerSimulation({
      document: createDocument({ zones: ["zone-a"], count: 1 }),
      domains: [{ name: "rack-1", zone: "zone-a", vms: 2 }],
    });
    simulation.engines.get("rack-1-vm-002")!.generation = 9;
    simulation.runUntilStable();
    expect(simulation.groups.map((g) => g.phase)).toEqual(["serving"]);
    expect(simulation.groups[0].generation).toBeGreaterThan(9);
  });

  // Guards against a server that fails repeatedly and breaks a group each time.
  it("does not place groups on a server that restarts repeatedly", () => {
    const simulation = createSingleDomainSimulation({ vms: 5, count: 2 });
    const flappingEngine = simulation.engines.get("rack-1-vm-001")!;
    for (let round = 0; round < 3; round++) {
      flappingEngine.assumeRestart();
      simulation.runUntilStable();
    }
    expect(simulation.placements[0].groupByVm["rack-1-vm-001"]).toBeUndefined();
    expect(simulation.groups.map((g) => g.phase)).toEqual([
      "serving",
      "serving",
    ]);
  });

  // Guards against rule violations in rare sequences of losses, recoveries, list lags, configuration changes and concurrent planners.
  it("violates no placement rule in random sequences of events with two concurrent planners", () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const simulation = new PlannerSimulation({
          document: createDocument({ zones: ["zone-a", "zone-b"], count: 4 }),
          domains: [
            { name: "rack-1", zone: "zone-a", vms: 5 },
            { name: "rack-2", zone: "zone-a", vms: 3 },
            { name: "rack-3", zone: "zone-b", vms: 4 },
          ],
          planners: 2,
        });
        for (const step of steps) {
          applyStep(simulation, step);
          simulation.checkState(2 * simulation.document.weightLoadsAtOnce);
        }
      }),
      { numRuns: 300 },
    );
  });

  // Guards against a healthy group that is drained because another server is lost or recovers, or because the VM list lags.
  it("drains no group without a change of the configuration", () => {
    const serverEventArbitrary = stepArbitrary.filter((s) =>
      ["fail", "return", "restart", "unlist", "list", "plan"].includes(s.type)
    );
    fc.assert(
      fc.property(
        fc.array(serverEventArbitrary, { maxLength: 60 }),
        (steps) => {
          const simulation = new PlannerSimulation({
            document: createDocument({ zones: ["zone-a"], count: 5 }),
            domains: [{ name: "rack-1", zone: "zone-a", vms: 12 }],
            planners: 2,
          });
          simulation.runUntilStable(8);
          for (const step of steps) {
            applyStep(simulation, step);
            simulation.checkState(2 * simulation.document.weightLoadsAtOnce);
            expect(simulation.groups.filter((g) => g.phase === "draining"))
              .toEqual([]);
          }
        },
      ),
      { numRuns: 300 },
    );
  });
});
