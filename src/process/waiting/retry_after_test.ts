import { describe, expect, it } from "vitest";
import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  planReturn,
} from "./retry_after.ts";

describe("planReturn", () => {
  // Guards against callers that return together and are refused again.
  it("spreads callers refused at once over the time in which slots become free", () => {
    const slotsPerMs = 0.1;
    const returnsMs: number[] = [];
    let promisedMs = 0;
    for (let i = 0; i < 100; i++) {
      const planned = planReturn(
        { queueMs: 500, promisedMs, slotsPerMs },
        (i * 0.618) % 1,
      );
      promisedMs = planned.promisedMs;
      returnsMs.push(planned.returnMs);
    }
    expect(Math.min(...returnsMs)).toBeGreaterThanOrEqual(500);
    for (let fromMs = 500; fromMs < 2_500; fromMs += 500) {
      const count = returnsMs.filter((ms) => ms >= fromMs && ms < fromMs + 500);
      expect(count.length).toBeLessThan(slotsPerMs * 500);
    }
  });

  it("stays within its bounds", () => {
    const figures = { queueMs: 0, promisedMs: 0, slotsPerMs: 10 };
    expect(planReturn(figures, 0).returnMs).toBe(MIN_RETRY_AFTER_MS);
    const latest = planReturn({ ...figures, queueMs: 1e9 }, 0.5);
    expect(latest.returnMs).toBeLessThan(MAX_RETRY_AFTER_MS);
    expect(latest.promisedMs).toBe(0);
  });
});
