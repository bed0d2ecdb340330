/** Number of buckets that divide the sliding window. */
const BUCKETS_PER_WINDOW = 10;

/** Counts of one part of the window. */
interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Options of a service's retry budget. */
export interface ServiceRetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in each window in addition to the ratio, shared by all daemons. */
  readonly slack: number;
  /** Gets the number of daemons that share the budget. */
  countDaemons(): number;
}

/** Limits this daemon's retries to one service in a sliding window, so that the retries of all daemons stay within the service's budget. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #buckets: Bucket[] = [];

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a caller's request, which raises the number of allowed retries. */
  recordRequest(): void {
    this.#getBucket().requests++;
  }

  /** Gets whether a retry is permitted now. */
  hasPermit(): boolean {
    const { ratio, slack, countDaemons } = this.#options;
    this.#getBucket();
    const requests = this.#buckets.reduce((sum, b) => sum + b.requests, 0);
    const retries = this.#buckets.reduce((sum, b) => sum + b.retries, 0);
    return retries + 1 <=
      ratio * requests + slack / Math.max(1, countDaemons());
  }

  /**
   * Acquires a permit for one retry.
   *
   * @returns `false` when the window's budget is exhausted.
   */
  tryAcquire(): boolean {
    if (!this.hasPermit()) {
      return false;
    }
    this.#getBucket().retries++;
    return true;
  }

  #getBucket(): Bucket {
    const nowMs = performance.now();
    const { windowMs } = this.#options;
    while (
      this.#buckets.length > 0 && this.#buckets[0].startMs < nowMs - windowMs
    ) {
      this.#buckets.shift();
    }
    const lastBucket = this.#buckets.at(-1);
    if (
      lastBucket !== undefined &&
      nowMs - lastBucket.startMs < windowMs / BUCKETS_PER_WINDOW
    ) {
      return lastBucket;
    }
    const bucket = { startMs: nowMs, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
