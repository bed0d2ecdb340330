import {
  addObservation,
  type Evidence,
  EvidenceWindow,
  getStreamWeight,
  limitWeight,
  WINDOW_PERIODS,
} from "./evidence.ts";
import { BEGIN_RATIO, ServerEstimator } from "./server_estimator.ts";

/** Pattern of the keys of processes: id and start time. The key of a group ends with a slash and its generation. */
const SERVER_KEY_PATTERN = /@\d+$/;
/** Maximum weight of the evidence for each request. Two requests stay below the weight on which a server is judged, three reach it. */
const MAX_REQUEST_WEIGHT = 1.6;

/** Weight of the newest observations that replace older ones while a server is slow, so that its recovery shows early. */
const RECOVERY_WEIGHT = 2;
/** Share of the expected time between two batches of events below which events belong to the last batch: the network has split it. */
const SAME_BATCH_SHARE = 0.2;

/** Request in flight, whose silence is evidence before it ends. */
interface PendingObservation {
  /** Whether the request has contributed an observation. */
  readonly hasObserved: boolean;
  /** Gets the ratio so far of the time since the last event to the expected one; 0 when it is no evidence. */
  getPendingRatio(nowMs: number): number;
  /** Gets the weight of the observation if it ended now. */
  getPendingWeight(nowMs: number): number;
  /** Gets the share of a whole request that is expected by the next event. */
  getPendingExpected(): number;
}

/** Observations and estimate of one process of a server, or of one group. */
export class ServerRecord {
  readonly estimator = new ServerEstimator();
  /** Servers with which this one is compared; undefined when only peers have reported it. */
  scope: string | undefined;
  /** Monotonic time of the newest observation, in milliseconds. */
  observedAtMs = Number.NEGATIVE_INFINITY;
  /** Expected duration of the newest observation, in milliseconds. */
  expectedMs = 0;
  /** Weight of the evidence of this daemon and its peers at the last evaluation. */
  judgedWeight = 0;
  /** Monotonic time of the newest observation of this daemon or its peers, in milliseconds. */
  judgedAtMs = Number.NEGATIVE_INFINITY;
  readonly pending = new Set<PendingObservation>();
  readonly #window = new EvidenceWindow();
  /** Number of observed requests that ended in each of the last periods, the current one first. */
  #endedCounts = [0];

  /** Whether this is a server's process of a plain service. */
  readonly isServer: boolean;

  /**
   * @param key - Key of the group, or of the server's process.
   */
  constructor(readonly key: string) {
    this.isServer = SERVER_KEY_PATTERN.test(key);
  }

  /**
   * Adds an observation.
   *
   * @param observedMs - Observed duration, in milliseconds.
   * @param expectedMs - Expected duration, in milliseconds.
   * @param expected - Share of a whole request that was expected in the observed time.
   * @param weight - Weight of the observation, from 0 to 1.
   * @param load - Number of concurrent requests.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  observe(
    observedMs: number,
    expectedMs: number,
    expected: number,
    weight: number,
    load: number,
    nowMs: number,
  ): void {
    this.observedAtMs = nowMs;
    this.expectedMs = expectedMs;
    this.#window.add(observedMs / expectedMs, expected, weight, load);
  }

  /** Removes a request that has ended. */
  removePending(observation: PendingObservation): void {
    if (this.pending.delete(observation) && observation.hasObserved) {
      this.#endedCounts[0]++;
    }
  }

  /** Ends a period of the observation window. */
  sweep(): void {
    this.#window.sweep();
    this.#endedCounts = [0, ...this.#endedCounts.slice(0, WINDOW_PERIODS - 1)];
  }

  /**
   * Gets the evidence of the window, including requests that already take longer than expected. Its weight is bounded by the number of requests: a few long streams are not many requests.
   *
   * @param options.sufficientWeight - Weight from which older observations are left out.
   * @param options.maxPeriods - Number of periods that are used if their weight is not sufficient.
   * @param options.getLoad - Gets the number of concurrent requests.
   */
  getEvidence(
    { sufficientWeight, maxPeriods = WINDOW_PERIODS, nowMs, getLoad }: {
      sufficientWeight: number;
      maxPeriods?: number;
      nowMs: number;
      getLoad(): number;
    },
  ): Evidence {
    const evidence = this.#window.getEvidence(
      this.estimator.isSlow ? RECOVERY_WEIGHT : sufficientWeight,
      maxPeriods,
    );
    // A shorter wait than the mean of the ended ones says nothing yet, and would lower the mean.
    const minLateRatio = Math.max(
      BEGIN_RATIO,
      evidence.ratios / Math.max(Number.MIN_VALUE, evidence.expected),
    );
    let requestCount = this.#endedCounts.reduce((sum, count) => sum + count);
    for (const observation of this.pending) {
      const ratio = observation.getPendingRatio(nowMs);
      const isLate = ratio >= minLateRatio;
      if (isLate) {
        addObservation(
          evidence,
          ratio,
          observation.getPendingExpected(),
          observation.getPendingWeight(nowMs),
          getLoad(),
        );
        this.observedAtMs = nowMs;
      }
      requestCount += Number(isLate || observation.hasObserved);
    }
    return limitWeight(evidence, requestCount * MAX_REQUEST_WEIGHT);
  }
}

