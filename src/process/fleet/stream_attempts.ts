import type { ReplicaGroup } from "./group_table.ts";

/**
 * Evidence against a group.
 *
 * - `silent`: a member does not respond, or another daemon reports the loss of the group; it may go on.
 * - `lost`: the group has lost a member.
 */
export type GroupEvidence = "silent" | "lost";

/** Attempt to serve a streaming request at a group. */
export interface StreamAttempt {
  readonly group: ReplicaGroup;
  readonly startedAtMs: number;
  /** Monotonic time of the last event of the stream, in milliseconds; undefined before the first event. */
  lastEventAtMs: number | undefined;
  /** Aborts the attempt. On the evidence `silent`, it goes on until another group has begun to respond. */
  abandon(reason: string, evidence: GroupEvidence): void;
}

/** Registry of the attempts in flight by group, used to detect groups whose streams have stalled. */
export class StreamAttempts {
  readonly #byGroup = new Map<string, Set<StreamAttempt>>();

  /**
   * Registers an attempt.
   *
   * @returns Function that removes the attempt from the registry.
   */
  add(attempt: StreamAttempt): () => void {
    const { key } = attempt.group;
    const attempts = this.#byGroup.get(key) ?? new Set();
    attempts.add(attempt);
    this.#byGroup.set(key, attempts);
    return () => {
      attempts.delete(attempt);
      if (attempts.size === 0 && this.#byGroup.get(key) === attempts) {
        this.#byGroup.delete(key);
      }
    };
  }

  /** Lists the keys of the groups that have attempts in flight, each with its attempts. */
  listByGroup(): [key: string, attempts: StreamAttempt[]][] {
    return [...this.#byGroup].map(([key, attempts]) => [key, [...attempts]]);
  }

  /** Aborts the attempts at a group, as far as the evidence is sufficient for each of them. */
  abandonGroup(key: string, reason: string, evidence: GroupEvidence): void {
    [...(this.#byGroup.get(key) ?? [])].forEach((attempt) =>
      attempt.abandon(reason, evidence)
    );
  }
}
