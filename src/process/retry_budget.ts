/** Limits of the retries of one process. */
export interface RetryBudgetOptions {
  /** Retries earned by each accepted request. */
  readonly retriesPerRequest: number;
  /** Most retries that can be saved up; also the amount at the start. */
  readonly maxSaved: number;
}

const DEFAULT_OPTIONS: RetryBudgetOptions = {
  retriesPerRequest: 0.2,
  maxSaved: 256,
};
const BASE_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** Bounds the retries of a process to a part of its requests, so that a large failure does not multiply the load. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #saved: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#saved = this.#options.maxSaved;
  }

  /** Records an accepted request, which earns a part of a retry. */
  recordRequest(): void {
    this.#saved = Math.min(
      this.#options.maxSaved,
      this.#saved + this.#options.retriesPerRequest,
    );
  }

  /** Takes one retry from the budget; `false` when none is left. */
  tryTake(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }
}

/**
 * Gets the time to wait before a retry: random up to a bound that doubles with each retry ("full jitter").
 *
 * @param retry - Number of the retry, from 1.
 */
export function getBackoffMs(retry: number): number {
  const bound = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (retry - 1));
  return Math.random() * bound;
}
