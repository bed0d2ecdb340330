import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NullLogger } from "../shared/logger.ts";
import { PlannedStop } from "./planned_stop.ts";

describe("PlannedStop", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a request that is sent to a server after the stop of an idle daemon has ended, and cut when the listeners are disposed.
  it("refuses requests once it has ended without a request in flight", async () => {
    const stop = new PlannedStop({ graceMs: 8_000, logger: new NullLogger() });
    const stopPromise = stop.run(() => {});
    await vi.advanceTimersByTimeAsync(2_500);
    await stopPromise;
    expect(() => stop.checkOpen()).toThrow("shutting down");
  });
});
