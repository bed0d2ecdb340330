import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type AccountCounts,
  sweepWindows,
  type UsageCounter,
} from "./usage_counter.ts";
import type { KnownCounts } from "./usage_decision.ts";
import type {
  MemberWindow,
  ProcessStop,
  WindowTotal,
} from "./usage_messages.ts";
import {
  addCounts,
  combineEntries,
  type HubEntry,
  type SourceCounts,
  type UsageTotal,
} from "./usage_total.ts";

/** Number of windows after the stop of a process for which it is known to have stopped. The window after that of the stop has to be known as complete without it. */
const STOP_RETENTION_WINDOWS = 3;

/** Counts of one window over all daemons that this daemon knows. */
export interface WindowCounts extends KnownCounts {
  readonly counts: AccountCounts;
}

/** Counts of the retained windows as this daemon and its partners have reported them. */
export class UsageLedger {
  readonly #id: string;
  readonly #counter: UsageCounter;
  readonly #listLinkedIds: (relation: PeerRelation) => string[];
  /** Hub that each ended window of this daemon names. */
  readonly #ownHubs = new Map<number, string>();
  /** Counts of the members, by window and id. */
  readonly #memberWindows = new Map<number, Map<string, MemberWindow>>();
  /** Entries of the other hubs, by window and id. */
  readonly #hubEntries = new Map<number, Map<string, HubEntry>>();
  /** Totals that the hub has reported. */
  readonly #hubTotals = new Map<number, WindowTotal>();
  /** Last window of each process that has stopped. */
  readonly #stops = new Map<string, number>();

  /**
   * @param options - Id and counts of this daemon; `listLinkedIds` lists the ids of the linked daemons that have a relation to it.
   */
  constructor(options: {
    id: string;
    counter: UsageCounter;
    listLinkedIds(relation: PeerRelation): string[];
  }) {
    this.#id = options.id;
    this.#counter = options.counter;
    this.#listLinkedIds = options.listLinkedIds;
  }

  /** Finishes a window of this daemon, whose counts the sum of the named hub is to include. The hub stays the same when the window ends again after a correction of the clock. */
  finishWindow(window: number, hub: string): void {
    if (!this.#ownHubs.has(window)) {
      this.#ownHubs.set(window, hub);
    }
  }

