import type { CrashNotice } from "../../connection/peer_notice.ts";

/** Lost groups after which a request counts as their cause. Two coincide with ordinary losses too often where servers fail every few seconds. */
const CRASH_THRESHOLD = 3;
/** Time for which a crash counts, in milliseconds: callers repeat such a request within it. */
const CRASH_WINDOW_MS = 60_000;
/** Time for which peers are told of a crash, in milliseconds: several exchanges. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Requests that are remembered; the oldest are forgotten first. */
const MAX_TRACKED_REQUESTS = 2_000;

/** Counts the groups that crashed while they ran a request, over all daemons, and finds the requests that crash whatever runs them. */
export class CrashCounter {
  readonly #crashTimes = new Map<string, Map<string, number>>();
  readonly #recentCrashes: { notice: CrashNotice; atMs: number }[] = [];

  /** Gets whether a request has crashed so many groups that it is refused. */
  isRefused(fingerprint: string): boolean {
    const oldestMs = performance.now() - CRASH_WINDOW_MS;
    const times = [...this.#crashTimes.get(fingerprint)?.values() ?? []];
    return times.filter((atMs) => atMs >= oldestMs).length >= CRASH_THRESHOLD;
  }

  /** Records a crash that this daemon saw. */
  recordCrash(notice: CrashNotice): void {
    this.applyNotice(notice);
  }

  /** Forgets the crashes of a request that was answered. */
  recordSuccess(fingerprint: string): void {
    this.#crashTimes.delete(fingerprint);
  }

  /** Takes a crash that a peer told; news is passed on to others. */
  applyNotice({ fingerprint, groupKey }: CrashNotice): void {
    const groups = this.#crashTimes.get(fingerprint) ??
      new Map<string, number>();
    if (!groups.has(groupKey)) {
      groups.set(groupKey, performance.now());
      this.#recentCrashes.push({
        notice: { fingerprint, groupKey },
        atMs: performance.now(),
      });
    }
    this.#crashTimes.delete(fingerprint);
    this.#crashTimes.set(fingerprint, groups);
    const [oldest] = this.#crashTimes.keys();
    if (this.#crashTimes.size > MAX_TRACKED_REQUESTS) {
      this.#crashTimes.delete(oldest);
    }
  }

  /** Lists the crashes that peers are to be told. */
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
