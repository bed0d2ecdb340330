/** Daemons on which a version is or is not yet in force. */
export interface InForceReport {
  /** Daemons that reported the version or a newer one. */
  readonly inForce: readonly string[];
  /** Listed daemons that did not report it before the timeout. */
  readonly notConfirmed: readonly string[];
}

/** Announces configuration versions to the other daemons and collects their confirmations. */
export interface ConfigPropagation {
  /**
   * Announces that a version is about to be written.
   *
   * @param version - Version that is about to be written.
   * @returns Whether a majority of the listed daemons acknowledged the announcement.
   */
  requestMajority(version: number): Promise<boolean>;
  /**
   * Collects the daemons on which a version is in force.
   *
   * @param version - Accepted version.
   */
  collectInForce(version: number): Promise<InForceReport>;
}
