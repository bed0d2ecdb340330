import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NoticeSectionError } from "../notices/notice_section.ts";
import { ConfirmedGroups } from "./confirmed_groups.ts";

describe("ConfirmedGroups", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  const create = () => new ConfirmedGroups({ onChange: () => {} });

  it("holds a confirmation for 1,300 ms, with the time on the way", () => {
    const planner = create();
    planner.confirm("g1");
    vi.advanceTimersByTime(300);
    const daemon = create();
    daemon.applyReport("planner", "equal", planner.getReport("equal"));
    vi.advanceTimersByTime(1_000);
    expect(daemon.isConfirmed("g1")).toBe(true);
    vi.advanceTimersByTime(1);
    expect(daemon.isConfirmed("g1")).toBe(false);
    expect(planner.isConfirmed("g1")).toBe(false);
  });

  // Guards against a confirmation that does not reach the members of other hubs, or that hubs send each other without end.
  it("passes a member's confirmation over two hubs to their members", () => {
    const [planner, hub, otherHub, daemon] = [1, 2, 3, 4].map(create);
    planner.confirm("g1");
    hub.applyReport("planner", "member", planner.getReport("member"));
    otherHub.applyReport("hub", "equal", hub.getReport("equal"));
    daemon.applyReport("other", "hub", otherHub.getReport("hub"));
    expect(daemon.isConfirmed("g1")).toBe(true);
    expect(otherHub.getReport("equal")).toEqual([]);
    expect(otherHub.getReport("member")).toEqual([]);
  });

  it("reports nothing before the first confirmation, and the same object until a change", () => {
    const planner = create();
    expect(planner.getReport("equal")).toBeUndefined();
    planner.confirm("g1");
    const report = planner.getReport("equal");
    expect(planner.getReport("equal")).toBe(report);
    vi.advanceTimersByTime(2_000);
    planner.confirm("g2");
    expect(planner.getReport("equal")).toEqual([["g2", 0]]);
  });

  it.each([
    [{}],
    [[["g1"]]],
    [[["g1", -1]]],
    [[[1, 1]]],
    [[["g1", "1"]]],
    [Array.from({ length: 1_001 }, () => ["g1", 1])],
  ])("refuses an invalid report", (report) => {
    const daemon = create();
    expect(() => daemon.applyReport("planner", "equal", report))
      .toThrow(NoticeSectionError);
    expect(daemon.isConfirmed("g1")).toBe(false);
  });
});
