import type { CrashNotice } from "../../connection/peer_notice.ts";

/** Lost groups after which a request counts as their cause. Two coincide with ordinary losses too often where servers fail every few seconds. */
const MAX_CRASHES = 3;
/** Time for which a crash counts, in milliseconds: callers repeat such a request within it. */
const MEMORY_MS = 60_000;
/** Time for which peers are told of a crash, in milliseconds: several exchanges. */
const TELL_MS = 1_500;
/** Requests that are remembered; the oldest are forgotten first. */
const MAX_REQUESTS = 2_000;

/** Counts the groups that crashed while they ran a request, over all daemons, and finds the requests that crash whatever runs them. */
export class CrashLedger {
  readonly #crashes = new Map<string, Map<string, number>>();
  readonly #recent: { notice: CrashNotice; atMs: number }[] = [];

  /** Gets whether a request has crashed so many groups that it is refused. */
  isRefused(fingerprint: string): boolean {
    const oldestMs = performance.now() - MEMORY_MS;
    const times = [...this.#crashes.get(fingerprint)?.values() ?? []];
    return times.filter((atMs) => atMs >= oldestMs).length >= MAX_CRASHES;
  }

  /** Records a crash that this daemon saw. */
  recordCrash(notice: CrashNotice): void {
    this.applyNotice(notice);
  }

  /** Forgets the crashes of a request that was answered. */
  recordSuccess(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
  }

  /** Takes a crash that a peer told; news is passed on to others. */
  applyNotice({ fingerprint, groupKey }: CrashNotice): void {
    const groups = this.#crashes.get(fingerprint) ?? new Map<string, number>();
    if (!groups.has(groupKey)) {
      groups.set(groupKey, performance.now());
      this.#recent.push({
        notice: { fingerprint, groupKey },
        atMs: performance.now(),
      });
    }
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, groups);
    const [oldest] = this.#crashes.keys();
    if (this.#crashes.size > MAX_REQUESTS) {
      this.#crashes.delete(oldest);
    }
  }

  /** Lists the crashes that peers are to be told. */
  listRecent(): CrashNotice[] {
    const oldestMs = performance.now() - TELL_MS;
    while (this.#recent.length > 0 && this.#recent[0].atMs < oldestMs) {
      this.#recent.shift();
    }
    return this.#recent.map(({ notice }) => notice);
  }
}
