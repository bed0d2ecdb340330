import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { DutyCallOutcome } from "../../connection/duty_client.ts";
import type { DecidedOrder } from "./scaling_decision.ts";
import {
  type ScaledService,
  type ScalingView,
  ServiceScaler,
} from "./service_scaler.ts";

const BOOT_MS = 8_000;
const SERVICE = {
  name: "models",
  engine: {
    slots: 24,
    models: [
      { name: "big", groupSize: 8, loadMs: 16_000 },
      { name: "small", groupSize: 4, loadMs: 12_000 },
    ],
  },
  scaling: { minServers: 26, maxServers: 60, bootMs: BOOT_MS },
} as unknown as ScaledService;
const ZONES = ["a", "b", "c"];
/** Uses a third of the slots of the full fleet. */
const NORMAL = { big: 48, small: 192 };

/** Fleet of 3 zones with 3 domains of 19 servers each, of which the first of a zone serves the big model. Orders are carried out as the platform does: removed servers are taken from the domains in turn, added ones register after `bootMs`. */
class FakeFleet {
  readonly scaler = new ServiceScaler();
  readonly sent: DecidedOrder[] = [];
  readonly domains: Map<string, number> = new Map(
    ZONES.flatMap((zone) => [0, 1, 2].map((i) => [`${zone}${i}`, 19] as const)),
  );
  demand = NORMAL;
  overrides: Partial<ScalingView> = {};
  outcome: DutyCallOutcome = "done";
  dutyMs = 600_000;
  #turn = 0;

  count(zone: string): number {
    return this.#list(zone).reduce((sum, [, count]) => sum + count, 0);
  }

  get total(): number {
    return ZONES.reduce((sum, zone) => sum + this.count(zone), 0);
  }

  /** Runs the decision once in each of some seconds. */
  run(seconds: number): void {
    for (let i = 0; i < seconds; i++) {
      vi.advanceTimersByTime(1_000);
      const view = this.#describe();
      this.scaler.observe(view);
      const { order } = this.scaler.choose(SERVICE, view);
      if (order !== undefined) {
        this.sent.push(order);
        this.scaler.orders.recordOutcome(order, this.outcome);
        if (this.outcome === "done") {
          this.#apply(order);
        }
      }
    }
  }

  #list(zone: string) {
    return [...this.domains].filter(([name]) => name.startsWith(zone));
  }

  #apply({ zone, count }: DecidedOrder): void {
    const missing = count - this.count(zone);
    for (let i = 0; i < Math.abs(missing); i++) {
      const list = this.#list(zone);
      const [name] = list[this.#turn++ % list.length];
      const change = () =>
        this.domains.set(name, this.domains.get(name)! + Math.sign(missing));
      missing < 0 ? change() : setTimeout(change, BOOT_MS);
    }
  }

  #describe(): ScalingView {
    const domains = [...this.domains].filter(([, count]) => count > 0)
      .map(([domain, count]) => ({
        domain,
        zone: domain[0],
        model: domain.endsWith("0") ? "big" : "small",
        count,
      }));
    const zones = ZONES.filter((zone) => this.count(zone) > 0);
    return {
      domains,
      servers: new Map(zones.map((zone) => [zone, this.count(zone)])),
      drainingServers: 0,
      servingGroups: new Map(domains.map(({ domain, model, count }) => [
        domain,
        Math.floor(count / (model === "big" ? 8 : 4)),
      ])),
      requests: new Map(Object.entries(this.demand)),
      waiting: 0,
      isComplete: true,
      excludedZones: 0,
      lostGroups: 0,
      dutyMs: this.dutyMs,
      ...this.overrides,
    };
  }
}

