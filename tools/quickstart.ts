import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import got from "got";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Vm } from "../src/connection/vm_directory.ts";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import type { DaemonAddresses } from "../src/process/daemon_addresses.ts";
import type { StatusReport } from "../src/process/status_report.ts";
import { delay } from "../src/shared/delay.ts";
import { getErrorMessage } from "../src/shared/errors.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "./program_process.ts";

const API_KEY = "quickstart-key";
const MODEL = "crank-doctor";
const READY_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 500;
const ENGINES_PER_ZONE = 4;
const ZONES = ["zone-a", "zone-b"];
const MESSAGES = [
  { role: "user" as const, content: "The gearbox of the awning grinds." },
];

const lifeCycle = new LifeCycleManager();
const args = await yargs(hideBin(process.argv))
  .option("once", {
    type: "boolean",
    default: false,
    describe: "Exits after both responses have been checked",
  })
  .strict()
  .parse();
const stopSignal = new Promise<void>((resolve) => {
  process.once("SIGINT", () => resolve());
  process.once("SIGTERM", () => resolve());
});
try {
  await runQuickstart(args.once);
} catch (error) {
  print(`The quickstart failed: ${getErrorMessage(error)}`);
  process.exitCode = 1;
} finally {
  await lifeCycle.dispose();
}

async function runQuickstart(once: boolean): Promise<void> {
  print("Starting the fakes: platform, 8 model engines, booking service ...");
  const platform = await startProgram<{ url: string }>(
    "fakes/platform_main.js",
    [],
  );
  const service = await startProgram<{ address: string }>(
    "fakes/service_main.js",
    [],
  );
  const engineVms = await startEngines(platform.url);
  print("Starting two daemons ...");
  const daemons = await startDaemons(platform.url, engineVms);
  await got.put(`${platform.url}/v1/objects/config/main`, {
    json: createConfig(service.address),
    headers: { "if-none-match": "*" },
  });
  await waitUntilGroupsServe(daemons[0]);
  await Promise.all(daemons.map(waitUntilDaemonReady));
  await checkModelResponse(daemons[0]);
  await checkBooking(daemons[1]);
  print("\nBoth responses are correct.");
  if (once) {
    return;
  }
  print(`Callers:   http://${daemons[0].caller}/v1  (API key ${API_KEY})`);
  print(`Operators: http://${daemons[0].operator}/`);
  print(
    `Tool:      node dist/src/cli/cli_main.js status --daemon http://${
      daemons[0].operator
    }`,
  );
  print("Press Ctrl-C to stop.");
  await stopSignal;
}

async function startProgram<T>(
  program: string,
  programArgs: readonly string[],
): Promise<T> {
  const programProcess = ProgramProcess.start(program, programArgs);
  lifeCycle.addCallback(async () => void await programProcess.dispose());
  return await programProcess.readFirstLine<T>();
}

async function startEngines(platformUrl: string): Promise<Vm[]> {
  const vms: Vm[] = [];
  for (const zone of ZONES) {
    const names = Array.from(
      { length: ENGINES_PER_ZONE },
      (_, index) => `${zone}-gpu-${index + 1}`,
    );
    const { addresses } = await startProgram<
      { addresses: Record<string, string> }
    >(
      "fakes/engine_main.js",
      ["--names", names.join(","), "--platform-url", platformUrl],
    );
    for (const [name, address] of Object.entries(addresses)) {
      vms.push({
        name,
        role: "backend",
        address,
        zone,
        fabricDomain: `${zone}-rack-1`,
        state: "live",
      });
    }
  }
  return vms;
}

async function startDaemons(
  platformUrl: string,
  engineVms: readonly Vm[],
): Promise<DaemonAddresses[]> {
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-"));
  lifeCycle.addCallback(() => rm(directory, { recursive: true }));
  const vms = [...engineVms];
  const daemons: DaemonAddresses[] = [];
  for (const [index, zone] of ZONES.entries()) {
    const name = `entry-${index + 1}`;
    const file = join(directory, `${name}.jsonc`);
    const settings = {
      name,
      zone,
      platformUrl,
      balancerLagMs: 100,
      vmListLagMs: 200,
    };
    await writeFile(
      file,
      `// Settings of the daemon on ${name}.\n${JSON.stringify(settings)}\n`,
    );
    const addresses = await startProgram<DaemonAddresses>(
      "src/process/daemon_main.js",
      ["--settings", file, "--print-addresses"],
    );
    daemons.push(addresses);
    vms.push({
      name,
      role: "entry",
      address: addresses.peer,
      zone,
      state: "live",
    });
  }
  await got.post(`${platformUrl}/control/vms`, { json: vms });
  return daemons;
}

