import { describe, expect, it } from "vitest";
import { decideUsageStep, type KnownCounts } from "./usage_decision.ts";

const WINDOW_MS = 5_000;
const COMPLETE = { daemonCount: 3, expectedCount: 3, isComplete: true };
const INCOMPLETE = { daemonCount: 2, expectedCount: 3, isComplete: false };
const MINORITY = { daemonCount: 1, expectedCount: 3, isComplete: false };

function decide(options: {
  /** Time since the end of window 100, in milliseconds. */
  sinceEndMs: number;
  recordedWindow?: number;
  isConfirmed?: boolean;
  counts?: KnownCounts;
}) {
  return decideUsageStep({
    nowMs: 101 * WINDOW_MS + options.sinceEndMs,
    windowMs: WINDOW_MS,
    dueMs: 10_000,
    recordedWindow: options.recordedWindow ?? 99,
    isConfirmed: options.isConfirmed ?? true,
    firstWindow: 0,
    getCounts: () => options.counts,
  });
}

describe("decideUsageStep", () => {
  // Guards against a window that overtakes one whose call may still be executed.
  it("sends the recorded window until it is confirmed", () => {
    expect(decide({ sinceEndMs: 9_000, isConfirmed: false, counts: COMPLETE }))
      .toEqual({ kind: "send" });
  });

  // Guards against counts without the daemons whose last report is on its way, and against those of a holder that is partitioned from the others.
  it.each([
    [-1, COMPLETE, "wait"],
    [499, COMPLETE, "wait"],
    [500, COMPLETE, "record"],
    [6_999, INCOMPLETE, "wait"],
    [7_000, INCOMPLETE, "record"],
    [19_999, MINORITY, "wait"],
    [20_000, MINORITY, "record"],
    [6_999, undefined, "wait"],
    [7_000, undefined, "skip"],
  ])(
    "%d ms after the end of a window with %j decides to %s",
    (sinceEndMs, counts, kind) => {
      expect(decide({ sinceEndMs, counts }).kind).toBe(kind);
    },
  );

  // Guards against windows that are left out or sent in another order after an outage of several windows.
  it("records pending windows in order", () => {
    expect(decide({ sinceEndMs: 600, recordedWindow: 96, counts: COMPLETE }))
      .toMatchObject({ kind: "record", window: 97 });
  });

  it("leaves out windows whose counts are no longer retained", () => {
    expect(decide({ sinceEndMs: 600, recordedWindow: 80, counts: COMPLETE }))
      .toEqual({
        kind: "skip",
        fromWindow: 81,
        toWindow: 94,
        reason: "too old",
      });
  });
});
