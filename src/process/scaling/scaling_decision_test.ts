import { describe, expect, it } from "vitest";
import {
  decideAdditions,
  getKeptServers,
  type ModelDemand,
  type ScalingState,
  type ZoneServers,
} from "./scaling_decision.ts";
import { getExpectedGroups } from "./usable_groups.ts";

/** Creates the state of 3 zones with 2 domains of 10 servers each, in groups of 4 with 24 slots: 12 groups with 288 slots. */
function createState(
  demand: Partial<ModelDemand>,
  zones: Partial<Record<string, Partial<ZoneServers>>> = {},
): ScalingState {
  const servers = ["a", "b", "c"].map((zone): ZoneServers => ({
    zone,
    count: 20,
    recentPeak: 20,
    ordered: undefined,
    orderAgeMs: Number.POSITIVE_INFINITY,
    isReached: true,
    ...zones[zone],
  }));
  return {
    limits: { minServers: 4, maxServers: 100, bootMs: 8_000 },
    slots: 24,
    demands: [{
      model: "m",
      groupSize: 4,
      lasting: 0,
      lastingPeak: 0,
      peak: 0,
      ...demand,
    }],
    domains: servers.flatMap(({ zone, count }) =>
      [0, 1].map((i) => ({
        domain: `${zone}${i}`,
        zone,
        model: "m",
        count: count / 2,
      }))
    ),
    zones: servers,
    hasLostServers: false,
  };
}

describe("decideAdditions", () => {
  it("orders nothing while the servers carry 1.6 times the lasting demand", () => {
    expect(decideAdditions(createState({ lasting: 180 }))).toEqual([]);
    expect(decideAdditions(createState({ lasting: 190 })).length).toBe(3);
  });

  // Guards against the removal of servers that run but are cut off from the store.
  it("orders no count below the recent one, or the last ordered one", () => {
    const demand = { lasting: 160 };
    const missing = { count: 8, recentPeak: 40 };
    expect(decideAdditions(createState(demand, { a: missing }))).toContainEqual(
      { zone: "a", count: 40, reason: "demand" },
    );
    const ordered = { ...missing, ordered: 36 };
    expect(decideAdditions(createState(demand, { a: ordered }))).toContainEqual(
      { zone: "a", count: 36, reason: "demand" },
    );
  });

  // Guards against a further order in each second while ordered servers start, and against one that never comes when they do not.
  it("counts servers that are starting, for twice the time that a start takes", () => {
    const [{ count }] = decideAdditions(createState({ lasting: 190 }));
    const order = { ordered: count, isReached: false, orderAgeMs: 1_000 };
    const demand = { lasting: 230 };
    const zones = { a: order, b: order, c: order };
    expect(decideAdditions(createState(demand))[0].count)
      .toBeGreaterThan(count);
    expect(decideAdditions(createState(demand, zones))).toEqual([]);
    const overdue = { ...order, ordered: 21, orderAgeMs: 17_000 };
    expect(
      decideAdditions(createState(demand, { a: overdue })).map(({ zone }) =>
        zone
      ),
    ).toEqual(["a", "b", "c"]);
  });

  // Guards against requests that wait for seconds after a loss that uses up the headroom.
  it("waits after a loss of servers, unless the rest hardly carries the demand", () => {
    const lost = { ...createState({ lasting: 190 }), hasLostServers: true };
    expect(decideAdditions(lost)).toEqual([]);
    const urgent = { ...createState({ lasting: 250 }), hasLostServers: true };
    expect(decideAdditions(urgent)[0].reason).toBe("urgent");
  });
});

describe("getKeptServers", () => {
  // Guards against a model that the loss of one domain takes out of service.
  it("keeps groups in two domains without demand", () => {
    const kept = getKeptServers(createState({}));
    // Zones with one domain's group in expectation need about 5 of 10 servers in one domain.
    expect(kept).toBeGreaterThanOrEqual(6);
    expect(kept).toBeLessThan(12);
  });

  it("keeps slots for the peak, and for twice the lasting demand", () => {
    const lasting = getKeptServers(createState({ lastingPeak: 60 }));
    expect(getKeptServers(createState({ lastingPeak: 60, peak: 100 })))
      .toBe(lasting);
    expect(getKeptServers(createState({ lastingPeak: 60, peak: 150 })))
      .toBeGreaterThan(lasting);
  });

  // Guards against a model whose groups are mostly in one zone.
  it("keeps slots for the lasting demand after the loss of any zone", () => {
    const state = createState({ lastingPeak: 40, peak: 40 });
    const domains = state.domains.map((domain) =>
      domain.zone === "a" || domain.domain === "b0"
        ? domain
        : { ...domain, model: "other" }
    );
    const kept = getKeptServers({ ...state, domains });
    // Without zone a, only domain b0 is left.
    const groups = getExpectedGroups(
      { count: 10, zoneCount: 20, zoneDomains: 2 },
      kept,
      { groupSize: 4, spares: 1 },
    );
    expect(groups * 24).toBeGreaterThanOrEqual(40);
  });
});
