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

  // Guards against a process that is killed with requests in flight because its grace period is shorter than the time for which it accepts connections.
  it.each([2_000, 3_000, 4_000, 5_000])(
    "aborts the requests in flight within a grace period of %i ms",
    async (graceMs) => {
      const stop = new PlannedStop({ graceMs, logger: new NullLogger() });
      const abort = vi.fn();
      stop.addRequest({
        requestId: "r1",
        receivedAtMs: performance.now(),
        deadlineAtMs: performance.now() + 60_000,
        hasBeenSent: () => true,
        hasStarted: () => false,
        abort,
      });
      let hasEnded = false;
      stop.run(() => {}).then(() => hasEnded = true);
      await vi.advanceTimersByTimeAsync(graceMs - 100);
      expect(abort).toHaveBeenCalledOnce();
      expect(hasEnded).toBe(true);
    },
  );
});
