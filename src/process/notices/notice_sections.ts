import type { PeerRelation } from "../../connection/peer_notice.ts";
import type { Logger } from "../../shared/logger.ts";
import { type NoticeSection, NoticeSectionError } from "./notice_section.ts";

/** Minimum time between two log lines about invalid reports of one section, in milliseconds. */
const INVALID_REPORT_LOG_INTERVAL_MS = 10_000;

/** Sections that the parts of a daemon add to its notices. */
export class NoticeSections {
  readonly #logger: Logger;
  readonly #sections = new Map<string, NoticeSection>();
  /** Monotonic time of the last log line about an invalid report, by section, in milliseconds. */
  readonly #loggedAtMs = new Map<string, number>();

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Adds the section of a part. */
  add(section: NoticeSection): void {
    this.#sections.set(section.name, section);
  }

  /**
   * Gets the current reports by the name of their section.
   *
   * @param relation - Role of this daemon towards the receivers.
   * @example
   * ```ts
   * const reports = sections.getReports("equal");
   * ```
   */
  getReports(relation: PeerRelation): ReadonlyMap<string, unknown> {
    const reports = new Map<string, unknown>();
    for (const section of this.#sections.values()) {
      const report = section.getReport(relation);
      if (report !== undefined) {
        reports.set(section.name, report);
      }
    }
    return reports;
  }

  /**
   * Applies the sections in a notice. Unknown ones come from a daemon of another version and are left out; an invalid one is logged and changes nothing.
   *
   * @param partner - Name of the partner that sent the notice.
   * @param relation - Role of the partner towards this daemon.
   * @param reports - Reports by the name of their section.
   */
  applyReports(
    partner: string,
    relation: PeerRelation,
    reports: Readonly<Record<string, unknown>>,
  ): void {
    for (const [name, report] of Object.entries(reports)) {
      try {
        this.#sections.get(name)?.applyReport(partner, relation, report);
      } catch (error) {
        if (!(error instanceof NoticeSectionError)) {
          throw error;
        }
        this.#recordInvalidReport(partner, name, error);
      }
    }
  }

  /** Forgets a partner whose link has closed. */
  removePartner(name: string): void {
    this.#sections.forEach((section) => section.removePartner(name));
  }

  #recordInvalidReport(
    peer: string,
    section: string,
    { message }: NoticeSectionError,
  ): void {
    const nowMs = performance.now();
    const loggedAtMs = this.#loggedAtMs.get(section) ??
      Number.NEGATIVE_INFINITY;
    if (nowMs - loggedAtMs >= INVALID_REPORT_LOG_INTERVAL_MS) {
      this.#loggedAtMs.set(section, nowMs);
      this.#logger.write("warn", "notice-section-invalid", {
        peer,
        section,
        message,
      });
    }
  }
}
