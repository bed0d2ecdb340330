import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NoticeSectionError } from "../notices/notice_section.ts";
import {
  ConcurrencyReports,
  type ServerEvidence,
} from "./concurrency_reports.ts";

const SLOW_ENTRY = ["g1/1", 4, 2, 10, 50, 20, 100];

describe("ConcurrencyReports", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createReports() {
    const onReportChange = vi.fn();
    return {
      reports: new ConcurrencyReports({ onReportChange }),
      onReportChange,
    };
  }

  function createOwn(
    keys: readonly string[],
    ratio = 5,
  ): ReadonlyMap<string, ServerEvidence> {
    return new Map(keys.map((key) => [key, {
      evidence: {
        weight: 2,
        expected: 1,
        ratios: ratio,
        squares: ratio * ratio,
        loads: 8,
      },
      observedAtMs: performance.now(),
    }]));
  }

  const listKeys = (report: unknown) =>
    (report as [string][] | undefined)?.map(([key]) => key);

  // Guards against evidence that a hub returns to where it came from, which would count more with each exchange.
  it("reports to hubs the evidence of the cell, and to members all", () => {
    const { reports } = createReports();
    reports.applyReport("m1", "member", [["member/1", ...SLOW_ENTRY.slice(1)]]);
    reports.applyReport("h2", "equal", [["other/1", ...SLOW_ENTRY.slice(1)]]);
    reports.setOwnEntries(createOwn(["own/1"]), performance.now());
    expect(listKeys(reports.getReport("member"))).toEqual(["own/1"]);
    expect(listKeys(reports.getReport("equal"))?.sort())
      .toEqual(["member/1", "own/1"]);
    expect(listKeys(reports.getReport("hub"))?.sort())
      .toEqual(["member/1", "other/1", "own/1"]);
  });

  it("adds the evidence of partners, and forgets it with their link or its age", () => {
    const { reports } = createReports();
    reports.applyReport("a", "equal", [SLOW_ENTRY]);
    reports.applyReport("b", "equal", [SLOW_ENTRY]);
    const getWeight = () =>
      reports.getPeerEvidence("g1/1", performance.now())?.evidence.weight;
    expect(getWeight()).toBe(8);
    reports.removePartner("b");
    expect(getWeight()).toBe(4);
    vi.advanceTimersByTime(3_000);
    expect(getWeight()).toBeUndefined();
  });

  // Guards against a notice for each evaluation, and against a report that stays when there is nothing to report.
  it("keeps the same report object until the evidence changes", () => {
    const { reports, onReportChange } = createReports();
    const own = createOwn(["g1/1"]);
    reports.setOwnEntries(own, performance.now());
    const report = reports.getReport("member");
    vi.advanceTimersByTime(1_000);
    reports.setOwnEntries(own, performance.now());
    expect(reports.getReport("member")).toBe(report);
    expect(onReportChange).toHaveBeenCalledTimes(1);
    reports.setOwnEntries(new Map(), performance.now());
    expect(reports.getReport("member")).toEqual([]);
    expect(onReportChange).toHaveBeenCalledTimes(2);
  });

  // Guards against notices that grow with the number of slow servers: 100 entries may change every 2 s.
  it("bounds the entries and the rate of changes", () => {
    const { reports, onReportChange } = createReports();
    const keys = Array.from({ length: 300 }, (_, i) => `g${i}/1`);
    for (let i = 0; i < 40; i++) {
      reports.setOwnEntries(createOwn(keys, 2 + i), performance.now());
      vi.advanceTimersByTime(250);
    }
    expect(listKeys(reports.getReport("equal"))).toHaveLength(100);
    expect(onReportChange.mock.calls.length).toBeLessThanOrEqual(5);
    expect(JSON.stringify(reports.getReport("equal")).length)
      .toBeLessThan(100 * 60);
  });

  // Guards against a partner of another version, or with a fault, that changes the choice here.
  it.each([
    ["no array", { a: 1 }],
    ["too many entries", Array.from({ length: 101 }, () => SLOW_ENTRY)],
    ["a missing field", [SLOW_ENTRY.slice(0, -1)]],
    ["a key that is no text", [[1, ...SLOW_ENTRY.slice(1)]]],
    ["a long key", [["k".repeat(301), ...SLOW_ENTRY.slice(1)]]],
    ["a negative weight", [["g1/1", -4, 2, 10, 50, 20, 100]]],
    ["a weight above the bound", [["g1/1", 1e9, 2, 10, 50, 20, 100]]],
    ["a value that is no number", [["g1/1", 4, "2", 10, 50, 20, 100]]],
    ["an infinite value", [["g1/1", 4, 2, Infinity, 50, 20, 100]]],
    ["no expected time", [["g1/1", 4, 0, 10, 50, 20, 100]]],
    ["a ratio above the bound", [["g1/1", 4, 2, 1_000, 50, 20, 100]]],
  ])("refuses a report with %s as a whole", (_name, report) => {
    const { reports } = createReports();
    reports.applyReport("a", "equal", [SLOW_ENTRY]);
    expect(() => reports.applyReport("a", "equal", report))
      .toThrow(NoticeSectionError);
    expect(reports.listKeys()).toEqual(new Set(["g1/1"]));
  });
});
