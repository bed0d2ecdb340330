import { describe, expect, it } from "vitest";
import { NullLogger } from "../shared/logger.ts";
import { PromptPartReplica } from "./prompt_part_replica.ts";
import { promptPartStateSchema } from "./prompt_part_state.ts";

/** Number of crashes that a daemon stores, and of the suspects of one crash. */
const MAX_CRASHES = 500;
const MAX_SUSPECTS = 20;

function createReplicas(): [PromptPartReplica, PromptPartReplica] {
  return [
    new PromptPartReplica(new NullLogger()),
    new PromptPartReplica(new NullLogger()),
  ];
}

describe("PromptPartReplica", () => {
  describe("merge", () => {
    // Guards against a message that is not refused because each daemon saw only some of its crashes.
    it("combines the crashes that two daemons recorded", () => {
      const [first, second] = createReplicas();
      first.quarantine.recordCrash("g1", ["p", "a"]);
      first.quarantine.recordCrash("g2", ["p", "b"]);
      second.quarantine.recordCrash("g3", ["p", "c"]);
      second.merge(promptPartStateSchema.parse(first.getState()));
      first.merge(second.takeChanges());
      expect(first.quarantine.findRefusedPart(["p", "d"])).toBe("p");
      expect(second.quarantine.findRefusedPart(["p", "d"])).toBe("p");
      expect(first.getDigest()).toBe(second.getDigest());
      second.quarantine.recordSuccess(["p"], performance.now() + 1);
      expect(first.getDigest()).not.toBe(second.getDigest());
      first.merge(second.takeChanges());
      expect(first.getDigest()).toBe(second.getDigest());
      expect(first.quarantine.findRefusedPart(["p", "d"])).toBeUndefined();
    });

    // Guards against daemons above a limit that send each other their whole state in each exchange.
    it("gives daemons above the limits the same digest", () => {
      const [first, second] = createReplicas();
      for (let i = 0; i < MAX_SUSPECTS; i++) {
        first.quarantine.recordCrash("full", ["p", `a${i}`]);
        second.quarantine.recordCrash("full", ["p", `b${i}`]);
      }
      expect(first.getDigest()).toBe(second.getDigest());
      const crashes = Array.from({ length: MAX_CRASHES + 100 }, (_, i) => ({
        groupKey: `g${i}`,
        parts: ["p"],
        ageMs: 1_000 * (i + 1) / 2,
      }));
      first.merge({ crashes, successes: [] });
      second.merge({ crashes: crashes.reverse(), successes: [] });
      expect(first.getState().crashes.length).toBeGreaterThan(MAX_CRASHES / 2);
      expect(first.getDigest()).toBe(second.getDigest());
    });
  });

  describe("takeChanges", () => {
    it("returns only what is new since the last call", () => {
      const [replica] = createReplicas();
      replica.quarantine.recordCrash("g1", ["p"]);
      replica.takeChanges();
      replica.quarantine.recordCrash("g2", ["p"]);
      expect(replica.takeChanges().crashes.map((c) => c.groupKey)).toEqual([
        "g2",
      ]);
      expect(replica.takeChanges().crashes).toEqual([]);
    });
  });
});
