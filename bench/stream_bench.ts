import { createHash } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import got from "got";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Vm } from "../src/connection/vm_directory.ts";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "../tools/child_process.ts";
import type { LoadReport } from "./stream_load.ts";

const API_KEY = "bench-key";
const MODEL = "bench-model";
const ENGINES = 4;
const READY_TIMEOUT_MS = 30_000;
/** Clock ticks a second in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100;
const WANTED_TOKENS_PER_SECOND = 30_000;
const WANTED_ADDED_P95_MS = 3;

const lifeCycle = new LifeCycleManager();
const args = await yargs(hideBin(process.argv))
  .option("json", { type: "string", describe: "File for the report" })
  .option("seconds", { type: "number", default: 8 })
  .option("streams", { type: "number", default: 100 })
  .option("rate", { type: "number", default: 100 })
  .option("token-interval-ms", {
    type: "number",
    default: 20,
    describe: "Time between two writes of an engine to a stream",
  })
  .option("tokens-per-interval", {
    type: "number",
    default: 16,
    describe: "Tokens that an engine adds to a stream with each write",
  })
  .strict()
  .parse();
try {
  await runBench();
} finally {
  await lifeCycle.dispose();
}

async function runBench(): Promise<void> {
  const platform = await startProgram<{ url: string }>(
    "fakes/platform_main.js",
    [],
  );
  const vms: Vm[] = [];
  for (let index = 1; index <= ENGINES; index++) {
    const name = `gpu-${index}`;
    const { result } = await startProgram<
      { addresses: Record<string, string> }
    >("fakes/engine_main.js", [
      ...["--names", name, "--platform-url", platform.result.url],
      ...["--token-interval-ms", String(args.tokenIntervalMs)],
      ...["--cold-requests", "1000"],
      ...["--warm-after-requests", "1", "--max-running", "1000"],
      ...["--tokens-per-interval", String(args.tokensPerInterval)],
    ]);
    vms.push({
      name,
      role: "backend",
      address: result.addresses[name],
      zone: "zone-a",
      fabricDomain: "rack-1",
      state: "live",
    });
  }
  const daemon = await startDaemon(platform.result.url, vms);
  const engines = vms.filter((vm) => vm.role === "backend")
    .map((vm) => vm.address).join(",");
  const direct = { targets: engines, daemonPid: undefined };
  const passed = { targets: daemon.caller, daemonPid: daemon.pid };
  await runLoad(passed, ["--mode", "streams", "--streams", "4"], 100);
  const streams = ["--mode", "streams", "--streams", String(args.streams)];
  const rate = ["--mode", "rate", "--rate", String(args.rate)];
  const report = {
    seconds: args.seconds,
    streams: args.streams,
    rate: args.rate,
    directStreams: await runLoad(direct, streams, 2_000),
    daemonStreams: await runLoad(passed, streams, 2_000),
    directRate: await runLoad(direct, rate, 16),
    daemonRate: await runLoad(passed, rate, 16),
  };
  const addedP95Ms = report.daemonRate.firstTokenP95Ms -
    report.directRate.firstTokenP95Ms;
  const summary = {
    ...report,
    addedP95Ms,
    throughputReached:
      report.daemonStreams.tokensPerSecond >= WANTED_TOKENS_PER_SECOND,
    addedTimeReached: addedP95Ms <= WANTED_ADDED_P95_MS,
  };
  process.stdout.write(`${JSON.stringify(summary, undefined, 2)}\n`);
  if (args.json !== undefined) {
    await writeFile(args.json, `${JSON.stringify(summary, undefined, 2)}\n`);
  }
}

async function startProgram<T>(
  program: string,
  programArgs: readonly string[],
): Promise<{ result: T; pid: number }> {
  const started = ProgramProcess.start(program, programArgs);
  lifeCycle.addCallback(async () => void await started.dispose());
  return { result: await started.readFirstLine<T>(), pid: started.pid };
}

async function startDaemon(
  platformUrl: string,
  vms: Vm[],
): Promise<{ caller: string; pid: number }> {
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-bench-"));
  lifeCycle.addCallback(() => rm(directory, { recursive: true }));
  const file = join(directory, "entry-1.jsonc");
  const settings = {
    name: "entry-1",
    zone: "zone-a",
    platformUrl,
    balancerLagMs: 0,
    logLevel: "warn",
  };
  await writeFile(file, JSON.stringify(settings));
  const { result, pid } = await startProgram<
    { caller: string; peer: string; operator: string }
  >("src/process/daemon_main.js", ["--settings", file, "--print-addresses"]);
  vms.push({
    name: "entry-1",
    role: "entry",
    address: result.peer,
    zone: "zone-a",
    state: "live",
  });
  await got.post(`${platformUrl}/control/vms`, { json: vms });
  await got.put(`${platformUrl}/v1/objects/config/main`, {
    json: createConfig(),
    headers: { "if-none-match": "*" },
  });
  await waitUntilServing(result.operator);
  return { caller: result.caller, pid };
}

function createConfig(): unknown {
  return {
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    models: [{
      name: MODEL,
      groupSizeVms: 1,
      placements: [{ zones: ["zone-a"], count: ENGINES }],
      slotsPerGroup: 1_000,
      coldSlots: 1_000,
      warmAfterRequests: 1,
      kvTokensPerGroup: 10_000_000,
    }],
    clientAccounts: [{
      name: "bench",
      apiKeySha256: [createHash("sha256").update(API_KEY).digest("hex")],
      maxConcurrent: 10_000,
    }],
  };
}

async function waitUntilServing(operator: string): Promise<void> {
  const limitAtMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < limitAtMs) {
    const status = await got(`http://${operator}/api/status`).json<
      { groups: { health: string }[] }
    >();
    const complete = status.groups.filter((g) =>
      g.health === "cold" || g.health === "ready"
    );
    if (complete.length === ENGINES) {
      return;
    }
    await delay(100);
  }
  throw new Error("No complete group came up in time");
}

async function runLoad(
  target: { targets: string; daemonPid: number | undefined },
  loadArgs: readonly string[],
  tokens: number,
): Promise<LoadReport & { daemonCpuSeconds?: number }> {
  const before = await readCpuSeconds(target.daemonPid);
  const { result } = await startProgram<LoadReport>("bench/stream_load.js", [
    ...["--targets", target.targets, "--api-key", API_KEY, "--model", MODEL],
    ...["--seconds", String(args.seconds), "--tokens", String(tokens)],
    ...loadArgs,
  ]);
  const after = await readCpuSeconds(target.daemonPid);
  return after === undefined || before === undefined
    ? result
    : { ...result, daemonCpuSeconds: after - before };
}

async function readCpuSeconds(
  pid: number | undefined,
): Promise<number | undefined> {
  if (pid === undefined) {
    return undefined;
  }
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}
