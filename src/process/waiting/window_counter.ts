/** Length of one bucket in milliseconds, which bounds the error of a count at the start of its span. */
const BUCKET_MS = 50;

/**
 * Counts events over the last seconds in buckets, so that neither adding nor counting depends on the number of events.
 *
 * @example
 * ```ts
 * const releases = new WindowCounter(2_000);
 * releases.add(1, performance.now());
 * releases.count(1_000, performance.now()); // 1
 * ```
 */
export class WindowCounter {
  readonly #amounts: Float64Array;
  #lastBucket = Number.NEGATIVE_INFINITY;

  /** @param maxSpanMs - Longest span that can be counted, in milliseconds. */
  constructor(maxSpanMs: number) {
    this.#amounts = new Float64Array(Math.ceil(maxSpanMs / BUCKET_MS));
  }

  /** Adds an amount to the bucket of a monotonic time in milliseconds. */
  add(amount: number, nowMs: number): void {
    this.#clearTo(nowMs);
    this.#amounts[this.#lastBucket % this.#amounts.length] += amount;
  }

  /** Counts what was added within the last `spanMs` milliseconds. */
  count(spanMs: number, nowMs: number): number {
    this.#clearTo(nowMs);
    const buckets = Math.min(
      this.#amounts.length,
      Math.round(spanMs / BUCKET_MS),
    );
    let sum = 0;
    for (let i = 0; i < buckets; i++) {
      const bucket = this.#lastBucket - i;
      sum += bucket < 0 ? 0 : this.#amounts[bucket % this.#amounts.length];
    }
    return sum;
  }

  #clearTo(nowMs: number): void {
    const bucket = Math.floor(nowMs / BUCKET_MS);
    const firstBucket = Math.max(
      this.#lastBucket + 1,
      bucket - this.#amounts.length + 1,
      0,
    );
    for (let cleared = firstBucket; cleared <= bucket; cleared++) {
      this.#amounts[cleared % this.#amounts.length] = 0;
    }
    this.#lastBucket = Math.max(this.#lastBucket, bucket);
  }
}
