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
    const counter = new CrashCounter();
    groupKeys.forEach((groupKey) =>
      counter.recordCrash({ fingerprint: "f", groupKey })
    );
    return counter;
  }

  /** Sends the crashes that one daemon knows to another. */
  function sendReport(from: CrashCounter, to: CrashCounter): void {
    from.getReport().forEach(({ atMs, ...crash }) =>
      to.applyNotice({ ...crash, ageMs: performance.now() - atMs })
    );
  }

  describe("isRefused", () => {
    it.each([
      [["g1", "g2"], false],
      [["g1", "g1", "g1"], false],
      [["g1", "g2", "g3"], true],
    ])("after crashes of the groups %j returns %j", (groupKeys, expected) => {
      const counter = doTest(groupKeys);
      expect(counter.isRefused("f", "r1")).toBe(expected);
      expect(counter.isRefused("other", "r1")).toBe(false);
    });

    it("ignores crashes that are more than a minute apart", () => {
      const counter = doTest(["g1", "g2"]);
      vi.advanceTimersByTime(61_000);
      counter.recordCrash({ fingerprint: "f", groupKey: "g3" });
      expect(counter.isRefused("f", "r1")).toBe(false);
    });

    it("ignores the crashes of a refused request after ten minutes", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(601_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
      expect(counter.isRefused("f", "r2")).toBe(false);
    });

    // Guards against a request that crashes three more servers each time that its refusal ends.
    it("allows one request at a time after a minute, and refuses all after its crash", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(59_000);
      expect(counter.isRefused("f", "r1")).toBe(true);
      vi.advanceTimersByTime(1_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
      expect(counter.isRefused("f", "r2")).toBe(true);
      expect(counter.isRefused("f", "r1")).toBe(false);
      counter.recordCrash({ fingerprint: "f", groupKey: "g4" });
      expect(counter.isRefused("f", "r1")).toBe(true);
      vi.advanceTimersByTime(119_000);
      expect(counter.isRefused("f", "r1")).toBe(true);
      vi.advanceTimersByTime(1_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
    });

    it("allows another trial when the first one does not end", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(60_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
      vi.advanceTimersByTime(10_000);
      expect(counter.isRefused("f", "r2")).toBe(false);
      expect(counter.isRefused("f", "r3")).toBe(true);
    });

    it("allows all requests once a trial has completed", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(60_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
      counter.recordSuccess("f");
      expect(counter.isRefused("f", "r2")).toBe(false);
    });

    // Many servers that fail together are no failed trials.
    it("refuses for a minute however many servers crash together", () => {
      const counter = doTest(["g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"]);
      vi.advanceTimersByTime(60_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
    });

    it("crashes few servers in an hour, whichever daemons get a request that comes each second", () => {
      const counters = [doTest(["g1", "g2", "g3"]), new CrashCounter()];
      let trialCrashes = 0;
      for (let second = 0; second < 3_600; second++) {
        counters.forEach((counter) =>
          counters.forEach((other) => sendReport(counter, other))
        );
        const counter = counters[second % 2];
        if (!counter.isRefused("f", `r${second}`)) {
          const groupKey = `t${trialCrashes++}`;
          counter.recordCrash({ fingerprint: "f", groupKey });
        }
        vi.advanceTimersByTime(1_000);
      }
      expect(trialCrashes).toBeLessThanOrEqual(10);
    });

    it("discards the crashes of a request that has completed", () => {
      const counter = doTest(["g1", "g2"]);
      counter.recordSuccess("f");
      counter.recordCrash({ fingerprint: "f", groupKey: "g3" });
      expect(counter.isRefused("f", "r1")).toBe(false);
    });
  });

  describe("applyNotice", () => {
    it("counts the crashes that three daemons observed", () => {
      const counters = ["g1", "g2", "g3"].map((key) => doTest([key]));
      const [firstCounter] = counters;
      counters.forEach((counter) => sendReport(counter, firstCounter));
      expect(firstCounter.isRefused("f", "r1")).toBe(true);
    });

    // Guards against a crash that counts again each time that a daemon starts and hears of it.
    it("counts a crash from its own time on", () => {
      const counter = new CrashCounter();
      vi.advanceTimersByTime(30_000);
      ["g1", "g2", "g3"].forEach((groupKey) =>
        counter.applyNotice({ fingerprint: "f", groupKey, ageMs: 40_000 })
      );
      vi.advanceTimersByTime(19_000);
      expect(counter.isRefused("f", "r1")).toBe(true);
      vi.advanceTimersByTime(2_000);
      expect(counter.isRefused("f", "r1")).toBe(false);
    });

    // A new link may bring the crashes of a peer that has not yet heard of the completion.
    it("ignores a crash before the request's completion", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      const peer = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(2_000);
      counter.recordSuccess("f");
      sendReport(peer, counter);
      expect(counter.isRefused("f", "r1")).toBe(false);
      expect(counter.getReport()).toEqual([]);
    });
  });

  describe("listRecentCompletions", () => {
    // Guards against a sound request that stays refused at a daemon that only heard of its failures.
    it("lists a suspected request that has completed, so that a peer accepts it again", () => {
      const [first, second] = [["g1", "g2", "g3"], ["g1", "g2", "g3"]].map(
        doTest,
      );
      first.recordSuccess("f");
      first.recordSuccess("other");
      expect(first.listRecentCompletions()).toEqual(["f"]);
      second.recordSuccess("f");
      expect(second.isRefused("f", "r1")).toBe(false);
      expect(second.listRecentCompletions()).toEqual(["f"]);
    });
  });

  describe("getReport", () => {
    // Guards against a planned restart after which a daemon sends the request to three more servers.
    it("tells a daemon that starts later of all crashes that count", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      vi.advanceTimersByTime(50_000);
      const newCounter = new CrashCounter();
      sendReport(counter, newCounter);
      expect(newCounter.isRefused("f", "r1")).toBe(true);
    });

    it("stops listing a crash when it no longer counts", () => {
      const counter = doTest(["g1"]);
      vi.advanceTimersByTime(59_000);
      expect(counter.getReport()).toHaveLength(1);
      vi.advanceTimersByTime(2_000);
      expect(counter.getReport()).toHaveLength(0);
    });

    it("stays the same array while nothing changes", () => {
      const counter = doTest(["g1"]);
      const report = counter.getReport();
      counter.applyNotice({ fingerprint: "f", groupKey: "g1", ageMs: 10 });
      expect(counter.getReport()).toBe(report);
    });

    it("keeps a bounded number of crashes, and those of refused requests longest", () => {
      const counter = doTest(["g1", "g2", "g3"]);
      for (let i = 0; i < 3_000; i++) {
        counter.recordCrash({ fingerprint: `f${i}`, groupKey: "g" });
        counter.recordCrash({ fingerprint: "h", groupKey: `g${i}` });
      }
      expect(counter.isRefused("f", "r1")).toBe(true);
      expect(counter.getReport().length).toBeLessThanOrEqual(2_010);
    });
  });
});
