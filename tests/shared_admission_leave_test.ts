import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { AdmissionGroup } from "./support/admission_group.ts";

const NAMES = ["e0", "e1", "e2"];

describe("shared admission after a daemon has left", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function requestFromAll(group: AdmissionGroup, count: number): void {
    for (const member of group.members.values()) {
      for (let index = 0; index < count; index++) {
        void group.request(member, { tokens: 10, durationMs: 4_500 });
      }
    }
  }

  async function doTest(lender: string): Promise<AdmissionGroup> {
    const group = new AdmissionGroup({ model: {}, random: () => 0.5 });
    NAMES.forEach((name) => group.start(name));
    await vi.advanceTimersByTimeAsync(3_000);
    // The requests make the other daemons borrow all shares of the daemon that leaves.
    const borrowers = [...group.members.values()].filter((m) =>
      m.name !== lender
    );
    for (const member of borrowers) {
      for (let index = 0; index < 10; index++) {
        void group.request(member, { tokens: 10, durationMs: 4_500 });
      }
    }
    await vi.advanceTimersByTimeAsync(200);
    group.remove(lender);
    for (let step = 0; step < 130; step++) {
      requestFromAll(group, 1);
      await vi.advanceTimersByTimeAsync(30);
    }
    group.members.forEach((m) => group.stop(m.name));
    await vi.advanceTimersByTimeAsync(100);
    return group;
  }

  // Guards against a borrower that takes over the partitions of a lender that left and counts the same slots twice, as a loan and as its own share (I3).
  it.each(NAMES)(
    "keeps the slot limit when the lender %s leaves",
    async (lender) => {
      const group = await doTest(lender);
      expect(group.peakSlots).toBeLessThanOrEqual(group.model.slotsPerGroup);
    },
  );
});
