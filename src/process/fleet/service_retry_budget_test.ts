import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ServiceRetryBudget } from "./service_retry_budget.ts";

const RATIO = 0.2;
const SLACK = 70;
const WINDOW_MS = 10_000;
const DAEMON_COUNT = 7;
/** Longest time from a permit to the arrival of its retry, in milliseconds. */
const MAX_ARRIVAL_DELAY_MS = 250;

/** Requests and attempted retries that follow the last event. */
interface LoadEvent {
  readonly afterMs: number;
  /** Requests that each daemon receives. */
  readonly requests: number;
  /** Retries that each daemon attempts. */
  readonly retries: number;
  /** Time until the granted retries arrive, in milliseconds. */
  readonly arrivalDelayMs: number;
}

/** Number of events at one time. */
interface Count {
  readonly atMs: number;
  readonly count: number;
}

function countIn(counts: readonly Count[], fromMs: number): number {
  return counts.reduce(
    (sum, { atMs, count }) =>
      atMs >= fromMs && atMs < fromMs + WINDOW_MS ? sum + count : sum,
    0,
  );
}

/** Finds the window in which the retries exceed the budget by most. */
function findLargestExcess(
  requests: readonly Count[],
  retries: readonly Count[],
): number {
  const edges = [...requests, ...retries].flatMap(({ atMs }) => [
    atMs,
    atMs + 1,
    atMs - WINDOW_MS,
    atMs - WINDOW_MS + 1,
    atMs - WINDOW_MS / 2,
    atMs - WINDOW_MS / 2 + 1,
    atMs + WINDOW_MS / 2,
    atMs + WINDOW_MS / 2 + 1,
    atMs + WINDOW_MS + 1,
  ]);
  return Math.max(...edges.map((fromMs) => {
    const requestCount = Math.max(
      countIn(requests, fromMs),
      countIn(requests, fromMs - WINDOW_MS),
      countIn(requests, fromMs - WINDOW_MS / 2),
    );
    return countIn(retries, fromMs) - (RATIO * requestCount + SLACK);
  }));
}

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

    // Guards against retries of a part of a second that are forgotten before they have left the window, and against requests of the past that raise the allowance of a window which they precede.
    it("stays within the budget in windows at any offset", () => {
      const event: fc.Arbitrary<LoadEvent> = fc.record({
        afterMs: fc.oneof(
          fc.integer({ min: 1, max: 400 }),
          fc.integer({ min: 1, max: WINDOW_MS }),
        ),
        requests: fc.integer({ min: 0, max: 60 }),
        retries: fc.integer({ min: 0, max: 20 }),
        arrivalDelayMs: fc.integer({ min: 0, max: MAX_ARRIVAL_DELAY_MS }),
      });
      fc.assert(
        fc.property(
          fc.array(event, { minLength: 5, maxLength: 60 }),
          (events) => {
            const budgets = Array.from(
              { length: DAEMON_COUNT },
              () => doTest(),
            );
            const requests: Count[] = [];
            const retries: Count[] = [];
            for (const event of events) {
              vi.advanceTimersByTime(event.afterMs);
              const nowMs = performance.now();
              const granted = budgets.map((budget) => {
                for (let i = 0; i < event.requests; i++) {
                  budget.recordRequest();
                }
                let count = 0;
                while (count < event.retries && budget.tryAcquire()) {
                  count++;
                }
                return count;
              });
              requests.push({
                atMs: nowMs,
                count: event.requests * DAEMON_COUNT,
              });
              retries.push({
                atMs: nowMs + event.arrivalDelayMs,
                count: granted.reduce((sum, count) => sum + count, 0),
              });
            }
            expect(findLargestExcess(requests, retries)).toBeLessThanOrEqual(0);
          },
        ),
        { numRuns: 60, seed: 37 },
      );
    });

    // Guards against a budget whose caution at the edges of windows leaves most of it unused.
    it("grants most of the budget under even load", () => {
      const budget = doTest();
      let granted = 0;
      for (let i = 0; i < 1_000; i++) {
        vi.advanceTimersByTime(50);
        budget.recordRequest();
        granted += budget.tryAcquire() ? 1 : 0;
      }
      const windowCount = 1_000 * 50 / WINDOW_MS;
      const allowed = windowCount * (RATIO * WINDOW_MS / 50 + SLACK / 7);
      expect(granted).toBeGreaterThan(0.9 * allowed);
    });
  });
});
