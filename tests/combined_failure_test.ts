import process from "node:process";
import fc from "fast-check";
import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  CombinedFaults,
  FAULT_NAMES,
  type FaultName,
} from "./support/combined_faults.ts";

const SEED = Number(process.env.COMBINED_SEED ?? 20_261_204);
const RUNS = Number(process.env.COMBINED_RUNS ?? 2);
/** Time after which no further sequence is generated, in milliseconds. */
const TIME_LIMIT_MS = 35_000;
const TEST_TIMEOUT_MS = 60_000;

describe("combined failures", () => {
  let combined: CombinedFaults | undefined;

  afterEach(async () => {
    await combined?.dispose();
    combined = undefined;
  });

  interface FaultPair {
    readonly faults: readonly [FaultName, FaultName];
    /** Time for which both faults last, in milliseconds. */
    readonly holdMs: number;
  }

  // Guards against a second fault that breaks the handling of the first. The invariants: responses are complete, a request with the verdict `not-run` has not run, bookings run at most once, cold groups and engine crashes stay within their limits, and each VM belongs to at most one group.
  const pairs: FaultPair[] = [
    { faults: ["store-down", "zone-partition"], holdMs: 2_500 },
    { faults: ["member-lost", "slow-readers"], holdMs: 1_500 },
    { faults: ["engine-cold", "daemon-killed"], holdMs: 1_500 },
    { faults: ["zone-taken-out", "lost-store-responses"], holdMs: 7_000 },
    { faults: ["lease-lapsed", "crash-request"], holdMs: 2_500 },
    { faults: ["list-lag", "new-daemon"], holdMs: 1_500 },
  ];
  it.each(pairs)(
    "keeps the invariants with $faults.0 and $faults.1",
    async ({ faults, holdMs }) => {
      combined = await CombinedFaults.start();
      await delay(300);
      for (const fault of faults) {
        await combined.assumeFault(fault);
      }
      await delay(holdMs);
      await combined.repair();
      await combined.finish();
      expect([...combined.violations]).toEqual([]);
      expect(combined.outcomes.completed).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against more requests to a cold engine than it can run while a network partition separates the daemons that own shares of its group. Seed 1, path 3 of the generated sequences found this failure.
  it(
    "keeps the cold bound without the store and between parted zones",
    async () => {
      combined = await CombinedFaults.start();
      const steps: [FaultName, number][] = [
        ["engine-cold", 314],
        ["store-down", 174],
        ["new-daemon", 199],
        ["zone-partition", 368],
        ["slow-readers", 429],
      ];
      for (const [fault, pauseMs] of steps) {
        await combined.assumeFault(fault);
        await delay(pauseMs);
      }
      await combined.repair();
      await combined.finish();
      expect([...combined.violations]).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );

  const stepArbitrary = fc.record({
    fault: fc.constantFrom(...FAULT_NAMES),
    pauseMs: fc.integer({ min: 50, max: 600 }),
  });

  // Guards against orders and overlaps of faults that the listed cases do not cover.
  it(`keeps the invariants in generated sequences, seed ${SEED}`, async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 3, maxLength: 5 }),
        async (steps) => {
          combined = await CombinedFaults.start();
          for (const step of steps) {
            await combined.assumeFault(step.fault);
            await delay(step.pauseMs);
          }
          await combined.repair();
          await combined.finish();
          expect([...combined.violations]).toEqual([]);
          await combined.dispose();
        },
      ),
      {
        seed: SEED,
        numRuns: RUNS,
        endOnFailure: true,
        interruptAfterTimeLimit: TIME_LIMIT_MS,
      },
    );
  }, TEST_TIMEOUT_MS);
});
