import { delay } from "../shared/delay.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import {
  MAX_QUARANTINE_ENTRIES,
  type QuarantineEntry,
  type QuarantineLoss,
  type QuarantineState,
} from "./quarantine_state.ts";

/** Time for which a request stays a suspect after a loss. */
const SUSPICION_MS = 600_000;

/** List of request fingerprints that crashed their groups. */
export interface QuarantineList {
  /**
   * Gets whether a request is refused.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  isQuarantined(fingerprint: string): boolean;
  /**
   * Gets whether a request was on a group when it was lost, and therefore has to run alone.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  isSuspect(fingerprint: string): boolean;
  /**
   * Waits until the last loss of a request is judged. Resolves at once unless the losses known so far would quarantine the request and peers may still report other requests for them.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param signal - Ends the wait early.
   */
  waitForJudgement(fingerprint: string, signal: AbortSignal): Promise<void>;
  /**
   * Records the requests that were on a group when it was lost.
   *
   * @param loss - Group and requests.
   */
  recordLoss(loss: GroupLoss): void;
  /**
   * Records that a suspect ran alone without a loss, which ends the suspicion.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  recordSurvival(fingerprint: string): void;
  /**
   * Ends the quarantine of a request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns Whether the request was quarantined.
   */
  clear(fingerprint: string): boolean;
  /** Gets the quarantined requests. */
  getQuarantined(): QuarantinedRequest[];
  /** Gets everything that peers have to know. */
  getState(): QuarantineState;
  /** Gets a digest of the state, which is equal at daemons with equal states. */
  getDigest(): number;
  /**
   * Merges the state of a peer or of the store.
   *
   * @param state - State to merge; merging it again changes nothing.
   * @returns Whether it contained something new.
   */
  merge(state: QuarantineState): boolean;
  /**
   * Registers a listener for every change.
   *
   * @param listener - Called after each change.
   */
  onChange(listener: () => void): void;
}

/** Quarantined request, as operators see it. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  /** Groups that were lost while they ran the request, as far as the losses are still known. */
  readonly groups: readonly string[];
  /** Time after which the request is accepted again, in milliseconds. */
  readonly expiresInMs: number;
}

/** Requests that were on a group when it was lost. */
export interface GroupLoss {
  /** Identifies the loss: the same one at every daemon. It begins with the group's id and `@`. */
  readonly lossId: string;
  readonly fingerprints: readonly string[];
  /** Whether a suspect was the only request on the group. */
  readonly alone: boolean;
}

interface HeldEntry {
  readonly revision: number;
  readonly state: QuarantineEntry["state"];
  readonly atMs: number;
}

interface HeldLoss {
  readonly groupId: string;
  readonly revisions: Map<string, number>;
  alone: boolean;
  readonly atMs: number;
}

/** Quarantine list of one process. */
export class LocalQuarantineList implements QuarantineList {
  readonly #expiryMs: number;
  readonly #judgementDelayMs: number;
  /** Monotonic times at which the requests that the known losses would quarantine are judged. */
  readonly #judgements = new Map<string, number>();
  readonly #entries = new Map<string, HeldEntry>();
  readonly #losses = new Map<string, HeldLoss>();
  readonly #listeners: (() => void)[] = [];

  /** @param options - Time for which a request stays quarantined, and time for which a loss waits for the reports of peers before it counts, in milliseconds. */
  constructor(options: { expiryMs: number; judgementDelayMs: number }) {
    this.#expiryMs = options.expiryMs;
    this.#judgementDelayMs = options.judgementDelayMs;
  }

