import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NoticeSectionError } from "../notices/notice_section.ts";
import { RefusalRecord } from "./refusal_record.ts";

const FINGERPRINT = "abcdefgh";
const REFUSAL = {
  fingerprint: FINGERPRINT,
  account: "a",
  returnMs: 1_000,
};

const PUNCTUAL = { refusedAgoMs: 1_000, isPunctual: true };

describe("RefusalRecord", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("prefers a caller that returns at its time, once", () => {
    const record = new RefusalRecord();
    record.recordRefusal(REFUSAL);
    vi.advanceTimersByTime(1_000);
    expect(record.takeReturn("another")).toBeUndefined();
    expect(record.takeReturn(FINGERPRINT)).toEqual(PUNCTUAL);
    expect(record.takeReturn(FINGERPRINT)).toBeUndefined();
  });

  // Guards against callers that gain by ignoring the time.
  it("does not prefer a caller that returns too early, and expects it later after the next refusal", () => {
    const record = new RefusalRecord();
    record.recordRefusal(REFUSAL);
    for (const refusedAgoMs of [500, 1_000]) {
      vi.advanceTimersByTime(500);
      expect(record.takeReturn(FINGERPRINT)).toEqual({
        refusedAgoMs,
        isPunctual: false,
      });
      record.recordRefusal(REFUSAL);
    }
    vi.advanceTimersByTime(9_000);
    expect(record.takeReturn(FINGERPRINT)).toBeUndefined();
  });

  // Guards against a caller that is unknown at the daemon that it returns to, or preferred at several.
  it("reports refusals and returns from a member over hubs to another member", () => {
    const [member, hub, otherHub, otherMember] = Array.from(
      { length: 4 },
      () => new RefusalRecord(),
    );
    const exchange = () => {
      hub.applyReport("m", "member", member.getReport("member") ?? []);
      otherHub.applyReport("h", "equal", hub.getReport("equal") ?? []);
      otherMember.applyReport("o", "hub", otherHub.getReport("hub") ?? []);
      member.applyReport("h", "hub", hub.getReport("hub") ?? []);
    };
    member.recordRefusal(REFUSAL);
    member.recordRefusal({ ...REFUSAL, fingerprint: "ijklmnop" });
    exchange();
    vi.advanceTimersByTime(1_000);
    expect(otherMember.takeReturn(FINGERPRINT)).toEqual(PUNCTUAL);
    expect(member.takeReturn("ijklmnop")).toEqual(PUNCTUAL);
    exchange();
    expect(otherMember.takeReturn("ijklmnop")).toBeUndefined();
  });

  // Guards against reports and a record that grow with the refusals, and against an account that crowds out the others.
  it("bounds the record and the reports, by account", () => {
    const record = new RefusalRecord();
    for (let i = 0; i < 20_000; i++) {
      const fingerprint = `x${i.toString(36).padStart(5, "0")}`;
      record.recordRefusal({ ...REFUSAL, fingerprint });
    }
    record.recordRefusal({ ...REFUSAL, fingerprint: "yyyyyy", account: "b" });
    expect(record.count).toBe(1_751);
    const report = record.getReport("equal") as string[];
    expect(report).toHaveLength(9);
    expect(report.at(-1)).toBe("yyyyyy2s");
    expect(JSON.stringify(report).length).toBeLessThan(250);
  });

  it.each([null, {}, ["abc"], [1], ["abcdef***"], Array(25).fill("abcdef1")])(
    "refuses the report %j",
    (report) => {
      const record = new RefusalRecord();
      expect(() => record.applyReport("peer", "equal", report))
        .toThrow(NoticeSectionError);
      expect(record.count).toBe(0);
    },
  );
});
