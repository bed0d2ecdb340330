import type { ReplicaGroup } from "./group_table.ts";

/** Attempt to serve a streaming request at a group. */
export interface StreamAttempt {
  readonly group: ReplicaGroup;
  readonly startedAtMs: number;
  /** Monotonic time of the last event of the stream, in milliseconds; undefined before the first event. */
  lastEventAtMs: number | undefined;
  /** Moves the attempt to another group if its own one sends nothing. It goes on until the other group has begun to respond, since whatever is known of the group does not show that its head has stopped sending. */
  abandon(reason: string): void;
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

  /** Moves the attempts at a group that have no events to other groups. */
  abandonGroup(key: string, reason: string): void {
    [...(this.#byGroup.get(key) ?? [])].forEach((attempt) =>
      attempt.abandon(reason)
    );
  }
}
