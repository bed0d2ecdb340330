import type { ReplicaGroup } from "./group_table.ts";

/** Attempt of a stream at a group. */
export interface StreamAttempt {
  readonly group: ReplicaGroup;
  readonly startedAtMs: number;
  /** Monotonic time of the last event; undefined before the first one. */
  lastEventAtMs: number | undefined;
  /** Ends the attempt, since the group is lost. */
  abandon(reason: string): void;
}

/** Attempts in flight by group, from which a group that stands still is recognised. */
export class StreamAttempts {
  readonly #byGroup = new Map<string, Set<StreamAttempt>>();

  /**
   * Registers an attempt.
   *
   * @returns Function that removes it.
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

  /** Lists the groups with their attempts. */
  listByGroup(): [key: string, attempts: StreamAttempt[]][] {
    return [...this.#byGroup].map(([key, attempts]) => [key, [...attempts]]);
  }

  /** Ends all attempts at a group. */
  abandonGroup(key: string, reason: string): void {
    [...(this.#byGroup.get(key) ?? [])].forEach((attempt) =>
      attempt.abandon(reason)
    );
  }
}
