import { describe, expect, it } from "vitest";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { getCandidateRank } from "./candidate_rank.ts";
import {
  decideTakeover,
  type ProcessEndReport,
  type TakeoverSituation,
} from "./takeover_decision.ts";

const NOW_MS = 50_000;

function createReport(
  reporter: string,
  zone: string,
  report: Partial<ProcessEndReport> & { ageMs?: number } = {},
): ProcessEndReport {
  const { ageMs = 0, ...fields } = report;
  return {
    holder: "entry-0",
    term: 4,
    reporter,
    zone,
    atMs: NOW_MS - ageMs,
    ...fields,
  };
}

describe("decideTakeover", () => {
  const reports = [
    createReport("entry-1", "z1"),
    createReport("entry-2", "z2"),
  ];

  function doTest(situation: Partial<TakeoverSituation>) {
    return decideTakeover({
      nowMs: NOW_MS,
      lease: { holder: "entry-0", term: 4 },
      reports,
      zoneCount: 3,
      candidateRank: 0,
      isStoreReachable: true,
      areOrdersFenced: true,
      idleMs: 3_000,
      returnPauseMs: 3_000,
      ...situation,
    });
  }

  it("lets the first candidate take over at once", () => {
    expect(doTest({})).toEqual({ kind: "take-over", evidence: reports });
  });

  // Guards against a second planner beside a holder that lives: each of these is no sufficient evidence, or no permitted takeover.
  const insufficient: Record<string, Partial<TakeoverSituation>> = {
    "no report": { reports: [] },
    "one reporter": { reports: [reports[0]] },
    "one zone of several": {
      reports: [reports[0], createReport("entry-3", "z1")],
    },
    "a report of the holder itself": {
      reports: [reports[0], createReport("entry-0", "z2")],
    },
    "an earlier term": {
      reports: [reports[0], createReport("entry-2", "z2", { term: 3 })],
    },
    "another holder": {
      reports: [reports[0], createReport("entry-2", "z2", { holder: "x" })],
    },
    "reports that are too far apart": {
      reports: [reports[0], createReport("entry-2", "z2", { ageMs: 2_001 })],
    },
    "no fencing": { areOrdersFenced: false },
    "no response of the store": { isStoreReachable: false },
    "no candidate": { candidateRank: undefined },
    "a lease that this daemon lost recently": { idleMs: 2_999 },
  };
  it.each(Object.entries(insufficient))("declines with %s", (_, situation) => {
    expect(doTest(situation)).toEqual({ kind: "decline" });
  });

  it("accepts two reporters of one zone where there is only one", () => {
    const zoneReports = [reports[0], createReport("entry-3", "z1")];
    expect(doTest({ reports: zoneReports, zoneCount: 1 }).kind)
      .toBe("take-over");
  });

  // Guards against simultaneous writes by all candidates, and against a wait that starts anew with each further report.
  it("lets each further candidate wait 200 ms longer from the completing report on", () => {
    const lateReports = [
      createReport("entry-1", "z1", { ageMs: 500 }),
      createReport("entry-2", "z2", { ageMs: 250 }),
      createReport("entry-3", "z3", { ageMs: 0 }),
    ];
    const decisions = [0, 1, 2, 3].map((candidateRank) =>
      doTest({ reports: lateReports, candidateRank })
    );
    expect(decisions).toMatchObject([
      { kind: "take-over" },
      { kind: "take-over" },
      { kind: "wait", waitMs: 150 },
      { kind: "wait", waitMs: 350 },
    ]);
  });
});

describe("getCandidateRank", () => {
  // Guards against two candidates that try at the same time, and against a first candidate that is the ended holder.
  it.each([[3, 2], [7, 6], [72, 6], [420, 27]])(
    "gives each hub of %d daemons another rank",
    (size, hubCount) => {
      const fleet = Array.from(
        { length: size },
        (_, i) => createDaemonDescription(`entry-${i}`, { zone: `z${i % 3}` }),
      );
      const ranks = fleet.slice(1).flatMap((self) =>
        getCandidateRank(self, {
          peers: fleet.filter((peer) => peer !== self),
          holder: fleet[0].name,
        }) ?? []
      );
      expect(ranks.sort((a, b) => a - b)).toEqual([...Array(hubCount).keys()]);
    },
  );
});
