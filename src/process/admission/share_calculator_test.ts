import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { getPartitionCapacity, PARTITIONS_PER_GROUP } from "./capacity.ts";
import { getPartitionOwners, listHomes } from "./home_selection.ts";
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
    const homes = listHomes(GROUP, candidates);
    const firstHome = candidates.find((c) => c.name === homes[0]);
    expect(homes.length).toBeLessThanOrEqual(PARTITIONS_PER_GROUP);
    expect(firstHome?.zone).toBe("zone-1");
    expect(listHomes(GROUP, [])).toEqual([]);
  });

  // Guards against a leaving VM that causes partitions of the other VMs to move.
  it("moves only the partitions of a VM that leaves", () => {
    const candidates = createCandidates(12);
    const ownersBefore = getPartitionOwners(GROUP, candidates);
    const ownersAfter = getPartitionOwners(
      GROUP,
      candidates.filter((c) => c.name !== ownersBefore[0]),
    );
    ownersBefore.forEach((owner, partition) => {
      expect(ownersAfter[partition] === owner || owner === ownersBefore[0])
        .toBe(true);
    });
  });

  // Guards against slots or tokens that are lost or counted twice by rounding.
  it("splits the capacity into partitions of whole numbers", () => {
    for (const slots of [1, 7, 16, 33]) {
      const groupCapacity = { slots, tokens: slots * 1_001 };
      const capacities = Array.from(
        { length: PARTITIONS_PER_GROUP },
        (_, partition) => getPartitionCapacity(groupCapacity, partition),
      );
      expect(capacities.reduce((s, l) => s + l.slots, 0)).toBe(
        groupCapacity.slots,
      );
      expect(capacities.reduce((s, l) => s + l.tokens, 0)).toBe(
        groupCapacity.tokens,
      );
      expect(capacities[0].slots).toBeGreaterThan(0);
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

  // Guards against a restarted daemon that uses a share while another daemon still uses it.
  it("owns nothing before the hold-down has passed", () => {
    const calculator = new ShareCalculator({
      name: "entry-0",
      holdDownMs: HOLD_DOWN_MS,
    });
    calculator.observeVmList(createCandidates(1));
    vi.advanceTimersByTime(HOLD_DOWN_MS - 1);
    expect(calculator.getOwnPartitions(GROUP)).toEqual([]);
    vi.advanceTimersByTime(1);
    expect(calculator.getOwnPartitions(GROUP)).toHaveLength(
      PARTITIONS_PER_GROUP,
    );
  });

  // Guards against a share that shrinks too late or grows too early, so that shares of two daemons overlap.
  it("removes partitions at once and adds them after the hold-down", () => {
    const calculator = new ShareCalculator({
      name: "entry-0",
      holdDownMs: HOLD_DOWN_MS,
    });
    calculator.observeVmList(createCandidates(1));
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    calculator.observeVmList(createCandidates(8));
    const ownPartitionCount = calculator.getOwnPartitions(GROUP).length;
    expect(ownPartitionCount).toBeLessThan(PARTITIONS_PER_GROUP);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    calculator.observeVmList(createCandidates(1));
    expect(calculator.getOwnPartitions(GROUP)).toHaveLength(ownPartitionCount);
    expect(calculator.hasUnlistedVms()).toBe(true);
    vi.advanceTimersByTime(1);
    calculator.observeVmList(createCandidates(1));
    expect(calculator.hasUnlistedVms()).toBe(false);
    expect(calculator.getOwnPartitions(GROUP)).toHaveLength(
      PARTITIONS_PER_GROUP,
    );
  });
});
