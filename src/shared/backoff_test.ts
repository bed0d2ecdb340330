import { describe, expect, it } from "vitest";
import { getBackoffMs } from "./backoff.ts";

describe("getBackoffMs", () => {
  // Guards against waits that grow beyond the maximum after many retries.
  it("stays within the bound of each retry", () => {
    for (let retry = 1; retry < 40; retry++) {
      const jitterBoundMs = Math.min(1_000, 20 * 2 ** (retry - 1));
      expect(getBackoffMs(retry)).toBeLessThanOrEqual(jitterBoundMs);
    }
  });
});
