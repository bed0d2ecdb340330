import {
  type Evidence,
  type EvidenceError,
  measureEvidence,
} from "./evidence.ts";

/** Weight of the evidence on which a server is found slow: that of three requests or more. With 6, three streams in a group never sufficed. */
export const MIN_WEIGHT = 4.5;
/** Weight of the evidence that confirms or ends a known slowdown. A slow server gets few requests, and an error costs little: the next requests show it again. */
const MIN_CONFIRMATION_WEIGHT = 1;
/** Ratio that a server has to exceed to be found slow. At 1.5, a pause objective of 200 ms is missed by a batch of 133 ms, which is about twice the usual one. */
export const BEGIN_RATIO = 1.5;
/** Ratio below which a slow server counts as recovered. Between the two, nothing changes. */
const END_RATIO = 1.25;
/** Time after the last evidence for which a slowdown holds without change, in milliseconds; longer than a report of a peer takes to arrive. */
const HOLD_MS = 1_000;
/** Time constant with which a slowdown without new evidence is forgotten, in milliseconds. An idle server that was 5 times slower gets a first request after about 2 s. */
const FORGET_MS = 2_000;
/** Speed from which a slowdown that is being forgotten has ended. */
const FORGOTTEN_SPEED = 0.95;
/** Lowest speed that is assumed; below it the choice is the same. */
const MIN_SPEED = 0.1;
/** Factor by which the limit falls below the number of concurrent requests at which the server was slow. */
const DECREASE_FACTOR = 0.7;
/** Minimum time between two decreases, in milliseconds: that of the observation window, so that none counts twice. */
const DECREASE_INTERVAL_MS = 2_000;
/** Interval at which the limit rises by a request while it is well below the point at which the server was slow, in milliseconds. */
const RAISE_INTERVAL_MS = 500;
/** Interval of the rises near that point, in milliseconds. Each may make the server slow for a window, so a server is slow for at most an eighth of the time. */
const CAREFUL_RAISE_INTERVAL_MS = 8_000;
/** Share of the load at which the server was slow from which the limit rises carefully. */
const CAREFUL_SHARE = 0.85;
/** Multiple of that load at which the limit is dropped. */
const DROP_FACTOR = 1.5;
/** Share of the load at which a server was first slow below which it is slow at any load. */
const ANY_LOAD_SHARE = 0.5;

/** Change of an estimate that is worth a log line. */
export type EstimateChange = "begun" | "recovered" | "forgotten";

/**
 * Estimates the speed and the concurrency limit of one process of a server, or of one group.
 *
 * The load patterns: a server that becomes several times slower from one moment to the next and recovers; one that is slow only near its full load; one that is idle; one whose durations vary. The speed is the reciprocal of the mean ratio of observed to expected durations. It has hysteresis, and is forgotten gradually without evidence, so that the server is tried with few requests. The limit falls in proportion to the load at which the server was slow and rises by single requests, slowly near that load.
 */
export class ServerEstimator {
  #ratio = 1;
  #isSlow = false;
  #speed = 1;
  #limit = Number.POSITIVE_INFINITY;
  #evidenceAtMs = Number.NEGATIVE_INFINITY;
  #decreasedAtMs = Number.NEGATIVE_INFINITY;
  #raisedAtMs = Number.NEGATIVE_INFINITY;
  /** Load at which the slowdown was found. */
  #firstSlowLoad = 0;
  /** Lowest load at which the server was slow in this slowdown. */
  #lowestSlowLoad = 0;

  /** Gets the current speed; 1 when the server is as fast as expected, 0.5 when it takes twice as long. */
  get speed(): number {
    return this.#speed;
  }

  /** Gets the number of concurrent requests that the server handles well; infinite when none is known. */
  get limit(): number {
    return this.#limit;
  }

  /** Gets whether the server is slow. */
  get isSlow(): boolean {
    return this.#isSlow;
  }

  /** Gets whether the server is treated as any other one. */
  get isUsual(): boolean {
    return !this.#isSlow && this.#limit === Number.POSITIVE_INFINITY;
  }

