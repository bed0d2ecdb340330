import { SeededRandom } from "../../bench/load/seeded_random.ts";
import type { Vm } from "../../src/connection/vm_directory.ts";
import type { Grant } from "../../src/process/admission.ts";
import { delay } from "../../src/shared/delay.ts";
import {
  configSchema,
  type VersionedConfig,
} from "../../src/version/config_schema.ts";
import { ReplayBackend, type RunningRequest } from "./replay_backend.ts";
import { type DisabledMechanism, ReplayDaemon } from "./replay_daemon.ts";
import type { Trace, TraceArrival, TraceStep } from "./trace.ts";

const TICK_MS = 100;
const STORE_READ_INTERVAL_MS = 1_000;
/** Time before the trace in which the first groups load, the daemons settle their first shares and the groups warm up, in milliseconds. */
const SETUP_MS = 10_000;
const FINAL_RUN_MS = 30_000;
/** Time after a zone is taken out in which it may still get new work, in milliseconds. */
const TAKE_OUT_LIMIT_MS = 5_000;
const RESUME_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 4;
const CRASH_AFTER_MS = 100;
/** Number of tokens that a daemon buffers for a slow caller before it stops reading from the engine. */
const BUFFERED_TOKENS = 64;
const MODEL = "model-1";

/** Result of one request of a replay. */
export interface ReplayedRequest {
  readonly outcome: string;
  /** Time since the start of the trace, in milliseconds. */
  readonly endMs: number;
  readonly attempts: number;
}

/** Start of a request on a group. */
export interface ReplayedAttempt {
  readonly zone: string;
  /** Time since the start of the trace, in milliseconds. */
  readonly atMs: number;
}

/** Results of a replay. */
export interface ReplayResult {
  readonly requests: ReadonlyMap<string, ReplayedRequest>;
  /** Time and detail of the first violation of each broken invariant, by the invariant's name. */
  readonly violations: ReadonlyMap<string, string>;
  readonly crashesByFingerprint: ReadonlyMap<string, number>;
  readonly attempts: readonly ReplayedAttempt[];
}

/** Options of a replay. */
export interface ReplayOptions {
  readonly disabledMechanism?: DisabledMechanism;
  /** Advances the paused clock. */
  readonly advance: (ms: number) => Promise<unknown>;
}

/** Replays a trace through the decision code of several daemons. Runs on the test's paused clock. */
export class TraceReplayer {
  readonly #trace: Trace;
  readonly #options: ReplayOptions;
  readonly #backend: ReplayBackend;
  readonly #daemons: ReplayDaemon[];
  readonly #random: SeededRandom;
  readonly #takenOutAtMs = new Map<string, number>();
  readonly #requests = new Map<string, ReplayedRequest>();
  readonly #violations = new Map<string, string>();
  readonly #crashesByFingerprint = new Map<string, number>();
  readonly #attempts: ReplayedAttempt[] = [];
  #config: VersionedConfig;
  #isStoreUp = true;
  #tickCount = 0;
  #startedAtMs = 0;

