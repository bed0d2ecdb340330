/** State of the daemon's configuration: `fresh` if it is known to be the newest, otherwise `stale`. */
export type Freshness = "fresh" | "stale";

/** Options of the freshness tracker. */
export interface FreshnessTrackerOptions {
  /** Age above which a store confirmation no longer counts, in milliseconds. */
  readonly limitMs: number;
  /** Gets whether a majority of the listed daemons has the same configuration. It replaces the store confirmation during a store outage. */
  readonly hasMajority?: () => boolean;
}

/** Tracks the age of the newest store confirmation of the configuration, received by this daemon or by a peer that reported it. */
export class FreshnessTracker {
  readonly #options: FreshnessTrackerOptions;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #storeReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: FreshnessTrackerOptions) {
    this.#options = options;
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

  /**
   * Records that this daemon itself read the store and that the store confirmed the current configuration version.
   *
   * @param ageMs - Time since the read was sent, in milliseconds.
   */
  recordStoreRead(ageMs: number): void {
    this.#storeReadAtMs = Math.max(
      this.#storeReadAtMs,
      performance.now() - ageMs,
    );
    this.recordConfirmation(ageMs);
  }

  /** Gets whether this daemon itself received a confirmation from the store within the limit. */
  hasRecentStoreRead(): boolean {
    return performance.now() - this.#storeReadAtMs <= this.#options.limitMs;
  }

  /** Gets the age of the newest confirmation in milliseconds; infinite before the first one. */
  getAgeMs(): number {
    return performance.now() - this.#confirmedAtMs;
  }

  /** Gets `fresh` if new requests may be sent to backend servers, otherwise `stale`. */
  getState(): Freshness {
    const isConfirmed = this.getAgeMs() <= this.#options.limitMs;
    return isConfirmed || this.#options.hasMajority?.() ? "fresh" : "stale";
  }
}
