import { getExpectedTokens } from "../../fakes/fake_completion.ts";
import type { FakeEngine } from "../../fakes/fake_engine.ts";
import type { Daemon } from "../../src/process/daemon.ts";
import { delay } from "../../src/shared/delay.ts";
import type { DomainPlacement } from "../../src/version/placement.ts";
import { CallerStream } from "./caller_stream.ts";
import { LinkFaults } from "./link_faults.ts";
import { TestDeployment, waitUntil } from "./test_deployment.ts";

/** Faults that a test can inject. Several can be active at once. */
export const FAULT_NAMES = [
  "store-down",
  "zone-partition",
  "member-lost",
  "slow-readers",
  "engine-cold",
  "daemon-killed",
  "zone-taken-out",
  "lost-store-responses",
  "crash-request",
  "lease-lapsed",
  "list-lag",
  "new-daemon",
] as const;

/** Name of a fault. */
export type FaultName = typeof FAULT_NAMES[number];

const ZONES = ["zone-a", "zone-b"];
const GROUPS = 4;
const SLOTS_PER_GROUP = 16;
const LOAD_INTERVAL_MS = 25;
const CHECK_INTERVAL_MS = 20;
const TAKE_OUT_LIMIT_MS = 5_000;
/** Time for which a daemon may still treat an engine that has turned cold as ready, in milliseconds: two status intervals and one status request. */
const COLD_DETECTION_MS = 300;
const LIST_LAG_MS = 800;
const LEASE_DURATION_MS = 1_000;
const RECOVERY_TIMEOUT_MS = 20_000;
const SLOW_READERS = 3;
const SLOW_TOKENS = 1_500;
const MAX_TOKENS = 100_000;
const CRASH_MARKER = "crash-marker";

/** Deployment under load that injects overlapping faults and checks invariants meanwhile. */
export class CombinedFaults {
  readonly violations = new Set<string>();
  /** Number of chat requests by outcome: an error code, `completed`, or `connection-lost`. Slow readers are counted with their status. */
  readonly outcomes: Record<string, number> = {};
  readonly #deployment: TestDeployment;
  readonly #linkFaults: LinkFaults;
  readonly #abort = new AbortController();
  readonly #slowReaders: { stream: CallerStream; content: string }[] = [];
  readonly #killedDaemons = new Set<Daemon>();
  readonly #crashRequestTasks: Promise<unknown>[] = [];
  readonly #loadTasks: Promise<unknown>[] = [];
  #requestCount = 0;
  #crashRequestCount = 0;
  #memberCrashes = 0;
  #crashesBeforeDetection = 0;
  #takenOutAtMs = Infinity;
  #startedRequestsInZone: number | undefined;

  private constructor(deployment: TestDeployment, linkFaults: LinkFaults) {
    this.#deployment = deployment;
    this.#linkFaults = linkFaults;
  }

  /** Starts a deployment of two zones with two groups each, and its load. */
  static async start(): Promise<CombinedFaults> {
    const linkFaults = new LinkFaults();
    const deployment = await TestDeployment.start({
      zones: ZONES,
      daemons: 4,
      enginesPerZone: 4,
      engine: { tokenIntervalMs: 5, tokensPerInterval: 4, coldRequests: 1 },
      configure: (document) => {
        document.models[0].slotsPerGroup = SLOTS_PER_GROUP;
        document.models[0].coldSlots = 1;
      },
      settings: {
        vmListLagMs: LIST_LAG_MS,
        leaseDurationMs: LEASE_DURATION_MS,
        resumeTimeoutMs: 15_000,
        logLevel: "error",
      },
      configureContainer: (container, s) =>
        linkFaults.bindClients(container, s),
    });
    deployment.engines.forEach((e) => e.faults.crashMarker = CRASH_MARKER);
    const combined = new CombinedFaults(deployment, linkFaults);
    combined.#startLoad();
    try {
      await combined.#waitUntilWarm();
    } catch (error) {
      await combined.dispose();
      throw error;
    }
    return combined;
  }

