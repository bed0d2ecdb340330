import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pathToFileURL } from "node:url";
import got from "got";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import type { Vm } from "../src/connection/vm_directory.ts";
import type { DaemonAddresses } from "../src/process/daemon_addresses.ts";
import { delay } from "../src/shared/delay.ts";
import { LifeCycleManager } from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "./program_process.ts";

const API_KEY = "upgrade-key";
const MODEL = "model-1";
const ZONES = ["zone-a", "zone-b"];
const DAEMONS_PER_ZONE = 2;
/** Two engines a zone more than a group needs, which replace a crashed one. */
const ENGINES_PER_ZONE = 6;
const GROUP_SIZE_VMS = 4;
/** Few slots a group, so that daemons have to lend each other some. */
const SLOTS_PER_GROUP = 8;
const CALLERS = 10;
const PAUSE_MS = 20;
const RETRY_MS = 100;
const RETRIES = 100;
/** Share of the calls that are sent again under their key, to another daemon. */
const REPEAT_SHARE = 0.3;
const READY_TIMEOUT_MS = 30_000;
/** Time in which a version has to be in force everywhere, in milliseconds. */
const CONFIG_TIMEOUT_MS = 6_000;
/** Load between two replacements, in milliseconds. */
const STEP_MS = 2_500;
const BALANCER_LAG_MS = 300;

type Build = "old" | "new";

interface RunningDaemon {
  readonly name: string;
  readonly zone: string;
  readonly build: Build;
  readonly process: ProgramProcess;
  readonly addresses: DaemonAddresses;
  /** Whether callers are sent here. */
  isInRotation: boolean;
  /** Time of the stop signal on the clock of the trial, in milliseconds. */
  stoppedAtMs?: number;
}

interface BookingAnswer {
  readonly run: number;
}

/** Daemons of two builds on the product's own path, with load, whose builds are replaced one by one. */
export class UpgradeDeployment {
  readonly failures: string[] = [];
  readonly #builds: Readonly<Record<Build, string>>;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #daemons: RunningDaemon[] = [];
  readonly #engines: Vm[] = [];
  readonly #counts = new Map<string, number>();
  readonly #keys = new Set<string>();
  readonly #warnings = new Map<string, number>();
  #platformUrl = "";
  #serviceAddress = "";
  #directory = "";
  #version = 0;
  #sent = 0;

  private constructor(builds: Readonly<Record<Build, string>>) {
    this.#builds = builds;
  }

  /**
   * Starts stand-ins, and daemons of the old build.
   *
   * @param builds - Directories `dist` of both builds.
   */
  static async start(
    builds: Readonly<Record<Build, string>>,
  ): Promise<UpgradeDeployment> {
    const deployment = new UpgradeDeployment(builds);
    try {
      await deployment.#start();
    } catch (error) {
      await deployment.dispose();
      throw error;
    }
    return deployment;
  }

  /** Replaces each daemon by one of the new build and back by one of the old build, while calls run and configurations change. */
  async run(): Promise<void> {
    const controller = new AbortController();
    const callers = Array.from(
      { length: CALLERS },
      () => this.#runCaller(controller.signal),
    );
    try {
      for (const build of ["new", "old", "new"] as const) {
        for (let index = 0; index < this.#daemons.length; index++) {
          await this.#replaceDaemon(index, build);
          await this.#changeConfig(index);
          await delay(STEP_MS);
        }
        await this.#crashEngine();
      }
    } finally {
      controller.abort();
      await Promise.all(callers);
    }
    await this.#checkRuns();
    await this.#checkHistory();
    await this.#checkTimeline();
  }

  /** Gets a line with the counts of the run, and the warnings of the daemons. */
  describe(): string {
    const format = (counts: ReadonlyMap<string, number>) =>
      [...counts].sort().map(([name, count]) => `${count} ${name}`).join(", ");
    return `own path: ${
      format(this.#counts)
    }, configuration version ${this.#version}\n  warnings: ${
      format(this.#warnings) || "none"
    }`;
  }

