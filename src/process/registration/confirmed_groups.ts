import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";

/** Time for which a confirmation holds, in milliseconds. It is the time for which a silent planner counts as present, and covers several polls and their way over two hubs. */
const CONFIRMATION_MS = 1_300;
/** Maximum number of groups in a report, several times the groups of the largest fleet that lose a member at once. */
const MAX_GROUPS = 1_000;

/** Source of a confirmation: this daemon, a member or another daemon. */
type Origin = "own" | "member" | "other";

interface Confirmation {
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
  readonly origin: Origin;
}

/** Groups whose missing members have confirmed to the planner that they are healthy and serve on. The planner tells the other daemons; a hub passes it on from its members to the other hubs, and from these to its members. */
export class ConfirmedGroups implements NoticeSection {
  readonly name = "confirmed-groups";
  readonly #onChange: () => void;
  readonly #confirmations = new Map<string, Confirmation>();
  /** Reports since the last change, by relation. */
  readonly #reports = new Map<PeerRelation, unknown>();

  constructor(options: {
    /** Called when there is something new to report. */
    onChange(): void;
  }) {
    this.#onChange = () => options.onChange();
  }

  /** Records that the planner on this daemon has found all missing members of a group healthy. */
  confirm(key: string): void {
    this.#add(key, { atMs: performance.now(), origin: "own" });
    this.#recordChange();
  }

  /** Gets whether the missing members of a group have been healthy within `CONFIRMATION_MS`. */
  isConfirmed(key: string): boolean {
    const atMs = this.#confirmations.get(key)?.atMs;
    return atMs !== undefined && performance.now() - atMs <= CONFIRMATION_MS;
  }

  getReport(relation: PeerRelation): unknown {
    if (this.#confirmations.size === 0 && !this.#reports.has(relation)) {
      return undefined;
    }
    let report = this.#reports.get(relation);
    if (report === undefined) {
      this.#sweep();
      const nowMs = performance.now();
      report = [...this.#confirmations].flatMap(([key, { atMs, origin }]) =>
        isReported(origin, relation) ? [[key, Math.round(nowMs - atMs)]] : []
      );
      this.#reports.set(relation, report);
    }
    return report;
  }

  applyReport(_partner: string, relation: PeerRelation, report: unknown): void {
    const entries = decodeReport(report);
    const origin = relation === "member" ? "member" : "other";
    for (const [key, ageMs] of entries) {
      this.#add(key, { atMs: performance.now() - ageMs, origin });
    }
    if (entries.length > 0) {
      this.#recordChange();
    }
  }

  removePartner(): void {
    // Confirmations expire by themselves.
  }

  #add(key: string, confirmation: Confirmation): void {
    const known = this.#confirmations.get(key);
    if (known === undefined || known.atMs < confirmation.atMs) {
      this.#confirmations.set(key, confirmation);
    }
  }

  #recordChange(): void {
    this.#reports.clear();
    this.#onChange();
  }

  #sweep(): void {
    for (const key of this.#confirmations.keys()) {
      if (!this.isConfirmed(key)) {
        this.#confirmations.delete(key);
      }
    }
  }
}

/** Gets whether a confirmation is reported to daemons towards which this one has a relation. What came from another hub goes to members only, so that nothing passes a hub twice. */
function isReported(origin: Origin, relation: PeerRelation): boolean {
  switch (relation) {
    case "hub":
      return true;
    case "equal":
      return origin !== "other";
    case "member":
      return origin === "own";
  }
}

function decodeReport(report: unknown): [key: string, ageMs: number][] {
  if (!Array.isArray(report) || report.length > MAX_GROUPS) {
    throw new NoticeSectionError(
      `The confirmed groups must be a list of at most ${MAX_GROUPS}`,
    );
  }
  return report.map((entry: unknown) => {
    const [key, ageMs] = Array.isArray(entry) ? entry : [];
    if (typeof key !== "string" || !Number.isFinite(ageMs) || ageMs < 0) {
      throw new NoticeSectionError(
        "A confirmed group must have a key and an age",
      );
    }
    return [key, ageMs];
  });
}
