import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createHash } from "node:crypto";
import got, { type Response } from "got";
import { afterEach, expect, it } from "vitest";
import { FakePlatform } from "../fakes/fake_platform.ts";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "../tools/program_process.ts";
import { waitUntil } from "./support/test_deployment.ts";

const FRESHNESS_LIMIT_MS = 1_000;
const PAUSE_MS = 2_500;
const QUEUED_REQUESTS = 5;
const API_KEY = "key";

interface Addresses {
  readonly caller: string;
}

let lifeCycle = new LifeCycleManager();

afterEach(async () => {
  await lifeCycle.dispose();
  lifeCycle = new LifeCycleManager();
});

async function startProcess(platformUrl: string): Promise<{
  program: ProgramProcess;
  caller: string;
}> {
  const directory = await mkdtemp(join(tmpdir(), "tarragontally-"));
  lifeCycle.addCallback(() => rm(directory, { recursive: true }));
  const file = join(directory, "settings.json");
  await writeFile(
    file,
    JSON.stringify({
      name: "entry-1",
      zone: "zone-a",
      platformUrl,
      logLevel: "error",
      balancerLagMs: 0,
      exchangeIntervalMs: 100,
      freshnessLimitMs: FRESHNESS_LIMIT_MS,
    }),
  );
  const program = ProgramProcess.start("dist/src/process/daemon_main.js", [
    "--settings",
    file,
    "--print-addresses",
  ]);
  lifeCycle.addCallback(async () => void await program.dispose());
  const { caller } = await program.readFirstLine<Addresses>();
  return { program, caller };
}

/** Requests a model that does not exist. The error code shows whether the daemon's configuration was fresh. */
async function requestErrorCode(caller: string, agent: Agent): Promise<string> {
  const response: Response<string> = await got.post(
    `http://${caller}/v1/chat/completions`,
    {
      json: { model: "none", messages: [{ role: "user", content: "a" }] },
      headers: { authorization: `Bearer ${API_KEY}` },
      agent: { http: agent },
      throwHttpErrors: false,
      retry: { limit: 0 },
    },
  );
  return JSON.parse(response.body).error.code;
}

// Guards against new work that a daemon accepts with an outdated configuration after a pause of its process, when requests and store responses have queued up in its sockets.
it("refuses the requests that queued up during a pause of the process because its configuration is stale", async () => {
  const platform = new FakePlatform();
  await platform.start();
  lifeCycle.add(platform);
  platform.setObject("config", "main", {
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    clientAccounts: [{
      name: "a",
      apiKeySha256: [createHash("sha256").update(API_KEY).digest("hex")],
    }],
  });
  // The second daemon does not exist, so that no majority of daemons can confirm the configuration in place of the store.
  platform.setVms(["entry-1", "entry-2"].map((name) => ({
    name,
    role: "entry",
    address: "127.0.0.1:9",
    zone: "zone-a",
    state: "live",
  })));
  const { program, caller } = await startProcess(platform.url);
  const agent = new Agent({ keepAlive: true });
  lifeCycle.addCallback(() => agent.destroy());
  await waitUntil(async () =>
    await requestErrorCode(caller, agent) === "unknown-model"
  );
  // With this delay, responses that the store sends before and during the pause are queued in the process's sockets.
  platform.faults.delayMs = 200;
  await delay(100);
  program.sendSignal("SIGSTOP");
  const pendingCodes = Array.from(
    { length: QUEUED_REQUESTS },
    () => requestErrorCode(caller, agent),
  );
  await delay(PAUSE_MS);
  program.sendSignal("SIGCONT");
  expect(await Promise.all(pendingCodes)).toEqual(
    Array(QUEUED_REQUESTS).fill("stale-configuration"),
  );
  await waitUntil(async () =>
    await requestErrorCode(caller, agent) === "unknown-model"
  );
});
