import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LATE_CALL_MS, ServerOrders } from "./server_orders.ts";

const ZONE = "zone-a";

describe("ServerOrders", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a call without a response that the platform carries out after a newer one.
  it("repeats an order once when an earlier one may have replaced it", () => {
    const orders = new ServerOrders();
    orders.recordOutcome({ zone: ZONE, count: 55 }, "unknown");
    vi.advanceTimersByTime(1_000);
    orders.recordOutcome({ zone: ZONE, count: 55 }, "done");
    vi.advanceTimersByTime(1_000);
    orders.recordOutcome({ zone: ZONE, count: 60 }, "done");
    expect(orders.isUncertain(ZONE)).toBe(true);
    expect(orders.listRepeats()).toEqual([]);
    vi.advanceTimersByTime(LATE_CALL_MS);
    expect(orders.listRepeats()).toEqual([{ zone: ZONE, count: 60 }]);
    orders.recordOutcome({ zone: ZONE, count: 60 }, "done");
    expect(orders.listRepeats()).toEqual([]);
    expect(orders.isUncertain(ZONE)).toBe(false);
  });

  // Guards against an order that counts as made although the platform refused it.
  it("keeps the last count when a call was limited", () => {
    const orders = new ServerOrders();
    orders.recordOutcome({ zone: ZONE, count: 55 }, "done");
    orders.recordOutcome({ zone: ZONE, count: 53 }, "limited");
    expect(orders.getCount(ZONE)).toBe(55);
    expect(orders.takesOrder(ZONE)).toBe(false);
    vi.advanceTimersByTime(1_000);
    expect(orders.takesOrder(ZONE)).toBe(true);
  });
});
