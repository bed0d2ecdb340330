/** Time between two samples in milliseconds. */
export const SAMPLE_INTERVAL_MS = 1_000;
/** Time for which samples are kept, in milliseconds. The numbers of servers are compared over this time, which is longer than a partition of servers from the store has lasted. */
export const HISTORY_MS = 300_000;
/** Share of the samples of a window that must exist. The rest are samples that a pause of the process has left out. */
const MIN_COVERAGE = 0.8;

/** State of one service at one time. */
export interface DemandSample {
  /** Whether it contains the requests of all daemons and an up-to-date list of servers. */
  readonly isComplete: boolean;
  /** Requests that run or wait, by model. */
  readonly requests: ReadonlyMap<string, number>;
  /** Requests of all models that wait for a slot. */
  readonly waiting: number;
  /** Servers that are registered and not draining, by zone. */
  readonly servers: ReadonlyMap<string, number>;
}

interface TimedSample extends DemandSample {
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
}

/** Keeps the demand for one service and the number of its servers over the last minutes, with one sample each second. Every daemon keeps it, so that the next holder of the duty has the history at once. */
export class DemandTracker {
  #samples: TimedSample[] = [];

  /** Adds a sample of the current state. */
  addSample(sample: DemandSample): void {
    const atMs = performance.now();
    this.#samples.push({ ...sample, atMs });
    const firstIndex = this.#samples.findIndex((other) =>
      atMs - other.atMs < HISTORY_MS
    );
    this.#samples.splice(0, firstIndex);
  }

  /** Gets whether complete samples cover all of the last `windowMs`. */
  isCovered(windowMs: number): boolean {
    const samples = this.#listSince(windowMs);
    return samples.length < this.#samples.length &&
      hasSamples(samples.length, windowMs) &&
      samples.every(({ isComplete }) => isComplete);
  }

  /** Gets the number of requests of a model that the demand did not fall below in the last `windowMs`; 0 when the samples do not cover this time. */
  getLastingRequests(model: string, windowMs: number): number {
    return getLowest(this.#listSince(windowMs), model, windowMs);
  }

  /**
   * Gets the peak of the lasting requests of a model: the highest number that the demand did not fall below for `lastingMs`, at any time in the last `windowMs`.
   */
  getLastingPeak(
    model: string,
    windowMs: number,
    lastingMs: number,
  ): number {
    let peak = 0;
    const ends = this.#listSince(windowMs);
    for (const { atMs } of ends) {
      const samples = this.#samples.filter((sample) =>
        sample.atMs <= atMs && atMs - sample.atMs < lastingMs
      );
      peak = Math.max(peak, getLowest(samples, model, lastingMs));
    }
    return peak;
  }

  /** Gets the highest number of requests of a model in the last `windowMs`. */
  getPeak(model: string, windowMs: number): number {
    return Math.max(
      0,
      ...this.#listSince(windowMs).map(({ requests }) =>
        requests.get(model) ?? 0
      ),
    );
  }

  /** Gets the highest number of waiting requests in the last `windowMs`. */
  getWaitingPeak(windowMs: number): number {
    return Math.max(
      0,
      ...this.#listSince(windowMs).map(({ waiting }) => waiting),
    );
  }

  /** Lists the zones that had servers in the last `windowMs`. */
  listZones(windowMs: number): string[] {
    const zones = this.#listSince(windowMs).flatMap(({ servers }) => [
      ...servers.keys(),
    ]);
    return [...new Set(zones)];
  }

  /** Gets the highest number of servers that a zone had in the last `windowMs`. */
  getServerPeak(zone: string, windowMs: number): number {
    return Math.max(
      0,
      ...this.#listSince(windowMs).map(({ servers }) => servers.get(zone) ?? 0),
    );
  }

  #listSince(windowMs: number): TimedSample[] {
    const nowMs = performance.now();
    return this.#samples.filter(({ atMs }) => nowMs - atMs < windowMs);
  }
}

function getLowest(
  samples: readonly TimedSample[],
  model: string,
  windowMs: number,
): number {
  return hasSamples(samples.length, windowMs)
    ? Math.min(...samples.map(({ requests }) => requests.get(model) ?? 0))
    : 0;
}

function hasSamples(count: number, windowMs: number): boolean {
  const minCount = Math.floor(windowMs / SAMPLE_INTERVAL_MS * MIN_COVERAGE);
  return count >= Math.max(1, minCount);
}
