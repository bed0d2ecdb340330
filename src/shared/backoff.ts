const BASE_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

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
