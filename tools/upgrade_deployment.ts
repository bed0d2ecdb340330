import { join } from "node:path";
import { pathToFileURL } from "node:url";
import got from "got";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import { delay } from "../src/shared/delay.ts";
import {
  getStreamedText,
  type LocalDaemon,
  LocalDeployment,
  waitUntil,
} from "./local_deployment.ts";

const API_KEY = "upgrade-key";
const MODEL = "model-1";
const ZONES = ["zone-a", "zone-b"];
const DAEMONS_PER_ZONE = 2;
/** Two engines per zone more than a group needs, so that a crashed one can be replaced. */
const ENGINES_PER_ZONE = 6;
const GROUP_SIZE_VMS = 4;
/** Low, so that daemons have to borrow slots from each other. */
const SLOTS_PER_GROUP = 8;
const CALLER_COUNT = 10;
const CALLER_PAUSE_MS = 20;
const RETRY_DELAY_MS = 100;
const MAX_RETRIES = 100;
/** Share of the bookings that are sent again with the same idempotency key, to a random daemon. */
const REPEAT_SHARE = 0.3;
/** Time within which an accepted version has to be in force on all daemons, in milliseconds. */
const CONFIG_TIMEOUT_MS = 6_000;
/** Time for which calls run after a daemon was replaced or an engine crashed, in milliseconds. */
const STEP_DURATION_MS = 2_500;
const BALANCER_LAG_MS = 300;
/** Engines crash on a request whose content contains this text. */
const CRASH_MARKER = "crash-the-engine";
/** Time within which a daemon has to list a request that another daemon quarantined, in milliseconds. */
const QUARANTINE_TIMEOUT_MS = 6_000;

type Build = "old" | "new";

interface RunningDaemon extends LocalDaemon {
  readonly build: Build;
  /** Whether callers send requests to the daemon. */
  isInRotation: boolean;
  /** Time of the stop signal on the monotonic clock, in milliseconds; undefined while the daemon runs. */
  stoppedAtMs?: number;
}

interface BookingResponse {
  readonly run: number;
}

/** Deployment of daemons under load whose builds are replaced one by one. The daemons are started with `src/process/daemon_main.js`, without the users' platform. */
export class UpgradeDeployment {
  readonly failures: string[] = [];
  readonly #builds: Readonly<Record<Build, string>>;
  readonly #deployment: LocalDeployment;
  readonly #daemons: RunningDaemon[] = [];
  readonly #counts = new Map<string, number>();
  readonly #bookingKeys = new Set<string>();
  readonly #warningCounts = new Map<string, number>();
  #configVersion = 0;
  #sentRequestCount = 0;

  private constructor(
    deployment: LocalDeployment,
    builds: Readonly<Record<Build, string>>,
  ) {
    this.#deployment = deployment;
    this.#builds = builds;
  }

  /**
   * Starts the fakes and the daemons of the old build.
   *
   * @param builds - Directory `dist` of each build.
   */
  static async start(
    builds: Readonly<Record<Build, string>>,
  ): Promise<UpgradeDeployment> {
    const deployment = new UpgradeDeployment(
      await LocalDeployment.start({
        zones: ZONES,
        enginesPerZone: ENGINES_PER_ZONE,
      }),
      builds,
    );
    try {
      await deployment.#startDaemons();
    } catch (error) {
      await deployment.dispose();
      throw error;
    }
    return deployment;
  }

  /** Replaces the daemons one by one with the new build, then with the old build and again with the new build, while calls run and the configuration changes. */
  async run(): Promise<void> {
    await this.#requestQuarantine();
    const controller = new AbortController();
    const callers = Array.from(
      { length: CALLER_COUNT },
      () => this.#runCaller(controller.signal),
    );
    try {
      for (const build of ["new", "old", "new"] as const) {
        for (let index = 0; index < this.#daemons.length; index++) {
          await this.#replaceDaemon(index, build);
          await this.#changeConfig(index);
          await delay(STEP_DURATION_MS);
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

  /** Formats the counts of the run and the numbers of warnings that the daemons logged. */
  describe(): string {
    const format = (counts: ReadonlyMap<string, number>) =>
      [...counts].sort().map(([name, count]) => `${count} ${name}`).join(", ");
    return `own path: ${
      format(this.#counts)
    }, configuration version ${this.#configVersion}\n  warnings: ${
      format(this.#warningCounts) || "none"
    }`;
  }

  /** Stops all processes. */
  async dispose(): Promise<void> {
    await this.#deployment.dispose();
  }

  async #startDaemons(): Promise<void> {
    for (let index = 0; index < ZONES.length * DAEMONS_PER_ZONE; index++) {
      const zone = ZONES[index % ZONES.length];
      this.#daemons.push(
        await this.#startDaemon({ name: `entry-${index}`, zone, build: "old" }),
      );
    }
    await this.#deployment.publishVms(this.#daemons);
    await this.#deployment.writeConfig({
      model: MODEL,
      groupSizeVms: GROUP_SIZE_VMS,
      slotsPerGroup: SLOTS_PER_GROUP,
      account: "account-1",
      apiKey: API_KEY,
    });
    this.#configVersion = 1;
    await Promise.all(
      this.#daemons.map((d) => this.#deployment.waitUntilReady(d)),
    );
    await this.#deployment.waitUntilGroupsServe(this.#daemons[0]);
  }