function createConfig(serviceAddress: string): unknown {
  return {
    schemaVersion: 1,
    zones: ZONES.map((name) => ({ name, region: "region-1" })),
    models: [{
      name: MODEL,
      groupSizeVms: ENGINES_PER_ZONE,
      placements: ZONES.map((zone) => ({ zones: [zone], count: 1 })),
      slotsPerGroup: 32,
      kvTokensPerGroup: 100_000,
    }],
    services: [{
      name: "bookings",
      backends: [{ address: serviceAddress, zone: ZONES[0] }],
      nonRepeatable: [{ method: "POST", path: "/visits" }],
    }],
    clientAccounts: [{
      name: "quickstart",
      apiKeySha256: [createHash("sha256").update(API_KEY).digest("hex")],
    }],
  };
}

async function waitUntilGroupsServe(daemon: DaemonAddresses): Promise<void> {
  const timeoutAtMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < timeoutAtMs) {
    const status = await got(`http://${daemon.operator}/api/status`).json<
      Pick<StatusReport, "groups">
    >();
    const servingGroups = status.groups.filter((g) =>
      g.health === "cold" || g.health === "ready"
    );
    if (servingGroups.length === ZONES.length) {
      print(`${servingGroups.length} complete groups are serving.`);
      return;
    }
    await delay(100);
  }
  throw new Error("Timed out waiting for a serving group in every zone");
}

async function waitUntilDaemonReady(daemon: DaemonAddresses): Promise<void> {
  const timeoutAtMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < timeoutAtMs) {
    const response = await got(`http://${daemon.operator}/readyz`, {
      throwHttpErrors: false,
    });
    if (response.statusCode === 200) {
      return;
    }
    await delay(100);
  }
  throw new Error("Timed out waiting for a daemon to become ready");
}

async function checkModelResponse(daemon: DaemonAddresses): Promise<void> {
  print(`\nSending a chat to model "${MODEL}" through entry-1:`);
  const text = await requestWithRetries(daemon);
  if (getTokens(text) !== getExpectedTokens(MESSAGES, 512).join("")) {
    throw new Error(`The model returned an unexpected response: ${text}`);
  }
}

/** Sends a chat, with retries while it is refused with the verdict "not-run", after which a retry is safe. */
async function requestWithRetries(daemon: DaemonAddresses): Promise<string> {
  const timeoutAtMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const text = await requestAndPrintStream(daemon);
    const isRefused = text.includes('"verdict":"not-run"');
    if (!isRefused || performance.now() > timeoutAtMs) {
      return text;
    }
    await delay(RETRY_DELAY_MS);
  }
}

/** Sends a chat with a streamed response, prints the tokens as they arrive, and returns the raw event stream. */
async function requestAndPrintStream(daemon: DaemonAddresses): Promise<string> {
  const stream = got.stream.post(
    `http://${daemon.caller}/v1/chat/completions`,
    {
      json: { model: MODEL, messages: MESSAGES, stream: true },
      headers: { authorization: `Bearer ${API_KEY}` },
      throwHttpErrors: false,
      retry: { limit: 0 },
    },
  );
  let text = "";
  for await (const data of stream) {
    text += String(data);
    process.stdout.write(getTokens(String(data)));
  }
  print("");
  return text;
}

function getTokens(text: string): string {
  return [...text.matchAll(/"content":"([^"]*)"/g)].map((m) => m[1]).join("");
}

async function checkBooking(daemon: DaemonAddresses): Promise<void> {
  print('\nBooking a visit through entry-2 with Idempotency-Key "visit-1":');
  const response = await got.post(
    `http://${daemon.caller}/services/bookings/visits`,
    {
      json: { hotel: "Pamplemousses", day: "monday" },
      headers: {
        authorization: `Bearer ${API_KEY}`,
        "idempotency-key": "visit-1",
      },
    },
  ).json<{ run: number; echo: string }>();
  print(JSON.stringify(response));
  if (response.run !== 1 || !response.echo.includes("Pamplemousses")) {
    throw new Error("The booking service returned an unexpected response");
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
