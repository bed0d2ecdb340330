import { createHash } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { loadavg, tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import got from "got";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Vm } from "../src/connection/vm_directory.ts";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "../tools/program_process.ts";
import type { LoadReport } from "./stream_load.ts";

const API_KEY = "bench-key";
const MODEL = "bench-model";
const ENGINE_COUNT = 4;
const IDLE_ENGINE_COUNT = 60;
const IDLE_GROUP_SIZE_VMS = 4;
/** Time before the idle measurement in which the daemon fills its caches, in milliseconds. */
const IDLE_CACHE_FILL_MS = 5_000;
const IDLE_MEASUREMENT_SECONDS = 20;
const READY_TIMEOUT_MS = 30_000;
/** Clock ticks per second, the unit of CPU times in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100;
const TARGET_TOKENS_PER_SECOND = 30_000;
const TARGET_ADDED_P95_MS = 3;

const lifeCycle = new LifeCycleManager();
const args = await yargs(hideBin(process.argv))
  .option("json", {
    type: "string",
    describe: "Output file for the report as JSON",
  })
  .option("seconds", { type: "number", default: 8 })
  .option("streams", { type: "number", default: 100 })
  .option("rate", { type: "number", default: 100 })
  .option("token-interval-ms", {
    type: "number",
    default: 20,
    describe:
      "Time between two writes of an engine to a stream, in milliseconds",
  })
  .option("tokens-per-interval", {
    type: "number",
    default: 16,
    describe: "Number of tokens that an engine writes to a stream at a time",
  })
  .option("rounds", {
    type: "number",
    default: 3,
    describe:
      "Number of pairs of rate runs, one directly to the engines and one through the daemon",
  })
  .option("idle", {
    type: "boolean",
    default: false,
    describe:
      "Measures CPU time and memory of an idle daemon with 60 engines instead of a daemon under load",
  })
  .option("daemon-node-args", {
    type: "string",
    default: "",
    describe:
      "Node.js arguments of the daemon, separated by spaces, for example --cpu-prof",
  })
  .strict()
  .parse();
try {
  await (args.idle ? runIdleBench() : runBench());
} finally {
  await lifeCycle.dispose();
}

async function runBench(): Promise<void> {
  const { daemon, engines } = await startDeployment({
    engines: ENGINE_COUNT,
    groupSizeVms: 1,
  });
  const directTarget = { targets: engines.join(","), daemonPid: undefined };
  const daemonTarget = { targets: daemon.caller, daemonPid: daemon.pid };
  await runLoad(daemonTarget, ["--mode", "streams", "--streams", "4"], 100);
  const streamArgs = ["--mode", "streams", "--streams", String(args.streams)];
  const rateArgs = ["--mode", "rate", "--rate", String(args.rate)];
  const directStreams = await runLoad(directTarget, streamArgs, 2_000);
  const daemonStreams = await runLoad(daemonTarget, streamArgs, 2_000);
  const directRates: RunReport[] = [];
  const daemonRates: RunReport[] = [];
  // Alternates between direct runs and runs through the daemon, so that other processes on the machine affect both alike.
  for (let round = 0; round < args.rounds; round++) {
    directRates.push(await runLoad(directTarget, rateArgs, 16));
    daemonRates.push(await runLoad(daemonTarget, rateArgs, 16));
  }
  const directRate = mergeRuns(directRates);
  const daemonRate = mergeRuns(daemonRates);
  const addedP95Ms = daemonRate.firstTokenP95Ms - directRate.firstTokenP95Ms;
  await printReport({
    seconds: args.seconds,
    streams: args.streams,
    rate: args.rate,
    rounds: args.rounds,
    directStreams: { ...directStreams, firstTokensMs: undefined },
    daemonStreams: { ...daemonStreams, firstTokensMs: undefined },
    directRate,
    daemonRate,
    addedP50Ms: daemonRate.firstTokenP50Ms - directRate.firstTokenP50Ms,
    addedP95Ms,
    addedP95MsByRound: daemonRates.map((run, index) =>
      run.firstTokenP95Ms - directRates[index].firstTokenP95Ms
    ),
    throughputReached:
      daemonStreams.tokensPerSecond >= TARGET_TOKENS_PER_SECOND,
    addedTimeReached: addedP95Ms <= TARGET_ADDED_P95_MS,
  });
}

/** Measures the CPU time and memory of a daemon that receives no requests. */
async function runIdleBench(): Promise<void> {
  const { daemon } = await startDeployment({
    engines: IDLE_ENGINE_COUNT,
    groupSizeVms: IDLE_GROUP_SIZE_VMS,
  });
  const emptyDaemon = await startProgram<{ ready: boolean }>(
    "bench/empty_daemon.js",
    [],
  );
  await delay(IDLE_CACHE_FILL_MS);
  const cpuSecondsBefore = await readCpuSeconds(daemon.pid);
  await delay(IDLE_MEASUREMENT_SECONDS * 1_000);
  const cpuSecondsAfter = await readCpuSeconds(daemon.pid);
  const residentMb = await readResidentMb(daemon.pid);
  const emptyResidentMb = await readResidentMb(emptyDaemon.pid);
  await printReport({
    engines: IDLE_ENGINE_COUNT,
    loadAverage: loadavg(),
    cpuPercent: (cpuSecondsAfter! - cpuSecondsBefore!) /
      IDLE_MEASUREMENT_SECONDS * 100,
    residentMb,
    emptyResidentMb,
    controlMb: residentMb - emptyResidentMb,
  });
}

