import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { delay } from "./delay.ts";

describe("delay", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("resolves to true after the full time", async () => {
    const result = delay(100, new AbortController().signal);
    vi.advanceTimersByTime(100);
    expect(await result).toBe(true);
  });

  it("resolves all waits of a signal to false when it aborts", async () => {
    const controller = new AbortController();
    const ended = delay(50, controller.signal);
    const results = [
      delay(100, controller.signal),
      delay(200, controller.signal),
    ];
    vi.advanceTimersByTime(50);
    controller.abort();
    expect(await Promise.all([ended, ...results])).toEqual([
      true,
      false,
      false,
    ]);
    expect(vi.getTimerCount()).toBe(0);
  });

  it("resolves to false at once when the signal has aborted", async () => {
    expect(await delay(100, AbortSignal.abort())).toBe(false);
  });
});
