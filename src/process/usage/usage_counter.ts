import type { SharedClock } from "./shared_clock.ts";

/** Number of windows that are kept in addition to the current one. They cover the time within which a window has to be reported and an outage of the store or the API of some seconds. */
export const RETAINED_WINDOWS = 6;

/** Requests by client account. */
export type AccountCounts = ReadonlyMap<string, number>;

/** Counts the requests of this daemon by window and client account. */
export class UsageCounter {
  readonly #clock: SharedClock;
  /** Length of a window in milliseconds. */
  readonly windowMs: number;
  readonly #windows = new Map<number, Map<string, number>>();
  #revision = 0;

  constructor(options: { clock: SharedClock; windowMs: number }) {
    this.#clock = options.clock;
    this.windowMs = options.windowMs;
  }

  /** Gets the number of requests counted so far, by which a change is noticed. */
  get revision(): number {
    return this.#revision;
  }

  /** Gets the number of the current window. */
  get currentWindow(): number {
    return Math.floor(this.#clock.getNowMs() / this.windowMs);
  }

  /** Gets the number of the window at an earlier time. */
  getPastWindow(ageMs: number): number {
    return Math.floor((this.#clock.getNowMs() - ageMs) / this.windowMs);
  }

  /** Counts a request that has begun to run. */
  recordRequest(account: string): void {
    const window = this.currentWindow;
    let counts = this.#windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#windows.set(window, counts);
    }
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.#revision++;
  }

  /** Gets the counts of a window. */
  getCounts(window: number): AccountCounts {
    return this.#windows.get(window) ?? new Map();
  }

  /** Removes the windows that are no longer needed. */
  sweep(): void {
    sweepWindows(this.#windows, this.currentWindow);
  }
}

/** Removes the windows that are too old, and those that a clock has named which has been corrected since. */
export function sweepWindows(
  windows: Map<number, unknown>,
  currentWindow: number,
): void {
  for (const window of windows.keys()) {
    if (!isRetained(window, currentWindow)) {
      windows.delete(window);
    }
  }
}

/** Gets whether a window is kept. The clocks of two daemons may differ around the begin of a window, so the next one is kept as well. */
export function isRetained(window: number, currentWindow: number): boolean {
  return window >= currentWindow - RETAINED_WINDOWS &&
    window <= currentWindow + 1;
}
