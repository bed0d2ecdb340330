import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  getOppositeRelation,
  type PeerRelation,
} from "../../connection/peer_notice.ts";
import { NoticeSectionError } from "../notices/notice_section.ts";
import { SharedClock } from "./shared_clock.ts";
import { UsageCounter } from "./usage_counter.ts";
import { UsageExchange } from "./usage_exchange.ts";

const WINDOW_MS = 5_000;
const STEP_MS = 100;

/** Direction of a link. */
interface Direction {
  readonly from: TestDaemon;
  readonly to: TestDaemon;
  /** Role of the sender. */
  readonly relation: PeerRelation;
  sent: unknown;
}

class TestDaemon {
  readonly name: string;
  readonly exchange: UsageExchange;
  readonly counter: UsageCounter;

  constructor(name: string) {
    this.name = name;
    const clock = new SharedClock();
    this.counter = new UsageCounter({ clock, windowMs: WINDOW_MS });
    const { counter } = this;
    this.exchange = new UsageExchange({
      id: name,
      clock,
      counter,
      onChange: () => {},
    });
  }

  /** Counts requests of account a. */
  record(requests: number): void {
    for (let i = 0; i < requests; i++) {
      this.counter.recordRequest("a");
    }
  }
}

/** Daemons whose links pass on changed reports every 100 ms. */
class TestFleet {
  readonly daemons: TestDaemon[] = [];
  #directions: Direction[] = [];

  add(name: string): TestDaemon {
    const daemon = new TestDaemon(name);
    this.daemons.push(daemon);
    return daemon;
  }

  /** Links two daemons; `relation` is the role of the first one. */
  addLink(from: TestDaemon, to: TestDaemon, relation: PeerRelation): void {
    const opposite = getOppositeRelation(relation);
    this.#directions.push(
      { from, to, relation, sent: undefined },
      { from: to, to: from, relation: opposite, sent: undefined },
    );
  }

  /** Closes the links between two daemons, or all of one. */
  cut(daemon: TestDaemon, other?: TestDaemon): void {
    this.#directions = this.#directions.filter(({ from, to }) => {
      const isCut = (from === daemon && (to === other || !other)) ||
        (to === daemon && (from === other || !other));
      if (isCut) {
        to.exchange.removePartner(from.name);
      }
      return !isCut;
    });
  }

  crash(daemon: TestDaemon): void {
    this.cut(daemon);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      this.daemons.forEach(({ exchange }) => exchange.refresh());
      for (const direction of this.#directions) {
        const { from, to, relation } = direction;
        const report = from.exchange.getReport(relation);
        if (report !== direction.sent) {
          direction.sent = report;
          const received = JSON.parse(JSON.stringify(report));
          to.exchange.applyReport(from.name, relation, received);
        }
      }
    }
  }

  /** Describes a window as each daemon knows it. */
  describe(window: number): unknown[] {
    return this.daemons.map(({ exchange }) => {
      const { counts, daemonCount, isComplete } = exchange.getCounts(window) ??
        {};
      return [counts?.get("a"), daemonCount, isComplete];
    });
  }
}

