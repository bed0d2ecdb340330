import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { getNextSlotMs, ServiceWaits } from "./service_waits.ts";

const SERVERS = Array.from({ length: 4 }, () => ({ load: 2, slots: 2 }));
const DURATION_MS = 100;

describe("ServiceWaits", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
    vi.restoreAllMocks();
  });

  function createWaits(responses: number): ServiceWaits {
    const waits = new ServiceWaits();
    for (let i = 0; i < responses; i++) {
      waits.recordDuration("s", DURATION_MS);
    }
    return waits;
  }

  // Guards against refused callers that return together and are refused again: the constant time gives one return to all.
  it("spreads the returns of a burst over the time in which slots become free", () => {
    const waits = createWaits(10);
    // Evenly distributed draws: with random ones, 9 returns fell into one duration in one run of many.
    let draw = 0;
    vi.spyOn(Math, "random").mockImplementation(() => (draw++ * 0.618) % 1);
    const returnsMs = Array.from(
      { length: 100 },
      () => waits.createReturn("s", SERVERS)!,
    );
    expect(Math.min(...returnsMs)).toBeGreaterThanOrEqual(50);
    for (let fromMs = 0; fromMs < 2_000; fromMs += DURATION_MS) {
      const count = returnsMs.filter((returnMs) =>
        returnMs >= fromMs && returnMs < fromMs + DURATION_MS
      ).length;
      expect(count).toBeLessThanOrEqual(8);
    }
  });

  it("promises earlier slots again once the burst is over", () => {
    const waits = createWaits(10);
    for (let i = 0; i < 100; i++) {
      waits.createReturn("s", SERVERS);
    }
    vi.advanceTimersByTime(5_000);
    expect(waits.createReturn("s", SERVERS)).toBeLessThan(2 * DURATION_MS);
  });

  it("knows no time without measured durations or servers", () => {
    expect(createWaits(4).createReturn("s", SERVERS)).toBeUndefined();
    expect(createWaits(10).createReturn("s", [])).toBeUndefined();
    expect(createWaits(10).createReturn("other", SERVERS)).toBeUndefined();
  });
});

describe("getNextSlotMs", () => {
  it.each([
    ["a full server", [{ load: 4, slots: 4 }], 25],
    ["an overloaded server", [{ load: 7, slots: 4 }], 100],
    ["the least loaded server", [{ load: 9, slots: 1 }, ...SERVERS], 50],
  ])("gets the time until a slot of %s", (_name, servers, expected) => {
    expect(getNextSlotMs(servers, DURATION_MS)).toBe(expected);
  });
});
