import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../bench/load/seeded_random.ts";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { chooseGroup } from "../fleet/group_choice.ts";
import { ServerLoads } from "../fleet/server_loads.ts";
import { applyEstimates, getScaledLoad } from "./candidate_limits.ts";

const SLOTS = 14;
const NO_LIMIT = Number.POSITIVE_INFINITY;

describe("applyEstimates", () => {
  it("gives nothing to apply when no candidate deviates", () => {
    expect(applyEstimates([undefined, undefined], SLOTS)).toBeUndefined();
  });

  it("limits the slots, and leaves at least an eighth of them", () => {
    const estimates = [
      undefined,
      { speed: 0.5, limit: 6.8 },
      { speed: 1, limit: 1 },
    ];
    expect(applyEstimates(estimates, SLOTS)).toEqual([
      { slots: 14, speed: 1 },
      { slots: 6, speed: 0.5 },
      { slots: 2, speed: 1 },
    ]);
  });

  // Guards against a service without a candidate when all its servers are slow.
  it("lets the least degraded candidates serve in full when all are slow", () => {
    const estimates = [{ speed: 0.2, limit: 1 }, { speed: 0.4, limit: 1 }];
    expect(applyEstimates(estimates, SLOTS)).toEqual([
      { slots: 14, speed: 0.5 },
      { slots: 14, speed: 1 },
    ]);
  });
});

describe("chooseGroup", () => {
  /** Chooses the group as before speeds were considered. */
  function chooseWithoutSpeeds(
    candidates: readonly { load: number; slots: number; penalty: number }[],
    unreportedRequests: number,
    random: number,
  ): number | undefined {
    const groups = candidates.flatMap(({ load, slots, penalty }, index) =>
      load < slots ? [{ index, level: load + penalty }] : []
    ).sort((a, b) => a.level - b.level);
    if (groups.length === 0) {
      return undefined;
    }
    const volume = unreportedRequests + 1;
    let waterLevel = Number.NaN;
    let filled = 0;
    for (let i = 1; i < groups.length && Number.isNaN(waterLevel); i++) {
      const capacity = (groups[i].level - groups[i - 1].level) * i;
      if (filled + capacity >= volume) {
        waterLevel = groups[i - 1].level + (volume - filled) / i;
      } else {
        filled += capacity;
      }
    }
    if (Number.isNaN(waterLevel)) {
      waterLevel = groups[groups.length - 1].level +
        (volume - filled) / groups.length;
    }
    let remaining = random * volume;
    for (const { index, level } of groups) {
      remaining -= Math.max(0, waterLevel - level);
      if (remaining < 0) {
        return index;
      }
    }
    return groups[0].index;
  }

  // Guards against a change of the choice while all groups are alike.
  it("chooses as before among groups that do not deviate", () => {
    const random = new SeededRandom(1);
    for (let i = 0; i < 2_000; i++) {
      const candidates = Array.from(
        { length: 1 + random.getInteger(12) },
        () => ({
          load: random.getInteger(SLOTS + 1),
          slots: SLOTS,
          penalty: random.getInteger(3) * 3,
        }),
      );
      const inFlight = candidates.reduce((sum, { load }) => sum + load, 0);
      const draw = random.getFloat();
      const unreported = {
        stalenessMs: 100,
        durationMs: 1_000,
        peersShare: 0.9,
      };
      const expected = chooseWithoutSpeeds(
        candidates,
        inFlight * 0.9 * 0.1,
        draw,
      );
      expect(chooseGroup(candidates, unreported, draw)).toBe(expected);
    }
  });

  it("counts a group of half the speed as twice as loaded", () => {
    const alone = { stalenessMs: 0, durationMs: 1_000, peersShare: 0 };
    const choose = (usualLoad: number) =>
      chooseGroup(
        [
          { load: usualLoad, slots: SLOTS, penalty: 0 },
          { load: 2, slots: SLOTS, penalty: 0, speed: 0.5 },
        ],
        alone,
        0.5,
      );
    expect(getScaledLoad(2, 0.5)).toBe(5);
    expect(choose(4)).toBe(0);
    expect(choose(6)).toBe(1);
  });
});

describe("ServerLoads", () => {
  const servers = ["a", "b"].map((id) => createBackendServer({ id, slots: 8 }));

  it("prefers the usual server until it has more requests for its speed", () => {
    const loads = new ServerLoads({
      findEstimate: ({ id }) =>
        id === "a" ? { speed: 0.25, limit: NO_LIMIT } : undefined,
    });
    const chosen = Array.from({ length: 10 }, () => {
      const server = loads.chooseServer(servers, "z")!;
      loads.addRequest(server.id);
      return server.id;
    });
    expect(chosen.filter((id) => id === "a")).toHaveLength(2);
  });

  // Guards against a service that stalls when its only server is limited.
  it("chooses a server above its limit when there is no other", () => {
    const loads = new ServerLoads({
      findEstimate: () => ({ speed: 0.1, limit: 1 }),
    });
    loads.addRequest("a");
    expect(loads.chooseServer([servers[0]], "z")?.id).toBe("a");
  });

  it("spreads requests evenly over servers that do not deviate", () => {
    const loads = new ServerLoads({ findEstimate: () => undefined });
    for (let i = 0; i < 10; i++) {
      loads.addRequest(loads.chooseServer(servers, "z")!.id);
    }
    expect([loads.getLoad("a"), loads.getLoad("b")]).toEqual([5, 5]);
  });
});
