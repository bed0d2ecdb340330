import type { PeerRelation } from "../../connection/peer_notice.ts";
import type { NoticeSection } from "../notices/notice_section.ts";
import type { SharedClock } from "./shared_clock.ts";
import {
  isRetained,
  RETAINED_WINDOWS,
  type UsageCounter,
} from "./usage_counter.ts";
import { UsageLedger, type WindowCounts } from "./usage_ledger.ts";
import {
  decodeUsageNotice,
  encodeUsageNotice,
  type UsageNotice,
} from "./usage_messages.ts";

/** Share of the requests of a window that may be lost with a daemon that is killed. Together with the errors of the clocks it has to stay below 5% of an account. */
const MAX_LOST_SHARE = 0.03;
/** Time for which a hub collects the counts of several daemons before it reports them, in milliseconds. Notices of members take up to 100 ms, and windows end at different times by the error of the clocks. */
const COLLECT_MS = 300;
/** Minimum time between two reports because of new links, in milliseconds. */
const GREET_INTERVAL_MS = 1_000;
/** Number of ended windows in a report. Links deliver reports in order, so that earlier windows have arrived unless a link is new. */
const REPORTED_WINDOWS = 1;
/** Number of random characters of the id of a process. Of 420 processes, two have the same one with a probability of 3 in 100 million. */
const ID_LENGTH = 8;
const ID_RADIX = 36;

const RELATIONS: readonly PeerRelation[] = ["equal", "member", "hub"];

/** Linked daemon that takes part in the exchange. */
interface UsagePartner {
  readonly id: string;
  readonly relation: PeerRelation;
}

/**
 * Exchanges the counts of the daemons, so that each of them knows the total of each window. A member reports its counts to its hub, a hub its sums to the other hubs, and the total to its members.
 *
 * At the end of a window a daemon names the one hub whose sum is to include its counts: its hub, or itself without one. When it moves, the next hub gets the same counts and reports them as details, which count only where the sum of the named hub is missing.
 */