  /** Ends all processes. */
  async dispose(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.process.dispose()));
    await this.#lifeCycle.dispose();
  }

  async #start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), "tarragontally-upgrade-"));
    this.#lifeCycle.addCallback(() => rm(this.#directory, { recursive: true }));
    const platform = await this.#startProgram<{ url: string }>(
      "fakes/platform_main.js",
      [],
    );
    this.#platformUrl = platform.url;
    const service = await this.#startProgram<{ address: string }>(
      "fakes/service_main.js",
      [],
    );
    this.#serviceAddress = service.address;
    for (const zone of ZONES) {
      await this.#startEngines(zone);
    }
    for (let index = 0; index < ZONES.length * DAEMONS_PER_ZONE; index++) {
      const zone = ZONES[index % ZONES.length];
      this.#daemons.push(
        await this.#startDaemon({ name: `entry-${index}`, zone, build: "old" }),
      );
    }
    await this.#publishVms();
    await got.put(`${this.#platformUrl}/v1/objects/config/main`, {
      json: this.#createConfig(),
      headers: { "if-none-match": "*" },
    });
    this.#version = 1;
    await Promise.all(this.#daemons.map((d) => this.#waitUntilReady(d)));
    await waitUntil(
      "The groups did not become ready in time",
      READY_TIMEOUT_MS,
      async () => await this.#countServingGroups() === ZONES.length,
    );
  }

  async #startProgram<T>(program: string, args: string[]): Promise<T> {
    const started = ProgramProcess.start(program, args);
    this.#lifeCycle.addCallback(async () => void await started.dispose());
    return await started.readFirstLine<T>();
  }

  async #startEngines(zone: string): Promise<void> {
    const names = Array.from(
      { length: ENGINES_PER_ZONE },
      (_, index) => `${zone}-gpu-${index + 1}`,
    );
    const { addresses } = await this.#startProgram<
      { addresses: Record<string, string> }
    >(
      "fakes/engine_main.js",
      ["--names", names.join(","), "--platform-url", this.#platformUrl],
    );
    for (const [name, address] of Object.entries(addresses)) {
      this.#engines.push({
        name,
        role: "backend",
        address,
        zone,
        fabricDomain: `${zone}-rack-1`,
        state: "live",
      });
    }
  }

  async #startDaemon(
    options: { name: string; zone: string; build: Build },
  ): Promise<RunningDaemon> {
    const { name, zone, build } = options;
    const file = join(this.#directory, `${name}.jsonc`);
    const settings = {
      name,
      zone,
      platformUrl: this.#platformUrl,
      balancerLagMs: BALANCER_LAG_MS,
      vmListLagMs: 200,
      exchangeIntervalMs: 200,
      planIntervalMs: 200,
      statusIntervalMs: 100,
      leaseDurationMs: 2_000,
    };
    await writeFile(
      file,
      `// Settings of ${name}.\n${JSON.stringify(settings)}\n`,
    );
    const program = join(this.#builds[build], "src/process/daemon_main.js");
    const process = ProgramProcess.start(pathToFileURL(program).href, [
      "--settings",
      file,
      "--print-addresses",
    ]);
    const addresses = await process.readFirstLine<DaemonAddresses>();
    return { name, zone, build, process, addresses, isInRotation: true };
  }

  async #publishVms(): Promise<void> {
    const entries = this.#daemons.map(({ name, zone, addresses }): Vm => ({
      name,
      role: "entry",
      address: addresses.peer,
      zone,
      state: "live",
    }));
    await got.post(`${this.#platformUrl}/control/vms`, {
      json: [...this.#engines, ...entries],
    });
  }

  #createConfig(): Record<string, unknown> {
    const digest = createHash("sha256").update(API_KEY).digest("hex");
    return {
      schemaVersion: 1,
      zones: ZONES.map((name) => ({ name, region: "region-1" })),
      models: [{
        name: MODEL,
        groupSizeVms: GROUP_SIZE_VMS,
        placements: ZONES.map((zone) => ({ zones: [zone], count: 1 })),
        slotsPerGroup: SLOTS_PER_GROUP,
        kvTokensPerGroup: 100_000,
      }],
      services: [{
        name: "bookings",
        backends: [{ address: this.#serviceAddress, zone: ZONES[0] }],
        nonRepeatable: [{ method: "POST", path: "/visits" }],
      }],
      clientAccounts: [{ name: "account-1", apiKeySha256: [digest] }],
    };
  }

  async #waitUntilReady(daemon: RunningDaemon): Promise<void> {
    await waitUntil(
      `${daemon.name} did not become ready in time`,
      READY_TIMEOUT_MS,
      async () => {
        const answer = await got(`http://${daemon.addresses.operator}/readyz`, {
          throwHttpErrors: false,
          retry: { limit: 0 },
        });
        return answer.statusCode === 200;
      },
    );
  }

  async #countServingGroups(): Promise<number> {
    const { operator } = this.#daemons[0].addresses;
    const { groups } = await got(`http://${operator}/api/status`).json<
      { groups: { health: string }[] }
    >();
    return groups.filter(({ health }) =>
      health === "cold" || health === "ready"
    )
      .length;
  }

  async #replaceDaemon(index: number, build: Build): Promise<void> {
    const before = this.#daemons[index];
    before.stoppedAtMs = performance.now();
    setTimeout(() => before.isInRotation = false, BALANCER_LAG_MS / 2);
    const exitCode = await before.process.dispose();
    before.isInRotation = false;
    this.#countWarnings(before);
    if (exitCode !== 0) {
      this.failures.push(
        `${before.name} (${before.build}) ended with ${exitCode}`,
      );
    }
    const after = await this.#startDaemon({ ...before, build });
    after.isInRotation = false;
    this.#daemons[index] = after;
    await this.#publishVms();
    await this.#waitUntilReady(after);
    after.isInRotation = true;
    this.#recordCount(`daemons replaced by the ${build} build`);
  }

  /** Changes the configuration through one daemon, and checks that all have it in force in time. */
  async #changeConfig(index: number): Promise<void> {
    const { operator } = this.#daemons[index].addresses;
    const { version, document } = await got(`http://${operator}/api/config`)
      .json<{ version: number; document: Record<string, unknown> }>();
    const model = (document.models as Record<string, unknown>[])[0];
    const changed = {
      ...document,
      models: [{ ...model, slotsPerGroup: SLOTS_PER_GROUP + version % 3 }],
    };
    const result = await got.post(`http://${operator}/api/config/accept`, {
      json: { baseVersion: version, operator: "upgrade", document: changed },
      throwHttpErrors: false,
    }).json<{ outcome: string; version?: number }>();
    if (result.outcome !== "accepted") {
      this.failures.push(
        `a configuration was not accepted: ${JSON.stringify(result)}`,
      );
      return;
    }
    this.#version = version + 1;
    this.#recordCount("configurations accepted");
    await waitUntil(
      `Version ${this.#version} was not in force on all daemons in time`,
      CONFIG_TIMEOUT_MS,
      async () => {
        const versions = await Promise.all(
          this.#daemons.map((daemon) =>
            got(`http://${daemon.addresses.operator}/api/config`).json<
              { version: number }
            >()
          ),
        );
        return versions.every((config) => config.version === this.#version);
      },
    );
  }

  /** Crashes a member of a group; its streams go on elsewhere, and the group is formed again. */
  async #crashEngine(): Promise<void> {
    const { operator } = this.#daemons[0].addresses;
    const { groups } = await got(`http://${operator}/api/status`).json<
      { groups: { members: string[] }[] }
    >();
    const engine = this.#engines.find(({ name }) =>
      groups[0].members.includes(name)
    );
    if (engine === undefined) {
      this.failures.push("no engine of a group was found to crash");
      return;
    }
    await got.post(`http://${engine.address}/control/crash`);
    this.#recordCount("engines crashed");
    await delay(STEP_MS);
    await waitUntil(
      "The group of a crashed engine did not serve again in time",
      READY_TIMEOUT_MS,
      async () => await this.#countServingGroups() === ZONES.length,
    );
  }

  async #runCaller(signal: AbortSignal): Promise<void> {
    while (await delay(PAUSE_MS, signal)) {
      const number = ++this.#sent;
      try {
        await (number % 3 === 0
          ? this.#callService(`visit-${number}`)
          : this.#requestChat(number));
      } catch (error) {
        this.failures.push(`request ${number}: ${String(error)}`);
      }
    }
  }

  async #requestChat(number: number): Promise<void> {
    const messages = [
      { role: "user" as const, content: `question ${number} tokens=40` },
    ];
    const answer = await this.#send("v1/chat/completions", {
      json: { model: MODEL, messages, stream: true, max_tokens: 64 },
    });
    const text = [...answer.body.matchAll(/"content":"([^"]*)"/g)]
      .map((match) => match[1]).join("");
    if (text !== getExpectedTokens(messages, 64).join("")) {
      this.failures.push(
        `chat ${number}: status ${answer.status}, answer ${
          answer.body.slice(0, 300)
        }`,
      );
    } else {
      this.#recordCount("chats answered");
    }
  }

  async #callService(key: string): Promise<void> {
    this.#keys.add(key);
    const call = {
      json: { visit: key },
      headers: { "idempotency-key": key },
    };
    const first = await this.#send("services/bookings/visits", call);
    if (first.status !== 200) {
      this.failures.push(`booking ${key}: ${first.status} ${first.body}`);
      return;
    }
    this.#recordCount("bookings answered");
    if (Math.random() < REPEAT_SHARE) {
      const again = await this.#send("services/bookings/visits", call);
      const [a, b] = [first, again].map(({ body }) =>
        (JSON.parse(body) as BookingAnswer).run
      );
      if (a !== b) {
        this.failures.push(`booking ${key}: ran as ${a}, repeated as ${b}`);
      }
      this.#recordCount("bookings answered again");
    }
  }

  /** Sends to a daemon in rotation, and again while the request is refused as not run. */
  async #send(
    path: string,
    request: { json: unknown; headers?: Record<string, string> },
  ): Promise<{ status: number; body: string }> {
    for (let attempt = 0;; attempt++) {
      const daemons = this.#daemons.filter((daemon) => daemon.isInRotation);
      const daemon = daemons[Math.floor(Math.random() * daemons.length)];
      const answer = await this.#sendTo(daemon, path, request);
      const isRetried = answer.statusCode !== 200 &&
        answer.body.includes('"verdict":"not-run"') && attempt < RETRIES;
      if (!isRetried) {
        return { status: answer.statusCode, body: answer.body };
      }
      this.#recordCount("refusals");
      await delay(RETRY_MS);
    }
  }

  async #sendTo(
    daemon: RunningDaemon,
    path: string,
    request: { json: unknown; headers?: Record<string, string> },
  ): Promise<{ statusCode: number; body: string }> {
    const { stoppedAtMs } = daemon;
    try {
      return await got.post(`http://${daemon.addresses.caller}/${path}`, {
        json: request.json,
        headers: { ...request.headers, authorization: `Bearer ${API_KEY}` },
        throwHttpErrors: false,
        retry: { limit: 0 },
      });
    } catch (error) {
      const stop = daemon.stoppedAtMs === undefined
        ? "not stopped"
        : `${
          Math.round(performance.now() - daemon.stoppedAtMs)
        } ms after its stop, ${
          stoppedAtMs === undefined ? "sent before it" : "sent after it"
        }`;
      throw new Error(`${daemon.name} (${daemon.build}), ${stop}: ${error}`);
    }
  }

  async #checkRuns(): Promise<void> {
    const runs = await got(`http://${this.#serviceAddress}/control/runs`).json<
      { idempotencyKey?: string }[]
    >();
    for (const key of this.#keys) {
      const count = runs.filter((run) => run.idempotencyKey === key).length;
      if (count !== 1) {
        this.failures.push(`booking ${key} ran ${count} times`);
      }
    }
  }

  async #checkHistory(): Promise<void> {
    for (const { name, addresses } of this.#daemons) {
      const { entries } = await got(
        `http://${addresses.operator}/api/config/history`,
      ).json<{ entries: { version: number }[] }>();
      const versions = new Set(entries.map(({ version }) => version));
      // The first version was written without an entry, and the one in force is not history.
      for (let version = 2; version < this.#version; version++) {
        if (!versions.has(version)) {
          this.failures.push(`${name} lists no version ${version}`);
        }
      }
    }
  }

  async #checkTimeline(): Promise<void> {
    for (const { name, addresses } of this.#daemons) {
      const { events } = await got(
        `http://${addresses.operator}/api/timeline`,
      ).json<{ events: { process: string }[] }>();
      const processes = new Set(events.map((event) => event.process));
      for (const daemon of this.#daemons) {
        if (!processes.has(daemon.name)) {
          this.failures.push(`${name} has no events of ${daemon.name}`);
        }
      }
      this.#recordCount("timelines collected");
    }
    this.#daemons.forEach((daemon) => this.#countWarnings(daemon));
  }

  #countWarnings(daemon: RunningDaemon): void {
    for (const line of daemon.process.logLines) {
      const event = /level=(?:warn|error) event=(\S+)/.exec(line)?.[1];
      if (event !== undefined) {
        const label = `${event} (${daemon.build})`;
        this.#warnings.set(label, (this.#warnings.get(label) ?? 0) + 1);
      }
    }
  }

  #recordCount(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }
}

/** Checks a condition until it holds. */
async function waitUntil(
  message: string,
  timeoutMs: number,
  isMet: () => Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!await isMet()) {
    if (performance.now() > endMs) {
      throw new Error(message);
    }
    await delay(100);
  }
}
