import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { NullLogger } from "../../shared/logger.ts";
import { CrashCounter } from "./crash_counter.ts";
import {
  decodeCrashes,
  decodeFingerprints,
  decodePartCrashes,
  decodePartSuccesses,
} from "./crash_notice_decoder.ts";
import { PromptPartQuarantine } from "./prompt_part_quarantine.ts";

const LONG_TEXT = "x".repeat(100_000);
const ODD_VALUES = [null, 1, "", "f", [], {}, LONG_TEXT];

describe("crash notice decoder", () => {
  it.each([undefined, null, 1, "f", {}])(
    "decodes %j to an empty list",
    (value) => {
      expect(decodeCrashes(value)).toEqual([]);
      expect(decodeFingerprints(value)).toEqual([]);
      expect(decodePartCrashes(value)).toEqual([]);
      expect(decodePartSuccesses(value)).toEqual([]);
    },
  );

  describe("decodeCrashes", () => {
    it.each([
      ...ODD_VALUES,
      { fingerprint: "f" },
      { fingerprint: "f", groupKey: 1 },
      { fingerprint: LONG_TEXT, groupKey: "g" },
      { fingerprint: "f", groupKey: "g", ageMs: null },
      { fingerprint: "f", groupKey: "g", ageMs: -1 },
      { fingerprint: "f", groupKey: "g", ageMs: "1" },
    ])("leaves out an odd entry and keeps the others (%#)", (odd) => {
      const crash = { fingerprint: "f", groupKey: "g", ageMs: 1 };
      const older = { fingerprint: "f", groupKey: "g" };
      expect(decodeCrashes([odd, crash, older])).toEqual([crash, older]);
    });
  });

  describe("decodeFingerprints", () => {
    it("leaves out odd entries", () => {
      expect(decodeFingerprints([...ODD_VALUES, "g"])).toEqual(["f", "g"]);
    });
  });

  describe("decodePartCrashes", () => {
    it.each([
      ...ODD_VALUES,
      { groupKey: "g", parts: "p", ageMs: 1 },
      { groupKey: "g", parts: [1], ageMs: 1 },
      { groupKey: "g", parts: ["p"] },
      { groupKey: "g", parts: ["p"], ageMs: -1 },
      { groupKey: "g", parts: [LONG_TEXT], ageMs: 1 },
    ])("leaves out an odd entry and keeps the others (%#)", (odd) => {
      const crash = { groupKey: "g", parts: ["p"], ageMs: 1 };
      expect(decodePartCrashes([odd, crash])).toEqual([crash]);
    });
  });

  describe("decodePartSuccesses", () => {
    it.each([
      ...ODD_VALUES,
      { groupKey: "g", part: "p", time: "later" },
      { groupKey: "g", part: ["p"], time: "after" },
    ])("leaves out an odd entry and keeps the others (%#)", (odd) => {
      const success = { groupKey: "g", part: "p", time: "after" };
      expect(decodePartSuccesses([odd, success])).toEqual([success]);
    });
  });

  // Guards against an entry that ends the link, or under which nothing is refused or counted any more.
  it("leaves the detection of other requests intact, whatever a peer sends", () => {
    fc.assert(fc.property(fc.array(fc.jsonValue()), (values) => {
      const counter = new CrashCounter();
      const quarantine = new PromptPartQuarantine({
        logger: new NullLogger(),
        onChange: () => {},
      });
      decodeCrashes(values).forEach((crash) => counter.applyNotice(crash));
      decodePartCrashes(values).forEach((crash) =>
        quarantine.applyCrash(crash)
      );
      ["g1", "g2", "g3"].forEach((groupKey) => {
        counter.recordCrash({ fingerprint: "own", groupKey });
        quarantine.recordCrash(groupKey, ["own"]);
      });
      expect(counter.isRefused("own", "r1")).toBe(true);
      expect(quarantine.findRefusedPart(["own"])).toBe("own");
    }));
  });
});
