import { delay } from "../shared/delay.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import {
  MAX_QUARANTINE_ENTRIES,
  type QuarantineEntry,
  type QuarantineLoss,
  type QuarantineState,
} from "./quarantine_state.ts";

/** Time for which a request stays a suspect after a loss, in milliseconds. */
const SUSPECT_DURATION_MS = 600_000;

/** List of the requests that are refused because they crashed the groups that ran them. Requests are identified by fingerprint. */
export interface QuarantineList {
  /**
   * Gets whether a request is quarantined and has to be refused.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  isQuarantined(fingerprint: string): boolean;
  /**
   * Gets whether a request was running on a group that was lost recently, so that it has to run alone on its next group.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  isSuspect(fingerprint: string): boolean;
  /**
   * Waits until it is decided whether to quarantine a request. Resolves at once unless the known losses would quarantine the request while peers may still report other requests that were running on the lost groups.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param signal - Ends the wait early when it is aborted.
   */
  waitForDecision(fingerprint: string, signal: AbortSignal): Promise<void>;
  /**
   * Records the loss of a group and the requests that were running on it.
   *
   * @param loss - Loss and fingerprints of the requests.
   */
  recordLoss(loss: GroupLoss): void;
  /**
   * Records that a suspect ran alone without a loss of its group. The request is then no longer a suspect.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  recordSafeRun(fingerprint: string): void;
  /**
   * Ends the quarantine of a request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns Whether the request was quarantined.
   */
  clear(fingerprint: string): boolean;
  /** Gets the quarantined requests. */
  getQuarantined(): QuarantinedRequest[];
  /** Gets the state to send to peers and the store. */
  getState(): QuarantineState;
  /** Gets a digest of the state without ages. Daemons with equal states get equal digests. */
  getDigest(): number;
  /**
   * Merges the state of a peer or of the store.
   *
   * @param state - State to merge. The merge is idempotent.
   * @returns Whether the list changed.
   */
  merge(state: QuarantineState): boolean;
  /**
   * Registers a listener for every change.
   *
   * @param listener - Called after each change.
   */
  onChange(listener: () => void): void;
}

/** Quarantined request as shown to operators. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  /** Groups that were lost while they ran the request. Losses are kept for a limited time only. */
  readonly groups: readonly string[];
  /** Time until the request is accepted again, in milliseconds. */
  readonly expiresInMs: number;
}

/** Loss of a group, with the requests that were running on it. */
export interface GroupLoss {
  /** Identifier of the loss, which is the same at all daemons. It begins with the identifier of the group and `@`. */
  readonly lossId: string;
  readonly fingerprints: readonly string[];
  /** Whether a suspect was the only request on the group. */
  readonly alone: boolean;
}

interface LocalEntry {
  readonly revision: number;
  readonly state: QuarantineEntry["state"];
  /** Monotonic time of the last change, in milliseconds. */
  readonly atMs: number;
}

interface LocalLoss {
  readonly groupId: string;
  /** Revision of each request's entry when the group was lost, by fingerprint. */
  readonly revisions: Map<string, number>;
  alone: boolean;
  /** Monotonic time of the loss, in milliseconds. */
  readonly atMs: number;
}

/** Quarantine list that is kept in the memory of one process. */
export class LocalQuarantineList implements QuarantineList {
  readonly #expiryMs: number;
  readonly #decisionDelayMs: number;
  /** Monotonic time at which the decision about a request is due, by fingerprint, in milliseconds. Contains the requests that the known losses would quarantine. */
  readonly #decisionTimesMs = new Map<string, number>();
  readonly #entries = new Map<string, LocalEntry>();
  readonly #losses = new Map<string, LocalLoss>();
  readonly #listeners: (() => void)[] = [];

  /** @param options - Time for which a request stays quarantined, and time after a loss for which a decision waits for reports of peers, in milliseconds. */
  constructor(options: { expiryMs: number; decisionDelayMs: number }) {
    this.#expiryMs = options.expiryMs;
    this.#decisionDelayMs = options.decisionDelayMs;
  }

