import { RETAINED_WINDOWS } from "./usage_counter.ts";

/** Time after the end of a window before it is recorded, in milliseconds. The last counts pass up to three links with 100 ms between two notices each. */
const MIN_SETTLE_MS = 500;
/** Share of the time until a report is due for which the counts of all daemons are awaited. The rest of 3 s is left for the write and for a call that is repeated after its time limit of 2 s. */
const MAX_SETTLE_SHARE = 0.7;
/** Number of windows for which a holder waits that knows the counts of less than half of the daemons. It is likely to be partitioned from them, and partitions usually end within this time; two of the retained windows are left to report those that have queued up. */
const MAX_MINORITY_WINDOWS = 4;

/** Counts of a window that are known so far. */
export interface KnownCounts {
  /** Number of daemons that are included. */
  readonly daemonCount: number;
  /** Number of daemons that were included in the window before. */
  readonly expectedCount: number;
  /** Whether the counts of all known daemons are included. */
  readonly isComplete: boolean;
}

/** State that the next step of the usage reports depends on. */
export interface UsageState<T extends KnownCounts> {
  /** Estimated Unix time in milliseconds. */
  readonly nowMs: number;
  /** Length of a window in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window by which it has to be reported, in milliseconds. */
  readonly dueMs: number;
  /** Window in the store, which is the last one that any holder may have sent; undefined without one. */
  readonly recordedWindow: number | undefined;
  /** Whether the platform has confirmed the recorded window with the token of this holder. */
  readonly isConfirmed: boolean;
  /** First window that may be recorded, since nothing is known of those before it. */
  readonly firstWindow: number;
  /** Gets the counts of a window; undefined when there are none. */
  getCounts(window: number): T | undefined;
}

/**
 * Next step of the usage reports.
 *
 * - `send`: send the recorded window, again if necessary.
 * - `record`: write a window to the store.
 * - `skip`: leave out windows up to and including `toWindow`.
 * - `wait`: nothing can be done yet.
 */
export type UsageStep<T> =
  | { readonly kind: "send" | "wait" }
  | { readonly kind: "record"; readonly window: number; readonly counts: T }
  | {
    readonly kind: "skip";
    readonly fromWindow: number;
    readonly toWindow: number;
    readonly reason: "too old" | "no counts";
  };

/**
 * Decides the next step of the usage reports. Load pattern: a window ends every few seconds at all daemons, while single daemons are killed, stall or are partitioned, and while the store or the API is down for several windows.
 *
 * Windows are recorded and sent one after another. The recorded window is sent until it is confirmed, since a call without a response may be executed later. A window whose daemons have not all reported is recorded some seconds before it is due, unless less than half of them have: a late report is better then than a wrong one. Pending windows after an outage follow in order, as long as their counts are retained.
 *
 * @example
 * ```ts
 * const step = decideUsageStep(state);
 * ```
 */
export function decideUsageStep<T extends KnownCounts>(
  state: UsageState<T>,
): UsageStep<T> {
  const { nowMs, windowMs, dueMs, recordedWindow, isConfirmed } = state;
  if (recordedWindow !== undefined && !isConfirmed) {
    return { kind: "send" };
  }
  const window = Math.max((recordedWindow ?? -1) + 1, state.firstWindow);
  const oldestWindow = Math.floor(nowMs / windowMs) - RETAINED_WINDOWS;
  if (window < oldestWindow) {
    return {
      kind: "skip",
      fromWindow: window,
      toWindow: oldestWindow - 1,
      reason: "too old",
    };
  }
  const sinceEndMs = nowMs - (window + 1) * windowMs;
  if (sinceEndMs < MIN_SETTLE_MS) {
    return { kind: "wait" };
  }
  const counts = state.getCounts(window);
  const isMinority = counts !== undefined &&
    counts.daemonCount * 2 < counts.expectedCount;
  const isSettled = sinceEndMs >=
    (isMinority ? windowMs * MAX_MINORITY_WINDOWS : dueMs * MAX_SETTLE_SHARE);
  if (counts === undefined || counts.daemonCount === 0) {
    return isSettled
      ? {
        kind: "skip",
        fromWindow: window,
        toWindow: window,
        reason: "no counts",
      }
      : { kind: "wait" };
  }
  return counts.isComplete || isSettled
    ? { kind: "record", window, counts }
    : { kind: "wait" };
}
