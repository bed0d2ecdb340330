import { describe, expect, it } from "vitest";
import { NoticeSectionError } from "../notices/notice_section.ts";
import { WaitingSection } from "./waiting_section.ts";

function createSection(requests: number): WaitingSection {
  const section = new WaitingSection();
  section.setOwn(new Map([["models m", requests]]));
  return section;
}

describe("WaitingSection", () => {
  // Guards against requests that count twice or are missing, on the way over two hubs.
  it("sums the requests over hubs and members", () => {
    const [hubA, hubB, memberA, memberB] = [1, 2, 4, 8].map(createSection);
    hubA.applyReport("memberA", "member", memberA.getReport("member"));
    hubB.applyReport("memberB", "member", memberB.getReport("member"));
    hubA.setOwn(new Map([["models m", 1]]));
    hubB.setOwn(new Map([["models m", 2]]));
    hubA.applyReport("hubB", "equal", hubB.getReport("equal"));
    hubB.applyReport("hubA", "equal", hubA.getReport("equal"));
    hubA.setOwn(new Map([["models m", 1]]));
    memberA.applyReport("hubA", "hub", hubA.getReport("hub"));
    const total = { daemons: 4, waiting: { "models m": 15 } };
    for (const section of [hubA, hubB, memberA]) {
      expect(section.getTotal()).toEqual(total);
    }
    hubB.removePartner("memberB");
    hubB.setOwn(new Map([["models m", 2]]));
    hubA.applyReport("hubB", "equal", hubB.getReport("equal"));
    expect(hubA.getTotal()).toEqual({
      daemons: 3,
      waiting: { "models m": 7 },
    });
  });

  // Guards against a notice of a hub for each change at one of its members.
  it("changes its reports only with its own sample", () => {
    const section = createSection(1);
    const before = section.getReport("equal");
    section.applyReport("memberA", "member", { daemons: 1, waiting: {} });
    expect(section.getReport("equal")).toBe(before);
    expect(section.getTotal().daemons).toBe(2);
  });

  // Guards against a notice with each heartbeat although nothing has changed.
  it("keeps its report until a number changes", () => {
    const section = createSection(1);
    const reports = ["equal", "member", "hub"] as const;
    const before = reports.map((relation) => section.getReport(relation));
    section.setOwn(new Map([["models m", 1]]));
    reports.forEach((relation, i) =>
      expect(section.getReport(relation)).toBe(before[i])
    );
  });

  // Guards against a peer that sends invalid numbers.
  it.each([
    null,
    [],
    { daemons: 0, waiting: {} },
    { daemons: 1, waiting: [] },
    { daemons: 1, waiting: { m: -1 } },
    { daemons: 1, waiting: { m: 0.5 } },
    { daemons: 2_000_000, waiting: {} },
    { daemons: 1, waiting: { ["m".repeat(301)]: 1 } },
  ])("refuses the report %j and changes nothing", (report) => {
    const section = createSection(1);
    section.applyReport("hub", "equal", { daemons: 1, waiting: {} });
    expect(() => section.applyReport("hub", "equal", report)).toThrow(
      NoticeSectionError,
    );
    expect(section.getTotal().daemons).toBe(2);
  });
});
