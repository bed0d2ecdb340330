import type { CrashNotice } from "../../connection/peer_notice.ts";

/** Number of crashes within `CRASH_WINDOW_MS` at which a request counts as their cause. With a threshold of two, unrelated crashes would too often affect the same request twice where servers fail every few seconds. */
const CRASH_THRESHOLD = 3;
/** Time within which crashes count together, and for which a request is refused after them, in milliseconds. Callers retry a failed request within this time. */
const CRASH_WINDOW_MS = 60_000;
/** Factor by which the time for which a request is refused grows with each failed trial. */
const REFUSAL_GROWTH = 2;
/** Time after its last crash for which a request that was refused runs as a trial only, in milliseconds. */
const PROBATION_MS = 600_000;
/** Time after the begin of a trial for which other requests with the same fingerprint are refused, in milliseconds. */
const TRIAL_MS = 10_000;
/** Time for which notices to peers include a completion, in milliseconds; spans several exchanges. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Number of requests whose crashes are stored. */
const MAX_TRACKED_REQUESTS = 2_000;
/** Number of crashes of one request that are stored. */
const MAX_CRASHES_PER_REQUEST = 6;
/** Number of requests whose completion is stored. The oldest is evicted first. */
const MAX_COMPLETIONS = 2_000;

/** Crash of a group or server while it ran a request. */
export interface RequestCrash extends Omit<CrashNotice, "ageMs"> {
  /** Monotonic time of the crash, in milliseconds. */
  readonly atMs: number;
}

/** Run of a request on probation. */
interface Trial {
  readonly requestId: string;
  /** Monotonic time after which another trial may begin, in milliseconds. */
  readonly endsAtMs: number;
}

/**
 * Detects poison requests, which crash every group or server that runs them, by counting the crashes while they ran, over all daemons.
 *
 * A request with `CRASH_THRESHOLD` crashes is refused for `CRASH_WINDOW_MS`, and twice as long after each trial that crashes a server. Then it is on probation: each daemon runs one request at a time as a trial, until one completes.
 */
export class CrashCounter {
  /** Monotonic times of the crashes in milliseconds by request fingerprint, then by the key of the group or the server's process. Requests are in the order in which their last crash became known. */
  readonly #crashes = new Map<string, Map<string, number>>();
  /** Last trial of requests on probation, by fingerprint. */
  readonly #trials = new Map<string, Trial>();
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

  /**
   * Gets whether a request is to be refused because of its crashes. On probation, the first request that asks is allowed as the trial.
   *
   * @param fingerprint - Identifies the content of the request.
   * @param requestId - Identifies this request among those with the same content.
   */
  isRefused(fingerprint: string, requestId: string): boolean {
    const timesMs = this.#getCrashTimesMs(fingerprint);
    const nowMs = performance.now();
    if (!isSuspicious(timesMs) || nowMs > getExpiryMs(timesMs)) {
      return false;
    }
    return nowMs < getRefusalEndMs(timesMs) ||
      !this.#acquireTrial(fingerprint, requestId, nowMs);
  }

  /** Gets the number of groups and servers that crashed while they ran a request. */
  countCrashes(fingerprint: string): number {
    return this.#getCrashTimesMs(fingerprint).length;
  }

  /** Records a crash that this daemon observed. */
  recordCrash(crash: Omit<CrashNotice, "ageMs">): void {
    this.#removeExpired(performance.now());
    this.applyNotice({ ...crash, ageMs: 0 });
  }

  /** Discards the crashes of a request that has completed, at this daemon or at a peer. Peers are told if there were any. */
  recordSuccess(fingerprint: string): void {
    if (this.#crashes.delete(fingerprint)) {
      this.#report = undefined;
      this.#trials.delete(fingerprint);
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
    const atMs = performance.now() - ageMs;
    const completedAtMs = this.#completedAtMs.get(fingerprint) ??
      Number.NEGATIVE_INFINITY;
    const groups = this.#crashes.get(fingerprint) ?? new Map<string, number>();
    if (groups.has(groupKey) || atMs <= completedAtMs) {
      return;
    }
    groups.set(groupKey, atMs);
    if (groups.size > MAX_CRASHES_PER_REQUEST) {
      groups.delete(findDispensableKey(groups));
    }
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, groups);
    this.#removeExcess();
    this.#report = undefined;
  }

