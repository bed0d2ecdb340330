import {
  createEmptyPlacement,
  type DomainPlanInput,
  planDomain,
  updateLostVms,
} from "../src/process/planner/domain_planner.ts";
import {
  countLoadSlots,
  isReplacementTurn,
} from "../src/process/planner/load_slots.ts";
import type { ServerHealth } from "../src/process/planner/server_health.ts";
import { planOrders } from "../src/process/planner/planner_orders.ts";
import {
  type ConfigDocument,
  configSchema,
} from "../src/version/config_schema.ts";
import {
  type DomainAssignment,
  planAssignment,
} from "../src/version/domain_assignment.ts";
import type { DomainPlacement } from "../src/version/placement.ts";
import {
  createModelEngines,
  type ModelEngine,
} from "../tests/support/model_engine.ts";

const MODEL = "model-1";
const GROUP_SIZE_VMS = 4;
const ACCELERATORS_PER_VM = 4;
const VMS_PER_DOMAIN = 20;
const MAX_ZONES = 10;
const MINUTES_PER_DAY = 1_440;
const LOSSES_PER_SERVER_AND_DAY = 16 / 600;
const REPLACEMENTS_PER_SERVER_AND_DAY = 160 / 600;
/** Time from the loss of a VM until it returns, in minutes. */
const OUTAGE_MINUTES = 240;
/** Time for which a VM is listed as leaving before it stops, in minutes. */
const NOTICE_MINUTES = 5;
/** Time from the stop of a replaced VM until its replacement starts, in minutes. */
const REPLACEMENT_MINUTES = 10;
/** Time that an engine takes to load weights, in minutes. */
const WEIGHT_LOAD_MINUTES = 5;
const CONCURRENT_WEIGHT_LOADS = 4;

/**
 * Strategy of group formation.
 *
 * - `planner`: the daemon's planner.
 * - `no-spares`: the daemon's planner, without the VMs that no group uses after the first formation.
 * - `re-plan`: each change in a fabric domain dissolves and re-forms all its groups.
 */
export type FormationStrategy = "planner" | "no-spares" | "re-plan";

/** Options of a scenario. */
export interface ScenarioOptions {
  readonly servers: number;
  /** Wanted number of groups. */
  readonly groups: number;
  /** Simulated duration after all wanted groups have formed, in days. */
  readonly days: number;
  readonly seed: number;
  readonly strategy: FormationStrategy;
}

/** Result of a scenario. */
export interface ScenarioResult {
  readonly way: FormationStrategy;
  readonly groups: number;
  readonly losses: number;
  readonly replacements: number;
  /** Hours in which wanted groups did not serve, summed over all groups. */
  readonly groupDownHours: number;
  /** Share of the time in which wanted groups served, from 0 to 1, over all groups. */
  readonly availability: number;
  /** Mean number of accelerators of live VMs outside complete groups. */
  readonly strandedAccelerators: number;
  /** Number of orders, of any kind, that engines accepted after the first formation. */
  readonly loadOrders: number;
}

interface PendingEvent {
  readonly minute: number;
  readonly engine: ModelEngine;
  readonly type: "leave" | "stop" | "return";
}

/** Simulation of VM failures and planner decisions in steps of one minute. */
export class PlannerScenario {
  readonly domains: string[];
  readonly #options: ScenarioOptions;
  readonly #document: ConfigDocument;
  readonly #engines: Map<string, ModelEngine>;
  readonly #enginesByDomain = new Map<string, ModelEngine[]>();
  readonly #placements = new Map<string, DomainPlacement>();
  readonly #leavingVms = new Set<string>();
  readonly #removedSpares = new Set<string>();
  readonly #drainStepsByGroup = new Map<string, number>();
  readonly #domainsToPlan = new Set<string>();
  #pendingEvents: PendingEvent[] = [];
  #random: () => number;
  #losses = 0;
  #replacements = 0;