  constructor(trace: Trace, options: ReplayOptions) {
    const { header } = trace;
    this.#trace = trace;
    this.#options = options;
    this.#random = new SeededRandom(header.seed);
    this.#backend = new ReplayBackend(header);
    this.#config = { version: 1, document: createDocument(trace) };
    this.#daemons = Array.from(
      { length: header.daemons },
      (_, index) =>
        new ReplayDaemon({
          name: `entry-${index + 1}`,
          zone: header.zones[index % header.zones.length],
          channel: {
            sendLoans: (peer, batch) =>
              this.#sendTo(
                peer,
                (d) => d.sharedAdmission.handleLoanBatch(batch),
              ),
            sendSettlement: (peer, request) =>
              this.#sendTo(
                peer,
                (d) => d.sharedAdmission.handleSettlementRequest(request),
              ),
          },
          disabledMechanism: options.disabledMechanism,
        }),
    );
  }

  /** Runs the whole trace. */
  async run(): Promise<ReplayResult> {
    this.#daemons.forEach((daemon) => daemon.start());
    await this.#runUntil(SETUP_MS);
    await this.#assumeWarmGroups();
    this.#startedAtMs = performance.now();
    for (const step of this.#trace.steps) {
      await this.#runUntil(step.atMs);
      this.#applyStep(step);
    }
    const lastMs = this.#trace.steps.at(-1)?.atMs ?? 0;
    await this.#runUntil(lastMs + FINAL_RUN_MS);
    this.#daemons.forEach((daemon) => daemon.stop());
    await this.#options.advance(TICK_MS);
    return {
      requests: this.#requests,
      violations: this.#violations,
      crashesByFingerprint: this.#crashesByFingerprint,
      attempts: this.#attempts,
    };
  }

  get #nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  async #runUntil(atMs: number): Promise<void> {
    while (this.#nowMs < atMs) {
      const nextTickMs = TICK_MS - performance.now() % TICK_MS;
      await this.#options.advance(Math.min(nextTickMs, atMs - this.#nowMs));
      if (performance.now() % TICK_MS === 0) {
        this.#runTick();
      }
    }
  }

  /** Warms up all groups with finished requests before the trace begins. */
  async #assumeWarmGroups(): Promise<void> {
    for (const { placement } of this.#backend.stored.values()) {
      for (const group of Object.values(placement.groups)) {
        for (let n = 0; n < this.#trace.header.warmAfterRequests; n++) {
          const request = createWarmUpRequest(this.#daemons[0]);
          this.#backend.addRequest(group, request);
          this.#backend.removeRequest(group, request, true);
        }
      }
    }
    this.#startedAtMs = performance.now();
    await this.#runUntil(1_000);
  }

  #runTick(): void {
    this.#tickCount++;
    this.#backend.runStep();
    this.#daemons.forEach((daemon, index) => this.#syncDaemon(daemon, index));
    if (this.#isStoreUp && this.#tickCount % 2 === 0) {
      this.#backend.planAll(this.#daemons[0]);
    }
    this.#checkState();
  }

  #syncDaemon(daemon: ReplayDaemon, index: number): void {
    daemon.vmTable.replace(this.#listVms());
    const readIntervalTicks = STORE_READ_INTERVAL_MS / TICK_MS;
    const isReadTick = this.#tickCount === 1 ||
      (this.#tickCount + index) % readIntervalTicks === 0;
    if (this.#isStoreUp && isReadTick) {
      daemon.configHolder.offer(this.#config);
      daemon.freshness.recordStoreRead(0);
    }
    if (this.#isStoreUp) {
      this.#backend.stored.forEach((p) => daemon.placementHolder.offer(p));
    }
    this.#observeGroups(daemon);
    const peer =
      this.#daemons[(index + this.#tickCount) % this.#daemons.length];
    if (peer !== daemon) {
      daemon.quarantine.merge(structuredClone(peer.quarantine.getState()));
      daemon.agreement.mergeReport(
        peer.agreement.getReport(),
        performance.now(),
      );
      daemon.freshness.recordConfirmation(peer.freshness.getAgeMs());
    }
  }

  #observeGroups(daemon: ReplayDaemon): void {
    for (const group of daemon.placementHolder.getGroups()) {
      const stored = this.#backend.stored.get(group.fabricDomain)?.placement
        .groups[group.groupId];
      if (stored?.generation === group.generation) {
        daemon.healthTable.offer({
          groupId: group.groupId,
          generation: group.generation,
          state: this.#backend.getHealthState(group),
          bootId: this.#backend.getBootId(group),
          observer: daemon.name,
          sequence: this.#tickCount,
          ageMs: 0,
          runningRequests:
            this.#backend.getRunningRequests(group.groupId).length,
          heldTokens: 0,
          maxTokens: this.#trace.header.kvTokensPerGroup,
        });
      }
    }
  }

  #listVms(): Vm[] {
    const entries = this.#daemons.map((daemon, index): Vm => ({
      name: daemon.name,
      role: "entry",
      address: `10.0.1.${index + 1}:1`,
      zone: daemon.zone,
      state: "live",
    }));
    return [...this.#backend.vms, ...entries];
  }

  #applyStep(step: TraceStep): void {
    if (step.type === "arrival") {
      void this.#runRequest(step);
    } else if (step.type === "event") {
      this.#setTakenOut(step.zone, step.event === "zone-taken-out");
    } else if (step.fault === "store-down" || step.fault === "store-up") {
      this.#isStoreUp = step.fault === "store-up";
    } else {
      const engine = this.#backend.getEngine(step.zone!, step.member!);
      if (step.fault === "member-lost") {
        this.#backend.crash(engine);
      } else {
        engine.assumeRestart();
      }
    }
  }

  #setTakenOut(zone: string, takenOut: boolean): void {
    const document = structuredClone(this.#config.document);
    document.zones.find((z) => z.name === zone)!.takenOut = takenOut;
    this.#config = { version: this.#config.version + 1, document };
    if (takenOut) {
      this.#takenOutAtMs.set(zone, this.#nowMs);
    } else {
      this.#takenOutAtMs.delete(zone);
    }
  }

  async #runRequest(arrival: TraceArrival): Promise<void> {
    const daemon = this.#daemons[arrival.daemon];
    const deadlineAtMs = performance.now() + arrival.deadlineMs;
    const fingerprint = arrival.crashFingerprint ?? arrival.id;
    if (daemon.freshness.getState() === "stale") {
      this.#recordEnd(arrival, "stale-configuration", 0);
      return;
    }
    if (arrival.kind === "call") {
      this.#recordEnd(arrival, "finished", 1);
      return;
    }
    const excludedGroupIds = new Set<string>();
    let remainingMs = this.#getDurationMs(arrival);
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const alone = daemon.quarantine.isSuspect(fingerprint);
      const grantOrCode = await this.#acquire(arrival, {
        daemon,
        fingerprint,
        alone,
        deadlineAtMs,
        excludedGroupIds,
        isResumed: attempt > 1,
      });
      if (typeof grantOrCode === "string") {
        this.#recordEnd(arrival, grantOrCode, attempt - 1);
        return;
      }
      const startedAtMs = performance.now();
      const hasFinished = await this.#runAttempt(grantOrCode, {
        arrival,
        daemon,
        fingerprint,
        alone,
        durationMs: remainingMs,
      });
      if (hasFinished) {
        if (alone) {
          daemon.quarantine.recordSafeRun(fingerprint);
        }
        this.#recordEnd(arrival, "finished", attempt);
        return;
      }
      // The next attempt resumes the response after the tokens that the caller already received.
      remainingMs -= performance.now() - startedAtMs;
      excludedGroupIds.add(grantOrCode.group.groupId);
      await delay(RETRY_DELAY_MS, daemon.signal);
    }
    this.#recordEnd(arrival, "backend-failed", MAX_ATTEMPTS);
  }

  async #acquire(
    arrival: TraceArrival,
    options: {
      daemon: ReplayDaemon;
      fingerprint: string;
      alone: boolean;
      deadlineAtMs: number;
      excludedGroupIds: ReadonlySet<string>;
      isResumed: boolean;
    },
  ): Promise<Grant | string> {
    const { daemon, fingerprint } = options;
    const retryUntilMs = performance.now() +
      (options.isResumed ? RESUME_TIMEOUT_MS : 0);
    const { document } = daemon.configHolder.getCurrentOrThrow();
    for (;;) {
      if (
        daemon.usesQuarantine && daemon.quarantine.isQuarantined(fingerprint)
      ) {
        return "quarantined";
      }
      const acquireResult = await daemon.admission.acquire({
        requestId: arrival.id,
        model: document.models[0],
        account: document.clientAccounts
          .find((account) => account.name === arrival.account)!,
        kvTokens: arrival.promptTokens + arrival.outputTokens,
        prefixHash: 0,
        deadlineAtMs: options.deadlineAtMs,
        excludedGroupIds: options.excludedGroupIds,
        alone: options.alone,
      }, daemon.signal);
      if (acquireResult.isRight()) {
        return acquireResult.unsafeCoerce();
      }
      if (performance.now() >= retryUntilMs) {
        return acquireResult.swap().unsafeCoerce().code;
      }
      await delay(RETRY_DELAY_MS, daemon.signal);
    }
  }

  /** Runs a request on its group. Resolves to false if the group is lost. */
  #runAttempt(
    grant: Grant,
    options: {
      arrival: TraceArrival;
      daemon: ReplayDaemon;
      fingerprint: string;
      alone: boolean;
      durationMs: number;
    },
  ): Promise<boolean> {
    const { arrival, daemon, fingerprint } = options;
    const { group } = grant;
    if (this.#backend.hasLostMember(group)) {
      grant.release("group-failed");
      return Promise.resolve(false);
    }
    this.#checkGrant(grant);
    return new Promise((resolve) => {
      const lossId = `${group.groupId}@${group.generation}/${
        this.#backend.getBootId(group)
      }`;
      const request: RunningRequest = {
        id: arrival.id,
        kvTokens: arrival.promptTokens + arrival.outputTokens,
        daemon,
        fingerprint,
        startedAtMs: performance.now(),
        onLost: (fingerprints) => {
          clearTimeout(timer);
          grant.release("group-failed");
          daemon.quarantine.recordLoss({
            lossId,
            fingerprints,
            alone: options.alone && fingerprints.length === 1,
          });
          resolve(false);
        },
      };
      const isCrashRequest = arrival.crashFingerprint !== undefined;
      const timer = setTimeout(() => {
        if (isCrashRequest) {
          this.#crashesByFingerprint.set(
            fingerprint,
            (this.#crashesByFingerprint.get(fingerprint) ?? 0) + 1,
          );
          this.#backend.assumeLeaderRestart(group);
          return;
        }
        this.#backend.removeRequest(group, request, true);
        grant.release("finished");
        resolve(true);
      }, isCrashRequest ? CRASH_AFTER_MS : Math.max(0, options.durationMs));
      this.#backend.addRequest(group, request);
      this.#checkGroup(grant);
    });
  }

  #getDurationMs(arrival: TraceArrival): number {
    const { tokenIntervalMs } = this.#trace.header;
    const { outputTokens, readTokensPerSecond } = arrival;
    const readMs = readTokensPerSecond === undefined
      ? 0
      : (outputTokens - BUFFERED_TOKENS) / readTokensPerSecond * 1_000;
    return Math.max(outputTokens * tokenIntervalMs, readMs);
  }

  #recordEnd(arrival: TraceArrival, outcome: string, attempts: number): void {
    if (this.#requests.has(arrival.id)) {
      this.#reportViolation("request ended twice", arrival.id);
    }
    this.#requests.set(arrival.id, { outcome, endMs: this.#nowMs, attempts });
  }

  #checkGrant(grant: Grant): void {
    const { zone } = grant.group;
    this.#attempts.push({ zone, atMs: this.#nowMs });
    const takenOutAtMs = this.#takenOutAtMs.get(zone) ?? Infinity;
    if (this.#nowMs - takenOutAtMs > TAKE_OUT_LIMIT_MS) {
      this.#reportViolation("new work in a zone taken out", zone);
    }
    if (this.#backend.getHealthState(grant.group) === "incomplete") {
      this.#reportViolation("partial group serves", grant.group.groupId);
    }
  }

  #checkGroup(grant: Grant): void {
    const { group } = grant;
    const runningRequests = this.#backend.getRunningRequests(group.groupId);
    const tokens = runningRequests.reduce((sum, r) => sum + r.kvTokens, 0);
    const { slotsPerGroup, kvTokensPerGroup } = this.#trace.header;
    if (runningRequests.length > slotsPerGroup) {
      this.#reportViolation(
        "group over its slots",
        `${runningRequests.length}`,
      );
    }
    if (tokens > kvTokensPerGroup) {
      this.#reportViolation("group over its KV tokens", `${tokens}`);
    }
    const limit = this.#backend.getRequestLimit(group);
    if (runningRequests.length > limit) {
      this.#reportViolation(
        "cold group over its warm-up limit",
        `${group.groupId} runs ${runningRequests.length}, limit ${limit}`,
      );
    }
  }

  #checkState(): void {
    const vms = [...this.#backend.stored.values()]
      .flatMap((stored) => Object.keys(stored.placement.groupByVm));
    if (new Set(vms).size !== vms.length) {
      this.#reportViolation("VM in two groups", vms.join());
    }
    for (const [fingerprint, crashes] of this.#crashesByFingerprint) {
      if (crashes > 2) {
        this.#reportViolation(
          "more than two groups lost to a request",
          fingerprint,
        );
      }
    }
  }

  #reportViolation(name: string, detail: string): void {
    if (!this.#violations.has(name)) {
      this.#violations.set(name, `${Math.round(this.#nowMs)} ms: ${detail}`);
    }
  }

  async #sendTo<T>(
    peer: string,
    handle: (daemon: ReplayDaemon) => T,
  ): Promise<T> {
    await delay(1 + this.#random.getInteger(2));
    const daemon = this.#daemons.find((d) => d.name === peer);
    if (daemon === undefined) {
      throw new Error("The peer is not known");
    }
    const result = structuredClone(handle(daemon));
    await delay(1 + this.#random.getInteger(2));
    return result;
  }
}

function createWarmUpRequest(daemon: ReplayDaemon): RunningRequest {
  return {
    id: "warm-up",
    kvTokens: 0,
    daemon,
    fingerprint: "warm-up",
    startedAtMs: performance.now(),
    onLost: () => undefined,
  };
}

function createDocument(trace: Trace) {
  const { header } = trace;
  const count = Math.floor(header.vmsPerZone / header.groupSizeVms);
  return configSchema.parse({
    schemaVersion: 1,
    zones: header.zones.map((name) => ({ name, region: "region-1" })),
    models: [{
      name: MODEL,
      groupSizeVms: header.groupSizeVms,
      placements: header.zones.map((zone) => ({ zones: [zone], count })),
      slotsPerGroup: header.slotsPerGroup,
      kvTokensPerGroup: header.kvTokensPerGroup,
      coldSlots: header.coldSlots,
      warmAfterRequests: header.warmAfterRequests,
      honoursFencing: true,
    }],
    clientAccounts: header.accounts.map((name, index) => ({
      name,
      apiKeySha256: [String(index).padStart(64, "0")],
    })),
  });
}