  isQuarantined(fingerprint: string): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry?.state === "quarantined" && !this.#isExpired(entry);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#losses.size > 0 && this.#getLosses(fingerprint).length > 0;
  }

  async waitForDecision(
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      const decisionAtMs = this.#decisionTimesMs.get(fingerprint);
      if (decisionAtMs === undefined || this.isQuarantined(fingerprint)) {
        return;
      }
      const waitMs = Math.max(1, decisionAtMs - performance.now());
      if (!await delay(waitMs, signal)) {
        return;
      }
    }
  }

  recordLoss(loss: GroupLoss): void {
    const hasChanged = this.#mergeLoss({
      lossId: loss.lossId,
      members: loss.fingerprints.map((fingerprint) => ({
        fingerprint,
        revision: this.#getRevision(fingerprint),
      })),
      alone: loss.alone,
      ageMs: 0,
    });
    if (hasChanged) {
      this.#updateQuarantine(loss.fingerprints);
      this.#publishChange();
    }
  }

  recordSafeRun(fingerprint: string): void {
    if (this.isSuspect(fingerprint)) {
      this.#setEntry(fingerprint, "cleared");
      this.#publishChange();
    }
  }

  clear(fingerprint: string): boolean {
    const wasQuarantined = this.isQuarantined(fingerprint);
    if (wasQuarantined) {
      this.#setEntry(fingerprint, "cleared");
      this.#publishChange();
    }
    return wasQuarantined;
  }

  getQuarantined(): QuarantinedRequest[] {
    return this.getState().entries
      .filter((entry) => entry.state === "quarantined")
      .map(({ fingerprint, ageMs }) => ({
        fingerprint,
        groups: [...this.#losses.values()]
          .filter((loss) => loss.revisions.has(fingerprint))
          .map((loss) => loss.groupId),
        expiresInMs: Math.max(0, this.#expiryMs - ageMs),
      }));
  }

  getState(): QuarantineState {
    this.#dropExpired();
    const now = performance.now();
    return {
      entries: [...this.#entries].map(([fingerprint, entry]) => ({
        fingerprint,
        revision: entry.revision,
        state: entry.state,
        ageMs: now - entry.atMs,
      })),
      losses: [...this.#losses].map(([lossId, loss]) => ({
        lossId,
        members: [...loss.revisions].map(([fingerprint, revision]) => ({
          fingerprint,
          revision,
        })),
        alone: loss.alone,
        ageMs: now - loss.atMs,
      })),
    };
  }

  getDigest(): number {
    this.#dropExpired();
    const lines = [
      ...[...this.#entries].map(([fingerprint, e]) =>
        `${fingerprint} ${e.revision} ${e.state}`
      ),
      ...[...this.#losses].map(([lossId, loss]) =>
        `${lossId} ${loss.alone} ${
          [...loss.revisions].map((r) => r.join(":")).sort().join(",")
        }`
      ),
    ];
    return getHash32(lines.sort().join("\n"));
  }

  merge(state: QuarantineState): boolean {
    let hasChanged = false;
    for (const entry of state.entries) {
      hasChanged = this.#mergeEntry(entry) || hasChanged;
    }
    const changedFingerprints: string[] = [];
    for (const loss of state.losses) {
      if (this.#mergeLoss(loss)) {
        hasChanged = true;
        changedFingerprints.push(...loss.members.map((m) => m.fingerprint));
      }
    }
    this.#updateQuarantine(changedFingerprints);
    if (hasChanged) {
      this.#publishChange();
    }
    return hasChanged;
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  #publishChange(): void {
    this.#dropExpired();
    this.#listeners.forEach((listener) => listener());
  }

  #mergeEntry(entry: QuarantineEntry): boolean {
    const current = this.#entries.get(entry.fingerprint);
    const isNewer = current === undefined ||
      entry.revision > current.revision ||
      (entry.revision === current.revision && entry.state !== current.state &&
        entry.state === "quarantined");
    const receivedEntry: LocalEntry = {
      revision: entry.revision,
      state: entry.state,
      atMs: performance.now() - entry.ageMs,
    };
    if (!isNewer || this.#isExpired(receivedEntry)) {
      return false;
    }
    this.#entries.set(entry.fingerprint, receivedEntry);
    return true;
  }

  #mergeLoss(loss: QuarantineLoss): boolean {
    const atMs = performance.now() - loss.ageMs;
    if (loss.ageMs > SUSPECT_DURATION_MS) {
      return false;
    }
    const current = this.#losses.get(loss.lossId);
    const localLoss: LocalLoss = current ?? {
      groupId: loss.lossId.split("@")[0],
      revisions: new Map<string, number>(),
      alone: loss.alone,
      atMs,
    };
    let hasChanged = current === undefined;
    for (const { fingerprint, revision } of loss.members) {
      if (revision > (localLoss.revisions.get(fingerprint) ?? -1)) {
        localLoss.revisions.set(fingerprint, revision);
        hasChanged = true;
      }
    }
    if (localLoss.alone && (!loss.alone || localLoss.revisions.size > 1)) {
      localLoss.alone = false;
      hasChanged = true;
    }
    this.#losses.set(loss.lossId, localLoss);
    return hasChanged;
  }

  /** Quarantines those of the given requests whose losses can't be attributed to another request. Daemons detect a loss at different times, so the decision about a recent loss is delayed until they have had time to report it. */
  #updateQuarantine(fingerprints: readonly string[]): void {
    for (const fingerprint of new Set(fingerprints)) {
      if (
        this.isQuarantined(fingerprint) ||
        !this.#hasQuarantineEvidence(fingerprint)
      ) {
        continue;
      }
      const waitMs = this.#getDecisionWaitMs(fingerprint);
      if (waitMs > 0) {
        this.#delayDecision(fingerprint, waitMs);
      } else {
        this.#setEntry(fingerprint, "quarantined");
        this.#clearOtherSuspects(fingerprint);
      }
    }
  }

  #getDecisionWaitMs(fingerprint: string): number {
    const lostAtMs = this.#getLosses(fingerprint).map((loss) => loss.atMs);
    return Math.max(...lostAtMs) + this.#decisionDelayMs - performance.now();
  }

  #delayDecision(fingerprint: string, waitMs: number): void {
    const isWaiting = this.#decisionTimesMs.has(fingerprint);
    this.#decisionTimesMs.set(fingerprint, performance.now() + waitMs);
    if (isWaiting) {
      return;
    }
    const decide = () => {
      // Another loss in the meantime moved the decision to a later time.
      const remainingMs = this.#decisionTimesMs.get(fingerprint)! -
        performance.now();
      if (remainingMs > 0) {
        setTimeout(decide, Math.ceil(remainingMs)).unref();
        return;
      }
      this.#decisionTimesMs.delete(fingerprint);
      this.#updateQuarantine([fingerprint]);
      if (this.isQuarantined(fingerprint)) {
        this.#publishChange();
      }
    };
    setTimeout(decide, Math.ceil(waitMs)).unref();
  }

  /** Gets whether at least two losses indicate that a request causes them: it ran alone in one of them, or is the only request that was running in all of them. */
  #hasQuarantineEvidence(fingerprint: string): boolean {
    const losses = this.#getLosses(fingerprint);
    if (losses.length < 2) {
      return false;
    }
    if (losses.some((loss) => loss.alone)) {
      return true;
    }
    const [first, ...others] = losses;
    const commonFingerprints = [...first.revisions.keys()].filter((f) =>
      others.every((loss) => loss.revisions.has(f))
    );
    return commonFingerprints.length === 1;
  }

  /** Clears the other requests that were running on the groups that a quarantined request crashed. They are no longer suspects, since the losses are attributed to the quarantined request. */
  #clearOtherSuspects(causeFingerprint: string): void {
    for (const loss of this.#losses.values()) {
      if (!loss.revisions.has(causeFingerprint)) {
        continue;
      }
      for (const fingerprint of loss.revisions.keys()) {
        if (
          fingerprint !== causeFingerprint && !this.isQuarantined(fingerprint)
        ) {
          this.#setEntry(fingerprint, "cleared");
        }
      }
    }
  }

  /** Gets the recent losses of a request that were not invalidated by a later change of its entry. */
  #getLosses(fingerprint: string): LocalLoss[] {
    const revision = this.#getRevision(fingerprint);
    const oldestAtMs = performance.now() - SUSPECT_DURATION_MS;
    return [...this.#losses.values()].filter((loss) =>
      loss.atMs >= oldestAtMs &&
      (loss.revisions.get(fingerprint) ?? -1) >= revision
    );
  }

  #getRevision(fingerprint: string): number {
    return this.#entries.get(fingerprint)?.revision ?? 0;
  }

  #setEntry(fingerprint: string, state: QuarantineEntry["state"]): void {
    this.#entries.set(fingerprint, {
      revision: this.#getRevision(fingerprint) + 1,
      state,
      atMs: performance.now(),
    });
  }

  #isExpired(entry: LocalEntry): boolean {
    const maxAgeMs = entry.state === "quarantined"
      ? this.#expiryMs
      : SUSPECT_DURATION_MS * 2;
    return performance.now() - entry.atMs > maxAgeMs;
  }

  /** Removes expired entries and losses. Above the maximum number, removes losses in the order of their insertion and entries by age, cleared ones first. */
  #dropExpired(): void {
    for (const [fingerprint, entry] of this.#entries) {
      if (this.#isExpired(entry)) {
        this.#entries.delete(fingerprint);
      }
    }
    const oldestAtMs = performance.now() - SUSPECT_DURATION_MS;
    for (const [lossId, loss] of this.#losses) {
      const isOverLimit = this.#losses.size > MAX_QUARANTINE_ENTRIES;
      if (loss.atMs < oldestAtMs || isOverLimit) {
        this.#losses.delete(lossId);
      }
    }
    let surplusCount = this.#entries.size - MAX_QUARANTINE_ENTRIES;
    const oldestFirst = [...this.#entries].sort(([, a], [, b]) =>
      a.state === b.state ? a.atMs - b.atMs : a.state === "cleared" ? -1 : 1
    );
    for (const [fingerprint] of surplusCount > 0 ? oldestFirst : []) {
      if (surplusCount-- > 0) {
        this.#entries.delete(fingerprint);
      }
    }
  }
}