  /**
   * Updates the estimate, several times a second.
   *
   * @param evidence - Evidence of the last observations, in multiples of the baseline.
   * @returns Change that is worth a log line.
   */
  update(
    evidence: Evidence,
    options: EvidenceError & {
      /** Monotonic time of the newest observation, in milliseconds. */
      readonly observedAtMs: number;
      /** Monotonic time, in milliseconds. */
      readonly nowMs: number;
    },
  ): EstimateChange | undefined {
    const { observedAtMs, nowMs } = options;
    const wasSlow = this.#isSlow;
    const minWeight = wasSlow ? MIN_CONFIRMATION_WEIGHT : MIN_WEIGHT;
    if (evidence.weight >= minWeight && observedAtMs > this.#evidenceAtMs) {
      this.#applyEvidence(evidence, options, nowMs);
      this.#evidenceAtMs = observedAtMs;
    }
    if (!this.#isSlow) {
      this.#speed = 1;
      this.#setRaisedLimit(nowMs);
      return wasSlow ? "recovered" : undefined;
    }
    const idleMs = Math.max(0, nowMs - this.#evidenceAtMs - HOLD_MS);
    this.#speed = 1 -
      (1 - Math.max(MIN_SPEED, 1 / this.#ratio)) *
        Math.exp(-idleMs / FORGET_MS);
    if (this.#speed >= FORGOTTEN_SPEED) {
      this.#finishSlowdown();
      this.#speed = 1;
      return "forgotten";
    }
    return wasSlow ? undefined : "begun";
  }

  #applyEvidence(
    evidence: Evidence,
    error: EvidenceError,
    nowMs: number,
  ): void {
    const { ratio, lowRatio, load } = measureEvidence(evidence, error);
    if (!this.#isSlow && lowRatio >= BEGIN_RATIO) {
      this.#isSlow = true;
      this.#firstSlowLoad = load;
      this.#lowestSlowLoad = load;
    }
    if (this.#isSlow && ratio <= END_RATIO) {
      this.#finishSlowdown();
    }
    if (!this.#isSlow) {
      return;
    }
    this.#ratio = Math.max(END_RATIO, ratio);
    if (ratio >= BEGIN_RATIO) {
      this.#lowestSlowLoad = Math.min(this.#lowestSlowLoad, load);
      this.#setDecreasedLimit(load, nowMs);
    }
  }

  #finishSlowdown(): void {
    this.#isSlow = false;
    // A server that was slow with few requests, too, has recovered for any number of them.
    const wasSlowAtAnyLoad = this.#lowestSlowLoad <=
      Math.max(1.5, this.#firstSlowLoad * ANY_LOAD_SHARE);
    if (wasSlowAtAnyLoad) {
      this.#limit = Number.POSITIVE_INFINITY;
    }
  }

  #setDecreasedLimit(load: number, nowMs: number): void {
    if (nowMs - this.#decreasedAtMs < DECREASE_INTERVAL_MS) {
      return;
    }
    this.#decreasedAtMs = nowMs;
    this.#raisedAtMs = nowMs;
    this.#limit = Math.max(1, Math.min(this.#limit, load) * DECREASE_FACTOR);
  }

  #setRaisedLimit(nowMs: number): void {
    if (this.#limit === Number.POSITIVE_INFINITY) {
      return;
    }
    const isNearSlowLoad = this.#limit >= this.#firstSlowLoad * CAREFUL_SHARE;
    const intervalMs = isNearSlowLoad
      ? CAREFUL_RAISE_INTERVAL_MS
      : RAISE_INTERVAL_MS;
    if (nowMs - this.#raisedAtMs < intervalMs) {
      return;
    }
    this.#raisedAtMs = nowMs;
    this.#limit += 1;
    if (this.#limit > this.#firstSlowLoad * DROP_FACTOR + 1) {
      this.#limit = Number.POSITIVE_INFINITY;
    }
  }
}