  isQuarantined(fingerprint: string): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry?.state === "quarantined" && !this.#isExpired(entry);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#losses.size > 0 && this.#getLosses(fingerprint).length > 0;
  }

  async waitForJudgement(
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      const atMs = this.#judgements.get(fingerprint);
      if (atMs === undefined || this.isQuarantined(fingerprint)) {
        return;
      }
      const waitMs = Math.max(1, atMs - performance.now());
      if (!await delay(waitMs, signal)) {
        return;
      }
    }
  }

  recordLoss(loss: GroupLoss): void {
    const changed = this.#mergeLoss({
      lossId: loss.lossId,
      members: loss.fingerprints.map((fingerprint) => ({
        fingerprint,
        revision: this.#getRevision(fingerprint),
      })),
      alone: loss.alone,
      ageMs: 0,
    });
    if (changed) {
      this.#updateQuarantine(loss.fingerprints);
      this.#publishChange();
    }
  }

  recordSurvival(fingerprint: string): void {
    if (this.isSuspect(fingerprint)) {
      this.#setEntry(fingerprint, "cleared");
      this.#publishChange();
    }
  }

  clear(fingerprint: string): boolean {
    const quarantined = this.isQuarantined(fingerprint);
    if (quarantined) {
      this.#setEntry(fingerprint, "cleared");
      this.#publishChange();
    }
    return quarantined;
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
    let changed = false;
    for (const entry of state.entries) {
      changed = this.#mergeEntry(entry) || changed;
    }
    const touched: string[] = [];
    for (const loss of state.losses) {
      if (this.#mergeLoss(loss)) {
        changed = true;
        touched.push(...loss.members.map((m) => m.fingerprint));
      }
    }
    this.#updateQuarantine(touched);
    if (changed) {
      this.#publishChange();
    }
    return changed;
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
    const newer = current === undefined || entry.revision > current.revision ||
      (entry.revision === current.revision && entry.state !== current.state &&
        entry.state === "quarantined");
    const held: HeldEntry = {
      revision: entry.revision,
      state: entry.state,
      atMs: performance.now() - entry.ageMs,
    };
    if (!newer || this.#isExpired(held)) {
      return false;
    }
    this.#entries.set(entry.fingerprint, held);
    return true;
  }

  #mergeLoss(loss: QuarantineLoss): boolean {
    const atMs = performance.now() - loss.ageMs;
    if (loss.ageMs > SUSPICION_MS) {
      return false;
    }
    const current = this.#losses.get(loss.lossId);
    const held: HeldLoss = current ?? {
      groupId: loss.lossId.split("@")[0],
      revisions: new Map<string, number>(),
      alone: loss.alone,
      atMs,
    };
    let changed = current === undefined;
    for (const { fingerprint, revision } of loss.members) {
      if (revision > (held.revisions.get(fingerprint) ?? -1)) {
        held.revisions.set(fingerprint, revision);
        changed = true;
      }
    }
    if (held.alone && (!loss.alone || held.revisions.size > 1)) {
      held.alone = false;
      changed = true;
    }
    this.#losses.set(loss.lossId, held);
    return changed;
  }

  /** Quarantines those requests whose losses cannot be explained by another request. Daemons notice a loss at different times, so a recent loss waits for their reports. */
  #updateQuarantine(fingerprints: readonly string[]): void {
    for (const fingerprint of new Set(fingerprints)) {
      if (this.isQuarantined(fingerprint) || !this.#isGuilty(fingerprint)) {
        continue;
      }
      const waitMs = this.#getJudgementWaitMs(fingerprint);
      if (waitMs > 0) {
        this.#delayJudgement(fingerprint, waitMs);
      } else {
        this.#setEntry(fingerprint, "quarantined");
        this.#clearCompanions(fingerprint);
      }
    }
  }

  #getJudgementWaitMs(fingerprint: string): number {
    const lostAtMs = this.#getLosses(fingerprint).map((loss) => loss.atMs);
    return Math.max(...lostAtMs) + this.#judgementDelayMs - performance.now();
  }

  #delayJudgement(fingerprint: string, waitMs: number): void {
    const isWaiting = this.#judgements.has(fingerprint);
    this.#judgements.set(fingerprint, performance.now() + waitMs);
    if (isWaiting) {
      return;
    }
    const judge = () => {
      // A later loss prolongs the wait.
      const remainingMs = this.#judgements.get(fingerprint)! -
        performance.now();
      if (remainingMs > 0) {
        setTimeout(judge, Math.ceil(remainingMs)).unref();
        return;
      }
      this.#judgements.delete(fingerprint);
      this.#updateQuarantine([fingerprint]);
      if (this.isQuarantined(fingerprint)) {
        this.#publishChange();
      }
    };
    setTimeout(judge, Math.ceil(waitMs)).unref();
  }

  #isGuilty(fingerprint: string): boolean {
    const losses = this.#getLosses(fingerprint);
    if (losses.length < 2) {
      return false;
    }
    if (losses.some((loss) => loss.alone)) {
      return true;
    }
    const [first, ...others] = losses;
    const common = [...first.revisions.keys()].filter((f) =>
      others.every((loss) => loss.revisions.has(f))
    );
    return common.length === 1;
  }

  /** A quarantined request explains its losses, so the other requests on those groups are no suspects. */
  #clearCompanions(guilty: string): void {
    for (const loss of this.#losses.values()) {
      if (!loss.revisions.has(guilty)) {
        continue;
      }
      for (const fingerprint of loss.revisions.keys()) {
        if (fingerprint !== guilty && !this.isQuarantined(fingerprint)) {
          this.#setEntry(fingerprint, "cleared");
        }
      }
    }
  }

  #getLosses(fingerprint: string): HeldLoss[] {
    const revision = this.#getRevision(fingerprint);
    const limitMs = performance.now() - SUSPICION_MS;
    return [...this.#losses.values()].filter((loss) =>
      loss.atMs >= limitMs &&
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

  #isExpired(entry: HeldEntry): boolean {
    const limitMs = entry.state === "quarantined"
      ? this.#expiryMs
      : SUSPICION_MS * 2;
    return performance.now() - entry.atMs > limitMs;
  }

  /** Drops what has expired, and the oldest beyond the bound: cleared entries first. */
  #dropExpired(): void {
    for (const [fingerprint, entry] of this.#entries) {
      if (this.#isExpired(entry)) {
        this.#entries.delete(fingerprint);
      }
    }
    const limitMs = performance.now() - SUSPICION_MS;
    for (const [lossId, loss] of this.#losses) {
      const surplus = this.#losses.size > MAX_QUARANTINE_ENTRIES;
      if (loss.atMs < limitMs || surplus) {
        this.#losses.delete(lossId);
      }
    }
    let surplus = this.#entries.size - MAX_QUARANTINE_ENTRIES;
    const oldestFirst = [...this.#entries].sort(([, a], [, b]) =>
      a.state === b.state ? a.atMs - b.atMs : a.state === "cleared" ? -1 : 1
    );
    for (const [fingerprint] of surplus > 0 ? oldestFirst : []) {
      if (surplus-- > 0) {
        this.#entries.delete(fingerprint);
      }
    }
  }
}
