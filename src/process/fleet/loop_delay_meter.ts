/** Interval of the timer whose delay is measured, in milliseconds. */
const SAMPLE_INTERVAL_MS = 25;

/**
 * Measures how late the event loop of this process runs its timers while something is waited for. A response that arrives meanwhile is read as late as that, so a missing response says little while the delay is long.
 *
 * @example
 * ```ts
 * const meter = new LoopDelayMeter();
 * const report = await getReport();
 * const delayMs = meter.stop();
 * ```
 */
export class LoopDelayMeter {
  readonly #timer: NodeJS.Timeout;
  #dueAtMs = performance.now() + SAMPLE_INTERVAL_MS;
  #maxDelayMs = 0;

  /** Starts the measurement. */
  constructor() {
    this.#timer = setInterval(() => this.#record(), SAMPLE_INTERVAL_MS);
  }

  /** Ends the measurement, and returns the longest delay of a timer in milliseconds. */
  stop(): number {
    clearInterval(this.#timer);
    this.#record();
    return Math.round(this.#maxDelayMs);
  }

  #record(): void {
    const nowMs = performance.now();
    this.#maxDelayMs = Math.max(this.#maxDelayMs, nowMs - this.#dueAtMs);
    this.#dueAtMs = nowMs + SAMPLE_INTERVAL_MS;
  }
}
