import { describe, expect, it } from "vitest";
import { getBackoffMs, getJitteredMs } from "./backoff.ts";

describe("getBackoffMs", () => {
  // Guards against waits that grow beyond the maximum after many retries.
  it("stays within the bound of each retry", () => {
    for (let retry = 1; retry < 40; retry++) {
      const jitterBoundMs = Math.min(1_000, 20 * 2 ** (retry - 1));
      expect(getBackoffMs(retry)).toBeLessThanOrEqual(jitterBoundMs);
    }
  });
});

describe("getJitteredMs", () => {
  // Guards against callers that are asked to return before the time, or all at once.
  it("adds a random part of up to half of the time", () => {
    const times = Array.from({ length: 200 }, () => getJitteredMs(1_000));
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...times)).toBeLessThanOrEqual(1_500);
    expect(new Set(times).size).toBeGreaterThan(50);
  });
});
