import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createModelEngines } from "../../../tests/support/model_engine.ts";
import {
  FLAP_WINDOW_MS,
  ServerHealthTracker,
} from "./server_health_tracker.ts";

describe("ServerHealthTracker", () => {
  const engines = createModelEngines(
    [{ name: "rack-1", zone: "zone-a", vms: 1 }],
    { loadSteps: 0 },
  );
  const engine = engines.get("rack-1-vm-001")!;
  const name = engine.vm.name;
  let tracker: ServerHealthTracker;

  beforeEach(() => {
    vi.useFakeTimers();
    tracker = new ServerHealthTracker({ vmListLagMs: 5_000 });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function recordResponse(): void {
    const status = engine.getStatus(engines);
    tracker.record({ name, status, hasAddress: true });
  }

  function recordFailures(count: number, hasAddress = true): void {
    for (let index = 0; index < count; index++) {
      tracker.record({ name, hasAddress });
    }
  }

  describe("record", () => {
    // Guards against a group that is repaired although only one response was lost.
    it("confirms a loss after three consecutive failed requests", () => {
      recordFailures(2);
      recordResponse();
      recordFailures(2);
      expect(tracker.getHealth(name)!.isLost).toBe(false);
      recordFailures(1);
      expect(tracker.getHealth(name)!.isLost).toBe(true);
      recordResponse();
      expect(tracker.getHealth(name)!.isLost).toBe(false);
    });

    // Guards against a server that counts as lost only because the VM list lags.
    it("confirms the loss of a server without an address only after the lag of the VM list", () => {
      recordFailures(5, false);
      expect(tracker.getHealth(name)!.isLost).toBe(false);
      vi.advanceTimersByTime(5_000);
      recordFailures(1, false);
      expect(tracker.getHealth(name)!.isLost).toBe(true);
    });

    // Guards against a server that fails repeatedly and breaks a group after each recovery.
    it("doubles the back-off with each further failure", () => {
      recordResponse();
      const backOffs = [0, 5_000, 10_000, 20_000].map((expectedMs) => {
        engine.assumeRestart();
        recordResponse();
        vi.advanceTimersByTime(Math.max(0, expectedMs - 1));
        const before = tracker.getHealth(name)!.isBackedOff;
        vi.advanceTimersByTime(1);
        return { before, after: tracker.getHealth(name)!.isBackedOff };
      });
      expect(backOffs).toEqual([
        { before: false, after: false },
        { before: true, after: false },
        { before: true, after: false },
        { before: true, after: false },
      ]);
    });

    // Guards against a server that stays backed off because of failures before the window.
    it("ignores restarts from before the window", () => {
      recordResponse();
      engine.assumeRestart();
      recordResponse();
      vi.advanceTimersByTime(FLAP_WINDOW_MS);
      engine.assumeRestart();
      recordResponse();
      expect(tracker.getHealth(name)!.isBackedOff).toBe(false);
    });
  });
});
