import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import "./support/fast_check_seed.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

/** Time for which a configuration is in force before its successor, in milliseconds. */
const CONFIG_INTERVAL_MS = 40;
const CONFIGS_PER_RUN = 10;
const RUNS = 8;
const TEST_TIMEOUT_MS = 120_000;

const numbers = fc.constantFrom(
  0,
  0.001,
  0.5,
  1,
  2,
  7,
  1_000,
  2_147_483_647,
  2_147_483_648,
  Number.MAX_SAFE_INTEGER,
);
const optionalNumbers = fc.option(numbers, { nil: undefined });
const names = fc.constantFrom(
  "models",
  "app",
  "m",
  "m2",
  "__proto__",
  "constructor",
  'a b\n="c"',
  "\u{1F600}",
  "x".repeat(300),
);
const paths = fc.constantFrom("/model/", "/book/", "/look/", "/", "*", "//");

const routes = fc.record({
  Name: names,
  Hostname: fc.constantFrom("app.example", "APP.example", "[::1]", "*"),
  PathPrefix: paths,
  Kind: fc.constantFrom("idempotent", "non_idempotent", "streaming"),
  TimeoutMs: numbers,
  TargetLatencyMs: optionalNumbers,
  GapTargetMs: optionalNumbers,
  Priority: optionalNumbers,
  MaxAttempts: optionalNumbers,
  Public: fc.boolean(),
  Resumable: fc.boolean(),
  Service: names,
  TrafficSplit: fc.option(
    fc.array(fc.record({ Service: names, Weight: numbers }), { maxLength: 3 }),
    { nil: undefined },
  ),
});
const models = fc.record({
  Name: names,
  size: fc.constantFrom(undefined, 1, 2, 7, 1_000, Number.MAX_SAFE_INTEGER),
  Share: optionalNumbers,
  pace: optionalNumbers,
  LoadS: optionalNumbers,
  WarmS: optionalNumbers,
});
const engines = fc.record({
  Slots: numbers,
  KvCapacity: optionalNumbers,
  step_ms: optionalNumbers,
  per_seq_ms: optionalNumbers,
  read_per_s: optionalNumbers,
  Stride: optionalNumbers,
  LoadsPerS: optionalNumbers,
  loads_at_once: optionalNumbers,
  FormMs: optionalNumbers,
  report_lag_ms: optionalNumbers,
  Models: fc.array(models, { minLength: 1, maxLength: 3 }),
});
const services = fc.record({
  Name: names,
  HealthPath: fc.constantFrom("/health", "health", " "),
  MaxConnections: optionalNumbers,
  ColdPerS: optionalNumbers,
  Engine: fc.option(engines, { nil: undefined }),
});
const configs = fc.record({
  Routes: fc.array(routes, { maxLength: 5 }),
  Services: fc.array(services, { maxLength: 4 }),
  Tenants: fc.option(
    fc.array(
      fc.record({
        Name: names,
        ApiKeys: fc.array(fc.constantFrom("key-1", "")),
        Priority: optionalNumbers,
      }),
      { maxLength: 2 },
    ),
    { nil: undefined },
  ),
  Limits: fc.record({
    MaxHeaderBytes: numbers,
    MaxBodyBytes: numbers,
    HeaderTimeoutMs: numbers,
    IdleTimeoutMs: numbers,
  }),
});

describe("odd configurations", () => {
  const deployment = new PlatformDeployment();

  beforeAll(async () => {
    await deployment.start({ daemons: 1, models: 4, eventMs: 20 });
    await deployment.waitUntilServing();
  });
  afterAll(() => deployment.dispose());

  // Guards against a configuration that ends the process or one of its tasks; the test run fails on an error that nothing handles.
  it("leave the daemon in service", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(configs, {
          minLength: CONFIGS_PER_RUN,
          maxLength: CONFIGS_PER_RUN,
        }),
        async (documents) => {
          const responses: Promise<unknown>[] = [];
          for (const document of documents) {
            deployment.writeConfig(document);
            await delay(CONFIG_INTERVAL_MS);
            responses.push(
              deployment.callModel(),
              ...["/book/1", "/look/1"].map((path) =>
                deployment.call(deployment.callerAddresses[0], {
                  method: "POST",
                  path,
                })
              ),
            );
          }
          deployment.writeConfig({});
          await deployment.waitUntilServing();
          await Promise.all(responses);
          expect(
            deployment.events.filter(({ event }) => event === "task-failed"),
          ).toEqual([]);
        },
      ),
      { numRuns: RUNS, endOnFailure: true },
    );
  }, TEST_TIMEOUT_MS);
});
