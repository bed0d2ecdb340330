import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";
import { MAX_RETRY_AFTER_MS } from "./retry_after.ts";

/** Time for which a refusal is recorded, in milliseconds: the longest time to return, and the delays of the caller. */
const RETENTION_MS = 10_000;
/** Time by which a caller may return too early, in milliseconds. The notices that report its refusal take up to 120 ms, by which other daemons expect it late. */
const EARLY_TOLERANCE_MS = 150;
/** Maximum number of recorded refusals: those of 10 s at half of the 1,400 requests a second of the design size, at 100 bytes each. */
const MAX_REFUSALS = 7_000;
/** Largest share of the recorded refusals of one daemon that may belong to one account. */
const MAX_ACCOUNT_SHARE = 0.25;
/** Number of characters by which a request is identified, 36 bits: among the recorded ones, a new request is mistaken for one with a probability of 1 in 10 million. */
const ID_LENGTH = 6;
/** Maximum number of changes in one report, which limits a link to 2.2 KB/s at 10 notices a second. */
const MAX_REPORTED = 24;
/** Maximum number of changes of one account in one report. */
const MAX_REPORTED_OF_ACCOUNT = 8;
/** Maximum number of changes that wait to be reported. Older ones are dropped. */
const MAX_PENDING = 240;
/** Unit of the times in reports, in milliseconds. */
const TIME_UNIT_MS = 10;
const RADIX = 36;
/** Mark of a refusal whose caller has returned. */
const TAKEN_MARK = "!";
const CHANGE_PATTERN = /^[\w-]{6}(?:!|[0-9a-z]{1,2})$/;

interface Refusal {
  readonly account: string | undefined;
  /** Monotonic time of the caller's first refusal in milliseconds. */
  readonly firstAtMs: number;
  /** Monotonic time at which the caller should return, in milliseconds; infinite once it has returned. */
  readonly returnAtMs: number;
}

/** Return of a refused caller. */
export interface RefusedReturn {
  /** Time since the first refusal in milliseconds, by which the request is older than it seems. */
  readonly refusedAgoMs: number;
  /** Whether the caller has waited as instructed. */
  readonly isPunctual: boolean;
}

/** Change of the record that is reported to other daemons. */
interface RefusalChange {
  readonly id: string;
  readonly account: string | undefined;
  /** Monotonic time at which the caller should return, in milliseconds; undefined when it has returned. */
  readonly returnAtMs: number | undefined;
}

/**
 * Records the callers that were refused without their request having run, so that those who return as instructed go before new ones.
 *
 * Load pattern: a caller that is refused returns, at another daemon, while more requests arrive than there are slots. Without a record it competes with requests that have just arrived and is refused again. A caller that returns too early gets no preference, and the next refusal sets a later time.
 *
 * @example
 * ```ts
 * record.recordRefusal({ fingerprint, account, returnMs: 700 });
 * record.takeReturn(fingerprint)?.isPunctual; // true after 700 ms, once
 * ```
 */
