const BASE_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** Largest share of a time that is added to it, so that callers who are given it do not return together. */
const JITTER_SHARE = 0.5;

/**
 * Gets a time with a random part added.
 *
 * @param timeMs - Earliest time, in milliseconds.
 * @returns Whole number of milliseconds.
 * @example
 * ```ts
 * getJitteredMs(1_000); // 1_000 to 1_500
 * ```
 */
export function getJitteredMs(timeMs: number): number {
  return Math.ceil(timeMs * (1 + Math.random() * JITTER_SHARE));
}

/**
 * Gets the time to wait before a retry: random up to a bound that doubles with each retry ("full jitter").
 *
 * @param retry - Number of the retry, from 1.
 * @example
 * ```ts
 * await delay(getBackoffMs(1)); // at most 20 ms
 * ```
 */
export function getBackoffMs(retry: number): number {
  const jitterBoundMs = Math.min(
    MAX_BACKOFF_MS,
    BASE_BACKOFF_MS * 2 ** (retry - 1),
  );
  return Math.random() * jitterBoundMs;
}