async function printReport(report: unknown): Promise<void> {
  const text = `${JSON.stringify(report, undefined, 2)}\n`;
  process.stdout.write(text);
  if (args.json !== undefined) {
    await writeFile(args.json, text);
  }
}

/** Load report with the CPU time of the daemon during the run and the load average of the machine at the end of the run. */
interface RunReport extends LoadReport {
  readonly daemonCpuSeconds?: number;
  readonly loadAverage: number;
}

/** Computes first-token quantiles over the requests of several runs. */
function mergeRuns(runs: readonly RunReport[]) {
  const sortedTimesMs = runs.flatMap((run) => run.firstTokensMs)
    .sort((a, b) => a - b);
  const getQuantile = (quantile: number) =>
    sortedTimesMs[
      Math.min(
        sortedTimesMs.length - 1,
        Math.floor(sortedTimesMs.length * quantile),
      )
    ];
  return {
    requests: sortedTimesMs.length,
    failed: runs.reduce((sum, run) => sum + run.failed, 0),
    firstTokenP50Ms: getQuantile(0.5),
    firstTokenP95Ms: getQuantile(0.95),
    firstTokenP99Ms: getQuantile(0.99),
    daemonCpuSeconds: runs.map((run) => run.daemonCpuSeconds),
    loadAverages: runs.map((run) => run.loadAverage),
  };
}

async function startDeployment(
  options: { engines: number; groupSizeVms: number },
) {
  const platform = await startProgram<{ url: string }>(
    "fakes/platform_main.js",
    [],
  );
  const names = Array.from(
    { length: options.engines },
    (_, index) => `gpu-${index + 1}`,
  );
  // In the load measurement each engine runs in a process of its own, so that engines do not compete for one event loop.
  const namesByProcess = args.idle ? [names] : names.map((name) => [name]);
  const vms: Vm[] = [];
  for (const processNames of namesByProcess) {
    const { result } = await startProgram<
      { addresses: Record<string, string> }
    >("fakes/engine_main.js", [
      ...[
        "--names",
        processNames.join(","),
        "--platform-url",
        platform.result.url,
      ],
      ...["--token-interval-ms", String(args.tokenIntervalMs)],
      ...["--cold-requests", "1000"],
      ...["--warm-after-requests", "1", "--max-running", "1000"],
      ...["--tokens-per-interval", String(args.tokensPerInterval)],
    ]);
    for (const name of processNames) {
      vms.push({
        name,
        role: "backend",
        address: result.addresses[name],
        zone: "zone-a",
        fabricDomain: "rack-1",
        state: "live",
      });
    }
  }
  const engines = vms.map((vm) => vm.address);
  const daemon = await startDaemon(platform.result.url, {
    vms,
    groups: options.engines / options.groupSizeVms,
    groupSizeVms: options.groupSizeVms,
  });
  return { daemon, engines };
}