  async #startDaemon(
    options: { name: string; zone: string; build: Build },
  ): Promise<RunningDaemon> {
    const { name, zone, build } = options;
    const program = join(this.#builds[build], "src/process/daemon_main.js");
    const daemon = await this.#deployment.startDaemon({
      name,
      zone,
      balancerLagMs: BALANCER_LAG_MS,
      exchangeIntervalMs: 200,
      planIntervalMs: 200,
      statusIntervalMs: 100,
      leaseDurationMs: 2_000,
    }, pathToFileURL(program).href);
    return { ...daemon, build, isInRotation: true };
  }

  async #replaceDaemon(index: number, build: Build): Promise<void> {
    const stoppedDaemon = this.#daemons[index];
    stoppedDaemon.stoppedAtMs = performance.now();
    setTimeout(() => stoppedDaemon.isInRotation = false, BALANCER_LAG_MS / 2);
    const exitCode = await stoppedDaemon.process.dispose();
    stoppedDaemon.isInRotation = false;
    this.#countWarnings(stoppedDaemon);
    if (exitCode !== 0) {
      this.failures.push(
        `${stoppedDaemon.name} (${stoppedDaemon.build}) exited with code ${exitCode}`,
      );
    }
    const newDaemon = await this.#startDaemon({ ...stoppedDaemon, build });
    newDaemon.isInRotation = false;
    this.#daemons[index] = newDaemon;
    await this.#deployment.publishVms(this.#daemons);
    await this.#deployment.waitUntilReady(newDaemon);
    await this.#checkQuarantine(newDaemon);
    newDaemon.isInRotation = true;
    this.#recordCount(`daemons replaced by the ${build} build`);
  }

  /** Changes the configuration through one daemon and waits until the new version is in force on all daemons. */
  async #changeConfig(index: number): Promise<void> {
    const { operator } = this.#daemons[index].addresses;
    const { version, document } = await got(`http://${operator}/api/config`)
      .json<{ version: number; document: Record<string, unknown> }>();
    const model = (document.models as Record<string, unknown>[])[0];
    const changedDocument = {
      ...document,
      models: [{ ...model, slotsPerGroup: SLOTS_PER_GROUP + version % 3 }],
    };
    const result = await got.post(`http://${operator}/api/config/accept`, {
      json: {
        baseVersion: version,
        operator: "upgrade",
        document: changedDocument,
      },
      throwHttpErrors: false,
    }).json<{ outcome: string; version?: number }>();
    if (result.outcome !== "accepted") {
      this.failures.push(
        `a configuration was not accepted: ${JSON.stringify(result)}`,
      );
      return;
    }
    this.#configVersion = version + 1;
    this.#recordCount("configurations accepted");
    await waitUntil(
      `Version ${this.#configVersion} was not in force on all daemons in time`,
      CONFIG_TIMEOUT_MS,
      async () => {
        const versions = await Promise.all(
          this.#daemons.map((daemon) =>
            got(`http://${daemon.addresses.operator}/api/config`).json<
              { version: number }
            >()
          ),
        );
        return versions.every((config) =>
          config.version === this.#configVersion
        );
      },
    );
  }

  /** Sends a request that crashes engines through the first daemon, and checks that all daemons then refuse it. */
  async #requestQuarantine(): Promise<void> {
    for (const { address } of this.#deployment.engines) {
      await got.post(`http://${address}/control/faults`, {
        json: { crashMarker: CRASH_MARKER },
      });
    }
    const [firstDaemon] = this.#daemons;
    const response = await this.#requestCrash(firstDaemon);
    if (response.statusCode === 200) {
      this.failures.push("the request that crashes engines succeeded");
    }
    for (const daemon of this.#daemons) {
      await this.#checkQuarantine(daemon);
    }
    await this.#deployment.waitUntilGroupsServe(firstDaemon);
  }

  /** Checks that a daemon lists the quarantined request and refuses it. */
  async #checkQuarantine(daemon: RunningDaemon): Promise<void> {
    const { name, build, addresses } = daemon;
    await waitUntil(
      `${name} (${build}) did not list the quarantined request in time`,
      QUARANTINE_TIMEOUT_MS,
      async () => {
        const { entries } = await got(
          `http://${addresses.operator}/api/quarantine`,
        ).json<{ entries: unknown[] }>();
        return entries.length === 1;
      },
    );
    const response = await this.#requestCrash(daemon);
    if (response.body.includes('"quarantined"')) {
      this.#recordCount(`refusals of a quarantined request (${build})`);
    } else {
      this.failures.push(
        `${name} (${build}) did not refuse the quarantined request: status ${response.statusCode}, body ${
          response.body.slice(0, 300)
        }`,
      );
    }
  }

  #requestCrash(
    daemon: RunningDaemon,
  ): Promise<{ statusCode: number; body: string }> {
    const messages = [{ role: "user", content: CRASH_MARKER }];
    return this.#sendTo(daemon, "v1/chat/completions", {
      json: { model: MODEL, messages, stream: false, max_tokens: 64 },
    });
  }

  /** Crashes an engine of a group and waits until every zone has a serving group again. The streams of the crashed group are resumed on another group. */
  async #crashEngine(): Promise<void> {
    const { operator } = this.#daemons[0].addresses;
    const { groups } = await got(`http://${operator}/api/status`).json<
      { groups: { members: string[] }[] }
    >();
    const engine = this.#deployment.engines.find(({ name }) =>
      groups[0].members.includes(name)
    );
    if (engine === undefined) {
      this.failures.push("the first group has no engine that could be crashed");
      return;
    }
    await got.post(`http://${engine.address}/control/crash`);
    this.#recordCount("engines crashed");
    await delay(STEP_DURATION_MS);
    await this.#deployment.waitUntilGroupsServe(this.#daemons[0]);
  }

  async #runCaller(signal: AbortSignal): Promise<void> {
    while (await delay(CALLER_PAUSE_MS, signal)) {
      const number = ++this.#sentRequestCount;
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
    const response = await this.#send("v1/chat/completions", {
      json: { model: MODEL, messages, stream: true, max_tokens: 64 },
    });
    const text = getStreamedText(response.body);
    if (text !== getExpectedTokens(messages, 64).join("")) {
      this.failures.push(
        `chat ${number}: status ${response.status}, body ${
          response.body.slice(0, 300)
        }`,
      );
    } else {
      this.#recordCount("chats completed");
    }
  }

  async #callService(key: string): Promise<void> {
    this.#bookingKeys.add(key);
    const call = {
      json: { visit: key },
      headers: { "idempotency-key": key },
    };
    const firstResponse = await this.#send("services/bookings/visits", call);
    if (firstResponse.status !== 200) {
      this.failures.push(
        `booking ${key}: ${firstResponse.status} ${firstResponse.body}`,
      );
      return;
    }
    this.#recordCount("bookings completed");
    if (Math.random() < REPEAT_SHARE) {
      const repeatedResponse = await this.#send(
        "services/bookings/visits",
        call,
      );
      const [firstRun, repeatedRun] = [firstResponse, repeatedResponse].map((
        { body },
      ) => (JSON.parse(body) as BookingResponse).run);
      if (firstRun !== repeatedRun) {
        this.failures.push(
          `booking ${key}: the first response is of run ${firstRun}, the repeated one of run ${repeatedRun}`,
        );
      }
      this.#recordCount("bookings repeated");
    }
  }

  /** Sends a request to a random daemon in rotation, with retries while it is refused with the verdict "not-run", after which a retry is safe. */
  async #send(
    path: string,
    request: { json: unknown; headers?: Record<string, string> },
  ): Promise<{ status: number; body: string }> {
    for (let attempt = 0;; attempt++) {
      const daemons = this.#daemons.filter((daemon) => daemon.isInRotation);
      const daemon = daemons[Math.floor(Math.random() * daemons.length)];
      const response = await this.#sendTo(daemon, path, request);
      const isRetried = response.statusCode !== 200 &&
        response.body.includes('"verdict":"not-run"') && attempt < MAX_RETRIES;
      if (!isRetried) {
        return { status: response.statusCode, body: response.body };
      }
      this.#recordCount("refusals");
      await delay(RETRY_DELAY_MS);
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
      const stopDescription = daemon.stoppedAtMs === undefined
        ? "running"
        : `${
          Math.round(performance.now() - daemon.stoppedAtMs)
        } ms after its stop signal, ${
          stoppedAtMs === undefined
            ? "request sent before it"
            : "request sent after it"
        }`;
      throw new Error(
        `${daemon.name} (${daemon.build}), ${stopDescription}: ${error}`,
      );
    }
  }

  async #checkRuns(): Promise<void> {
    const runs = await got(
      `http://${this.#deployment.serviceAddress}/control/runs`,
    ).json<
      { idempotencyKey?: string }[]
    >();
    for (const key of this.#bookingKeys) {
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
      // The first version is written without a history entry, and the version in force is not part of the history.
      for (let version = 2; version < this.#configVersion; version++) {
        if (!versions.has(version)) {
          this.failures.push(
            `the history of ${name} does not contain version ${version}`,
          );
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
          this.failures.push(
            `the timeline of ${name} has no events of ${daemon.name}`,
          );
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
        this.#warningCounts.set(
          label,
          (this.#warningCounts.get(label) ?? 0) + 1,
        );
      }
    }
  }

  #recordCount(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }
}