describe("UsageExchange", () => {
  const firstWindow = 1_000;

  beforeEach(() => {
    vi.useFakeTimers();
    vi.setSystemTime(firstWindow * WINDOW_MS);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createCells() {
    const fleet = new TestFleet();
    const [hub1, hub2, m1, m2, m3] = ["h1", "h2", "m1", "m2", "m3"].map((
      name,
    ) => fleet.add(name));
    fleet.addLink(hub1, hub2, "equal");
    fleet.addLink(m1, hub1, "member");
    fleet.addLink(m2, hub1, "member");
    fleet.addLink(m3, hub2, "member");
    fleet.run(1_000);
    [hub1, hub2, m1, m2, m3].forEach((daemon, index) =>
      daemon.record(10 ** index)
    );
    return { fleet, hub1, hub2, m1, m2, m3 };
  }

  it("lets each daemon of a mesh know the total", () => {
    const fleet = new TestFleet();
    const [a, b, c] = ["a", "b", "c"].map((name) => fleet.add(name));
    fleet.addLink(a, b, "equal");
    fleet.addLink(a, c, "equal");
    fleet.addLink(b, c, "equal");
    fleet.run(2_000);
    a.record(1);
    b.record(20);
    fleet.run(3_500);
    expect(fleet.describe(firstWindow)).toEqual(
      Array(3).fill([21, 3, true]),
    );
  });

  it("lets hubs and members know the total within a second", () => {
    const { fleet } = createCells();
    fleet.run(4_000 + 1_000);
    expect(fleet.describe(firstWindow)).toEqual(
      Array(5).fill([11_111, 5, true]),
    );
  });

  // Guards against counts that two hubs add, or none, at any time of a move.
  for (let moveAtMs = 3_000; moveAtMs <= 5_500; moveAtMs += 100) {
    it(`counts a member once that moves ${moveAtMs} ms after the window began`, () => {
      const { fleet, hub1, hub2, m1 } = createCells();
      fleet.run(moveAtMs - 1_000);
      fleet.addLink(m1, hub2, "member");
      fleet.run(200);
      fleet.cut(m1, hub1);
      fleet.run(8_000 - moveAtMs);
      expect(fleet.describe(firstWindow).map((known) => (known as number[])[0]))
        .toEqual(Array(5).fill(11_111));
      fleet.run(4_000);
      expect(fleet.describe(firstWindow + 1)).toEqual(
        Array(5).fill([undefined, 5, true]),
      );
    });

    // Guards against the loss of the members' counts with their hub; those of the hub itself may be lost since its last report.
    it(`keeps the counts of the members of a hub that is killed after ${moveAtMs} ms`, () => {
      const { fleet, hub1, hub2, m1, m2 } = createCells();
      fleet.run(moveAtMs - 1_000);
      fleet.crash(hub1);
      fleet.run(300);
      fleet.addLink(m1, hub2, "member");
      fleet.addLink(m2, hub2, "member");
      fleet.run(9_000 - moveAtMs);
      for (const known of fleet.describe(firstWindow)) {
        expect([11_110, 11_111]).toContain((known as number[])[0]);
      }
    });
  }

  // Guards against the loss of all counts of a daemon that is killed within a window.
  it("keeps the counts of a killed member until a second before its end", () => {
    const { fleet, m2 } = createCells();
    fleet.run(5_000);
    m2.record(50);
    fleet.run(1_500);
    m2.record(7);
    fleet.crash(m2);
    fleet.run(4_000);
    expect(fleet.describe(firstWindow + 1)[0]).toEqual([50, 5, false]);
  });

  it("reports the counts of the current window when a daemon stops", () => {
    const { fleet, m2 } = createCells();
    fleet.run(1_050);
    m2.record(5_000);
    m2.exchange.finish();
    fleet.run(200);
    fleet.crash(m2);
    fleet.run(4_500);
    expect(fleet.describe(firstWindow)[0]).toEqual([16_111, 5, true]);
    // A daemon that has stopped is not awaited, so that the reports are not late when all daemons are replaced.
    fleet.run(5_000);
    expect(fleet.describe(firstWindow + 1)).toEqual(
      Array(4).fill([undefined, 4, true]),
    );
    // Its id must not pass between the others for ever.
    fleet.run(20_000);
    const report = fleet.daemons[0].exchange.getReport("equal");
    expect(report).toMatchObject({ s: [] });
  });

  // Guards against a window that is taken as complete while a daemon whose link has closed has not reported it.
  it("waits for a daemon that reported the window before", () => {
    const { fleet, hub1, hub2 } = createCells();
    fleet.run(4_500);
    fleet.cut(hub1, hub2);
    fleet.run(5_500);
    expect(hub2.exchange.getCounts(firstWindow + 1)?.expectedCount).toBe(5);
    expect(fleet.describe(firstWindow + 1)).toEqual([
      [undefined, 3, false],
      [undefined, 2, false],
      [undefined, 3, false],
      [undefined, 3, false],
      [undefined, 2, false],
    ]);
    fleet.addLink(hub1, hub2, "equal");
    fleet.run(2_000);
    expect(fleet.describe(firstWindow + 1)).toEqual(
      Array(5).fill([undefined, 5, true]),
    );
  });

  // Guards against the loss of a window whose report is replaced by one about the current window before it is sent.
  it("reports an ended window although more requests follow at once", () => {
    const { fleet, m1 } = createCells();
    fleet.run(3_900);
    for (let ms = 0; ms < 4_000; ms += 100) {
      m1.record(1);
      vi.advanceTimersByTime(50);
      m1.exchange.refresh();
      vi.advanceTimersByTime(50);
      m1.exchange.refresh();
    }
    fleet.run(100);
    const report = m1.exchange.getReport("member") as { w: unknown[][] };
    expect(report.w.map(([window]) => window)).toContain(firstWindow);
  });

  // Guards against reports that are sent with each notice, and against a report to a partner that changes although nothing has happened.
  it("returns the same report until it changes", () => {
    const { fleet, hub1 } = createCells();
    fleet.run(2_000);
    const report = hub1.exchange.getReport("equal");
    fleet.run(1_000);
    expect(hub1.exchange.getReport("equal")).toBe(report);
  });

  // Guards against a partner whose report stops the exchange or changes a part of the counts.
  it.each([
    null,
    "text",
    { id: "x", at: 1, s: [], w: [], e: [], t: {} },
    { id: "", at: 1, s: [], w: [], e: [], t: [] },
    { id: "x", at: 1.5, s: [], w: [], e: [], t: [] },
    { id: "x", at: 1, s: [], w: [[1, "", { a: -1 }]], e: [], t: [] },
    { id: "x", at: 1, s: [], w: [[1, "", { a: 1 }]], e: [[2, ["x"]]], t: [] },
    { id: "x", at: 1, s: [["", 1]], w: [], e: [], t: [] },
    { id: "x", at: 1, s: [], w: Array(9).fill([1, "", {}]), e: [], t: [] },
  ])("refuses the report %j", (report) => {
    const { exchange } = new TestDaemon("a");
    expect(() => exchange.applyReport("b", "member", report)).toThrow(
      NoticeSectionError,
    );
    expect(exchange.listWindows()).toEqual([]);
  });
});
