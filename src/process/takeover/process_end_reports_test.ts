import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { ListenerState } from "../../connection/peer_listener.ts";
import type { PeerRelation } from "../../connection/peer_notice.ts";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { NoticeSections } from "../notices/notice_sections.ts";
import { ProcessEndDetector } from "./process_end_detector.ts";
import { ProcessEndReports } from "./process_end_reports.ts";

const LEASE = { holder: "entry-0", term: 4 };
const HOLDER = createDaemonDescription(LEASE.holder);

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("ProcessEndReports", () => {
  function createReports(name: string) {
    let wakes = 0;
    const reports = new ProcessEndReports({
      ownName: name,
      ownZone: "z1",
      findZone: (partner) => `z${partner.length % 2}`,
      onOwnReport: () => {},
      onReport: () => wakes++,
    });
    return { reports, countWakes: () => wakes };
  }

  it.each<[PeerRelation, boolean]>([
    ["equal", true],
    ["member", true],
    ["hub", false],
  ])("reports towards a daemon as its %s: %s", (relation, isSent) => {
    const { reports } = createReports("entry-1");
    expect(reports.getReport(relation)).toBeUndefined();
    reports.recordOwn(LEASE);
    expect(reports.getReport(relation) !== undefined).toBe(isSent);
  });

  // Guards against an age that a receiver takes for the time of its own arrival, and against reports that stay after their time.
  it("passes on the age, and ends the report after its time", () => {
    const sender = createReports("entry-1");
    const receiver = createReports("entry-2");
    sender.reports.recordOwn(LEASE);
    vi.advanceTimersByTime(700);
    const send = () =>
      receiver.reports.applyReport(
        "entry-1",
        "equal",
        JSON.parse(JSON.stringify(sender.reports.getReport("equal"))),
      );
    send();
    send();
    expect(receiver.reports.listReports()).toMatchObject([
      { ...LEASE, reporter: "entry-1", atMs: performance.now() - 700 },
    ]);
    expect(receiver.countWakes()).toBe(1);
    vi.advanceTimersByTime(1_301);
    expect(receiver.reports.listReports()).toEqual([]);
    expect(sender.reports.getReport("equal")).toEqual([]);
  });

  // Guards against unbounded memory, and against one zone that leaves no room for the report of another one.
  it("keeps at most four reports of a zone", () => {
    const { reports } = createReports("entry-1");
    for (let i = 0; i < 40; i++) {
      const reporter = `m${"x".repeat(i)}`;
      reports.applyReport(reporter, "member", [
        { ...LEASE, reporter, ageMs: 0 },
      ]);
    }
    expect(reports.listReports()).toHaveLength(8);
  });

  const valid = { ...LEASE, reporter: "entry-2", ageMs: 0 };
  // Guards against a report that a daemon of another version or a faulty one has sent, and against a log line for each of them.
  it.each([
    null,
    {},
    Array(17).fill(valid),
    [null],
    [{ ...valid, reporter: "entry-3" }],
    [{ ...valid, holder: "" }],
    [{ ...valid, holder: "x".repeat(257) }],
    [{ ...valid, term: "4" }],
    [{ ...valid, term: 1.5 }],
    [{ ...valid, ageMs: -1 }],
    [{ ...valid, ageMs: null }],
    [valid, { ...valid, term: 2 ** 40 }],
  ])("refuses %j with one log line and keeps its state", (report) => {
    const { reports } = createReports("entry-1");
    const lines: string[] = [];
    const sections = new NoticeSections({
      logger: { write: (_, event) => lines.push(event) },
    });
    sections.add(reports);
    reports.applyReport("entry-2", "equal", [valid]);
    const known = reports.listReports();
    for (let i = 0; i < 3; i++) {
      sections.applyReports("entry-2", "equal", { "process-ends": report });
    }
    expect(reports.listReports()).toEqual(known);
    expect(lines).toEqual(["notice-section-invalid"]);
  });
});

describe("ProcessEndDetector", () => {
  async function doTest(
    states: ListenerState[],
    options: { planner?: string; isLinkedAgain?: boolean } = {},
  ) {
    const ended: unknown[] = [];
    const { planner = LEASE.holder } = options;
    const detector = new ProcessEndDetector({
      findPlanner: () => ({ name: planner, term: LEASE.term }),
      checkListener: () => Promise.resolve(states.shift() ?? "accepted"),
      onEnded: (lease) => ended.push(lease),
    });
    const check = detector.checkPartner(HOLDER);
    if (options.isLinkedAgain) {
      detector.cancel(HOLDER.name);
    }
    await vi.advanceTimersByTimeAsync(1_000);
    await check;
    return ended;
  }

  it("reports a planner whose address refuses the connection, at the latest after its listener has closed", async () => {
    expect(await doTest(["refused"])).toEqual([LEASE]);
    expect(await doTest(["accepted", "unknown", "refused"])).toEqual([LEASE]);
  });

  // Guards against a takeover from a holder that is only cut off, frozen, slow or restarted.
  it("does not report another daemon, silence, or a process that listens", async () => {
    expect(await doTest(["refused"], { planner: "entry-7" })).toEqual([]);
    expect(await doTest(Array(9).fill("unknown"))).toEqual([]);
    expect(await doTest(Array(9).fill("accepted"))).toEqual([]);
    expect(await doTest(["refused"], { isLinkedAgain: true })).toEqual([]);
  });
});
