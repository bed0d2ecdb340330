import { describe, expect, it } from "vitest";
import { getBackoffMs, RetryBudget } from "./retry_budget.ts";

describe("RetryBudget", () => {
  // Guards against retries that multiply the load when many groups fail at once.
  it("limits the retries to a part of the requests", () => {
    const budget = new RetryBudget({ retriesPerRequest: 0.25, maxSaved: 2 });
    const count = () => Array.from({ length: 20 }, () => budget.tryTake());
    expect(count().filter(Boolean).length).toBe(2);
    for (let request = 0; request < 8; request++) {
      budget.recordRequest();
    }
    expect(count().filter(Boolean).length).toBe(2);
  });
});

describe("getBackoffMs", () => {
  // Guards against waits that grow without a bound.
  it("stays within its bounds", () => {
    for (let retry = 1; retry < 40; retry++) {
      const bound = Math.min(1_000, 20 * 2 ** (retry - 1));
      expect(getBackoffMs(retry)).toBeLessThanOrEqual(bound);
    }
  });
});
