/** Number of buckets that divide the sliding window. */
const BUCKETS_PER_WINDOW = 100;
/** Number of buckets whose counts are kept: the window before the longest one that contains the current time, and one bucket for each edge. */
const BUCKET_COUNT = 2 * BUCKETS_PER_WINDOW + 2;
/** Longest time that is expected between a permit and the arrival of the retry at its server, in milliseconds. The budget is defined on arrivals. */
const MAX_ARRIVAL_DELAY_MS = 250;

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

/**
 * Limits this daemon's retries to one service, so that the retries of all daemons stay within the service's budget in every sliding window.
 *
 * The budget allows for the requests of a window, of the window before it or of the one that begins half a window earlier, whichever has most. A permit is granted only if this holds for each window that contains the current time. Edges of windows that fall into a bucket count its retries and leave out its requests. Daemons choose among the three windows by their own requests, so the sum of all daemons is exact only while their requests rise and fall together.
 */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #bucketMs: number;
  /** Counts by the number of the bucket, modulo the number of buckets. */
  readonly #requests = new Uint32Array(BUCKET_COUNT);
  readonly #retries = new Uint32Array(BUCKET_COUNT);
  #lastBucket = 0;

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
    this.#bucketMs = options.windowMs / BUCKETS_PER_WINDOW;
  }

  /** Counts a caller's request, which raises the number of allowed retries. */
  recordRequest(): void {
    this.#requests[this.#getIndex()]++;
  }

  /** Gets whether a retry is permitted now. */
  hasPermit(): boolean {
    this.#getIndex();
    const { ratio, slack, countDaemons } = this.#options;
    const share = slack / Math.max(1, countDaemons());
    const newest = this.#lastBucket;
    const oldest = newest - BUCKETS_PER_WINDOW;
    const sums = this.#createRequestSums();
    const countRequests = (first: number, last: number) =>
      sums[last - newest + BUCKET_COUNT] -
      sums[first - 1 - newest + BUCKET_COUNT];
    const recentRequests = countRequests(oldest + 1, newest);
    const delayBuckets = Math.ceil(MAX_ARRIVAL_DELAY_MS / this.#bucketMs);
    let retries = 1;
    for (let i = newest; i > newest - delayBuckets; i--) {
      retries += this.#retries[i % BUCKET_COUNT];
    }
    // Each window begins in the bucket `first`; the retries that arrive in it may have been permitted before its begin.
    for (let first = newest; first >= oldest; first--) {
      retries += this.#retries[(first - delayBuckets) % BUCKET_COUNT];
      const halfEnd = Math.min(newest, first + BUCKETS_PER_WINDOW / 2 - 1);
      const requests = Math.max(
        countRequests(first + 1, newest),
        countRequests(first - BUCKETS_PER_WINDOW + 1, first - 1),
        countRequests(first - BUCKETS_PER_WINDOW / 2 + 1, halfEnd),
      );
      if (retries > ratio * Math.min(requests, recentRequests) + share) {
        return false;
      }
    }
    return true;
  }

  /**
   * Acquires a permit for one retry.
   *
   * @returns `false` when the budget of a window that contains the current time is exhausted.
   */
  tryAcquire(): boolean {
    if (!this.hasPermit()) {
      return false;
    }
    this.#retries[this.#getIndex()]++;
    return true;
  }

  /** Creates the sums of the requests of all kept buckets up to each one, from the oldest to the newest. The first sum is 0. */
  #createRequestSums(): Float64Array {
    const sums = new Float64Array(BUCKET_COUNT + 1);
    for (let i = 1; i <= BUCKET_COUNT; i++) {
      const bucket = this.#lastBucket - BUCKET_COUNT + i;
      sums[i] = sums[i - 1] + this.#requests[bucket % BUCKET_COUNT];
    }
    return sums;
  }

  /** Gets the index of the current bucket and clears the buckets that have begun since the last call. */
  #getIndex(): number {
    // The offset keeps the numbers of all kept buckets above 0.
    const bucket = Math.floor(performance.now() / this.#bucketMs) +
      BUCKET_COUNT;
    const firstNew = Math.max(this.#lastBucket + 1, bucket - BUCKET_COUNT + 1);
    for (let i = firstNew; i <= bucket; i++) {
      this.#requests[i % BUCKET_COUNT] = 0;
      this.#retries[i % BUCKET_COUNT] = 0;
    }
    this.#lastBucket = Math.max(this.#lastBucket, bucket);
    return this.#lastBucket % BUCKET_COUNT;
  }
}
