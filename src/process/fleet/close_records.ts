import type { GroupOrderOutcome } from "../../connection/group_order_client.ts";

/** Close that was sent to the head of a group. */
export interface CloseRecord {
  readonly generation: number;
  /** Term of the planner's lease. */
  readonly term: number;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAtMs: number;
  readonly outcome: GroupOrderOutcome;
}

/** Outcomes of the closes that were sent to heads. */
export class CloseRecords {
  /** Last close, by server id and start time. */
  readonly #records = new Map<string, CloseRecord>();

  record(processKey: string, close: CloseRecord): void {
    this.#records.set(processKey, close);
  }

  /**
   * Finds the outcome of the last close of a group.
   *
   * @param processKey - Key of the head's process.
   * @param options - Generation of the group, lease term in which the close was sent, and monotonic time in milliseconds before which a close does not count.
   */
  findOutcome(
    processKey: string,
    { generation, term, sinceMs }: {
      generation: number | undefined;
      term: number | undefined;
      sinceMs: number;
    },
  ): GroupOrderOutcome | undefined {
    const close = this.#records.get(processKey);
    return close !== undefined && close.generation === generation &&
        close.term === term && close.sentAtMs >= sinceMs
      ? close.outcome
      : undefined;
  }

  /** Discards the closes of all other processes. */
  retainProcesses(processKeys: ReadonlySet<string>): void {
    for (const key of this.#records.keys()) {
      if (!processKeys.has(key)) {
        this.#records.delete(key);
      }
    }
  }
}
