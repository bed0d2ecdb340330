import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";

/** Minimum time between two reports, in milliseconds: two intervals of notices. */
const REPORT_INTERVAL_MS = 200;
/** Number of priorities with an own number. Lower ones share the last. */
export const PRIORITY_COUNT = 8;
/** Maximum number of models in a report. */
const MAX_MODELS = 256;
/** Largest number of waiting requests in a report, which is above what all daemons can hold. */
const MAX_WAITING = 1_000_000;

/** Numbers of waiting requests by priority, for each service and model. */
type Numbers = ReadonlyMap<string, readonly number[]>;

interface SentReport {
  readonly report: Readonly<Record<string, readonly number[]>>;
  readonly atMs: number;
}

/**
 * Counts the requests that wait for slots, at this daemon and at others, by model and priority.
 *
 * A member reports its own numbers, a hub those of its members and itself to the other hubs, and those of the fleet to its members. A member takes the numbers that it has reported itself off those of the fleet; the two differ by a notice's delay.
 */
export class WaitingNumbers implements NoticeSection {
  readonly name = "waiting";
  readonly #own = new Map<string, number[]>();
  readonly #peers = new Map<
    string,
    { relation: PeerRelation; numbers: Numbers }
  >();
  readonly #sent = new Map<PeerRelation, SentReport>();

  /**
   * Changes the number of own waiting requests.
   *
   * @param key - Service and model.
   * @param priority - Priority level; 0 is the most urgent.
   * @param change - 1 or -1.
   */
  change(key: string, priority: number, change: number): void {
    let numbers = this.#own.get(key);
    if (numbers === undefined) {
      numbers = Array<number>(PRIORITY_COUNT).fill(0);
      this.#own.set(key, numbers);
    }
    numbers[getPriorityIndex(priority)] += change;
    if (numbers.every((number) => number === 0)) {
      this.#own.delete(key);
    }
  }

  /** Counts the requests of a model that wait at all daemons with a priority not below `priority`. */
  countWaiting(key: string, priority: number): number {
    const count = (numbers: Numbers | undefined) =>
      (numbers?.get(key) ?? []).slice(0, getPriorityIndex(priority) + 1)
        .reduce((sum, number) => sum + number, 0);
    let others = 0;
    for (const { relation, numbers } of this.#peers.values()) {
      const reported = relation === "hub" ? this.#getSentNumbers() : undefined;
      others += Math.max(0, count(numbers) - count(reported));
    }
    return count(this.#own) + others;
  }

  getReport(relation: PeerRelation): unknown {
    const nowMs = performance.now();
    const sent = this.#sent.get(relation);
    if (sent !== undefined && nowMs - sent.atMs < REPORT_INTERVAL_MS) {
      return sent.report;
    }
    const report = this.#createReport(relation);
    const isUnchanged = sent === undefined
      ? Object.keys(report).length === 0
      : JSON.stringify(sent.report) === JSON.stringify(report);
    if (!isUnchanged) {
      this.#sent.set(relation, { report, atMs: nowMs });
    }
    return this.#sent.get(relation)?.report;
  }

  applyReport(partner: string, relation: PeerRelation, report: unknown): void {
    this.#peers.set(partner, { relation, numbers: decodeNumbers(report) });
  }

  removePartner(name: string): void {
    this.#peers.delete(name);
  }

  #createReport(relation: PeerRelation): Record<string, number[]> {
    const report: Record<string, number[]> = {};
    addNumbers(report, this.#own);
    for (const { relation: role, numbers } of this.#peers.values()) {
      const isIncluded = role === "member"
        ? relation !== "member"
        : role === "equal" && relation === "hub";
      if (isIncluded) {
        addNumbers(report, numbers);
      }
    }
    return report;
  }

  #getSentNumbers(): Numbers {
    return new Map(Object.entries(this.#sent.get("member")?.report ?? {}));
  }
}

function addNumbers(report: Record<string, number[]>, numbers: Numbers): void {
  for (const [key, counts] of numbers) {
    const sums = report[key] ?? [];
    report[key] = Array.from(
      { length: Math.max(sums.length, counts.length) },
      (_, i) => (sums[i] ?? 0) + (counts[i] ?? 0),
    );
    while (report[key].at(-1) === 0) {
      report[key].pop();
    }
  }
}

function decodeNumbers(report: unknown): Numbers {
  if (
    typeof report !== "object" || report === null || Array.isArray(report)
  ) {
    throw new NoticeSectionError("The numbers must be an object");
  }
  const entries = Object.entries(report);
  const isValid = entries.length <= MAX_MODELS &&
    entries.every(([, numbers]) =>
      Array.isArray(numbers) && numbers.length <= PRIORITY_COUNT &&
      numbers.every((number) =>
        Number.isInteger(number) && number >= 0 && number <= MAX_WAITING
      )
    );
  if (!isValid) {
    throw new NoticeSectionError(
      `The numbers must be arrays of at most ${PRIORITY_COUNT} integers, for at most ${MAX_MODELS} models`,
    );
  }
  return new Map(entries);
}

/** Gets the index of a priority; levels beyond the last share its index. */
export function getPriorityIndex(priority: number): number {
  return Math.min(PRIORITY_COUNT - 1, Math.max(0, Math.floor(priority)));
}
