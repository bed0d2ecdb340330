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
    let state = seed;
    return new AdmissionGroup({
      model: {},
      random: () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
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

  /** Replaces all daemons and gets the least usable slots in each step. */
  async function doTest(seed: number, pauseMs = 0): Promise<number[]> {
    const group = createGroup(seed);
    // The names decide the ranks of the daemons.
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

  // Guards against a fresh deployment that waits longer than the hold-down, the lag of the list and one settlement.
  it("serves all slots of a fresh deployment after the hold-down", async () => {
    const group = createGroup(7);
    for (let index = 0; index < DAEMONS; index++) {
      group.start(`e${index}`);
    }
    // The hold-down of the test's settings is 1,100 ms, the lag of the list 400 ms.
    await vi.advanceTimersByTimeAsync(2_000);
    expect(countUsableSlots(group)).toBe(group.model.slotsPerGroup);
    group.members.forEach((m) => group.stop(m.name));
    await vi.advanceTimersByTimeAsync(100);
  });

  // Guards against a replacement that leaves a group without usable shares although each new daemon was ready before the next one left.
  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    "never leaves the group without usable shares with seed %i",
    async (seed) => {
      const leastSlotsPerStep = await doTest(seed);
      expect(Math.min(...leastSlotsPerStep)).toBeGreaterThan(0);
    },
  );
});
