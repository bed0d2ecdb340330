import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NoticeSectionError } from "../notices/notice_section.ts";
import { WaitingNumbers } from "./waiting_numbers.ts";

describe("WaitingNumbers", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createNumbers(priorities: readonly number[]): WaitingNumbers {
    const numbers = new WaitingNumbers();
    priorities.forEach((priority) => numbers.change("s m", priority, 1));
    return numbers;
  }

  // Guards against requests that count twice, or not at all, on the way over a hub.
  it("knows the numbers of the fleet at hubs and members", () => {
    const member = createNumbers([0, 2]);
    const hub = createNumbers([1]);
    const otherHub = createNumbers([0, 0, 9]);
    hub.applyReport("member", "member", member.getReport("member"));
    hub.applyReport("other", "equal", otherHub.getReport("equal"));
    otherHub.applyReport("hub", "equal", hub.getReport("equal"));
    member.applyReport("hub", "hub", hub.getReport("hub"));
    for (const numbers of [member, hub, otherHub]) {
      expect(numbers.countWaiting("s m", 0)).toBe(3);
      expect(numbers.countWaiting("s m", 9)).toBe(6);
    }
    hub.removePartner("other");
    expect(hub.countWaiting("s m", 9)).toBe(3);
  });

  it("keeps a report until it changes, and reports the end of the last wait", () => {
    const numbers = createNumbers([0]);
    const report = numbers.getReport("equal");
    vi.advanceTimersByTime(200);
    expect(numbers.getReport("equal")).toBe(report);
    numbers.change("s m", 0, -1);
    vi.advanceTimersByTime(200);
    expect(numbers.getReport("equal")).toEqual({});
  });

  it.each([
    null,
    [],
    { "s m": 1 },
    { "s m": [-1] },
    { "s m": Array(9).fill(0) },
    { "s m": [1e9] },
  ])("refuses %j and keeps the previous numbers", (report) => {
    const numbers = new WaitingNumbers();
    numbers.applyReport("peer", "equal", { "s m": [4] });
    expect(() => numbers.applyReport("peer", "equal", report))
      .toThrow(NoticeSectionError);
    expect(numbers.countWaiting("s m", 0)).toBe(4);
  });
});