describe("ServiceScaler", () => {
  let fleet: FakeFleet;
  beforeEach(() => {
    vi.useFakeTimers();
    fleet = new FakeFleet();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createDemand(factor: number) {
    return { big: NORMAL.big * factor, small: NORMAL.small * factor };
  }

  // Guards against steps that break up many groups of a zone at once, and against removing the reserve.
  it("scales in by small steps over the zones at a steady low load, and stops at the reserve", () => {
    fleet.run(20);
    expect(fleet.sent).toEqual([]);
    fleet.run(600);
    const steps = fleet.sent.length;
    expect(fleet.sent.every(({ reason }) => reason === "surplus")).toBe(true);
    expect(fleet.total).toBeLessThan(160);
    const counts = ZONES.map((zone) => fleet.count(zone));
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(2);
    // Twice the demand has slots.
    const bigGroups = ZONES.reduce(
      (sum, zone) => sum + Math.floor(fleet.domains.get(`${zone}0`)! / 8),
      0,
    );
    expect(bigGroups * 24).toBeGreaterThanOrEqual(2 * NORMAL.big);
    fleet.run(300);
    expect(fleet.sent).toHaveLength(steps);
  });

  // Guards against alternating orders.
  it("orders no additions in waves of 20%", () => {
    for (let i = 0; i < 20; i++) {
      fleet.demand = createDemand(i % 2 === 0 ? 1.2 : 0.8);
      fleet.run(20);
    }
    expect(fleet.sent.every(({ reason }) => reason === "surplus")).toBe(true);
  });

  // Guards against servers that serve only after the burst that they were ordered for.
  it("orders nothing in a burst of 2.2 times for 5 s, also at the reserve", () => {
    fleet.run(600);
    const steps = fleet.sent.length;
    fleet.demand = createDemand(2.2);
    fleet.run(5);
    fleet.demand = NORMAL;
    fleet.run(20);
    expect(fleet.sent).toHaveLength(steps);
  });

  // Guards against growth that is answered in steps, or repeatedly while servers start.
  it("orders the servers for lasting growth in all zones at once", () => {
    fleet.run(600);
    const before = fleet.total;
    fleet.sent.length = 0;
    fleet.demand = createDemand(2);
    fleet.run(8 + ZONES.length);
    expect(fleet.sent.map(({ zone }) => zone).sort()).toEqual(ZONES);
    fleet.run(30);
    expect(fleet.sent).toHaveLength(ZONES.length);
    expect(fleet.total).toBeGreaterThan(before + 10);
  });

  // Guards against a holder that has to collect a history before it answers growth that began before.
  it("orders the servers for lasting growth at once after a takeover", () => {
    fleet.demand = createDemand(2.5);
    fleet.run(9);
    fleet.scaler.orders.clear();
    fleet.sent.length = 0;
    fleet.dutyMs = 0;
    fleet.run(1);
    expect(fleet.sent.map(({ reason }) => reason)).toEqual(["demand"]);
  });

  // Guards against a fleet without headroom after a zone is gone, and against orders for a zone that returns at once.
  it("adds servers in the other zones after the loss of a zone", () => {
    fleet.demand = createDemand(1.3);
    fleet.run(60);
    fleet.sent.length = 0;
    [0, 1, 2].forEach((i) => fleet.domains.set(`a${i}`, 0));
    fleet.run(5);
    expect(fleet.sent).toEqual([]);
    fleet.run(6);
    expect(fleet.sent.map(({ zone }) => zone)).toEqual(["b", "c"]);
  });

  // Guards against the removal of servers that are only cut off from the store.
  it("orders no count below the recent one when servers are missing", () => {
    fleet.run(10);
    fleet.domains.set("a0", 0);
    fleet.domains.set("b0", 0);
    fleet.demand = createDemand(2);
    fleet.run(20);
    expect(fleet.sent.map(({ zone }) => zone)).toEqual(
      expect.arrayContaining(["a", "b"]),
    );
    fleet.sent.forEach(({ count }) => expect(count).toBeGreaterThanOrEqual(57));
  });

  // Guards against a removal while the state is partial or the fleet has not recovered.
  it.each<[string, Partial<ScalingView>]>([
    ["a peer or a current list is missing", { isComplete: false }],
    ["a zone is excluded", { excludedZones: 1 }],
    ["a group is lost", { lostGroups: 1 }],
    ["a server drains", { drainingServers: 1 }],
    ["groups form", { servingGroups: new Map() }],
    ["requests wait", { waiting: 1 }],
    ["the duty has just been taken over", { dutyMs: 7_000 }],
  ])("removes nothing while %s", (_, overrides) => {
    fleet.overrides = overrides;
    fleet.run(60);
    expect(fleet.sent).toEqual([]);
  });

  // Guards against a removal on a history that a partial view has interrupted.
  it("removes nothing until the view has been complete for as long as the demand has to be low", () => {
    fleet.run(20);
    fleet.overrides = { isComplete: false };
    fleet.run(1);
    fleet.overrides = {};
    fleet.run(20);
    expect(fleet.sent).toEqual([]);
    fleet.run(10);
    expect(fleet.sent.length).toBeGreaterThan(0);
  });

  // Guards against a second step while a crash has already lowered the number.
  it("waits after a crash, and counts the next step from the servers that are left", () => {
    fleet.run(26);
    const first = fleet.sent.at(-1)!;
    fleet.domains.set(
      `${first.zone}1`,
      fleet.domains.get(`${first.zone}1`)! - 1,
    );
    const sentBefore = fleet.sent.length;
    fleet.run(7);
    expect(fleet.sent).toHaveLength(sentBefore);
    fleet.run(40);
    const next = fleet.sent.slice(sentBefore).find(({ zone }) =>
      zone === first.zone
    )!;
    expect(next.count).toBe(first.count - 1 - 2);
  });

  // Guards against a count that removes servers in addition to those that are cut off from the store and still run.
  it("removes nothing for minutes while several servers of a zone are missing", () => {
    fleet.demand = createDemand(0.2);
    fleet.run(10);
    fleet.domains.set("a1", 9);
    fleet.run(200);
    expect(fleet.sent).toEqual([]);
    fleet.domains.set("a1", 19);
    fleet.run(10);
    expect(fleet.sent.length).toBeGreaterThan(0);
  });

  // Guards against a flood of calls to a slow API, and against a removal that is repeated while requests wait.
  it("repeats an order with unknown outcome at a falling rate, and no removal while requests wait", () => {
    fleet.outcome = "unknown";
    fleet.run(60);
    const [first, ...others] = fleet.sent;
    others.forEach((order) =>
      expect(order).toEqual({ ...first, reason: "repeat" })
    );
    expect(others.length).toBeGreaterThan(2);
    expect(others.length).toBeLessThan(10);
    fleet.overrides = { waiting: 1 };
    fleet.sent.length = 0;
    fleet.run(30);
    expect(fleet.sent).toEqual([]);
  });

  // Guards against an order that the platform refused and that is lost, and against a flood of such calls.
  it("tries again later when the rate of calls was exceeded", () => {
    fleet.outcome = "limited";
    fleet.run(60);
    expect(fleet.sent.length).toBeLessThan(10);
    fleet.outcome = "done";
    fleet.run(10);
    expect(fleet.total).toBeLessThan(171);
  });

  // Guards against orders under a token that was refused, or on what an earlier holder ordered.
  it("forgets its orders when it was fenced", () => {
    fleet.outcome = "fenced";
    fleet.run(26);
    expect(fleet.scaler.orders.getCount(fleet.sent[0].zone)).toBeUndefined();
  });
});