  /** Gets all crashes that count, for notices to peers. */
  getReport(): readonly RequestCrash[] {
    const nowMs = performance.now();
    if (this.#report === undefined || nowMs > this.#reportExpiresAtMs) {
      this.#removeExpired(nowMs);
      this.#report = [...this.#crashes].flatMap(([fingerprint, groups]) =>
        [...groups].map(([groupKey, atMs]) => ({ fingerprint, groupKey, atMs }))
      );
      this.#reportExpiresAtMs = Math.min(
        ...[...this.#crashes.keys()].map((fingerprint) =>
          getExpiryMs(this.#getCrashTimesMs(fingerprint))
        ),
      );
    }
    return this.#report;
  }

  /** Lists the fingerprints of the suspected requests that have recently completed, to be sent to peers. */
  listRecentCompletions(): string[] {
    return this.#recentCompletions.list();
  }

  /** Gets the times of a request's crashes in ascending order, in milliseconds. */
  #getCrashTimesMs(fingerprint: string): number[] {
    return [...this.#crashes.get(fingerprint)?.values() ?? []]
      .sort((a, b) => a - b);
  }

  /** Allows a request as the trial if no other one is running. */
  #acquireTrial(
    fingerprint: string,
    requestId: string,
    nowMs: number,
  ): boolean {
    const trial = this.#trials.get(fingerprint);
    if (trial === undefined || nowMs >= trial.endsAtMs) {
      this.#trials.set(fingerprint, { requestId, endsAtMs: nowMs + TRIAL_MS });
      return true;
    }
    return trial.requestId === requestId;
  }

  /** Removes requests whose crashes no longer count. */
  #removeExpired(nowMs: number): void {
    for (const fingerprint of this.#crashes.keys()) {
      if (nowMs > getExpiryMs(this.#getCrashTimesMs(fingerprint))) {
        this.#removeRequest(fingerprint);
      }
    }
  }

  /** Removes the oldest request beyond the limit, if possible one that is not suspicious. */
  #removeExcess(): void {
    if (this.#crashes.size > MAX_TRACKED_REQUESTS) {
      const fingerprints = [...this.#crashes.keys()];
      this.#removeRequest(
        fingerprints.find((fingerprint) =>
          !isSuspicious(this.#getCrashTimesMs(fingerprint))
        ) ?? fingerprints[0],
      );
    }
  }

  #removeRequest(fingerprint: string): void {
    this.#crashes.delete(fingerprint);
    this.#trials.delete(fingerprint);
    this.#report = undefined;
  }
}

/** Gets whether `CRASH_THRESHOLD` of the crashes, given by ascending times, lie within `CRASH_WINDOW_MS`. */
function isSuspicious(timesMs: readonly number[]): boolean {
  return timesMs.some((atMs, i) =>
    i >= CRASH_THRESHOLD - 1 &&
    atMs - timesMs[i - CRASH_THRESHOLD + 1] <= CRASH_WINDOW_MS
  );
}

/** Gets the time until which a suspicious request is refused, in milliseconds. */
function getRefusalEndMs(timesMs: readonly number[]): number {
  // A crash that comes so late is that of a trial.
  const failedTrials =
    timesMs.filter((atMs, i) =>
      i >= CRASH_THRESHOLD && atMs - timesMs[i - 1] >= CRASH_WINDOW_MS
    ).length;
  return timesMs[timesMs.length - 1] +
    CRASH_WINDOW_MS * REFUSAL_GROWTH ** failedTrials;
}

/** Gets the time after which the crashes of a request, given by ascending times, no longer count, in milliseconds. */
function getExpiryMs(timesMs: readonly number[]): number {
  return timesMs[timesMs.length - 1] +
    (isSuspicious(timesMs) ? PROBATION_MS : CRASH_WINDOW_MS);
}

/** Finds the crash that is evicted: the oldest one that is not needed to show that the request is suspicious. */
function findDispensableKey(groups: ReadonlyMap<string, number>): string {
  const entries = [...groups].sort(([, a], [, b]) => a - b);
  const firstTimesMs = entries.slice(0, CRASH_THRESHOLD)
    .map(([, atMs]) => atMs);
  const [key] = entries[isSuspicious(firstTimesMs) ? CRASH_THRESHOLD : 0];
  return key;
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
