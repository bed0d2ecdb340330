import { delay } from "../../shared/delay.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type { EngineProfile } from "../../version/routing_config.ts";
import type { ReplicaGroup } from "../fleet/group_table.ts";
import type { BackgroundTask } from "../task_supervisor.ts";
import type { ServerEstimate } from "./candidate_limits.ts";
import type {
  ConcurrencyReports,
  ServerEvidence,
} from "./concurrency_reports.ts";
import {
  combineEvidence,
  convertToBaseline,
  DEFAULT_USUAL_FIGURES,
  type Evidence,
  getDeviation,
  getUsualFigures,
  limitWeight,
  NO_EVIDENCE,
  type UsualFigures,
} from "./evidence.ts";
import { EstimateLog } from "./estimate_log.ts";
import { ModelBatchTable } from "./model_batch_table.ts";
import { RouteDurations } from "./route_durations.ts";
import { BEGIN_RATIO, MIN_WEIGHT } from "./server_estimator.ts";
import {
  CallObservation,
  ServerRecord,
  StreamObservation,
} from "./server_record.ts";

/** Interval of the evaluations, in milliseconds: a quarter of the second in which a slowdown has to be found. */
const UPDATE_INTERVAL_MS = 250;
/** Minimum weight of own evidence for a server to count towards the baseline. */
const MIN_BASELINE_WEIGHT = 2;
/** Minimum weight of own evidence of a slowdown that is reported to peers: 200 ms of one stream. Twenty daemons with a stream each at a slow group find it together. */
const MIN_REPORT_WEIGHT = 0.4;
/** Number of periods of which the evidence is reported, 500 to 750 ms. Daemons whose last request to a server ended before its slowdown must not contradict the others. */
const REPORT_PERIODS = 3;
/** Minimum time between an evaluation and the next one, which the report of a peer causes, in milliseconds. */
const MIN_UPDATE_INTERVAL_MS = 50;
/** Share of the weight of sufficient own evidence that the evidence of peers gets. The path to a server may be slow from some VMs only. */
const PEER_WEIGHT_SHARE = 0.5;
/** Time after which a record without observations is removed, in milliseconds. */
const RECORD_RETENTION_MS = 60_000;
/** Maximum number of records: three times the servers of the design size. */
const MAX_RECORDS = 2_000;
/** Time after the cold phase of a server in which it is not observed, in milliseconds: requests of the cold phase are still running. */
const COLD_MARGIN_MS = 1_000;
/** Maximum number of servers in the metrics. */
const MAX_LISTED = 100;

/** Options of the learned concurrency. */
export interface LearnedConcurrencyOptions {
  readonly logger: Logger;
  readonly reports: ConcurrencyReports;
  /** Gets the number of requests in flight in a group, over all daemons. */
  getLoad(groupKey: string): number;
}

/** Server or group that deviates from the others. */
export interface DeviatingServer extends ServerEstimate {
  readonly key: string;
  /** Weight of the evidence; that of a request is about 1. */
  readonly evidence: number;
  /** Time since the newest observation, in milliseconds. */
  readonly ageMs: number;
}

/** Stream whose pauses are observed. */
export interface ObservedStream {
  readonly group: ReplicaGroup;
  readonly engine: EngineProfile;
  readonly promptTokens: number;
}

/** Learns how fast each server and group is, and how many concurrent requests it handles well, from the responses to this daemon and the evidence of its peers. */
export class LearnedConcurrency implements BackgroundTask {
  readonly #options: LearnedConcurrencyOptions;
  readonly #records = new Map<string, ServerRecord>();
  readonly #routes = new RouteDurations();
  readonly #batches = new ModelBatchTable();
  /** Estimates of the servers that deviate, by key. */
  #estimates: ReadonlyMap<string, ServerEstimate> = new Map();
  readonly #listeners = new Set<() => void>();
  #updatedAtMs = Number.NEGATIVE_INFINITY;
  readonly #log: EstimateLog;

  constructor(options: LearnedConcurrencyOptions) {
    this.#options = options;
    this.#log = new EstimateLog(options);
  }

  /** Gets the number of servers and groups that are found slow. */
  get slowCount(): number {
    return [...this.#estimates.values()].filter(({ speed }) => speed < 1)
      .length;
  }

  /** Gets the number of servers and groups with a concurrency limit. */
  get limitedCount(): number {
    return [...this.#estimates.values()].filter(({ limit }) =>
      limit !== Number.POSITIVE_INFINITY
    ).length;
  }

  /** Lists the servers and groups that deviate, at most 100. */
  listEstimates(): DeviatingServer[] {
    const nowMs = performance.now();
    return [...this.#estimates].slice(0, MAX_LISTED).map(([key, estimate]) => {
      const record = this.#records.get(key);
      return {
        key,
        ...estimate,
        evidence: record?.judgedWeight ?? 0,
        ageMs: nowMs - (record?.judgedAtMs ?? nowMs),
      };
    });
  }