export class RefusalRecord implements NoticeSection {
  readonly name = "refusals";
  /** Refusals by id, in the order of the first of each caller. */
  readonly #refusals = new Map<string, Refusal>();
  readonly #accountCounts = new Map<string | undefined, number>();
  /** Changes to report, by role of this daemon towards the receivers. */
  readonly #pending: Record<PeerRelation, RefusalChange[]> = {
    equal: [],
    member: [],
    hub: [],
  };
  readonly #reports = new Map<PeerRelation, readonly string[]>();

  /** Gets the number of recorded refusals. */
  get count(): number {
    this.#trim();
    return this.#refusals.size;
  }

  /**
   * Records a refusal by this daemon.
   *
   * @param refusal - Hash of the account and content of the request, its account, and the time after which its caller should return, in milliseconds.
   */
  recordRefusal({ fingerprint, account, returnMs }: {
    fingerprint: string;
    account: string | undefined;
    returnMs: number;
  }): void {
    this.#trim();
    const id = fingerprint.slice(0, ID_LENGTH);
    const accountCount = this.#accountCounts.get(account) ?? 0;
    if (
      account !== undefined && !this.#refusals.has(id) &&
      accountCount >= MAX_REFUSALS * MAX_ACCOUNT_SHARE
    ) {
      return;
    }
    const returnAtMs = performance.now() +
      Math.min(MAX_RETRY_AFTER_MS, returnMs);
    this.#put(id, account, returnAtMs);
    this.#enqueue({ id, account, returnAtMs }, ["equal", "member", "hub"]);
  }

  /**
   * Takes the return of a refused caller. The preference of one that is punctual counts once.
   *
   * @returns Figures of the return; undefined when no refusal of the request is recorded, or its caller has returned.
   */
  takeReturn(fingerprint: string): RefusedReturn | undefined {
    if (this.#refusals.size === 0) {
      return undefined;
    }
    this.#trim();
    const id = fingerprint.slice(0, ID_LENGTH);
    const refusal = this.#refusals.get(id);
    if (refusal === undefined || !Number.isFinite(refusal.returnAtMs)) {
      return undefined;
    }
    const nowMs = performance.now();
    const isPunctual = nowMs >= refusal.returnAtMs - EARLY_TOLERANCE_MS;
    if (isPunctual) {
      this.#put(id, refusal.account, Number.POSITIVE_INFINITY);
      this.#enqueue(
        { id, account: refusal.account, returnAtMs: undefined },
        ["equal", "member", "hub"],
      );
    }
    return {
      refusedAgoMs: Math.round(nowMs - refusal.firstAtMs),
      isPunctual,
    };
  }

  getReport(relation: PeerRelation): unknown {
    const pending = this.#pending[relation];
    if (pending.length > 0) {
      const changes = takeChanges(pending);
      this.#reports.set(relation, changes.map(formatChange));
    }
    return this.#reports.get(relation);
  }

  applyReport(_partner: string, relation: PeerRelation, report: unknown): void {
    const changes = decodeChanges(report);
    // A hub reports to its members what other hubs and members have reported.
    const receivers: PeerRelation[] = relation === "member"
      ? ["equal", "hub"]
      : relation === "equal"
      ? ["hub"]
      : [];
    for (const change of changes) {
      if (this.#applyChange(change)) {
        this.#enqueue(change, receivers);
      }
    }
  }

  removePartner(): void {
    // What a partner has reported holds until it expires.
  }

  /** Applies a change of another daemon, and gets whether it was new. */
  #applyChange({ id, returnAtMs }: RefusalChange): boolean {
    const known = this.#refusals.get(id);
    if (returnAtMs === undefined) {
      const isNew = known !== undefined && Number.isFinite(known.returnAtMs);
      if (isNew) {
        this.#put(id, known.account, Number.POSITIVE_INFINITY);
      }
      return isNew;
    }
    // A hub returns to a member what it has reported, later by the delay of two notices.
    if (
      known !== undefined && Number.isFinite(known.returnAtMs) &&
      returnAtMs <= known.returnAtMs + 2 * EARLY_TOLERANCE_MS
    ) {
      return false;
    }
    this.#put(id, undefined, returnAtMs);
    return true;
  }

  #put(id: string, account: string | undefined, returnAtMs: number): void {
    const known = this.#refusals.get(id);
    if (known !== undefined) {
      this.#refusals.set(id, { ...known, returnAtMs });
      return;
    }
    if (this.#refusals.size >= MAX_REFUSALS) {
      const [oldestId] = this.#refusals.keys();
      this.#remove(oldestId);
    }
    const firstAtMs = performance.now();
    this.#refusals.set(id, { account, firstAtMs, returnAtMs });
    this.#accountCounts.set(
      account,
      (this.#accountCounts.get(account) ?? 0) + 1,
    );
  }

  #remove(id: string): void {
    const refusal = this.#refusals.get(id);
    if (refusal === undefined) {
      return;
    }
    const { account } = refusal;
    this.#refusals.delete(id);
    const count = (this.#accountCounts.get(account) ?? 1) - 1;
    if (count === 0) {
      this.#accountCounts.delete(account);
    } else {
      this.#accountCounts.set(account, count);
    }
  }

  #trim(): void {
    const expiredAtMs = performance.now() - RETENTION_MS;
    for (const [id, { firstAtMs }] of this.#refusals) {
      if (firstAtMs > expiredAtMs) {
        return;
      }
      this.#remove(id);
    }
  }

  #enqueue(change: RefusalChange, relations: readonly PeerRelation[]): void {
    for (const relation of relations) {
      const pending = this.#pending[relation];
      pending.push(change);
      if (pending.length > MAX_PENDING) {
        pending.shift();
      }
    }
  }
}

/** Takes the changes of one report off the pending ones, in their order, but few of each account. */
function takeChanges(pending: RefusalChange[]): RefusalChange[] {
  const counts = new Map<string | undefined, number>();
  const taken: RefusalChange[] = [];
  const kept: RefusalChange[] = [];
  for (const change of pending) {
    const count = counts.get(change.account) ?? 0;
    const isTaken = taken.length < MAX_REPORTED &&
      (change.account === undefined || count < MAX_REPORTED_OF_ACCOUNT);
    (isTaken ? taken : kept).push(change);
    counts.set(change.account, count + 1);
  }
  pending.splice(0, pending.length, ...kept);
  return taken;
}

function formatChange({ id, returnAtMs }: RefusalChange): string {
  if (returnAtMs === undefined) {
    return id + TAKEN_MARK;
  }
  const remainingMs = Math.max(0, returnAtMs - performance.now());
  return id + Math.round(remainingMs / TIME_UNIT_MS).toString(RADIX);
}

function decodeChanges(report: unknown): RefusalChange[] {
  const isValid = Array.isArray(report) && report.length <= MAX_REPORTED &&
    report.every((change) =>
      typeof change === "string" && CHANGE_PATTERN.test(change)
    );
  if (!isValid) {
    throw new NoticeSectionError(
      `The refusals must be an array of at most ${MAX_REPORTED} texts`,
    );
  }
  return (report as string[]).map((text) => {
    const time = text.slice(ID_LENGTH);
    const remainingMs = Number.parseInt(time, RADIX) * TIME_UNIT_MS;
    return {
      id: text.slice(0, ID_LENGTH),
      account: undefined,
      returnAtMs: time === TAKEN_MARK
        ? undefined
        : performance.now() + Math.min(MAX_RETRY_AFTER_MS, remainingMs),
    };
  });
}

/**
 * Gets the latency deadline of a request whose caller may have been refused before. A caller that has waited as instructed is as old as its first refusal; one that returns too early is infinitely late, since it would otherwise go before all that have waited.
 *
 * @param latencyDeadlineMs - Monotonic time by which a slot must be granted if the request is new, in milliseconds.
 * @example
 * ```ts
 * getReturnDeadlineMs(latencyDeadlineMs, record.takeReturn(fingerprint));
 * ```
 */
export function getReturnDeadlineMs(
  latencyDeadlineMs: number,
  refusedReturn: RefusedReturn | undefined,
): number {
  if (refusedReturn === undefined) {
    return latencyDeadlineMs;
  }
  return refusedReturn.isPunctual
    ? latencyDeadlineMs - refusedReturn.refusedAgoMs
    : Number.NEGATIVE_INFINITY;
}
