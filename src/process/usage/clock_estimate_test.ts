import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { chooseClock } from "./clock_estimate.ts";
import { SharedClock } from "./shared_clock.ts";

describe("chooseClock", () => {
  // Guards against windows that move with the clocks of a minority.
  it("leaves out the clocks of a minority that have jumped", () => {
    expect(chooseClock([0, 5_000, 2, -7_000, 1, 9_000, 3], undefined)).toEqual({
      baseMs: 2,
      clockCount: 7,
    });
  });

  // Guards against a daemon that follows its own clock when its links are closed.
  it.each([[[5_000]], [[0, 5_000]]])(
    "keeps an earlier estimate of more clocks than %j",
    (basesMs) => {
      const previous = { baseMs: 1, clockCount: 5 };
      expect(chooseClock(basesMs, previous)).toBe(previous);
    },
  );

  it("takes the value in the middle that is nearer to the earlier estimate", () => {
    const previous = { baseMs: 4_990, clockCount: 5 };
    expect(chooseClock([0, 10, 5_000, 5_010], previous).baseMs).toBe(5_000);
    expect(chooseClock([0, 10, 5_000, 5_010], undefined).baseMs).toBe(10);
  });
});

describe("SharedClock", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a step of the own wall clock, which is no sign that time has passed.
  it("does not follow a jump of the own wall clock", () => {
    const clock = new SharedClock();
    for (const partner of ["a", "b", "c"]) {
      clock.recordTime(partner, "equal", Date.now());
    }
    const expectedMs = Date.now() + 1_000;
    vi.advanceTimersByTime(1_000);
    vi.setSystemTime(Date.now() + 8_000);
    clock.refresh();
    expect(clock.getNowMs()).toBeCloseTo(expectedMs, 0);
  });

  it("follows the estimate of the hub", () => {
    const clock = new SharedClock();
    clock.recordTime("hub-1", "hub", Date.now() + 4_000);
    expect(clock.getNowMs()).toBeCloseTo(Date.now() + 4_000, 0);
    clock.removePartner("hub-1");
    clock.refresh();
    expect(clock.getNowMs()).toBeCloseTo(Date.now() + 4_000, 0);
  });
});
