import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NullLogger } from "../../shared/logger.ts";
import { PromptPartQuarantine } from "./prompt_part_quarantine.ts";

/** Number of bytes that a link buffers before it is closed. */
const MAX_LINK_BUFFER_BYTES = 4_194_304;

describe("PromptPartQuarantine", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createQuarantine(onChange = () => {}): PromptPartQuarantine {
    return new PromptPartQuarantine({ logger: new NullLogger(), onChange });
  }

  /** Records one crash of a group for each list of parts, one second apart. */
  function recordCrashes(
    quarantine: PromptPartQuarantine,
    suspects: readonly (readonly string[])[],
  ): void {
    suspects.forEach((parts, i) => {
      vi.advanceTimersByTime(1_000);
      quarantine.recordCrash(`g${i}/1`, parts);
    });
  }

  /** Sends the report of one daemon to another. */
  function sendReport(from: PromptPartQuarantine, to: PromptPartQuarantine) {
    const { crashes, successes } = from.getReport();
    crashes.forEach(({ groupKey, parts, atMs }) =>
      to.applyCrash({ groupKey, parts, ageMs: performance.now() - atMs })
    );
    successes.forEach((success) => to.applySuccess(success));
  }

  describe("findRefusedPart", () => {
    it.each([
      [[["a", "p"], ["b", "p"]], undefined],
      [[["a", "p"], ["b", "p"], ["c", "p"]], "p"],
      [[["a"], ["b"], ["c"]], undefined],
    ])(
      "after crashes with %j returns %j for a new request",
      (crashes, part) => {
        const quarantine = createQuarantine();
        recordCrashes(quarantine, crashes);
        expect(quarantine.findRefusedPart(["d", "p"])).toBe(part);
        expect(quarantine.findRefusedPart(["d"])).toBeUndefined();
      },
    );

    it("counts several suspects of one crash once", () => {
      const quarantine = createQuarantine();
      ["a", "b", "c", "d"].forEach((part) =>
        quarantine.recordCrash("g1/1", [part, "p"])
      );
      expect(quarantine.findRefusedPart(["e", "p"])).toBeUndefined();
    });

    it("allows a part whose requests get events", () => {
      const quarantine = createQuarantine();
      recordCrashes(quarantine, [["p"], ["p"]]);
      quarantine.recordSuccess(["p"], performance.now());
      recordCrashes(quarantine, [["p"], ["p"]]);
      expect(quarantine.findRefusedPart(["p"])).toBeUndefined();
    });

    it("refuses only the part that no request has run with when another part is in all crashed requests", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["common"], performance.now());
      recordCrashes(quarantine, Array(3).fill(["common", "p"]));
      expect(quarantine.findRefusedPart(["other", "p"])).toBe("p");
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    it("refuses only the combination of parts that always crash together until one of them gets an event", () => {
      const quarantine = createQuarantine();
      recordCrashes(quarantine, Array(3).fill(["common", "p"]));
      expect(quarantine.findRefusedPart(["common", "p"])).toBeDefined();
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
      expect(quarantine.findRefusedPart(["p"])).toBeUndefined();
      quarantine.recordSuccess(["common"], performance.now());
      expect(quarantine.findRefusedPart(["p"])).toBe("p");
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    it("allows a common part when many groups crash at the same moment", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["common"], performance.now());
      for (let i = 0; i < 10; i++) {
        quarantine.recordCrash(`g${i}/1`, ["common", `a${i}`]);
      }
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
      vi.advanceTimersByTime(200);
      quarantine.recordSuccess(["common"], performance.now());
      vi.advanceTimersByTime(1_000);
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    // A part that runs on servers when they fail must not stay refused: as it no longer runs, nothing could show that it is harmless.
    it("allows a known part when many groups crash together and none can respond for some seconds", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["common"], performance.now());
      vi.advanceTimersByTime(1_000);
      for (let i = 0; i < 10; i++) {
        quarantine.recordCrash(`g${i}/1`, ["common", `a${i}`]);
        vi.advanceTimersByTime(30);
      }
      vi.advanceTimersByTime(5_000);
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    // Guards against the response that begins before a part starts to crash servers, and ends later.
    it("counts a crash although a response that began before it is harmless", () => {
      const quarantine = createQuarantine();
      const beganAtMs = performance.now();
      recordCrashes(quarantine, Array(5).fill(["p"]));
      quarantine.recordSuccess(["p"], beganAtMs);
      expect(quarantine.findRefusedPart(["p"])).toBe("p");
    });

    it("refuses the part with fewer suspects when two parts are suspected of the same crashes", () => {
      const quarantine = createQuarantine();
      for (let i = 0; i < 3; i++) {
        vi.advanceTimersByTime(1_000);
        quarantine.recordCrash(`g${i}/1`, ["common", `a${i}`]);
        quarantine.recordCrash(`g${i}/1`, ["common", "p"]);
      }
      expect(quarantine.findRefusedPart(["common", "p"])).toBe("p");
      expect(quarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    // Guards against a table of successes that grows without limit when requests have many parts.
    it("forgets the oldest successes when a request has too many parts", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["a", "p"], performance.now());
      const parts = Array.from({ length: 5_001 }, (_, i) => `a${i}`);
      quarantine.recordSuccess(parts, performance.now());
      recordCrashes(quarantine, [["p"], ["p"], ["p"]]);
      expect(quarantine.findRefusedPart(["p"])).toBe("p");
    });

    it("refuses a part with which requests ran before it began to crash servers", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["p"], performance.now());
      recordCrashes(quarantine, Array(5).fill(["p"]));
      expect(quarantine.findRefusedPart(["p"])).toBe("p");
    });

    it("allows a refused part after ten minutes", () => {
      const quarantine = createQuarantine();
      recordCrashes(quarantine, Array(3).fill(["p"]));
      vi.advanceTimersByTime(597_000);
      expect(quarantine.findRefusedPart(["p"])).toBe("p");
      vi.advanceTimersByTime(4_000);
      expect(quarantine.findRefusedPart(["p"])).toBeUndefined();
    });

    // A part with an event after each crash that it was suspected of never counts, whatever else crashes.
    it("never refuses a part that gets an event after each crash", () => {
      fc.assert(fc.property(
        fc.array(
          fc.array(fc.constantFrom("a", "b", "c", "d"), { maxLength: 3 }),
          {
            maxLength: 40,
          },
        ),
        (suspects) => {
          const quarantine = createQuarantine();
          suspects.forEach((parts, i) => {
            quarantine.recordCrash(`g${i}/1`, ["harmless", ...parts]);
            vi.advanceTimersByTime(10);
            quarantine.recordSuccess(["harmless"], performance.now());
          });
          expect(quarantine.findRefusedPart(["harmless"])).toBeUndefined();
        },
      ));
    });
  });

  describe("getReport", () => {
    it("tells a daemon that starts later which parts to refuse", () => {
      const quarantine = createQuarantine();
      quarantine.recordSuccess(["common"], performance.now());
      recordCrashes(quarantine, Array(3).fill(["common", "p"]));
      const newQuarantine = createQuarantine();
      sendReport(quarantine, newQuarantine);
      expect(newQuarantine.findRefusedPart(["common", "p"])).toBe("p");
      expect(newQuarantine.findRefusedPart(["common"])).toBeUndefined();
    });

    it("counts crashes that three daemons observed, and successes that a fourth one observed", () => {
      const observers = ["g1/1", "g2/1", "g3/1"].map((groupKey) => {
        const observer = createQuarantine();
        observer.recordCrash(groupKey, ["common", "p"]);
        return observer;
      });
      const fourth = createQuarantine();
      observers.forEach((observer) => sendReport(observer, fourth));
      vi.advanceTimersByTime(10);
      fourth.recordSuccess(["common"], performance.now());
      const [first] = observers;
      sendReport(fourth, first);
      expect(first.findRefusedPart(["p"])).toBe("p");
      expect(first.findRefusedPart(["common"])).toBeUndefined();
    });

    it("reports a crash and a success only while they are new", async () => {
      const onChange = vi.fn();
      const quarantine = createQuarantine(onChange);
      const crash = { groupKey: "g1/1", parts: ["p"], ageMs: 0 };
      const success = { groupKey: "g1/1", part: "p", time: "after" } as const;
      for (let i = 0; i < 3; i++) {
        quarantine.applyCrash(crash);
        quarantine.applySuccess(success);
        await Promise.resolve();
      }
      expect(onChange).toHaveBeenCalledTimes(1);
      expect(quarantine.getReport()).toMatchObject({
        crashes: [{ groupKey: "g1/1", parts: ["p"] }],
        successes: [success],
      });
    });

    // Guards against a first notice that is too large for a link, so that the daemons could not link again.
    it("keeps suspects whose notice fits into a link, whatever the parts of the prompts", () => {
      const quarantine = createQuarantine();
      const createParts = (length: number) =>
        Array.from({ length: 64 }, (_, i) => `${i}`.padEnd(length, "x"));
      for (let i = 0; i < 600; i++) {
        const parts = createParts(i % 2 === 0 ? 128 : 2);
        for (let j = 0; j < 20; j++) {
          quarantine.recordCrash(`g${i}/1`, [`a${j}`, ...parts]);
        }
        quarantine.recordSuccess(parts, performance.now());
      }
      const { crashes, successes } = quarantine.getReport();
      expect(crashes.length).toBeGreaterThan(100);
      expect(JSON.stringify({ crashes, successes }).length)
        .toBeLessThan(MAX_LINK_BUFFER_BYTES);
    });

    it("keeps a bounded number of crashes and suspects", () => {
      const quarantine = createQuarantine();
      for (let i = 0; i < 2_000; i++) {
        quarantine.recordCrash(`g${i}/1`, ["p"]);
        quarantine.recordCrash("g/1", [`a${i}`]);
      }
      expect(quarantine.getReport().crashes.length).toBeLessThanOrEqual(520);
    });
  });
});
