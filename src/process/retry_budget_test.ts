import { describe, expect, it } from "vitest";
import { RetryBudget } from "./retry_budget.ts";

describe("RetryBudget", () => {
  // Guards against retries that amplify an overload.
  it("allows retries in proportion to first attempts", () => {
    const budget = new RetryBudget({
      ratio: 0.1,
      initialTokens: 0,
      maxTokens: 5,
    });
    let retries = 0;
    for (let request = 0; request < 100; request++) {
      budget.recordFirstAttempt();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    expect(retries).toBeGreaterThanOrEqual(9);
    expect(retries).toBeLessThanOrEqual(10);
  });

  // Guards against a burst of retries after a long time without failures.
  it("accumulates no more than the maximum number of tokens", () => {
    const budget = new RetryBudget({ ratio: 1, maxTokens: 3 });
    for (let request = 0; request < 100; request++) {
      budget.recordFirstAttempt();
    }
    const results = [1, 2, 3, 4].map(() => budget.tryAcquire());
    expect(results).toEqual([true, true, true, false]);
  });
});
