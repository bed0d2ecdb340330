import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FreshnessTracker } from "./freshness_tracker.ts";

const LIMIT_MS = 3_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe("FreshnessTracker.getState", () => {
  // Guards against new requests under a configuration that was not confirmed within the limit.
  it.each(
    [
      ["no confirmation", undefined, 0, "stale"],
      ["a recent confirmation", 0, LIMIT_MS, "fresh"],
      ["an old confirmation", 0, LIMIT_MS + 1, "stale"],
      ["a confirmation that was old on arrival", 2_000, 1_001, "stale"],
    ] as const,
  )("computes the state from %s", (_name, ageMs, waitMs, expected) => {
    const tracker = new FreshnessTracker({ limitMs: LIMIT_MS });
    if (ageMs !== undefined) {
      tracker.recordConfirmation(ageMs);
    }
    vi.advanceTimersByTime(waitMs);
    expect(tracker.getState()).toBe(expected);
  });

  // Guards against an older confirmation that replaces a newer one.
  it("keeps the newest confirmation", () => {
    const tracker = new FreshnessTracker({ limitMs: LIMIT_MS });
    tracker.recordConfirmation(0);
    tracker.recordConfirmation(10_000);
    expect(tracker.getAgeMs()).toBe(0);
  });

  // Guards against new requests during a store outage without a majority.
  it("returns fresh without a confirmation only while a majority agrees", () => {
    let isMajorityReached = true;
    const tracker = new FreshnessTracker({
      limitMs: LIMIT_MS,
      hasMajority: () => isMajorityReached,
    });
    expect(tracker.getState()).toBe("fresh");
    isMajorityReached = false;
    expect(tracker.getState()).toBe("stale");
  });
});

describe("FreshnessTracker.hasRecentStoreRead", () => {
  // Guards against a daemon that reports its peers' store reads as its own.
  it("counts only this daemon's reads", () => {
    const tracker = new FreshnessTracker({ limitMs: LIMIT_MS });
    tracker.recordConfirmation(0);
    expect(tracker.hasRecentStoreRead()).toBe(false);
    tracker.recordStoreRead(0);
    expect(tracker.hasRecentStoreRead()).toBe(true);
  });
});