async function startProgram<T>(
  program: string,
  programArgs: readonly string[],
  nodeArgs: readonly string[] = [],
): Promise<{ result: T; pid: number }> {
  const childProcess = ProgramProcess.start(program, programArgs, { nodeArgs });
  lifeCycle.addCallback(async () => void await childProcess.dispose());
  return {
    result: await childProcess.readFirstLine<T>(),
    pid: childProcess.pid,
  };
}

async function startDaemon(
  platformUrl: string,
  options: { vms: Vm[]; groups: number; groupSizeVms: number },
): Promise<{ caller: string; pid: number }> {
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-bench-"));
  lifeCycle.addCallback(() => rm(directory, { recursive: true }));
  const settingsPath = join(directory, "entry-1.jsonc");
  const settings = {
    name: "entry-1",
    zone: "zone-a",
    platformUrl,
    balancerLagMs: 0,
    logLevel: "warn",
  };
  await writeFile(settingsPath, JSON.stringify(settings));
  const { result, pid } = await startProgram<
    { caller: string; peer: string; operator: string }
  >(
    "src/process/daemon_main.js",
    ["--settings", settingsPath, "--print-addresses"],
    args.daemonNodeArgs.split(" ").filter((arg) => arg !== ""),
  );
  options.vms.push({
    name: "entry-1",
    role: "entry",
    address: result.peer,
    zone: "zone-a",
    state: "live",
  });
  await got.post(`${platformUrl}/control/vms`, { json: options.vms });
  await got.put(`${platformUrl}/v1/objects/config/main`, {
    json: createConfig(options),
    headers: { "if-none-match": "*" },
  });
  await waitUntilServing(result.operator, options.groups);
  return { caller: result.caller, pid };
}

function createConfig(
  options: { groups: number; groupSizeVms: number },
): unknown {
  return {
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    models: [{
      name: MODEL,
      groupSizeVms: options.groupSizeVms,
      placements: [{ zones: ["zone-a"], count: options.groups }],
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

async function waitUntilServing(
  operator: string,
  groups: number,
): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const status = await got(`http://${operator}/api/status`).json<
      { groups: { health: string }[] }
    >();
    const servingGroups = status.groups.filter((g) =>
      g.health === "cold" || g.health === "ready"
    );
    if (servingGroups.length === groups) {
      return;
    }
    await delay(100);
  }
  throw new Error("Not all groups became ready before the timeout");
}

async function runLoad(
  target: { targets: string; daemonPid: number | undefined },
  loadArgs: readonly string[],
  tokens: number,
): Promise<RunReport> {
  const cpuSecondsBefore = await readCpuSeconds(target.daemonPid);
  const { result } = await startProgram<LoadReport>("bench/stream_load.js", [
    ...["--targets", target.targets, "--api-key", API_KEY, "--model", MODEL],
    ...["--seconds", String(args.seconds), "--tokens", String(tokens)],
    ...loadArgs,
  ]);
  const cpuSecondsAfter = await readCpuSeconds(target.daemonPid);
  const [loadAverage] = loadavg();
  return cpuSecondsAfter === undefined || cpuSecondsBefore === undefined
    ? { ...result, loadAverage }
    : {
      ...result,
      loadAverage,
      daemonCpuSeconds: cpuSecondsAfter - cpuSecondsBefore,
    };
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

async function readResidentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
}
