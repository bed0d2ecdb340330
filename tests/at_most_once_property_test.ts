import process from "node:process";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { ServiceDeployment } from "./support/service_deployment.ts";

const DEFAULT_SEED = 20_261_204;
const RUNS = 25;
const TEST_TIMEOUT_MS = 120_000;

/** Request, fault or wait in a generated sequence. */
type Step =
  | { type: "send"; key: number; daemon: number; body: string }
  | {
    type: "send-with-deadline";
    key: number;
    daemon: number;
    deadlineMs: number;
  }
  | { type: "store"; down: boolean }
  | { type: "store-slow"; delayMs: number }
  | { type: "store-drop"; responses: number; down: boolean }
  | { type: "service-drop"; responses: number }
  | { type: "service-slow"; delayMs: number }
  | { type: "wait"; durationMs: number };

const keyArbitrary = fc.nat({ max: 1 });
const daemonArbitrary = fc.nat({ max: 1 });
const sendArbitrary = fc.record({
  type: fc.constant("send" as const),
  key: keyArbitrary,
  daemon: daemonArbitrary,
  body: fc.constantFrom("hotel", "hotel", "hotel", "other"),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { arbitrary: sendArbitrary, weight: 8 },
  {
    arbitrary: fc.record({
      type: fc.constant("send-with-deadline" as const),
      key: keyArbitrary,
      daemon: daemonArbitrary,
      deadlineMs: fc.integer({ min: 1, max: 150 }),
    }),
    weight: 2,
  },
  fc.record({ type: fc.constant("store" as const), down: fc.boolean() }),
  fc.record({
    type: fc.constant("store-slow" as const),
    delayMs: fc.constantFrom(0, 50, 300),
  }),
  fc.record({
    type: fc.constant("store-drop" as const),
    responses: fc.integer({ min: 1, max: 3 }),
    down: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("service-drop" as const),
    responses: fc.constant(1),
  }),
  fc.record({
    type: fc.constant("service-slow" as const),
    delayMs: fc.constantFrom(0, 50, 200, 400),
  }),
  fc.record({
    type: fc.constant("wait" as const),
    durationMs: fc.integer({ min: 1, max: 200 }),
  }),
);

describe("at most once under generated faults", () => {
  // Guards against combinations of store and service faults that make a key run twice or a verdict wrong.
  it("runs each key at most once and returns correct verdicts", async () => {
    const seed = Number(process.env.FC_SEED ?? DEFAULT_SEED);
    process.stdout.write(`fast-check seed: ${seed} (FC_SEED)\n`);
    const deployment = await ServiceDeployment.start();
    let sequenceCount = 0;
    try {
      await fc.assert(
        fc.asyncProperty(
          fc.array(stepArbitrary, { minLength: 4, maxLength: 14 }),
          async (steps) => {
            await runSteps(deployment, {
              steps,
              prefix: `s${++sequenceCount}`,
            });
            expect(deployment.collectViolations()).toEqual([]);
          },
        ),
        { seed, numRuns: RUNS, endOnFailure: true },
      );
    } finally {
      await deployment.dispose();
    }
    const codes = new Set(deployment.responses.map((r) => r.code ?? "success"));
    process.stdout.write(
      `${deployment.responses.length} responses: ${[...codes].join(", ")}\n`,
    );
  }, TEST_TIMEOUT_MS);
});

async function runSteps(
  deployment: ServiceDeployment,
  sequence: { steps: readonly Step[]; prefix: string },
): Promise<void> {
  const { platform, service } = deployment;
  const pendingResponses: Promise<unknown>[] = [];
  for (const step of sequence.steps) {
    switch (step.type) {
      case "send":
      case "send-with-deadline":
        pendingResponses.push(deployment.send({
          address: deployment.daemons[step.daemon].callerAddress,
          key: `${sequence.prefix}-${step.key}`,
          body: step.type === "send" ? step.body : "hotel",
          deadlineMs: step.type === "send" ? undefined : step.deadlineMs,
        }));
        await delay(20);
        break;
      case "store":
        platform.faults.down = step.down;
        break;
      case "store-slow":
        platform.faults.delayMs = step.delayMs;
        break;
      case "store-drop":
        platform.faults.dropAnswerNext = step.responses;
        platform.faults.downAfterDrop = step.down;
        break;
      case "service-drop":
        service.faults.dropAnswerNext = step.responses;
        break;
      case "service-slow":
        service.faults.delayMs = step.delayMs;
        break;
      case "wait":
        await delay(step.durationMs);
        break;
    }
  }
  await Promise.all(pendingResponses);
  Object.assign(platform.faults, {
    down: false,
    downAfterDrop: false,
    delayMs: 0,
    dropAnswerNext: 0,
  });
  Object.assign(service.faults, { delayMs: 0, dropAnswerNext: 0 });
  for (const index of [0, 1]) {
    await deployment.send({
      address: deployment.daemons[index].callerAddress,
      key: `${sequence.prefix}-${index}`,
    });
  }
}