  /** Registers a listener that is called when an estimate has changed. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Gets the estimate of a server or group; undefined when it does not deviate. */
  getEstimate(key: string): ServerEstimate | undefined {
    return this.#estimates.get(key);
  }

  /** Starts to observe a stream whose request is being sent to a group. */
  startStream(
    { group, engine, promptTokens }: ObservedStream,
  ): StreamObservation | undefined {
    if (isCold(group.head)) {
      return undefined;
    }
    const { key, service, model } = group;
    const scope = `${service} ${model}`;
    const batches = this.#batches.get(scope);
    batches.setEngine(engine, model);
    batches.recordPrompt(promptTokens);
    const getLoad = () => this.#options.getLoad(key);
    return new StreamObservation(this.#getRecord(key, scope), {
      firstEventMs: batches.getFirstEventMs(promptTokens, getLoad()),
      getLoad,
      getBatchMs: (load, rise) => batches.getBatchMs(load, rise),
      onBatch: () => batches.recordBatch(),
    });
  }

  /** Starts to observe a request that is being sent to a server of a plain service. */
  startCall(server: BackendServer, route: string): CallObservation | undefined {
    return isCold(server) ? undefined : new CallObservation(
      this.#getRecord(getServerKey(server), server.service),
      this.#routes.get(`${server.service} ${route}`),
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await delay(UPDATE_INTERVAL_MS, signal);
      this.runPeriod();
    }
  }

  /** Evaluates the evidence, and begins another period of the observation windows. */
  runPeriod(): void {
    this.update();
    this.#finishPeriod();
  }

  /** Evaluates the evidence after the report of a peer has changed, unless that has just been done. */
  applyPeerReports(): void {
    if (performance.now() - this.#updatedAtMs >= MIN_UPDATE_INTERVAL_MS) {
      this.update();
    }
  }

  /** Evaluates the evidence, and updates the estimates and the report to the peers. */
  update(): void {
    const nowMs = performance.now();
    this.#updatedAtMs = nowMs;
    const ownEvidence = this.#collectEvidence(nowMs);
    const usualFigures = this.#getUsualFigures(ownEvidence);
    const ownEntries = new Map<string, ServerEvidence>();
    const estimates = new Map<string, ServerEstimate>();
    const { reports } = this.#options;
    const reportedKeys = reports.listKeys();
    reportedKeys.forEach((key) => this.#getRecord(key));
    for (const record of this.#records.values()) {
      const { key, estimator } = record;
      const isIdle = estimator.isUsual && !ownEvidence.has(key) &&
        !reportedKeys.has(key);
      if (isIdle) {
        continue;
      }
      const usual = usualFigures.get(record.scope ?? "") ??
        DEFAULT_USUAL_FIGURES;
      const { baseline } = usual;
      const getOwn = (sufficientWeight: number, maxPeriods?: number) =>
        ownEvidence.has(key)
          ? convertToBaseline(
            this.#getOwnEvidence(record, nowMs, sufficientWeight, maxPeriods),
            baseline,
          )
          : NO_EVIDENCE;
      this.#updateEstimate(record, getOwn, usual, nowMs);
      if (!estimator.isUsual) {
        estimates.set(key, { speed: estimator.speed, limit: estimator.limit });
      }
      const recent = getOwn(MIN_REPORT_WEIGHT, REPORT_PERIODS);
      if (this.#isReported(record, recent, nowMs)) {
        ownEntries.set(key, {
          evidence: recent,
          observedAtMs: record.observedAtMs,
        });
      }
    }
    reports.setOwnEntries(ownEntries, nowMs);
    const hasChanged = estimates.size > 0 || this.#estimates.size > 0;
    this.#estimates = estimates;
    if (hasChanged) {
      this.#listeners.forEach((listener) => listener());
    }
  }

  #collectEvidence(nowMs: number): Map<string, Evidence> {
    const evidence = new Map<string, Evidence>();
    for (const record of this.#records.values()) {
      const own = this.#getOwnEvidence(record, nowMs, MIN_WEIGHT);
      if (own.weight > 0) {
        evidence.set(record.key, own);
      }
    }
    return evidence;
  }

  #getOwnEvidence(
    record: ServerRecord,
    nowMs: number,
    sufficientWeight: number,
    maxPeriods?: number,
  ): Evidence {
    const { key, isServer, pending } = record;
    return record.getEvidence({
      sufficientWeight,
      maxPeriods,
      nowMs,
      getLoad: () => isServer ? pending.size : this.#options.getLoad(key),
    });
  }

  /** Gets what is usual in each scope for which there is own evidence. */
  #getUsualFigures(
    ownEvidence: ReadonlyMap<string, Evidence>,
  ): Map<string, UsualFigures> {
    const evidenceByScope = new Map<string, Evidence[]>();
    for (const [key, evidence] of ownEvidence) {
      const scope = this.#records.get(key)?.scope;
      if (scope !== undefined && evidence.weight >= MIN_BASELINE_WEIGHT) {
        const list = evidenceByScope.get(scope) ?? [];
        list.push(evidence);
        evidenceByScope.set(scope, list);
      }
    }
    return new Map(
      [...evidenceByScope].map(([scope, list]) => [
        scope,
        getUsualFigures(list),
      ]),
    );
  }

  #updateEstimate(
    record: ServerRecord,
    getOwn: (sufficientWeight: number, maxPeriods?: number) => Evidence,
    { baseline, deviation }: UsualFigures,
    nowMs: number,
  ): void {
    const { key, estimator } = record;
    const peers = this.#options.reports.getPeerEvidence(key, nowMs);
    const recent = getOwn(MIN_WEIGHT, REPORT_PERIODS);
    const isOwnSufficient = recent.weight >= MIN_WEIGHT;
    const own = isOwnSufficient || peers === undefined
      ? getOwn(MIN_WEIGHT)
      : getOwn(Math.max(MIN_REPORT_WEIGHT, MIN_WEIGHT - peers.evidence.weight));
    const peerEvidence = limitWeight(
      peers?.evidence ?? NO_EVIDENCE,
      isOwnSufficient
        ? own.weight * PEER_WEIGHT_SHARE
        : Number.POSITIVE_INFINITY,
    );
    let evidence = combineEvidence(own, peerEvidence);
    let ownDeviation = 0;
    if (record.isServer && evidence.weight > 0) {
      // Few requests of a plain server make up its evidence, and one that varies more than the others must not be found slow by chance.
      ownDeviation = getDeviation(evidence);
      // A daemon knows only its own requests at a plain server, so the loads of other daemons say nothing about its limit.
      const load = own.weight > 0 ? own.loads / own.weight : 0;
      evidence = { ...evidence, loads: load * evidence.weight };
    }
    const observedAtMs = Math.max(
      record.observedAtMs,
      peers?.observedAtMs ?? Number.NEGATIVE_INFINITY,
    );
    record.judgedWeight = evidence.weight;
    record.judgedAtMs = observedAtMs;
    const load = evidence.loads / Math.max(Number.MIN_VALUE, evidence.weight);
    const change = estimator.update(evidence, {
      deviation: Math.max(deviation, ownDeviation),
      sharedDeviation: record.isServer
        ? 0
        : this.#batches.getSharedDeviation(record.scope, load),
      observedAtMs,
      nowMs,
    });
    if (change !== undefined) {
      this.#log.write(change, record, { evidence, own, baseline, nowMs });
    }
  }

  /** Gets whether peers are told the evidence of this daemon about a server: it suggests a slowdown, or others have such evidence, to which it adds or which it contradicts. */
  #isReported(
    { key, estimator }: ServerRecord,
    recent: Evidence,
    nowMs: number,
  ): boolean {
    const isSuspect = recent.weight >= MIN_REPORT_WEIGHT &&
      recent.ratios >= recent.expected * BEGIN_RATIO;
    return recent.weight > 0 &&
      (isSuspect || estimator.isSlow ||
        this.#options.reports.isSuspect(key, nowMs));
  }

  /** Ends a period of the observation windows, and removes old records. */
  #finishPeriod(): void {
    const nowMs = performance.now();
    for (const [key, record] of this.#records) {
      record.sweep();
      const isUnused = record.pending.size === 0 && record.estimator.isUsual &&
        nowMs - record.observedAtMs > RECORD_RETENTION_MS;
      if (isUnused) {
        this.#records.delete(key);
      }
    }
  }

  #getRecord(key: string, scope?: string): ServerRecord {
    let record = this.#records.get(key);
    if (record === undefined) {
      record = new ServerRecord(key);
      this.#records.set(key, record);
      if (this.#records.size > MAX_RECORDS) {
        const [oldestKey] = this.#records.keys();
        this.#records.delete(oldestKey);
      }
    }
    record.scope ??= scope;
    return record;
  }
}

/** Gets the key of a server's process, which a later process with the same id does not have. */
export function getServerKey(
  { id, startedAtMs }: Pick<BackendServer, "id" | "startedAtMs">,
): string {
  return `${id}@${startedAtMs}`;
}

function isCold({ coldUntilMs }: BackendServer): boolean {
  return coldUntilMs > 0 && coldUntilMs > performance.now() - COLD_MARGIN_MS;
}
