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
   * Records that a request was on a group when it was lost.
   *
   * @param loss - Request and group.
   */
  recordLoss(loss: GroupLoss): void;
}

/** Request that was on a group when it was lost. */
export interface GroupLoss {
  readonly fingerprint: string;
  readonly groupId: string;
  readonly generation: number;
  /** Whether the request was the only one on the group. */
  readonly alone: boolean;
}

/** Quarantine list of one process. */
export class LocalQuarantineList implements QuarantineList {
  readonly #losses = new Map<string, Set<string>>();

  isQuarantined(fingerprint: string): boolean {
    return (this.#losses.get(fingerprint)?.size ?? 0) >= 2;
  }

  isSuspect(fingerprint: string): boolean {
    return this.#losses.has(fingerprint);
  }

  recordLoss(loss: GroupLoss): void {
    const losses = this.#losses.get(loss.fingerprint) ?? new Set();
    losses.add(`${loss.groupId}@${loss.generation}`);
    this.#losses.set(loss.fingerprint, losses);
  }
}
