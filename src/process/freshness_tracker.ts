/** Whether the daemon knows that its configuration is the newest. */
export type Freshness = "fresh" | "stale";

/** Tracks the age of the newest store confirmation that any daemon is known to have had. */
export class FreshnessTracker {
  readonly #limitMs: number;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: { limitMs: number }) {
    this.#limitMs = options.limitMs;
  }

  /**
   * Records that the store confirmed the current configuration version.
   *
   * @param ageMs - Age of the confirmation in milliseconds.
   */
  recordConfirmation(ageMs: number): void {
    this.#confirmedAtMs = Math.max(
      this.#confirmedAtMs,
      performance.now() - ageMs,
    );
  }

  /** Gets the age of the newest confirmation in milliseconds; infinite before the first one. */
  getAgeMs(): number {
    return performance.now() - this.#confirmedAtMs;
  }

  /** Gets whether new work may be sent to a backend server. */
  getState(): Freshness {
    return this.getAgeMs() <= this.#limitMs ? "fresh" : "stale";
  }
}
