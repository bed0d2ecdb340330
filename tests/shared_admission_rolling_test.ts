import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  AdmissionGroup,
  type AdmissionMember,
} from "./support/admission_group.ts";

const DAEMONS = 7;
const STEP_MS = 50;

describe("rolling replacement of all daemons", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createGroup(seed: number): AdmissionGroup {
    let randomState = seed;
    return new AdmissionGroup({
      model: {},
      random: () => {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 2 ** 32;
      },
    });
  }

  function countUsableSlots(group: AdmissionGroup): number {
    return [...group.members.values()].reduce(
      (sum, m) => sum + m.admission.ledger.getOwnShare("rack-1-1").slots,
      0,
    );
  }

  async function waitUntilReady(
    group: AdmissionGroup,
    member: AdmissionMember,
  ): Promise<{ leastSlots: number; waitedMs: number }> {
    let leastSlots = countUsableSlots(group);
    let waitedMs = 0;
    while (!member.admission.isReady() && waitedMs < 60_000) {
      await vi.advanceTimersByTimeAsync(STEP_MS);
      waitedMs += STEP_MS;
      leastSlots = Math.min(leastSlots, countUsableSlots(group));
    }
    return { leastSlots, waitedMs };
  }

  /** Replaces all daemons one by one and returns the lowest number of usable slots during each replacement. */
  async function doTest(seed: number, pauseMs = 0): Promise<number[]> {
    const group = createGroup(seed);
    // Each seed gives the daemons other names, and their ranks depend on the names.
    const firstIndex = seed * 100;
    for (let index = 0; index < DAEMONS; index++) {
      group.start(`e${firstIndex + index}`);
    }
    await vi.advanceTimersByTimeAsync(2_000);
    const leastSlotsPerStep: number[] = [];
    for (let index = 0; index < DAEMONS; index++) {
      const newDaemon = group.start(`e${firstIndex + DAEMONS + index}`);
      const { leastSlots } = await waitUntilReady(group, newDaemon);
      await vi.advanceTimersByTimeAsync(pauseMs);
      group.remove(`e${firstIndex + index}`);
      leastSlotsPerStep.push(Math.min(leastSlots, countUsableSlots(group)));
    }
    group.members.forEach((m) => group.stop(m.name));
    await vi.advanceTimersByTimeAsync(100);
    return leastSlotsPerStep;
  }

  // Guards against a new deployment that waits longer than the hold-down, the lag of the VM list and one settlement together.
  it("uses all slots of a new deployment after the hold-down", async () => {
    const group = createGroup(7);
    for (let index = 0; index < DAEMONS; index++) {
      group.start(`e${index}`);
    }
    // With the settings of this test the hold-down is 1,100 ms and the lag of the VM list 400 ms.
    await vi.advanceTimersByTimeAsync(2_000);
    expect(countUsableSlots(group)).toBe(group.model.slotsPerGroup);
    group.members.forEach((m) => group.stop(m.name));
    await vi.advanceTimersByTimeAsync(100);
  });

  // Guards against a group without usable shares during a replacement in which each new daemon is ready before an old one leaves.
  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    "never leaves the group without usable shares with seed %i",
    async (seed) => {
      const leastSlotsPerStep = await doTest(seed);
      expect(Math.min(...leastSlotsPerStep)).toBeGreaterThan(0);
    },
  );
});
