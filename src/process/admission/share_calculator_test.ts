import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { getLaneCapacity, LANES } from "./capacity.ts";
import { getHomes, getLaneOwners } from "./home_selection.ts";
import { ShareCalculator } from "./share_calculator.ts";

const HOLD_DOWN_MS = 1_000;
const GROUP = { groupId: "group-1", zone: "zone-1" };

function createCandidates(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    name: `entry-${index}`,
    zone: `zone-${index % 3}`,
  }));
}

describe("home selection", () => {
  // Guards against more than eight homes, and against a first home in another zone.
  it("chooses at most eight homes, the first one in the group's zone", () => {
    const candidates = createCandidates(420);
    const homes = getHomes(GROUP, candidates);
    const first = candidates.find((c) => c.name === homes[0]);
    expect(homes.length).toBeLessThanOrEqual(LANES);
    expect(first?.zone).toBe("zone-1");
    expect(getHomes(GROUP, [])).toEqual([]);
  });

  // Guards against a loss of one VM that moves lanes of the others.
  it("moves only the lanes of a VM that leaves", () => {
    const candidates = createCandidates(12);
    const before = getLaneOwners(GROUP, candidates);
    const after = getLaneOwners(
      GROUP,
      candidates.filter((c) => c.name !== before[0]),
    );
    before.forEach((owner, lane) => {
      expect(after[lane] === owner || owner === before[0]).toBe(true);
    });
  });

  // Guards against slots or tokens that are lost or doubled by rounding.
  it("splits the whole into whole numbers", () => {
    for (const slots of [1, 7, 16, 33]) {
      const whole = { slots, tokens: slots * 1_001 };
      const lanes = Array.from(
        { length: LANES },
        (_, lane) => getLaneCapacity(whole, lane),
      );
      expect(lanes.reduce((s, l) => s + l.slots, 0)).toBe(whole.slots);
      expect(lanes.reduce((s, l) => s + l.tokens, 0)).toBe(whole.tokens);
      expect(lanes[0].slots).toBeGreaterThan(0);
    }
  });
});

describe("ShareCalculator", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a restarted daemon that uses shares which another one still holds.
  it("owns nothing before the hold-down has passed", () => {
    const calculator = new ShareCalculator({
      name: "entry-0",
      holdDownMs: HOLD_DOWN_MS,
    });
    calculator.observe(createCandidates(1));
    vi.advanceTimersByTime(HOLD_DOWN_MS - 1);
    expect(calculator.getOwnLanes(GROUP)).toEqual([]);
    vi.advanceTimersByTime(1);
    expect(calculator.getOwnLanes(GROUP)).toHaveLength(LANES);
  });

  // Guards against a share that shrinks late or grows early.
  it("shrinks at once and grows after the hold-down", () => {
    const calculator = new ShareCalculator({
      name: "entry-0",
      holdDownMs: HOLD_DOWN_MS,
    });
    calculator.observe(createCandidates(1));
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    calculator.observe(createCandidates(8));
    const shrunk = calculator.getOwnLanes(GROUP).length;
    expect(shrunk).toBeLessThan(LANES);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    calculator.observe(createCandidates(1));
    expect(calculator.getOwnLanes(GROUP)).toHaveLength(shrunk);
    expect(calculator.hasUnlistedNames()).toBe(true);
    vi.advanceTimersByTime(1);
    calculator.observe(createCandidates(1));
    expect(calculator.hasUnlistedNames()).toBe(false);
    expect(calculator.getOwnLanes(GROUP)).toHaveLength(LANES);
  });
});
