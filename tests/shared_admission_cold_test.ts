import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { AdmissionGroup } from "./support/admission_group.ts";

const NAMES = ["e0", "e1", "e2", "e3", "e4"];
const RUNS = 40;

const stepArbitrary = fc.record({
  type: fc.constantFrom(
    "start",
    "remove",
    "cold",
    "ready",
    "request",
    "request",
    "request",
    "wait",
  ),
  daemon: fc.constantFrom(...NAMES),
  count: fc.integer({ min: 1, max: 8 }),
  durationMs: fc.integer({ min: 50, max: 3_000 }),
  waitMs: fc.integer({ min: 1, max: 2_500 }),
  loseResponses: fc.boolean(),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

describe("shared admission of a cold group", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function applyStep(group: AdmissionGroup, step: Step): Promise<void> {
    const member = group.members.get(step.daemon);
    if (step.type === "start") {
      group.start(step.daemon);
    } else if (step.type === "remove") {
      group.remove(step.daemon);
    } else if (step.type === "cold") {
      group.turnCold();
    } else if (step.type === "ready") {
      group.turnReady();
    } else if (step.type === "wait") {
      group.faults.loseResponses = step.loseResponses;
      await vi.advanceTimersByTimeAsync(step.waitMs);
    } else if (member !== undefined) {
      for (let index = 0; index < step.count; index++) {
        void group.request(member, {
          tokens: 10,
          durationMs: step.durationMs,
        });
      }
    }
  }

  async function doTest(steps: readonly Step[], seed: number): Promise<number> {
    let randomState = seed;
    const group = new AdmissionGroup({
      model: {},
      random: () => {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 2 ** 32;
      },
    });
    NAMES.slice(0, 3).forEach((name) => group.start(name));
    await vi.advanceTimersByTimeAsync(2_000);
    group.turnCold();
    for (const step of steps) {
      await applyStep(group, step);
      await vi.advanceTimersByTimeAsync(20);
    }
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.peakColdExcess).toBeLessThanOrEqual(0);
    expect(group.peakSlots).toBeLessThanOrEqual(group.model.slotsPerGroup);
    NAMES.forEach((name) => group.stop(name));
    await vi.advanceTimersByTimeAsync(100);
    return group.coldGrantCount;
  }

  // Guards against a cold group that receives more requests than its warm-up limiter allows while daemons join and leave, responses are lost and the first home changes (I3).
  it(
    "never sends a cold group more requests than its warm-up limiter allows",
    async () => {
      let grantCount = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.array(stepArbitrary, { minLength: 5, maxLength: 30 }),
          fc.integer({ min: 1, max: 2 ** 31 }),
          async (steps, seed) => {
            grantCount += await doTest(steps, seed);
          },
        ),
        { numRuns: RUNS, endOnFailure: true },
      );
      expect(grantCount).toBeGreaterThan(RUNS);
    },
    120_000,
  );
});
