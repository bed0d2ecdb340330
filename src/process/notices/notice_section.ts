import type { PeerRelation } from "../../connection/peer_notice.ts";

/** Data of one part of the daemon in the notices that daemons exchange. */
export interface NoticeSection {
  /** Name of the section, which is unique within a notice. */
  readonly name: string;
  /**
   * Gets the report to send, which is a JSON value.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReport(relation: PeerRelation): unknown;
  /**
   * Applies the report of a partner, which replaces its previous one.
   *
   * @param partner - Name of the partner.
   * @param relation - Role of the partner towards this daemon.
   * @param report - Report as received, which has not been validated.
   * @throws {NoticeSectionError} When the report is invalid; nothing has been changed then.
   */
  applyReport(partner: string, relation: PeerRelation, report: unknown): void;
  /** Forgets a partner whose link has closed. */
  removePartner(name: string): void;
}

/** Error of a section whose report cannot be used. The other sections of the notice hold. */
export class NoticeSectionError extends Error {
  override readonly name = "NoticeSectionError";
}
