import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";

/** Maximum number of entries in a report. A deployment has a few models. */
const MAX_ENTRIES = 100;
/** Maximum length of the key of an entry. */
const MAX_KEY_LENGTH = 300;
/** Largest valid number, far above the requests and daemons of any fleet. */
const MAX_NUMBER = 1_000_000;

/** Waiting requests of one or more daemons. */
export interface WaitingReport {
  /** Number of daemons whose requests are included. */
  readonly daemons: number;
  /** Requests that wait for a slot, by service and model. */
  readonly waiting: Readonly<Record<string, number>>;
}

/** Creates the key of a model in a `WaitingReport`. */
export function createWaitingKey(service: string, model: string): string {
  return `${service} ${model}`;
}

/**
 * Exchanges the numbers of the waiting requests.
 *
 * A hub sends the sum of its members and itself to the other hubs, and the sum over all daemons to its members. A member uses the latter as it is, since it includes its own requests, so that no request counts twice. The number of included daemons tells whether a report is missing, or counts twice for a moment because a daemon has moved to another hub.
 */
export class WaitingSection implements NoticeSection {
  readonly name = "waiting";
  #own: WaitingReport = { daemons: 1, waiting: {} };
  readonly #partners = new Map<
    string,
    { readonly relation: PeerRelation; readonly report: WaitingReport }
  >();
  /** Sums to report, by the role of this daemon towards the receivers. */
  readonly #sums = new Map<PeerRelation, WaitingReport>();

  /**
   * Sets the waiting requests of this daemon, and updates the reports. They change only then, once a second, as the reports of the members of a hub would change them with each notice while requests wait.
   *
   * @param waiting - Requests by the key of their model.
   */
  setOwn(waiting: ReadonlyMap<string, number>): void {
    const own = { daemons: 1, waiting: Object.fromEntries(waiting) };
    this.#own = replaceIfChanged(this.#own, own);
    for (const relation of ["equal", "hub"] as const) {
      const sum = this.#sums.get(relation);
      this.#sums.set(relation, replaceIfChanged(sum, this.#add(relation)));
    }
  }

  /** Gets the waiting requests of all daemons. */
  getTotal(): WaitingReport {
    const hub = [...this.#partners.values()].find(({ relation }) =>
      relation === "hub"
    );
    return hub?.report ?? this.#add("hub");
  }

  getReport(relation: PeerRelation): WaitingReport {
    return this.#sums.get(relation) ?? this.#own;
  }

  /** Adds the reports that the receivers do not have from others. */
  #add(relation: PeerRelation): WaitingReport {
    const included = [...this.#partners.values()].filter((partner) =>
      partner.relation === "member" ||
      (partner.relation === "equal" && relation === "hub")
    );
    return addReports([this.#own, ...included.map(({ report }) => report)]);
  }

  applyReport(partner: string, relation: PeerRelation, report: unknown): void {
    this.#partners.set(partner, { relation, report: decodeReport(report) });
  }

  removePartner(name: string): void {
    this.#partners.delete(name);
  }
}

function addReports(reports: readonly WaitingReport[]): WaitingReport {
  const waiting: Record<string, number> = {};
  for (const report of reports) {
    for (const [key, requests] of Object.entries(report.waiting)) {
      waiting[key] = (waiting[key] ?? 0) + requests;
    }
  }
  const daemons = reports.reduce((sum, report) => sum + report.daemons, 0);
  return { daemons, waiting };
}

/** Gets the previous report if the new one is equal, so that it is not sent again. */
function replaceIfChanged(
  previous: WaitingReport | undefined,
  report: WaitingReport,
): WaitingReport {
  return JSON.stringify(previous) === JSON.stringify(report)
    ? previous!
    : report;
}

function decodeReport(value: unknown): WaitingReport {
  const { daemons, waiting } = (value ?? {}) as Partial<WaitingReport>;
  if (
    !isNumber(daemons) || daemons < 1 || typeof waiting !== "object" ||
    waiting === null || Array.isArray(waiting)
  ) {
    throw new NoticeSectionError("The report of waiting requests is invalid");
  }
  const entries = Object.entries(waiting);
  const isValid = entries.length <= MAX_ENTRIES &&
    entries.every(([key, requests]) =>
      key.length <= MAX_KEY_LENGTH && isNumber(requests)
    );
  if (!isValid) {
    throw new NoticeSectionError("The numbers of waiting requests are invalid");
  }
  return { daemons, waiting: Object.fromEntries(entries) };
}

function isNumber(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0 &&
    (value as number) <= MAX_NUMBER;
}
