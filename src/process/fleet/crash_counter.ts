import type { CrashNotice } from "../../connection/peer_notice.ts";

/** Number of lost groups at which a request counts as the cause of the losses. With a threshold of two, unrelated losses would too often affect the same request twice where servers fail every few seconds. */
const CRASH_THRESHOLD = 3;
/** Time for which a crash counts, in milliseconds. Callers retry a failed request within this time. */
const CRASH_WINDOW_MS = 60_000;
/** Time for which notices to peers include a crash, in milliseconds; spans several exchanges. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Number of requests whose crashes are stored. The request whose last crash is the oldest is evicted first. */
const MAX_TRACKED_REQUESTS = 2_000;

/** Detects poison requests, which crash every group that runs them, by counting the groups that crashed while running a request, over all daemons. */
export class CrashCounter {
  /** Monotonic times of the crashes by request fingerprint, then by group key. */
  readonly #crashes = new Map<string, Map<string, number>>();
  readonly #recentCrashes: { notice: CrashNotice; atMs: number }[] = [];

  /** Gets whether a request is to be refused because it crashed `CRASH_THRESHOLD` groups. */
  isRefused(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= CRASH_THRESHOLD;
  }

  /** Gets the number of groups that recently crashed while running a request. */
  countCrashes(fingerprint: string): number {
    const oldestMs = performance.now() - CRASH_WINDOW_MS;
    const times = [...this.#crashes.get(fingerprint)?.values() ?? []];
    return times.filter((atMs) => atMs >= oldestMs).length;
  }

  /** Records a crash that this daemon observed. */
  recordCrash(notice: CrashNotice): void {
    this.applyNotice(notice);
  }

  /** Discards the crashes of a request that has completed. */
  recordSuccess(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
  }

  /** Records a crash from a peer's notice. A crash that was not known yet is included in the notices to other peers. */
  applyNotice({ fingerprint, groupKey }: CrashNotice): void {
    const groups = this.#crashes.get(fingerprint) ?? new Map<string, number>();
    if (!groups.has(groupKey)) {
      groups.set(groupKey, performance.now());
      this.#recentCrashes.push({
        notice: { fingerprint, groupKey },
        atMs: performance.now(),
      });
    }
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, groups);
    const [oldestFingerprint] = this.#crashes.keys();
    if (this.#crashes.size > MAX_TRACKED_REQUESTS) {
      this.#crashes.delete(oldestFingerprint);
    }
  }

  /** Lists the recent crashes, to be sent to peers. */
  listRecentCrashes(): CrashNotice[] {
    const oldestMs = performance.now() - ANNOUNCE_PERIOD_MS;
    while (
      this.#recentCrashes.length > 0 && this.#recentCrashes[0].atMs < oldestMs
    ) {
      this.#recentCrashes.shift();
    }
    return this.#recentCrashes.map(({ notice }) => notice);
  }
}
