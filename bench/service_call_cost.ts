import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import got, { type Method } from "got";
import { build } from "hdr-histogram-js";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "../tools/program_process.ts";

const API_KEY = "bench-key";
const CALL_COUNT = 1_000;
const WARM_UP_CALL_COUNT = 100;
const STARTUP_WAIT_MS = 2_000;

interface Measurement {
  readonly name: string;
  readonly method: Method;
  readonly url: string;
  readonly hasIdempotencyKey: boolean;
}

const lifeCycle = new LifeCycleManager();
try {
  await runBench();
} finally {
  await lifeCycle.dispose();
}

async function runBench(): Promise<void> {
  const { url } = await startProgram<{ url: string }>("fakes/platform_main.js");
  const { address } = await startProgram<{ address: string }>(
    "fakes/service_main.js",
  );
  await got.put(`${url}/v1/objects/config/main`, {
    json: createConfig(address),
    headers: { "if-none-match": "*" },
  });
  const daemon = await startDaemon(url);
  await delay(STARTUP_WAIT_MS);
  const service = `http://${daemon}/services/bookings`;
  const measurements: Measurement[] = [
    {
      name: "direct POST",
      method: "POST",
      url: `http://${address}/visits`,
      hasIdempotencyKey: false,
    },
    {
      name: "GET",
      method: "GET",
      url: `${service}/visits`,
      hasIdempotencyKey: false,
    },
    {
      name: "POST without a key",
      method: "POST",
      url: `${service}/visits`,
      hasIdempotencyKey: false,
    },
    {
      name: "POST with a claim",
      method: "POST",
      url: `${service}/visits`,
      hasIdempotencyKey: true,
    },
  ];
  for (const measurement of measurements) {
    await measureCalls(measurement, url);
  }
}

async function measureCalls(
  measurement: Measurement,
  platformUrl: string,
): Promise<void> {
  const histogram = build();
  const countsBefore = await getStoreCounts(platformUrl);
  for (let index = -WARM_UP_CALL_COUNT; index < CALL_COUNT; index++) {
    const startedAtMs = performance.now();
    await got(measurement.url, {
      method: measurement.method,
      body: measurement.method === "POST" ? "hotel" : undefined,
      headers: {
        authorization: `Bearer ${API_KEY}`,
        "idempotency-key": measurement.hasIdempotencyKey
          ? `${measurement.name}-${index}`
          : undefined,
      },
      retry: { limit: 0 },
    });
    if (index >= 0) {
      histogram.recordValue((performance.now() - startedAtMs) * 1_000);
    }
  }
  const countsAfter = await getStoreCounts(platformUrl);
  const writes = (countsAfter.writes - countsBefore.writes) /
    (CALL_COUNT + WARM_UP_CALL_COUNT);
  process.stdout.write(
    `${measurement.name}: p50 ${formatMs(histogram.getValueAtPercentile(50))}` +
      `, p95 ${formatMs(histogram.getValueAtPercentile(95))}` +
      `, store writes per call ${writes.toFixed(2)}\n`,
  );
}

async function getStoreCounts(url: string): Promise<{ writes: number }> {
  return await got(`${url}/control/counts`).json();
}

function formatMs(microseconds: number): string {
  return `${(microseconds / 1_000).toFixed(2)} ms`;
}

async function startProgram<T>(program: string): Promise<T> {
  const child = ProgramProcess.start(program, []);
  lifeCycle.addCallback(async () => void await child.dispose());
  return await child.readFirstLine<T>();
}

async function startDaemon(platformUrl: string): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-"));
  lifeCycle.addCallback(() => rm(directory, { recursive: true, force: true }));
  const file = join(directory, "settings.jsonc");
  await writeFile(
    file,
    JSON.stringify({
      name: "entry-1",
      zone: "zone-a",
      platformUrl,
      balancerLagMs: 0,
      logLevel: "error",
    }),
  );
  const child = ProgramProcess.start("src/process/daemon_main.js", [
    "--settings",
    file,
    "--print-addresses",
  ]);
  lifeCycle.addCallback(async () => void await child.dispose());
  return (await child.readFirstLine<{ caller: string }>()).caller;
}

function createConfig(address: string): unknown {
  return {
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    services: [{
      name: "bookings",
      backends: [{ address, zone: "zone-a" }],
      nonRepeatable: [{ method: "POST", path: "/visits*" }],
    }],
    clientAccounts: [{
      name: "account-1",
      apiKeySha256: [createHash("sha256").update(API_KEY).digest("hex")],
    }],
  };
}
