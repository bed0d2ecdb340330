const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_TOKENS = 100;
const DEFAULT_INITIAL_TOKENS = 10;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt allows. */
  readonly ratio?: number;
  /** Most retries that can be saved up. */
  readonly maxTokens?: number;
  /** Retries at the start, so that a daemon with few requests can retry at all. */
  readonly initialTokens?: number;
}

/** Token bucket that bounds the retries of the process in proportion to its first attempts, so that retries cannot multiply an overload. */
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

  /** Records the first attempt of a request. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + this.#ratio);
  }

  /** Takes the right to one retry; `false` when the budget is used up. */
  tryAcquire(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }
}
