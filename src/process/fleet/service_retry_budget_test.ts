import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ServiceRetryBudget } from "./service_retry_budget.ts";

describe("ServiceRetryBudget", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest(daemons = 7) {
    return new ServiceRetryBudget({
      ratio: 0.2,
      windowMs: 10_000,
      slack: 70,
      countDaemons: () => daemons,
    });
  }

  function countRetries(budget: ServiceRetryBudget): number {
    let retries = 0;
    while (budget.tryAcquire()) {
      retries++;
    }
    return retries;
  }

  describe("tryAcquire", () => {
    it("grants this daemon's share of the slack without a request", () => {
      expect(countRetries(doTest())).toBe(10);
    });

    it("grants retries for a fifth of the requests in addition to the slack", () => {
      const budget = doTest();
      for (let i = 0; i < 100; i++) {
        budget.recordRequest();
      }
      expect(countRetries(budget)).toBe(30);
    });

    it("grants no more retries until the window has passed", () => {
      const budget = doTest();
      countRetries(budget);
      vi.advanceTimersByTime(9_000);
      expect(countRetries(budget)).toBe(0);
      vi.advanceTimersByTime(2_000);
      expect(countRetries(budget)).toBe(10);
    });

    // Guards against retries of all daemons together that exceed the service's budget when the load is uneven.
    it("keeps the total of all daemons within the service's budget", () => {
      const budgets = Array.from({ length: 7 }, () => doTest());
      let requests = 0;
      budgets.forEach((budget, i) => {
        for (let n = 0; n < i * 37; n++) {
          budget.recordRequest();
          requests++;
        }
      });
      const retries = budgets.reduce((sum, b) => sum + countRetries(b), 0);
      expect(retries).toBeLessThanOrEqual(0.2 * requests + 70);
    });
  });
});
