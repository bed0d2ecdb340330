import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CrashCounter } from "./crash_counter.ts";

describe("CrashCounter", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest(groupKeys: readonly string[]): CrashCounter {
    const ledger = new CrashCounter();
    groupKeys.forEach((groupKey) =>
      ledger.recordCrash({ fingerprint: "f", groupKey })
    );
    return ledger;
  }

  describe("isRefused", () => {
    it.each([
      [["g1", "g2"], false],
      [["g1", "g1", "g1"], false],
      [["g1", "g2", "g3"], true],
    ])("after crashes of the groups %j returns %j", (groupKeys, expected) => {
      const ledger = doTest(groupKeys);
      expect(ledger.isRefused("f")).toBe(expected);
      expect(ledger.isRefused("other")).toBe(false);
    });

    it("ignores crashes older than a minute", () => {
      const ledger = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(61_000);
      expect(ledger.isRefused("f")).toBe(false);
    });

    it("discards the crashes of a request that was answered", () => {
      const ledger = doTest(["g1", "g2"]);
      ledger.recordSuccess("f");
      ledger.recordCrash({ fingerprint: "f", groupKey: "g3" });
      expect(ledger.isRefused("f")).toBe(false);
    });
  });

  describe("applyNotice", () => {
    it("counts the crashes that three daemons observed", () => {
      const counters = ["g1", "g2", "g3"].map((key) => doTest([key]));
      const notices = counters.flatMap((ledger) => ledger.listRecentCrashes());
      const [firstCounter] = counters;
      notices.forEach((notice) => firstCounter.applyNotice(notice));
      expect(firstCounter.isRefused("f")).toBe(true);
    });
  });

  describe("listRecentCrashes", () => {
    it("lists a crash only for the time of several exchanges", () => {
      const ledger = doTest(["g1"]);
      vi.advanceTimersByTime(1_400);
      expect(ledger.listRecentCrashes()).toHaveLength(1);
      vi.advanceTimersByTime(200);
      expect(ledger.listRecentCrashes()).toHaveLength(0);
    });
  });
});
