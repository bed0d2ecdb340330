const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_TOKENS = 100;
const DEFAULT_INITIAL_TOKENS = 10;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Number of retries that each first attempt adds to the budget; defaults to 0.1. */
  readonly ratio?: number;
  /** Maximum number of retries in the budget; defaults to 100. */
  readonly maxTokens?: number;
  /** Number of retries in the budget at the start, so that a daemon with few requests can retry at all; defaults to 10. */
  readonly initialTokens?: number;
}

/** Token bucket that limits the retries of the process in proportion to its first attempts, so that retries cannot amplify an overload. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #maxTokens: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#ratio = options.ratio ?? DEFAULT_RATIO;
    this.#maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
    this.#tokens = Math.min(
      options.initialTokens ?? DEFAULT_INITIAL_TOKENS,
      this.#maxTokens,
    );
  }

  /** Records the first attempt of a request, which adds to the budget. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + this.#ratio);
  }

  /**
   * Acquires a permit for one retry.
   *
   * @returns `false` when the budget is exhausted.
   */
  tryAcquire(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }
}
