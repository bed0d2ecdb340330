/** On which daemons a version is in force. */
export interface InForceReport {
  /** Daemons that reported the version or a newer one. */
  readonly inForce: readonly string[];
  /** Listed daemons that did not within the time. */
  readonly notConfirmed: readonly string[];
}

/** Tells the other daemons of a version. */
export interface ConfigPropagation {
  /**
   * Announces that a version is about to be written.
   *
   * @param version - Version that is about to be written.
   * @returns Whether a majority of the listed daemons took note of it.
   */
  requestMajority(version: number): Promise<boolean>;
  /**
   * Collects the daemons on which a version is in force.
   *
   * @param version - Accepted version.
   */
  collectInForce(version: number): Promise<InForceReport>;
}
