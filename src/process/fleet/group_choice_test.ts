import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../bench/load/seeded_random.ts";
import { chooseGroup, type GroupCandidate } from "./group_choice.ts";

const SLOTS = 14;
const STALENESS_MS = 300;
const DURATION_MS = 1_000;
const STEP_MS = 10;

describe("chooseGroup", () => {
  function createCandidates(loads: readonly number[]): GroupCandidate[] {
    return loads.map((load) => ({ load, slots: SLOTS, penalty: 0 }));
  }

  /** Simulates a steady stream of requests to many daemons that exchange their loads every 300 ms. Returns the fraction of requests that were sent to a group without a free slot. */
  function doTest(options: {
    daemons: number;
    groups: number;
    requestsPerSecond: number;
    choose: typeof chooseGroup;
  }): number {
    const random = new SeededRandom(7);
    const { daemons, groups, requestsPerSecond, choose } = options;
    const endTimesMs: number[][] = Array.from({ length: groups }, () => []);
    const getLoads = (nowMs: number) =>
      endTimesMs.map((list) => list.filter((endMs) => endMs > nowMs).length);
    let reportedLoads = getLoads(0);
    let sentSinceReport = Array.from(
      { length: daemons },
      () => new Array<number>(groups).fill(0),
    );
    let sentCount = 0;
    let overflowCount = 0;
    for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
      if (nowMs % STALENESS_MS === 0) {
        reportedLoads = getLoads(nowMs);
        sentSinceReport = sentSinceReport.map((list) => list.map(() => 0));
      }
      for (let i = 0; i < requestsPerSecond * STEP_MS / 1_000; i++) {
        const daemon = Math.floor(random.getFloat() * daemons);
        const knownLoads = reportedLoads.map((load, g) =>
          load + sentSinceReport[daemon][g]
        );
        const groupIndex = choose(createCandidates(knownLoads), {
          stalenessMs: STALENESS_MS,
          durationMs: DURATION_MS,
          peersShare: 1 - 1 / daemons,
        }, random.getFloat()) ?? 0;
        sentSinceReport[daemon][groupIndex]++;
        sentCount++;
        overflowCount += Number(getLoads(nowMs)[groupIndex] >= SLOTS);
        endTimesMs[groupIndex].push(
          nowMs + DURATION_MS * (0.5 + random.getFloat()),
        );
      }
    }
    return overflowCount / sentCount;
  }

  const chooseLeastLoaded: typeof chooseGroup = (candidates) => {
    const loads = candidates.map(({ load }) => load);
    return loads.indexOf(Math.min(...loads));
  };

  // Guards against many daemons that send to the same group between two exchanges. 71 daemons send 300 requests per second to 40 groups of 14 slots. If each chose the least loaded group, requests would wait at an engine while half of the slots are free.
  it("spreads the requests that many daemons send between two exchanges", () => {
    const pattern = { daemons: 71, groups: 40, requestsPerSecond: 300 };
    expect(doTest({ ...pattern, choose: chooseLeastLoaded }))
      .toBeGreaterThan(0.2);
    expect(doTest({ ...pattern, choose: chooseGroup })).toBeLessThan(0.01);
  });

  it("chooses the least loaded group when there is no other daemon", () => {
    const unreported = { stalenessMs: 0, durationMs: 1_000, peersShare: 0 };
    const candidates = createCandidates([3, 1, 2]);
    expect(chooseGroup(candidates, unreported, 0.99)).toBe(1);
  });

  it("does not choose a group without a free slot", () => {
    const unreported = { stalenessMs: 300, durationMs: 300, peersShare: 1 };
    const candidates = createCandidates([SLOTS, SLOTS - 1, SLOTS]);
    expect(chooseGroup(candidates, unreported, 0.5)).toBe(1);
    expect(chooseGroup(createCandidates([SLOTS]), unreported, 0.5))
      .toBeUndefined();
  });

  it("never chooses a group whose load is above the water level", () => {
    const unreported = { stalenessMs: 100, durationMs: 1_000, peersShare: 1 };
    const candidates = createCandidates([0, 0, 9]);
    for (let random = 0; random < 1; random += 0.05) {
      expect(chooseGroup(candidates, unreported, random)).not.toBe(2);
    }
  });
});