  constructor(options: ScenarioOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    const domainCount = options.servers / VMS_PER_DOMAIN;
    const domains = Array.from({ length: domainCount }, (_, index) => ({
      name: `rack-${String(index + 1).padStart(2, "0")}`,
      zone: `zone-${index % Math.min(MAX_ZONES, domainCount)}`,
      vms: VMS_PER_DOMAIN,
    }));
    this.domains = domains.map((d) => d.name);
    this.#document = createDocument(options, domains.map((d) => d.zone));
    this.#engines = createModelEngines(domains, {
      loadSteps: WEIGHT_LOAD_MINUTES,
    });
    for (const domain of domains) {
      this.#enginesByDomain.set(
        domain.name,
        [...this.#engines.values()]
          .filter((e) => e.vm.fabricDomain === domain.name),
      );
      this.#placements.set(
        domain.name,
        createEmptyPlacement(domain.name, domain.zone),
      );
    }
  }

  /** Runs the scenario over all days. */
  run(): ScenarioResult {
    this.runUntilFormed();
    if (this.#options.strategy === "no-spares") {
      this.#removeSpares();
    }
    const ordersBefore = this.#countOrders();
    const minutes = this.#options.days * MINUTES_PER_DAY;
    let downMinutes = 0;
    let strandedMinutes = 0;
    for (let minute = 0; minute < minutes; minute++) {
      this.#applyEvents(minute);
      this.#runStep();
      const servingGroupCount = this.#countServingGroups();
      downMinutes += Math.max(0, this.#options.groups - servingGroupCount);
      strandedMinutes += this.#countLiveVms() -
        servingGroupCount * GROUP_SIZE_VMS;
    }
    const wantedMinutes = minutes * this.#options.groups;
    return {
      way: this.#options.strategy,
      groups: this.#options.groups,
      losses: this.#losses,
      replacements: this.#replacements,
      groupDownHours: Math.round(downMinutes / 60),
      availability: Number((1 - downMinutes / wantedMinutes).toFixed(5)),
      strandedAccelerators: Math.round(
        strandedMinutes / minutes * ACCELERATORS_PER_VM,
      ),
      loadOrders: this.#countOrders() - ordersBefore,
    };
  }

  /** Runs steps without failures until all wanted groups serve. */
  runUntilFormed(): void {
    this.domains.forEach((domain) => this.#domainsToPlan.add(domain));
    while (this.#countServingGroups() < this.#options.groups) {
      this.#runStep();
    }
  }

  /** Plans the number of groups of each fabric domain. */
  getAssignment(): DomainAssignment {
    return planAssignment({
      document: this.#document,
      vms: [...this.#engines.values()].filter((e) => this.#isListed(e))
        .map((e) => this.#getVm(e)),
      placements: [...this.#placements.values()],
      isZoneOpen: () => true,
    });
  }

  /**
   * Creates the planner's input for a fabric domain.
   *
   * @param domain - Name of the fabric domain.
   * @param assignment - Group counts by fabric domain.
   */
  createInput(domain: string, assignment: DomainAssignment): DomainPlanInput {
    const engines = this.#enginesByDomain.get(domain)!;
    const placements = [...this.#placements.values()];
    const placement = this.#placements.get(domain)!;
    return {
      document: this.#document,
      vms: engines.filter((e) => this.#isListed(e)).map((e) => this.#getVm(e)),
      healthByVm: this.#getHealthByName(domain),
      placement,
      desiredGroupCounts: assignment.get(domain)!,
      idleGroupIds: new Set(
        Object.keys(placement.groups)
          .filter((id) => (this.#drainStepsByGroup.get(id) ?? 0) >= 2),
      ),
      loadSlots: countLoadSlots(this.#document, placements),
      isReplacementTurn: (model) =>
        isReplacementTurn({
          document: this.#document,
          placements,
          fabricDomain: domain,
          model,
        }),
      zoneOpen: true,
      zoneTakesNewWork: true,
    };
  }

  #isListed(engine: ModelEngine): boolean {
    return engine.isListed && !this.#removedSpares.has(engine.vm.name);
  }

  #getVm(engine: ModelEngine): ModelEngine["vm"] {
    return this.#leavingVms.has(engine.vm.name)
      ? { ...engine.vm, state: "leaving" }
      : engine.vm;
  }

  #getHealthByName(domain: string): Map<string, ServerHealth> {
    return new Map(
      this.#enginesByDomain.get(domain)!
        .filter((e) => !this.#removedSpares.has(e.vm.name))
        .map((e) => [e.vm.name, {
          status: e.getStatus(this.#engines),
          isLost: !e.isUp,
          isBackedOff: false,
        }]),
    );
  }

  #removeSpares(): void {
    for (const engine of this.#engines.values()) {
      const placement = this.#placements.get(engine.vm.fabricDomain!)!;
      if (placement.groupByVm[engine.vm.name] === undefined) {
        this.#removedSpares.add(engine.vm.name);
      }
    }
  }

  #applyEvents(minute: number): void {
    for (const engine of this.#engines.values()) {
      // The draw covers the minutes of a day, so that each comparison below holds with the probability of the event in one minute.
      const uniformDraw = this.#random() * MINUTES_PER_DAY;
      if (!engine.isUp || this.#leavingVms.has(engine.vm.name)) {
        continue;
      }
      if (uniformDraw < LOSSES_PER_SERVER_AND_DAY) {
        this.#losses++;
        engine.isUp = false;
        this.#addEvent({
          minute: minute + OUTAGE_MINUTES,
          engine,
          type: "return",
        });
        this.#recordChange(engine);
      } else if (
        uniformDraw <
          LOSSES_PER_SERVER_AND_DAY + REPLACEMENTS_PER_SERVER_AND_DAY
      ) {
        this.#replacements++;
        this.#addEvent({ minute, engine, type: "leave" });
        const stopMinute = minute + NOTICE_MINUTES;
        this.#addEvent({ minute: stopMinute, engine, type: "stop" });
        this.#addEvent({
          minute: stopMinute + REPLACEMENT_MINUTES,
          engine,
          type: "return",
        });
      }
    }
    const dueEvents = this.#pendingEvents.filter((e) => e.minute <= minute);
    this.#pendingEvents = this.#pendingEvents.filter((e) => e.minute > minute);
    dueEvents.forEach((event) => this.#applyEvent(event));
  }

  #addEvent(event: PendingEvent): void {
    this.#pendingEvents.push(event);
  }

  #applyEvent({ engine, type }: PendingEvent): void {
    if (type === "leave") {
      this.#leavingVms.add(engine.vm.name);
    } else if (type === "stop") {
      engine.isUp = false;
    } else {
      this.#leavingVms.delete(engine.vm.name);
      engine.assumeRestart();
    }
    this.#recordChange(engine);
  }

  #recordChange(engine: ModelEngine): void {
    const domain = engine.vm.fabricDomain!;
    this.#domainsToPlan.add(domain);
    if (this.#options.strategy === "re-plan") {
      this.#placements.set(domain, {
        ...this.#placements.get(domain)!,
        groups: {},
        groupByVm: {},
      });
    }
  }

  #runStep(): void {
    this.#engines.forEach((engine) => engine.runStep());
    for (const domain of this.#domainsToPlan) {
      const placement = this.#placements.get(domain)!;
      this.#placements.set(
        domain,
        updateLostVms(placement, this.#getHealthByName(domain)),
      );
    }
    if (this.#domainsToPlan.size > 0) {
      const domainsInOrder = [...this.#domainsToPlan].sort();
      this.#domainsToPlan.clear();
      const assignment = this.getAssignment();
      for (const domain of domainsInOrder) {
        this.#planDomain(domain, assignment);
      }
      this.#addUnsettledDomains();
    }
  }

  #planDomain(domain: string, assignment: DomainAssignment): void {
    const plan = planDomain(this.createInput(domain, assignment));
    this.#placements.set(domain, plan.placement);
    const orders = planOrders({
      placement: plan.placement,
      healthByVm: this.#getHealthByName(domain),
      addresses: new Map(),
    });
    orders.forEach(({ vm, order }) => this.#engines.get(vm)!.applyOrder(order));
  }

  /** Adds the domains whose groups do not serve or differ from the assignment, so that the next step plans them again. */
  #addUnsettledDomains(): void {
    const assignment = this.getAssignment();
    for (const [domain, placement] of this.#placements) {
      const groups = Object.values(placement.groups);
      const unsettledGroups = groups.filter((g) => g.phase !== "serving");
      unsettledGroups.filter((g) => g.phase === "draining").forEach((g) =>
        this.#drainStepsByGroup.set(
          g.groupId,
          (this.#drainStepsByGroup.get(g.groupId) ?? 0) + 1,
        )
      );
      const wantedGroupCount = assignment.get(domain)?.get(MODEL) ?? 0;
      if (
        unsettledGroups.length > 0 || groups.length !== wantedGroupCount ||
        this.#hasBrokenMember(placement)
      ) {
        this.#domainsToPlan.add(domain);
      }
    }
  }

  #hasBrokenMember(placement: DomainPlacement): boolean {
    return Object.entries(placement.groupByVm).some(([vm, groupId]) => {
      const engine = this.#engines.get(vm)!;
      return !engine.isUp || engine.order?.groupId !== groupId;
    });
  }

  #countServingGroups(): number {
    let servingGroupCount = 0;
    for (const [domain, placement] of this.#placements) {
      const readyMembersByGroup = new Map<string, number>();
      for (const engine of this.#enginesByDomain.get(domain)!) {
        const groupId = placement.groupByVm[engine.vm.name];
        const group = placement.groups[groupId];
        if (
          group?.phase === "serving" && engine.isUp &&
          !this.#leavingVms.has(engine.vm.name) &&
          engine.order?.generation === group.generation &&
          engine.stepsLeft === 0
        ) {
          readyMembersByGroup.set(
            groupId,
            (readyMembersByGroup.get(groupId) ?? 0) + 1,
          );
        }
      }
      servingGroupCount += [...readyMembersByGroup.values()]
        .filter((members) => members === GROUP_SIZE_VMS).length;
    }
    return servingGroupCount;
  }

  #countLiveVms(): number {
    return [...this.#engines.values()]
      .filter((e) => e.isUp && !this.#leavingVms.has(e.vm.name)).length;
  }

  #countOrders(): number {
    return [...this.#engines.values()]
      .reduce((sum, engine) => sum + engine.orders, 0);
  }
}

function createDocument(
  options: ScenarioOptions,
  zones: readonly string[],
): ConfigDocument {
  const zoneNames = [...new Set(zones)];
  return configSchema.parse({
    schemaVersion: 1,
    zones: zoneNames.map((name) => ({ name, region: "region-1" })),
    models: [{
      name: MODEL,
      groupSizeVms: GROUP_SIZE_VMS,
      placements: [{ zones: zoneNames, count: options.groups }],
      slotsPerGroup: 4,
      kvTokensPerGroup: 1_000,
    }],
    clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
    weightLoadsAtOnce: CONCURRENT_WEIGHT_LOADS,
  });
}

/** Creates a seeded generator of numbers from 0 up to, but not including, 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
  };
}
