import { readFileSync } from "node:fs";
import { mkdir, mkdtemp, readdir, readFile, rm } from "node:fs/promises";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { FakeObjectStore } from "../fakes/fake_object_store.ts";
import {
  createClientHeaders,
  createPlatformConfig,
  MODEL_HEADERS,
} from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import { SoakDaemon } from "./soak/soak_daemon.ts";

const ZONES = ["z1", "z2", "z3"];
const EVENT_COUNT = 22;
const EVENT_MS = 30;
const CLOCK_TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
/** Time that a fleet gets to form its groups, in milliseconds. */
const FORMATION_MS = 6_000;
/** Number of functions that the summary of a profile lists. */
const PROFILE_ROWS = 60;

const args = await yargs(hideBin(process.argv))
  .usage(
    "$0 [options]",
    "Measures the processor time of daemons in processes of their own: start, idle, and for each request",
  )
  .option("daemons", { type: "number", default: 14 })
  .option("servers", {
    type: "number",
    default: 24,
    describe: "Number of model servers",
  })
  .option("rate", {
    type: "number",
    default: 3,
    describe: "Model requests a second at each daemon",
  })
  .option("seconds", {
    type: "number",
    default: 10,
    describe: "Duration of the idle phase and of the load, in seconds",
  })
  .option("program", {
    type: "string",
    default: fileURLToPath(new URL("../platform/main.js", import.meta.url)),
    describe: "Path of the built daemon",
  })
  .option("profile", {
    type: "string",
    describe: "Directory for processor profiles of all daemons",
  })
  .strict()
  .parse();

await runBench();

async function runBench(): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), "fleet-cost-"));
  const store = new FakeObjectStore();
  await store.start();
  const config = createPlatformConfig(1);
  config.Services[0].Engine!.Slots = 14;
  store.putObject("config", "main", config);
  const fleet = new Map<string, FakeBackendServer>();
  for (let i = 0; i < args.servers; i++) {
    const zone = ZONES[i % ZONES.length];
    await new FakeBackendServer({
      id: `m${i}`,
      service: "models",
      zone,
      domain: `${zone}-d${Math.floor(i / ZONES.length / 8)}`,
      store,
      fleet,
      runs: [],
      eventCount: EVENT_COUNT,
      eventMs: EVENT_MS,
    }).start();
  }
  if (args.profile !== undefined) {
    await mkdir(args.profile, { recursive: true });
  }
  const daemons = Array.from(
    { length: args.daemons },
    (_, index) =>
      new SoakDaemon({
        index,
        zone: ZONES[index % ZONES.length],
        directory,
        storeAddress: store.address,
        program: args.program,
        nodeOptions: args.profile === undefined
          ? (process.env.FLAGS ?? "--max-old-space-size=160").split(" ")
          : [
            "--cpu-prof",
            `--cpu-prof-dir=${args.profile}`,
            "--cpu-prof-interval=200",
          ],
      }),
  );
  await Promise.all(daemons.map((daemon) => daemon.start()));
  await delay(FORMATION_MS);
  const afterStart = readProcessorTimes(daemons);
  await delay(args.seconds * MS_PER_SECOND);
  const afterIdle = readProcessorTimes(daemons);
  const results = await runLoad(daemons);
  const afterLoad = readProcessorTimes(daemons);
  const idleMs = afterIdle.map((ms, i) => (ms - afterStart[i]) / args.seconds);
  const loadMs = afterLoad.map((ms, i) => ms - afterIdle[i]);
  const requestMs = loadMs.map((ms, i) =>
    (ms - idleMs[i] * args.seconds) * daemons.length / results.sent
  );
  process.stdout.write(
    [
      `daemons ${daemons.length}, servers ${args.servers}, requests ${results.sent}, complete ${results.complete}`,
      `start to ${FORMATION_MS} ms: ${
        describe(afterStart)
      } ms of processor time`,
      `idle: ${describe(idleMs)} ms a second`,
      `load: ${describe(requestMs)} ms a request`,
      "",
    ].join("\n"),
  );
  await Promise.all(daemons.map((daemon) => daemon.stopForever()));
  await rm(directory, { recursive: true, force: true });
  if (args.profile !== undefined) {
    await printProfiles(args.profile);
  }
  process.exit(0);
}

async function runLoad(
  daemons: readonly SoakDaemon[],
): Promise<{ sent: number; complete: number }> {
  const agent = new Agent({ keepAlive: true });
  const endMs = performance.now() + args.seconds * MS_PER_SECOND;
  let sent = 0;
  let complete = 0;
  const pending: Promise<void>[] = [];
  const callers = daemons.map(async (daemon, index) => {
    while (performance.now() < endMs) {
      const call = sendRequest(daemon, agent, `r${index}-${sent++}`);
      pending.push(call.then((isComplete) => {
        complete += isComplete ? 1 : 0;
      }));
      await delay(
        MS_PER_SECOND / args.rate * (0.5 + Math.random()),
      );
    }
  });
  await Promise.all(callers);
  await Promise.all(pending);
  agent.destroy();
  return { sent, complete };
}

function sendRequest(
  daemon: SoakDaemon,
  agent: Agent,
  requestId: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const req = request({
      ...daemon.callerAddress,
      agent,
      method: "POST",
      path: "/model/1",
      headers: {
        ...createClientHeaders(requestId, "key-1", 6_000),
        ...MODEL_HEADERS,
      },
    }, (res) => {
      res.resume();
      res.on("end", () => resolve(res.statusCode === 200));
      res.on("error", () => resolve(false));
    });
    req.on("error", () => resolve(false));
    req.end("body");
  });
}

function readProcessorTimes(daemons: readonly SoakDaemon[]): number[] {
  return daemons.map(({ pid }) => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
      .split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return ticks * MS_PER_SECOND / CLOCK_TICKS_PER_SECOND;
  });
}

function describe(values: readonly number[]): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return `mean ${mean.toFixed(1)}, most ${Math.max(...values).toFixed(1)}`;
}

/** Prints the functions with the most self time over all profiles. */
async function printProfiles(directory: string): Promise<void> {
  const selfMs = new Map<string, number>();
  let totalMs = 0;
  for (const file of await readdir(directory)) {
    const { nodes, samples, timeDeltas } = JSON.parse(
      await readFile(join(directory, file), "utf8"),
    );
    const namesById = new Map<number, string>(
      nodes.map((
        { id, callFrame }: {
          id: number;
          callFrame: { functionName: string; url: string; lineNumber: number };
        },
      ) => [
        id,
        `${callFrame.functionName} ${
          callFrame.url.split("/").at(-1)
        }:${callFrame.lineNumber}`,
      ]),
    );
    samples.forEach((id: number, i: number) => {
      const name = namesById.get(id)!;
      const ms = timeDeltas[i] / MICROSECONDS_PER_MS;
      if (!name.startsWith("(idle)")) {
        selfMs.set(name, (selfMs.get(name) ?? 0) + ms);
        totalMs += ms;
      }
    });
  }
  process.stdout.write(`profiles: ${totalMs.toFixed(0)} ms\n`);
  [...selfMs].sort(([, a], [, b]) => b - a).slice(0, PROFILE_ROWS)
    .forEach(([name, ms]) =>
      process.stdout.write(`${ms.toFixed(0).padStart(7)} ms  ${name}\n`)
    );
}
