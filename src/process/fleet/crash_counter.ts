import type { CrashNotice } from "../../connection/peer_notice.ts";

/** Number of crashes at which a request counts as their cause. With a threshold of two, unrelated crashes would too often affect the same request twice where servers fail every few seconds. */
const CRASH_THRESHOLD = 3;
/** Time for which a crash counts, in milliseconds. Callers retry a failed request within this time. */
const CRASH_WINDOW_MS = 60_000;
/** Time for which notices to peers include a completion, in milliseconds; spans several exchanges. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Number of requests whose crashes are stored. */
const MAX_TRACKED_REQUESTS = 2_000;
/** Number of crashes of one request that are stored. The oldest is evicted first. */
const MAX_CRASHES_PER_REQUEST = 6;
/** Number of requests whose completion is stored. The oldest is evicted first. */
const MAX_COMPLETIONS = 2_000;

/** Crash of a group or server while it ran a request. */
export interface RequestCrash extends Omit<CrashNotice, "ageMs"> {
  /** Monotonic time of the crash, in milliseconds. */
  readonly atMs: number;
}

/** Detects poison requests, which crash every group or server that runs them, by counting the crashes while they ran, over all daemons. */
export class CrashCounter {
  /** Monotonic times of the crashes in milliseconds by request fingerprint, then by the key of the group or the server's process. Requests are in order of their last crash. */
  readonly #crashes = new Map<string, Map<string, number>>();
  /** Monotonic time of the last completion of suspected requests, in milliseconds. A peer may report a crash from before it later. */
  readonly #completedAtMs = new Map<string, number>();
  readonly #recentCompletions = new RecentEntries<string>();
  /** Crashes that notices to peers describe; undefined after a change. */
  #report: readonly RequestCrash[] | undefined;
  /** Monotonic time after which a crash of the report no longer counts, in milliseconds. */
  #reportExpiresAtMs = Number.POSITIVE_INFINITY;

  /** Gets whether no crash is recorded, so that no request is refused. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** Gets whether a request is to be refused because of `CRASH_THRESHOLD` crashes. */
  isRefused(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= CRASH_THRESHOLD;
  }

  /** Gets the number of groups and servers that recently crashed while they ran a request. */
  countCrashes(fingerprint: string): number {
    const oldestMs = performance.now() - CRASH_WINDOW_MS;
    const times = [...this.#crashes.get(fingerprint)?.values() ?? []];
    return times.filter((atMs) => atMs >= oldestMs).length;
  }

  /** Records a crash that this daemon observed. */
  recordCrash(crash: Omit<CrashNotice, "ageMs">): void {
    this.applyNotice({ ...crash, ageMs: 0 });
  }

  /** Discards the crashes of a request that has completed, at this daemon or at a peer. Peers are told if there were any. */
  recordSuccess(fingerprint: string): void {
    if (this.#crashes.delete(fingerprint)) {
      this.#report = undefined;
      this.#recentCompletions.add(fingerprint);
      this.#completedAtMs.delete(fingerprint);
      this.#completedAtMs.set(fingerprint, performance.now());
      const [oldestFingerprint] = this.#completedAtMs.keys();
      if (this.#completedAtMs.size > MAX_COMPLETIONS) {
        this.#completedAtMs.delete(oldestFingerprint);
      }
    }
  }

  /** Records a crash from a peer's notice. A crash that was not known yet is included in the notices to other peers. */
  applyNotice({ fingerprint, groupKey, ageMs = 0 }: CrashNotice): void {
    const nowMs = performance.now();
    const atMs = nowMs - ageMs;
    const completedAtMs = this.#completedAtMs.get(fingerprint) ??
      Number.NEGATIVE_INFINITY;
    const groups = this.#crashes.get(fingerprint) ?? new Map<string, number>();
    if (
      groups.has(groupKey) || atMs <= completedAtMs ||
      ageMs > CRASH_WINDOW_MS
    ) {
      return;
    }
    groups.set(groupKey, atMs);
    if (groups.size > MAX_CRASHES_PER_REQUEST) {
      groups.delete(findOldestKey(groups));
    }
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, groups);
    this.#removeExpired(nowMs);
    this.#report = undefined;
  }

  /** Gets all crashes that count, for notices to peers. */
  getReport(): readonly RequestCrash[] {
    const nowMs = performance.now();
    if (this.#report === undefined || nowMs > this.#reportExpiresAtMs) {
      this.#removeExpired(nowMs);
      this.#report = this.#createReport(nowMs - CRASH_WINDOW_MS);
      const timesMs = this.#report.map(({ atMs }) => atMs);
      this.#reportExpiresAtMs = Math.min(...timesMs) + CRASH_WINDOW_MS;
    }
    return this.#report;
  }

  #createReport(oldestMs: number): RequestCrash[] {
    return [...this.#crashes].flatMap(([fingerprint, groups]) =>
      [...groups].filter(([, atMs]) => atMs >= oldestMs)
        .map(([groupKey, atMs]) => ({ fingerprint, groupKey, atMs }))
    );
  }

  /** Lists the fingerprints of the suspected requests that have recently completed, to be sent to peers. */
  listRecentCompletions(): string[] {
    return this.#recentCompletions.list();
  }

  /** Removes requests whose crashes no longer count, and the oldest request beyond the limit, if possible one that is not refused. */
  #removeExpired(nowMs: number): void {
    for (const [fingerprint, groups] of this.#crashes) {
      if (Math.max(...groups.values()) < nowMs - CRASH_WINDOW_MS) {
        this.#crashes.delete(fingerprint);
      }
    }
    if (this.#crashes.size > MAX_TRACKED_REQUESTS) {
      const fingerprints = [...this.#crashes.keys()];
      this.#crashes.delete(
        fingerprints.find((key) => !this.isRefused(key)) ?? fingerprints[0],
      );
    }
  }
}

function findOldestKey(timesMs: ReadonlyMap<string, number>): string {
  const [[oldestKey]] = [...timesMs].sort(([, a], [, b]) => a - b);
  return oldestKey;
}

/** Entries of the last `ANNOUNCE_PERIOD_MS`, in order of arrival. */
class RecentEntries<T> {
  readonly #entries: { readonly value: T; readonly atMs: number }[] = [];

  add(value: T): void {
    this.#entries.push({ value, atMs: performance.now() });
  }

  list(): T[] {
    const oldestMs = performance.now() - ANNOUNCE_PERIOD_MS;
    while (this.#entries.length > 0 && this.#entries[0].atMs < oldestMs) {
      this.#entries.shift();
    }
    return this.#entries.map(({ value }) => value);
  }
}