  /** Applies the counts of a member. */
  applyMemberWindow(id: string, window: MemberWindow): void {
    getOrAdd(this.#memberWindows, window.window).set(id, window);
  }

  /** Applies the entry of another hub. */
  applyEntry(id: string, window: number, entry: HubEntry): void {
    getOrAdd(this.#hubEntries, window).set(id, entry);
  }

  /** Applies a total of the hub, unless one of more daemons is known. */
  applyTotal(total: WindowTotal): void {
    const known = this.#hubTotals.get(total.window);
    if (known === undefined || total.daemonCount >= known.daemonCount) {
      this.#hubTotals.set(total.window, total);
    }
  }

  /** Records that a process has reported its last window. Returns whether this is new. */
  recordStop({ id, window }: ProcessStop): boolean {
    const isNew = !this.#stops.has(id) &&
      this.#isStopRetained(window, this.#counter.currentWindow);
    if (isNew) {
      this.#stops.set(id, window);
    }
    return isNew;
  }

  /** Lists the processes that have stopped in the last windows. */
  listStops(): ProcessStop[] {
    return [...this.#stops].map(([id, window]) => ({ id, window }));
  }

  /** Removes the windows that are no longer needed. */
  sweep(currentWindow: number): void {
    sweepWindows(this.#ownHubs, currentWindow);
    sweepWindows(this.#memberWindows, currentWindow);
    sweepWindows(this.#hubEntries, currentWindow);
    sweepWindows(this.#hubTotals, currentWindow);
    for (const [id, window] of this.#stops) {
      if (!this.#isStopRetained(window, currentWindow)) {
        this.#stops.delete(id);
      }
    }
  }

  /** Lists the windows of which any counts are known, in order. */
  listWindows(): number[] {
    const windows = new Set([
      ...this.#ownHubs.keys(),
      ...this.#hubEntries.keys(),
      ...this.#hubTotals.keys(),
      ...this.#memberWindows.keys(),
    ]);
    return [...windows].sort((a, b) => a - b);
  }

  /** Gets the counts of this daemon in a window. */
  getOwnWindow(window: number): MemberWindow {
    return {
      window,
      hub: this.#ownHubs.get(window),
      counts: this.#counter.getCounts(window),
    };
  }

  /** Creates the entry of this daemon and its present and former members for a window. */
  createEntry(window: number): HubEntry {
    const sources: string[] = [];
    const sum = new Map<string, number>();
    const details: SourceCounts[] = [];
    const waitingIds = new Set(this.#listLinkedIds("member"));
    for (const [source, { hub, counts }] of this.#listSources(window)) {
      const isFinal = hub !== undefined;
      if (hub === this.#id) {
        sources.push(source);
        addCounts(sum, counts);
      } else if (isFinal || !waitingIds.has(source)) {
        details.push({ source, isFinal, counts });
      }
      if (isFinal) {
        waitingIds.delete(source);
      }
    }
    const isOwnPending = !this.#ownHubs.has(window);
    return {
      sources,
      sum,
      details,
      pendingCount: waitingIds.size + (isOwnPending ? 1 : 0),
    };
  }

  /** Gets the counts of a window as far as this daemon knows them. The total of the hub is used unless this daemon knows those of more daemons, or of as many since it has no hub any more. */
  getCounts(window: number): WindowCounts | undefined {
    const total = this.#combineWindow(window);
    const hubTotal = this.#hubTotals.get(window);
    const expectedCount = Math.max(
      this.#combineWindow(window - 1).sources.size,
      this.#hubTotals.get(window - 1)?.daemonCount ?? 0,
    );
    const minHubCount = this.#listLinkedIds("hub").length > 0
      ? total.sources.size
      : total.sources.size + 1;
    if (hubTotal !== undefined && hubTotal.daemonCount >= minHubCount) {
      return { ...hubTotal, expectedCount };
    }
    return total.sources.size === 0 ? undefined : {
      counts: total.counts,
      daemonCount: total.sources.size,
      expectedCount,
      isComplete: this.#isComplete(window, total),
    };
  }

  #isStopRetained(window: number, currentWindow: number): boolean {
    return window >= currentWindow - STOP_RETENTION_WINDOWS &&
      window <= currentWindow + 1;
  }

  /** Lists the counts of this daemon and of its present and former members. */
  #listSources(window: number): [source: string, counts: MemberWindow][] {
    const own = this.getOwnWindow(window);
    const members = [...this.#memberWindows.get(window) ?? []];
    return own.hub === undefined && own.counts.size === 0
      ? members
      : [...members, [this.#id, own]];
  }

  #combineWindow(window: number): UsageTotal {
    const entries = this.#hubEntries.get(window)?.values() ?? [];
    return combineEntries([this.createEntry(window), ...entries]);
  }

  /** Gets whether all linked daemons have reported a window, and all others that reported the one before it, which may only have lost a link, unless they have stopped. */
  #isComplete(window: number, { finalSources }: UsageTotal): boolean {
    const entries = this.#hubEntries.get(window);
    const previousCount = this.#hubTotals.get(window - 1)?.daemonCount ?? 0;
    return this.#listLinkedIds("hub").length === 0 &&
      finalSources.size >= previousCount - this.#stops.size &&
      this.#listLinkedIds("equal").every((id) =>
        entries?.get(id)?.pendingCount === 0
      ) &&
      this.createEntry(window).pendingCount === 0 &&
      [...this.#combineWindow(window - 1).sources].every((source) =>
        finalSources.has(source) || this.#stops.has(source)
      );
  }
}

function getOrAdd<T>(
  windows: Map<number, Map<string, T>>,
  window: number,
): Map<string, T> {
  const known = windows.get(window);
  if (known !== undefined) {
    return known;
  }
  const added = new Map<string, T>();
  windows.set(window, added);
  return added;
}
