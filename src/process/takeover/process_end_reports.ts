import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";
import {
  type LeaseTerm,
  MAX_REPORT_AGE_MS,
  type ProcessEndReport,
} from "./takeover_decision.ts";

/** Maximum number of reports that a daemon keeps, including its own, or accepts in one notice. */
const MAX_REPORTS = 16;
/** Maximum number of reports kept from one zone, so that a zone with many linked daemons leaves room for the others. */
const MAX_ZONE_REPORTS = 4;
/** Maximum length of a daemon's name, as in its description. */
const MAX_NAME_LENGTH = 256;
/** Highest term of a report, as of the stored lease. */
const MAX_TERM = 1_000_000_000;

/** Report in a notice. */
interface SentReport extends LeaseTerm {
  readonly reporter: string;
  readonly ageMs: number;
}

/** Own report and the reports of the partners that the process of a lease holder has ended. A daemon tells only what it has found itself, so a report passes one link. */
export class ProcessEndReports implements NoticeSection {
  readonly name = "process-ends";
  readonly #ownName: string;
  readonly #ownZone: string;
  readonly #findZone: (partner: string) => string | undefined;
  readonly #onOwnReport: () => void;
  readonly #onReport: () => void;
  /** Reports by the name of the reporter. */
  readonly #reports = new Map<string, ProcessEndReport>();
  /** Report that was sent last. An empty one replaces it when its time is over. */
  #sentReport: readonly SentReport[] | undefined;

  constructor(options: {
    ownName: string;
    ownZone: string;
    /** Finds the zone of a partner. */
    findZone(partner: string): string | undefined;
    /** Called when this daemon has found that a process has ended. */
    onOwnReport(): void;
    /** Called when there is a report that was not known. */
    onReport(): void;
  }) {
    this.#ownName = options.ownName;
    this.#ownZone = options.ownZone;
    this.#findZone = (partner) => options.findZone(partner);
    this.#onOwnReport = () => options.onOwnReport();
    this.#onReport = () => options.onReport();
  }

  /** Records that this daemon has found that the process of a lease holder has ended. */
  recordOwn({ holder, term }: LeaseTerm): void {
    this.#reports.set(this.#ownName, {
      holder,
      term,
      reporter: this.#ownName,
      zone: this.#ownZone,
      atMs: performance.now(),
    });
    this.#onOwnReport();
    this.#onReport();
  }

  /** Forgets the own report on a holder that is linked with this daemon again. */
  forgetHolder(holder: string): void {
    if (this.#reports.get(this.#ownName)?.holder === holder) {
      this.#reports.delete(this.#ownName);
    }
  }

  /** Lists the reports that are not older than `MAX_REPORT_AGE_MS`. */
  listReports(): ProcessEndReport[] {
    const nowMs = performance.now();
    for (const [reporter, { atMs }] of this.#reports) {
      if (nowMs - atMs > MAX_REPORT_AGE_MS) {
        this.#reports.delete(reporter);
      }
    }
    return [...this.#reports.values()];
  }

  getReport(relation: PeerRelation): unknown {
    if (relation === "hub") {
      // Members do not take over early, so their hub sends them no reports.
      return undefined;
    }
    const own = this.listReports().find(({ reporter }) =>
      reporter === this.#ownName
    );
    if (own !== undefined) {
      const { holder, term, reporter, atMs } = own;
      const ageMs = Math.round(performance.now() - atMs);
      this.#sentReport = [{ holder, term, reporter, ageMs }];
    } else if (this.#sentReport !== undefined && this.#sentReport.length > 0) {
      this.#sentReport = [];
    }
    return this.#sentReport;
  }

  applyReport(partner: string, _relation: PeerRelation, report: unknown): void {
    const entries = decodeReport(partner, report);
    const zone = this.#findZone(partner);
    const previous = this.#reports.get(partner);
    this.#reports.delete(partner);
    const newest = entries.reduce<SentReport | undefined>(
      (found, entry) => (found?.term ?? -1) >= entry.term ? found : entry,
      undefined,
    );
    if (
      newest === undefined || newest.ageMs > MAX_REPORT_AGE_MS ||
      zone === undefined || !this.#hasRoom(zone)
    ) {
      return;
    }
    const { holder, term, reporter, ageMs } = newest;
    const atMs = performance.now() - ageMs;
    this.#reports.set(partner, { holder, term, reporter, zone, atMs });
    if (previous?.holder !== holder || previous.term !== term) {
      this.#onReport();
    }
  }

  removePartner(name: string): void {
    this.#reports.delete(name);
  }

  #hasRoom(zone: string): boolean {
    const reports = this.listReports().filter(({ reporter }) =>
      reporter !== this.#ownName
    );
    const zoneReports = reports.filter((report) => report.zone === zone);
    return reports.length < MAX_REPORTS - 1 &&
      zoneReports.length < MAX_ZONE_REPORTS;
  }
}

function decodeReport(partner: string, report: unknown): SentReport[] {
  if (!Array.isArray(report) || report.length > MAX_REPORTS) {
    throw new NoticeSectionError(
      `The ended processes must be a list of at most ${MAX_REPORTS}`,
    );
  }
  return report.map((entry: unknown) => {
    if (!isSentReport(entry) || entry.reporter !== partner) {
      throw new NoticeSectionError(
        "An ended process must have a holder, a term, an age and the sender as its reporter",
      );
    }
    const { holder, term, reporter, ageMs } = entry;
    return { holder, term, reporter, ageMs };
  });
}

function isSentReport(value: unknown): value is SentReport {
  const { holder, term, reporter, ageMs } = (value ?? {}) as Partial<
    SentReport
  >;
  return typeof holder === "string" && holder !== "" &&
    holder.length <= MAX_NAME_LENGTH && typeof reporter === "string" &&
    Number.isSafeInteger(term) && Number(term) >= 0 &&
    Number(term) <= MAX_TERM && Number.isFinite(ageMs) && Number(ageMs) >= 0;
}
