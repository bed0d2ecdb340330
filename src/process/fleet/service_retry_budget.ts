/** Part of a window by which counts are kept. */
const BUCKETS_PER_WINDOW = 10;

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Bounds of the repeats over all daemons. */
export interface ServiceRetryBudgetOptions {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats of a window besides the ratio, over all daemons. */
  readonly slack: number;
  /** Gets the number of daemons that share the budget. */
  countDaemons(): number;
}

/** Share of this daemon in the repeated sendings that one service takes in a sliding window. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #buckets: Bucket[] = [];

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a request. */
  recordRequest(): void {
    this.#getBucket().requests++;
  }

  /**
   * Takes the right to send a request once more.
   *
   * @returns `false` when the budget of the window is used up.
   */
  tryAcquire(): boolean {
    const { ratio, slack, countDaemons } = this.#options;
    const bucket = this.#getBucket();
    const requests = this.#buckets.reduce((sum, b) => sum + b.requests, 0);
    const retries = this.#buckets.reduce((sum, b) => sum + b.retries, 0);
    const limit = ratio * requests + slack / Math.max(1, countDaemons());
    if (retries + 1 > limit) {
      return false;
    }
    bucket.retries++;
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
    const last = this.#buckets.at(-1);
    if (
      last !== undefined && nowMs - last.startMs < windowMs / BUCKETS_PER_WINDOW
    ) {
      return last;
    }
    const bucket = { startMs: nowMs, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