export class UsageExchange implements NoticeSection {
  readonly name = "usage";
  readonly #id: string;
  readonly #clock: SharedClock;
  readonly #counter: UsageCounter;
  readonly #ledger: UsageLedger;
  readonly #onChange: () => void;
  readonly #startedAtMs = performance.now();
  readonly #partners = new Map<string, UsagePartner>();
  readonly #reports = new Map<PeerRelation, unknown>();
  /** Relations whose next report contains the current window only, since the ended ones have not changed. */
  readonly #partialRelations = new Set<PeerRelation>();
  /** Monotonic time since which a report with this relation lacks a change, in milliseconds. */
  readonly #changedAtMs = new Map<PeerRelation, number>();
  #endedWindow: number;
  /** Number of daemons in the window before the last one, whose counts have arrived by its end. */
  #fleetSize = 1;
  /** Revision of the counts when they were last reported before the end of the window. */
  #partialRevision = 0;
  #partialAtMs = Number.NEGATIVE_INFINITY;
  #isGreetingDue = false;
  #greetedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Clock and counts of this daemon; `onChange` sends a notice soon.
   */
  constructor(options: {
    clock: SharedClock;
    counter: UsageCounter;
    onChange(): void;
    /** Id of the process; random by default. */
    id?: string;
  }) {
    this.#clock = options.clock;
    this.#counter = options.counter;
    this.#onChange = options.onChange;
    this.#id = options.id ?? createId();
    this.#ledger = new UsageLedger({
      id: this.#id,
      counter: options.counter,
      listLinkedIds: (relation) => this.#listLinkedIds(relation),
    });
    this.#endedWindow = this.#counter.currentWindow - 1;
  }

  getReport(relation: PeerRelation): unknown {
    if (!this.#reports.has(relation)) {
      this.#changedAtMs.delete(relation);
      this.#reports.set(relation, this.#createReport(relation));
    }
    return this.#reports.get(relation);
  }

  applyReport(partner: string, relation: PeerRelation, report: unknown): void {
    const notice = decodeUsageNotice(report);
    const known = this.#partners.get(partner);
    if (known?.id === notice.id && known.relation === relation) {
      this.#clock.recordTime(partner, relation, notice.atMs);
    } else {
      // The first report on a link may have been created long before, so that its time does not count.
      this.#partners.set(partner, { id: notice.id, relation });
      this.#isGreetingDue = true;
    }
    this.#applyWindows(notice, relation);
    for (const stop of notice.stops) {
      if (this.#ledger.recordStop(stop)) {
        this.#recordChange("equal");
        this.#recordChange("hub");
      }
    }
  }

  removePartner(name: string): void {
    if (this.#partners.delete(name)) {
      this.#clock.removePartner(name);
      // The counts of a member that has not ended its window become details.
      this.#recordChange("equal");
      this.#recordChange("hub");
    }
  }

  /** Ends the windows whose time is over, and reports what has changed. Called several times a second. */
  refresh(): void {
    this.#clock.refresh();
    const endedWindow = this.#counter.currentWindow - 1;
    if (endedWindow !== this.#endedWindow) {
      this.#finishWindows(endedWindow);
    }
    const nowMs = performance.now();
    if (
      this.#isGreetingDue && nowMs - this.#greetedAtMs >= GREET_INTERVAL_MS
    ) {
      this.#isGreetingDue = false;
      this.#greetedAtMs = nowMs;
      this.#scheduleReports(RELATIONS);
    }
    this.#reportPartialCounts(nowMs);
    this.#scheduleReports(
      [...this.#changedAtMs].filter(([relation, changedAtMs]) =>
        nowMs - changedAtMs >= COLLECT_MS || this.#hasCollected(relation)
      ).map(([relation]) => relation),
    );
  }

  /** Ends the current window early, since this daemon is about to stop. */
  finish(): void {
    this.#finishWindows(this.#counter.currentWindow);
    this.#ledger.recordStop({ id: this.#id, window: this.#endedWindow });
    this.#scheduleReports(RELATIONS);
  }

  /** Lists the windows of which any counts are known, in order. */
  listWindows(): number[] {
    return this.#ledger.listWindows();
  }

  /** Gets the counts of a window over all daemons, as far as this daemon knows them; undefined when it knows none. */
  getCounts(window: number): WindowCounts | undefined {
    return this.#ledger.getCounts(window);
  }

  #applyWindows(notice: UsageNotice, relation: PeerRelation): void {
    const { id } = notice;
    const { currentWindow } = this.#counter;
    if (relation === "member") {
      for (const window of notice.windows) {
        if (isRetained(window.window, currentWindow)) {
          this.#ledger.applyMemberWindow(id, window);
          if (window.hub !== undefined) {
            this.#recordChange("equal");
            this.#recordChange("hub");
          }
        }
      }
    } else if (relation === "equal") {
      for (const { window, entry } of notice.entries) {
        if (isRetained(window, currentWindow)) {
          this.#ledger.applyEntry(id, window, entry);
          this.#recordChange("hub");
        }
      }
    } else {
      notice.totals.filter(({ window }) => isRetained(window, currentWindow))
        .forEach((total) => this.#ledger.applyTotal(total));
    }
  }

  /** Ends the windows of this daemon up to the given one. Those before its start are left out; those that have ended before a correction of the clock are reported again with the counts that were added. */
  #finishWindows(endedWindow: number): void {
    const hub = this.#listLinkedIds("hub")[0] ?? this.#id;
    const firstWindow = Math.max(
      Math.min(this.#endedWindow + 1, endedWindow),
      this.#counter.getPastWindow(performance.now() - this.#startedAtMs),
      endedWindow - RETAINED_WINDOWS,
    );
    for (let window = firstWindow; window <= endedWindow; window++) {
      this.#ledger.finishWindow(window, hub);
    }
    this.#endedWindow = endedWindow;
    this.#fleetSize = this.getCounts(endedWindow - 1)?.daemonCount ?? 1;
    this.#counter.sweep();
    this.#ledger.sweep(endedWindow + 1);
    this.#scheduleReports(["member"]);
    this.#recordChange("equal");
    this.#recordChange("hub");
  }

  #listLinkedIds(relation: PeerRelation): string[] {
    return [...this.#partners.values()].filter((partner) =>
      partner.relation === relation
    ).map(({ id }) => id);
  }

  #recordChange(relation: PeerRelation): void {
    if (!this.#changedAtMs.has(relation)) {
      this.#changedAtMs.set(relation, performance.now());
    }
  }

  #scheduleReports(relations: readonly PeerRelation[]): void {
    if (relations.length > 0) {
      relations.forEach((relation) => {
        this.#reports.delete(relation);
        this.#changedAtMs.delete(relation);
        this.#partialRelations.delete(relation);
      });
      this.#onChange();
    }
  }

  /** Gets whether no further change of the last window is expected soon. */
  #hasCollected(relation: PeerRelation): boolean {
    return relation === "hub"
      ? this.getCounts(this.#endedWindow)?.isComplete === true
      : this.#ledger.createEntry(this.#endedWindow).pendingCount === 0;
  }

  /** Reports the counts of the current window to the hub or the other hubs of a small fleet. */
  #reportPartialCounts(nowMs: number): void {
    const { revision } = this.#counter;
    const isDue = nowMs - this.#partialAtMs >= this.#getPartialIntervalMs() &&
      revision !== this.#partialRevision;
    if (isDue) {
      this.#partialAtMs = nowMs;
      this.#partialRevision = revision;
      const relations: readonly PeerRelation[] = ["member", "equal"];
      // A change of the ended windows may not have been sent yet.
      const unchangedRelations = relations.filter((relation) =>
        !this.#changedAtMs.has(relation) &&
        (this.#reports.has(relation) || this.#partialRelations.has(relation))
      );
      this.#scheduleReports(relations);
      unchangedRelations.forEach((relation) =>
        this.#partialRelations.add(relation)
      );
    }
  }

  /** Gets the time between two reports of a window that has not ended. It is infinite in a fleet that is so large that the counts of one daemon in a whole window may be lost. */
  #getPartialIntervalMs(): number {
    const { windowMs } = this.#counter;
    const daemonCount = Math.max(this.#partners.size + 1, this.#fleetSize);
    const intervalMs = windowMs * daemonCount * MAX_LOST_SHARE;
    return intervalMs < windowMs ? intervalMs : Number.POSITIVE_INFINITY;
  }

  #createReport(relation: PeerRelation): unknown {
    const ledger = this.#ledger;
    const endedWindows = this.#listReportedWindows(relation);
    const windows = [...endedWindows, this.#endedWindow + 1];
    const isPartial = Number.isFinite(this.#getPartialIntervalMs());
    const entryWindows = isPartial ? windows : endedWindows;
    const atMs = relation === "hub" ? this.#clock.getNowMs() : Date.now();
    return encodeUsageNotice({
      id: this.#id,
      atMs: Math.round(atMs),
      stops: ledger.listStops(),
      windows: relation === "member"
        ? windows.map((window) => ledger.getOwnWindow(window))
        : [],
      entries: relation === "equal"
        ? entryWindows.map((window) => ({
          window,
          entry: ledger.createEntry(window),
        }))
        : [],
      totals: relation === "hub"
        ? endedWindows.flatMap((window) => {
          const counts = ledger.getCounts(window);
          return counts === undefined ? [] : { ...counts, window };
        })
        : [],
    });
  }

  /** Lists the ended windows to report: the last ones, and after a new link all that are retained. */
  #listReportedWindows(relation: PeerRelation): number[] {
    if (this.#partialRelations.has(relation)) {
      return [];
    }
    const isLinkNew = performance.now() - this.#greetedAtMs <
      GREET_INTERVAL_MS;
    const count = isLinkNew ? RETAINED_WINDOWS : REPORTED_WINDOWS;
    return this.listWindows().filter((window) =>
      window <= this.#endedWindow && window > this.#endedWindow - count
    );
  }
}

function createId(): string {
  return Array.from(
    { length: ID_LENGTH },
    () => Math.floor(Math.random() * ID_RADIX).toString(ID_RADIX),
  ).join("");
}
