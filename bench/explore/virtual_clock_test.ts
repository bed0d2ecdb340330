import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { VirtualClock } from "./virtual_clock.ts";

describe("VirtualClock", () => {
  const clock = new VirtualClock();
  let runs: string[];

  beforeEach(() => {
    runs = [];
    clock.start();
  });
  afterEach(() => clock.dispose());

  describe("runUntil", () => {
    // Guards against reactions of one timer that mix with the next timer, which would make runs differ.
    it("ends the reactions of a timer before the next timer", async () => {
      const startedAtMs = performance.now();
      setTimeout(async () => {
        await Promise.resolve();
        runs.push(`a ${performance.now() - startedAtMs}`);
      }, 10);
      setTimeout(() => runs.push(`b ${performance.now() - startedAtMs}`), 11);
      await clock.runUntil(startedAtMs + 20);
      expect(runs).toEqual(["a 10", "b 11"]);
    });
  });

  describe("pause", () => {
    // Guards against a paused process that acts, or that loses what was due while it was paused.
    it("holds back the timers of one process until it is resumed", async () => {
      const startedAtMs = performance.now();
      clock.pause("d0");
      for (const owner of ["d0", "d1"]) {
        clock.scheduleAs(owner, 10, () => runs.push(owner));
      }
      await clock.runUntil(startedAtMs + 20);
      expect(runs).toEqual(["d1"]);
      clock.resume("d0");
      await clock.runUntil(startedAtMs + 21);
      expect(runs).toEqual(["d1", "d0"]);
    });
  });
});