/** Observes the pauses of one stream. */
export class StreamObservation implements PendingObservation {
  hasObserved = false;
  readonly #record: ServerRecord;
  readonly #getLoad: () => number;
  readonly #getBatchMs: (load: number, rise: number) => number;
  readonly #onBatch: () => void;
  #lastAtMs = performance.now();
  /** Number of requests in flight in the group at the last event. */
  #lastLoad: number;
  /** Time by which the first event is expected later than a batch, in milliseconds; 0 after it. */
  #delayMs: number;
  #isPaused = false;

  /**
   * @param options.firstEventMs - Expected time until the first event, in milliseconds.
   * @param options.getLoad - Gets the number of requests in flight in the group.
   * @param options.getBatchMs - Gets the expected time between two batches of events, in milliseconds, from the load at the first one and its rise until now.
   * @param options.onBatch - Called when a batch of events has arrived.
   */
  constructor(record: ServerRecord, options: {
    firstEventMs: number;
    getLoad(): number;
    getBatchMs(load: number, rise: number): number;
    onBatch?(): void;
  }) {
    this.#record = record;
    this.#getLoad = options.getLoad;
    this.#getBatchMs = options.getBatchMs;
    this.#onBatch = options.onBatch ?? (() => {});
    this.#lastLoad = options.getLoad();
    this.#delayMs = options.firstEventMs - this.#getBatchMs(this.#lastLoad, 0);
    record.pending.add(this);
  }

  /** Records that events have arrived. */
  recordEvents(): void {
    const nowMs = performance.now();
    const observedMs = nowMs - this.#lastAtMs;
    const usualMs = this.#getExpectedMs(this.#lastLoad);
    if (observedMs < usualMs * SAME_BATCH_SHARE) {
      return;
    }
    const load = this.#getLoad();
    this.#observe(nowMs, load);
    this.#onBatch();
    this.#lastAtMs = nowMs;
    this.#lastLoad = load;
    this.#delayMs = 0;
  }

  /** Leaves out the time until `resume`, in which events wait for the caller to read. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Observes the stream again. */
  resume(): void {
    this.#isPaused = false;
    this.#lastAtMs = performance.now();
    this.#lastLoad = this.#getLoad();
  }

  /** Ends the observation. A stream that ends while its next event is late has waited at least that long for it. */
  finish(): void {
    if (!this.#record.pending.has(this)) {
      return;
    }
    const nowMs = performance.now();
    if (this.getPendingRatio(nowMs) >= BEGIN_RATIO) {
      this.#observe(nowMs, this.#getLoad());
    }
    this.#record.removePending(this);
  }

  getPendingRatio(nowMs: number): number {
    return this.#isPaused
      ? 0
      : (nowMs - this.#lastAtMs) / this.#getExpectedMs(this.#getLoad());
  }

  getPendingWeight(nowMs: number): number {
    return getStreamWeight(nowMs - this.#lastAtMs);
  }

  getPendingExpected(): number {
    return getStreamWeight(this.#getExpectedMs(this.#getLoad()));
  }

  /** Gets the expected time from the last event to the next one, in milliseconds, from the current load. */
  #getExpectedMs(load: number): number {
    return this.#delayMs +
      this.#getBatchMs(this.#lastLoad, load - this.#lastLoad);
  }

  #observe(nowMs: number, load: number): void {
    this.hasObserved = true;
    const observedMs = nowMs - this.#lastAtMs;
    const expectedMs = this.#getExpectedMs(load);
    this.#record.observe(
      observedMs,
      expectedMs,
      getStreamWeight(expectedMs),
      getStreamWeight(observedMs),
      load,
      nowMs,
    );
  }
}

/** Expected duration of the requests of one route of a plain service. */
export interface RouteDuration {
  /** Gets the expected duration in milliseconds; undefined before enough requests. */
  getExpectedMs(): number | undefined;
  /** Records the duration of a successful request. */
  record(durationMs: number): void;
}

/** Observes the duration of one request to a server of a plain service. */
export class CallObservation implements PendingObservation {
  hasObserved = false;
  readonly #record: ServerRecord;
  readonly #route: RouteDuration;
  readonly #startedAtMs = performance.now();

  constructor(record: ServerRecord, route: RouteDuration) {
    this.#record = record;
    this.#route = route;
    record.pending.add(this);
  }

  /**
   * Ends the observation.
   *
   * @param isSuccess - Whether the server sent a complete response without an error. Otherwise the duration counts only when it is long: a fast error is no speed.
   */
  finish(isSuccess: boolean): void {
    const load = this.#record.pending.size;
    if (!this.#record.pending.has(this)) {
      return;
    }
    const nowMs = performance.now();
    const durationMs = nowMs - this.#startedAtMs;
    const expectedMs = this.#route.getExpectedMs();
    const isEvidence = expectedMs !== undefined &&
      (isSuccess || durationMs / expectedMs >= BEGIN_RATIO);
    if (isEvidence) {
      this.hasObserved = true;
      this.#record.observe(durationMs, expectedMs, 1, 1, load, nowMs);
    }
    this.#record.removePending(this);
    if (isSuccess) {
      this.#route.record(durationMs);
    }
  }

  getPendingRatio(nowMs: number): number {
    return (nowMs - this.#startedAtMs) /
      (this.#route.getExpectedMs() ?? Number.POSITIVE_INFINITY);
  }

  getPendingWeight(): number {
    return 1;
  }

  getPendingExpected(): number {
    return 1;
  }
}