  /** Waits until the load has warmed up all groups, so that a later change to cold is observable. */
  async #waitUntilWarm(): Promise<void> {
    const [daemon] = this.#deployment.daemons;
    await waitUntil(() => {
      const groups = daemon.context.healthTable.getAll();
      return groups.length === GROUPS &&
        groups.every((health) => health.state === "ready");
    }, RECOVERY_TIMEOUT_MS);
  }

  /** Injects a fault. */
  async assumeFault(name: FaultName): Promise<void> {
    const { platform } = this.#deployment;
    switch (name) {
      case "store-down":
        platform.faults.down = true;
        break;
      case "zone-partition":
        this.#linkFaults.assumeNetworkPartition(
          ZONES.map((z) =>
            this.#getLiveDaemons().filter((d) => d.context.settings.zone === z)
          ),
        );
        break;
      case "member-lost":
        this.#memberCrashes++;
        this.#getPlacedEngine().crash();
        break;
      case "slow-readers":
        this.#openSlowReaders();
        break;
      case "engine-cold":
        this.#turnEnginesCold();
        break;
      case "daemon-killed":
        await this.#stopDaemon();
        break;
      case "zone-taken-out":
        this.#setTakenOut(true);
        break;
      case "lost-store-responses":
        platform.faults.dropAnswerNext = 5;
        break;
      case "crash-request":
        this.#sendCrashRequests();
        break;
      case "lease-lapsed":
        this.#linkFaults.assumeStoreUnreachable([this.#getLeaseHolder()]);
        break;
      case "list-lag":
        platform.faults.vmListLagMs = LIST_LAG_MS;
        break;
      case "new-daemon":
        await this.#deployment.startDaemon();
        break;
    }
  }

  /** Ends all faults and waits until all groups serve requests again. */
  async repair(): Promise<void> {
    const { platform } = this.#deployment;
    platform.faults.down = false;
    platform.faults.vmListLagMs = 0;
    platform.faults.dropAnswerNext = 0;
    this.#linkFaults.clear();
    const readerChecks = this.#slowReaders.splice(0)
      .map((reader) => this.#checkSlowReader(reader));
    if (this.#takenOutAtMs !== Infinity) {
      this.#setTakenOut(false);
    }
    await Promise.all(this.#crashRequestTasks.splice(0));
    await waitUntil(() => this.#isServing(), RECOVERY_TIMEOUT_MS);
    await Promise.all(readerChecks);
  }

  /** Ends the load, then checks that each daemon completes a request and that only injected faults crashed engines. */
  async finish(): Promise<void> {
    this.#abort.abort();
    await Promise.all(this.#loadTasks);
    for (const daemon of this.#getLiveDaemons()) {
      await this.#sendChat(
        daemon,
        `tokens=4 last ${this.#requestCount++}`,
        true,
      );
    }
    this.#checkCrashes();
  }

  async dispose(): Promise<void> {
    this.#abort.abort();
    await this.#deployment.dispose();
  }

  #startLoad(): void {
    const { signal } = this.#abort;
    this.#loadTasks.push(this.#runChats(signal), this.#runBookings(signal));
    void this.#runChecks(signal);
  }

  async #runChats(signal: AbortSignal): Promise<void> {
    const pendingRequests: Promise<void>[] = [];
    while (await delay(LOAD_INTERVAL_MS, signal)) {
      const requestNumber = this.#requestCount++;
      const liveDaemons = this.#getLiveDaemons();
      const daemon = liveDaemons[requestNumber % liveDaemons.length];
      pendingRequests.push(
        this.#sendChat(daemon, `${requestNumber} tokens=30 chat`),
      );
    }
    await Promise.all(pendingRequests);
  }

  async #runBookings(signal: AbortSignal): Promise<void> {
    const pendingRequests: Promise<void>[] = [];
    for (
      let number = 0;
      await delay(LOAD_INTERVAL_MS * 4, signal);
      number++
    ) {
      const liveDaemons = this.#getLiveDaemons();
      pendingRequests.push(
        this.#sendBooking(liveDaemons[number % liveDaemons.length], number),
      );
    }
    await Promise.all(pendingRequests);
  }

  async #runChecks(signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MS, signal)) {
      this.#checkPlacements();
      this.#checkTakenOutZone();
    }
  }

  async #sendChat(
    daemon: Daemon,
    content: string,
    mustSucceed = false,
  ): Promise<void> {
    try {
      const response = await this.#deployment.requestChat(daemon, content);
      const body = JSON.parse(response.body);
      const outcome = response.statusCode === 200
        ? "completed"
        : body.error.code;
      this.#countOutcome(outcome);
      if (response.statusCode === 200) {
        const expected = getExpectedTokens(
          [{ role: "user", content }],
          MAX_TOKENS,
        ).join("");
        if (body.choices[0].message.content !== expected) {
          this.violations.add(`incomplete response: ${content}`);
        }
      } else if (body.error.verdict === "not-run") {
        this.#checkNotRun(String(response.headers["x-request-id"]));
      }
      if (mustSucceed && outcome !== "completed") {
        this.violations.add(`refused after the repair: ${outcome}`);
      }
    } catch {
      this.#countOutcome("connection-lost");
      if (!this.#killedDaemons.has(daemon)) {
        this.violations.add(`connection lost: ${content}`);
      }
    }
  }

  async #sendBooking(daemon: Daemon, number: number): Promise<void> {
    const key = `visit-${number}`;
    const { service } = this.#deployment;
    try {
      const response = await this.#deployment.callService(daemon, "/visits", {
        key,
        body: key,
      });
      const runs = service.getRunCount(key);
      if (response.statusCode === 200 && runs !== 1) {
        this.violations.add(`${key} returned 200 after ${runs} runs`);
      }
      const isRefused = response.statusCode !== 200 &&
        JSON.parse(response.body).error.verdict === "not-run";
      if (isRefused && runs > 0) {
        this.violations.add(`${key} has the verdict not-run although it ran`);
      }
    } catch {
      if (!this.#killedDaemons.has(daemon)) {
        this.violations.add(`connection lost: ${key}`);
      }
    }
    if (service.getRunCount(key) > 1) {
      this.violations.add(`${key} ran twice`);
    }
  }

  /** Turns all ready engines cold. Counts a crash separately if it happens before all daemons can have received the cold state. */
  #turnEnginesCold(): void {
    for (const engine of this.#deployment.engines) {
      if (engine.state === "ready") {
        engine.turnCold();
        this.#loadTasks.push(this.#countEarlyCrash(engine));
      }
    }
  }

  async #countEarlyCrash(engine: FakeEngine): Promise<void> {
    const crashesBefore = engine.crashes;
    await delay(COLD_DETECTION_MS);
    this.#crashesBeforeDetection += Math.min(1, engine.crashes - crashesBefore);
  }

  #sendCrashRequests(): void {
    const content = `tokens=20 ${CRASH_MARKER} ${this.#crashRequestCount++}`;
    const [first, second] = this.#getLiveDaemons();
    const send = async () => {
      for (const daemon of [first, second, first]) {
        await this.#deployment.requestChat(daemon, content)
          .catch(() => undefined);
      }
    };
    this.#crashRequestTasks.push(send());
  }

  #openSlowReaders(): void {
    for (let number = 0; number < SLOW_READERS; number++) {
      const content = `tokens=${SLOW_TOKENS} slow ${this.#requestCount++}`;
      const [daemon] = this.#getLiveDaemons();
      const stream = CallerStream.open(daemon, { content, reads: false });
      this.#slowReaders.push({ stream, content });
    }
  }

  async #checkSlowReader(
    reader: { stream: CallerStream; content: string },
  ): Promise<void> {
    const { stream, content } = reader;
    // A response can only be resumed after its headers have arrived.
    await waitUntil(
      () => stream.status !== undefined || stream.hasEnded,
      RECOVERY_TIMEOUT_MS,
    );
    stream.resume();
    await stream.waitUntilEnded();
    if (stream.status !== 200) {
      this.#countOutcome(`slow reader ${stream.status}`);
      return;
    }
    const messages = [{ role: "user" as const, content }];
    if (
      stream.receivedContent !==
        getExpectedTokens(messages, MAX_TOKENS).join("")
    ) {
      this.violations.add(
        `incomplete response to a slow reader: ${stream.error?.code}`,
      );
    }
  }

  /** Stops the newest live daemon and removes it from the VM list. */
  async #stopDaemon(): Promise<void> {
    const daemon = this.#getLiveDaemons().at(-1)!;
    const { name } = daemon.context.settings;
    this.#killedDaemons.add(daemon);
    await daemon.dispose();
    this.#deployment.changeVms((vms) => vms.filter((vm) => vm.name !== name));
  }

  #setTakenOut(takenOut: boolean): void {
    this.#deployment.setConfig((document) =>
      document.zones[0].takenOut = takenOut
    );
    this.#takenOutAtMs = takenOut ? performance.now() : Infinity;
    this.#startedRequestsInZone = undefined;
  }

  #checkTakenOutZone(): void {
    if (performance.now() - this.#takenOutAtMs <= TAKE_OUT_LIMIT_MS) {
      return;
    }
    const startedRequests = this.#deployment.engines
      .filter((e) => e.name.startsWith(ZONES[0]))
      .reduce((sum, e) => sum + e.startedRequests.length, 0);
    this.#startedRequestsInZone ??= startedRequests;
    if (startedRequests > this.#startedRequestsInZone) {
      this.violations.add("new work in a zone taken out");
    }
  }

  #checkPlacements(): void {
    const vms = this.#deployment.platform.getObjects("placement")
      .flatMap((o) => Object.keys((o.value as DomainPlacement).groupByVm));
    if (new Set(vms).size !== vms.length) {
      this.violations.add("a VM is in two groups");
    }
    for (const engine of this.#deployment.engines) {
      if (engine.peakRequests > SLOTS_PER_GROUP) {
        this.violations.add(
          `${engine.name} ran more requests than it has slots: ${engine.peakRequests}`,
        );
      }
    }
  }

  #checkNotRun(requestId: string): void {
    const hasRun = this.#deployment.engines.some((engine) =>
      engine.startedRequests.some((id) => id.startsWith(`${requestId}.`))
    );
    if (hasRun) {
      this.violations.add(
        `${requestId} has the verdict not-run although it ran`,
      );
    }
  }

  /** Checks that the injected faults explain all engine crashes. Otherwise a cold group got more requests than it can run, or a crash request crashed a third group. */
  #checkCrashes(): void {
    const crashes = this.#deployment.engines
      .reduce((sum, engine) => sum + engine.crashes, 0);
    const maxCrashes = this.#memberCrashes + 2 * this.#crashRequestCount +
      this.#crashesBeforeDetection;
    if (crashes > maxCrashes) {
      this.violations.add(
        `${crashes} crashes, at most ${maxCrashes} by faults`,
      );
    }
  }

  #isServing(): boolean {
    return this.#getLiveDaemons().every((daemon) => {
      const { groupDirectory, sharedAdmission } = daemon.context;
      const servingGroups = groupDirectory.getServingGroups("test-model");
      return sharedAdmission.hasConfirmedShares() &&
        servingGroups.length === GROUPS;
    });
  }

  #getLiveDaemons(): Daemon[] {
    return this.#deployment.daemons.filter((d) => !this.#killedDaemons.has(d));
  }

  #getPlacedEngine(): FakeEngine {
    const placement = this.#deployment.platform
      .getObject("placement", `${ZONES[1]}-rack-1`)!.value as DomainPlacement;
    const [name] = Object.keys(placement.groupByVm);
    return this.#deployment.engines.find((e) => e.name === name)!;
  }

  #getLeaseHolder(): Daemon {
    const value = this.#deployment.platform
      .getObject("lease", `planner-${ZONES[1]}`)!.value as { holder: string };
    return this.#getLiveDaemons()
      .find((d) => d.context.settings.name === value.holder) ??
      this.#getLiveDaemons()[0];
  }

  #countOutcome(outcome: string): void {
    this.outcomes[outcome] = (this.outcomes[outcome] ?? 0) + 1;
  }
}
