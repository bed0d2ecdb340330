import process from "node:process";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { AdmissionGroup } from "./support/admission_group.ts";

const NAMES = ["e0", "e1", "e2", "e3", "e4"];
const RUNS = Number(process.env.ADMISSION_RUNS ?? 60);

const stepArbitrary = fc.oneof(
  fc.record({
    type: fc.constantFrom("start", "stop", "remove"),
    daemon: fc.constantFrom(...NAMES),
  }),
  fc.record({
    type: fc.constant("request"),
    daemon: fc.constantFrom(...NAMES),
    count: fc.integer({ min: 1, max: 12 }),
    tokens: fc.integer({ min: 1, max: 300 }),
    durationMs: fc.integer({ min: 1, max: 4_000 }),
    alone: fc.integer({ min: 0, max: 9 }).map((n) => n === 0),
  }),
  fc.record({
    type: fc.constant("faults"),
    loseRequests: fc.boolean(),
    loseResponses: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("wait"),
    waitMs: fc.integer({ min: 1, max: 2_500 }),
  }),
);

type Step = {
  type: string;
  daemon?: string;
  count?: number;
  tokens?: number;
  durationMs?: number;
  alone?: boolean;
  loseRequests?: boolean;
  loseResponses?: boolean;
  waitMs?: number;
};

describe("shared admission under faults", () => {
  let aloneGrantCount = 0;

  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function applyStep(group: AdmissionGroup, step: Step): Promise<void> {
    const member = group.members.get(step.daemon ?? "");
    if (step.type === "start") {
      group.start(step.daemon!);
    } else if (step.type === "stop") {
      group.stop(step.daemon!);
    } else if (step.type === "remove") {
      group.remove(step.daemon!);
    } else if (step.type === "faults") {
      group.faults.loseRequests = step.loseRequests!;
      group.faults.loseResponses = step.loseResponses!;
    } else if (step.type === "wait") {
      await vi.advanceTimersByTimeAsync(step.waitMs!);
    } else if (member !== undefined) {
      for (let index = 0; index < step.count!; index++) {
        void group.request(member, {
          tokens: step.tokens!,
          durationMs: step.durationMs!,
          alone: step.alone,
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
    for (const step of steps) {
      await applyStep(group, step);
      await vi.advanceTimersByTimeAsync(20);
      expect(group.peakSlots).toBeLessThanOrEqual(group.model.slotsPerGroup);
      expect(group.peakTokens).toBeLessThanOrEqual(
        group.model.kvTokensPerGroup,
      );
    }
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.peakSlots).toBeLessThanOrEqual(group.model.slotsPerGroup);
    expect(group.peakTokens).toBeLessThanOrEqual(group.model.kvTokensPerGroup);
    expect(group.aloneViolations).toBe(0);
    aloneGrantCount += group.aloneGrantCount;
    NAMES.forEach((name) => group.stop(name));
    await vi.advanceTimersByTimeAsync(100);
    return group.grantCount;
  }

  // Guards against any interleaving of joins, leaves, restarts, outdated VM lists, loans and lost responses that admits more than the group's capacity (I3).
  it("never admits more requests or tokens than the group has", async () => {
    let grantCount = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
        fc.integer({ min: 1, max: 2 ** 31 }),
        async (steps, seed) => {
          grantCount += await doTest(steps, seed);
        },
      ),
      { numRuns: RUNS, endOnFailure: false },
    );
    expect(grantCount).toBeGreaterThan(RUNS);
    expect(aloneGrantCount).toBeGreaterThan(0);
  }, 120_000);
});
