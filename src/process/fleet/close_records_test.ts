import { describe, expect, it } from "vitest";
import { CloseRecords } from "./close_records.ts";

const PROCESS_KEY = "s0@1";

describe("CloseRecords", () => {
  describe("findOutcome", () => {
    // Guards against an accepted close of another group, of an earlier term or from before an event that counts as the confirmation of the present one.
    it.each([
      [{ generation: 5, term: 2, sinceMs: 100 }, "done"],
      [{ generation: 6, term: 2, sinceMs: 100 }, undefined],
      [{ generation: 5, term: 3, sinceMs: 100 }, undefined],
      [{ generation: 5, term: 2, sinceMs: 101 }, undefined],
      [{ generation: undefined, term: 2, sinceMs: 100 }, undefined],
    ])("gets for %o the outcome %s", (query, outcome) => {
      const records = new CloseRecords();
      records.record(PROCESS_KEY, {
        generation: 5,
        term: 2,
        sentAtMs: 100,
        outcome: "done",
      });
      expect(records.findOutcome(PROCESS_KEY, query)).toBe(outcome);
      expect(records.findOutcome("s0@2", query)).toBeUndefined();
    });
  });

  describe("retainProcesses", () => {
    // Guards against records of ended processes that are kept for ever.
    it("discards the closes of other processes", () => {
      const records = new CloseRecords();
      const close = { generation: 5, term: 2, sentAtMs: 0 };
      records.record(PROCESS_KEY, { ...close, outcome: "done" });
      records.retainProcesses(new Set(["s1@1"]));
      expect(records.findOutcome(PROCESS_KEY, { ...close, sinceMs: 0 }))
        .toBeUndefined();
    });
  });
});
