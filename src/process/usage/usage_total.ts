import type { AccountCounts } from "./usage_counter.ts";

/** Counts of one process of a daemon in one window. */
export interface SourceCounts {
  /** Id of the process. */
  readonly source: string;
  /** Whether the window has ended for the process. */
  readonly isFinal: boolean;
  readonly counts: AccountCounts;
}

/** Counts of one window as a hub reports them. */
export interface HubEntry {
  /** Processes whose final counts are in the sum. Each process names one hub for a window, so none is in the sums of two hubs. */
  readonly sources: readonly string[];
  readonly sum: AccountCounts;
  /** Counts of processes that named another hub, or that have not ended the window and are no longer linked. */
  readonly details: readonly SourceCounts[];
  /** Number of linked processes whose final counts the hub still waits for. */
  readonly pendingCount: number;
}

/** Counts of one window over all daemons. */
export interface UsageTotal {
  readonly counts: AccountCounts;
  /** Processes whose counts are included. */
  readonly sources: ReadonlySet<string>;
  /** Processes whose final counts are included. */
  readonly finalSources: ReadonlySet<string>;
}

/**
 * Combines the entries of hubs for one window, so that each process is counted once. Load pattern: traffic goes on while daemons change their hub or links close, so that the counts of one daemon reach the others through two hubs.
 *
 * A process in the sum of a hub is final there, and its details at other hubs are left out. Of several details of one process, the largest is used: counts only grow, so that it is the latest.
 *
 * @example
 * ```ts
 * const { counts } = combineEntries([ownEntry, ...otherHubs]);
 * ```
 */
export function combineEntries(entries: Iterable<HubEntry>): UsageTotal {
  const counts = new Map<string, number>();
  const sources = new Set<string>();
  const details = new Map<string, SourceCounts>();
  for (const entry of entries) {
    addCounts(counts, entry.sum);
    entry.sources.forEach((source) => sources.add(source));
    for (const detail of entry.details) {
      const known = details.get(detail.source);
      if (known === undefined || isLater(detail, known)) {
        details.set(detail.source, detail);
      }
    }
  }
  const finalSources = new Set(sources);
  for (const detail of details.values()) {
    if (!sources.has(detail.source)) {
      addCounts(counts, detail.counts);
      sources.add(detail.source);
      if (detail.isFinal) {
        finalSources.add(detail.source);
      }
    }
  }
  return { counts, sources, finalSources };
}

/** Adds counts to a sum. */
export function addCounts(
  sum: Map<string, number>,
  counts: AccountCounts,
): void {
  for (const [account, count] of counts) {
    sum.set(account, (sum.get(account) ?? 0) + count);
  }
}

/** Counts the requests of all accounts. */
export function countRequests(counts: AccountCounts): number {
  let requests = 0;
  for (const count of counts.values()) {
    requests += count;
  }
  return requests;
}

function isLater(detail: SourceCounts, known: SourceCounts): boolean {
  return detail.isFinal === known.isFinal
    ? countRequests(detail.counts) > countRequests(known.counts)
    : detail.isFinal;
}
