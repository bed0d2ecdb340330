import type { BackendServer } from "../../shared/backend_server.ts";

/** Revision of a removal after a store outage, for which the store reports no revision. It is infinite, so that every peer is sent the removal. */
const UNKNOWN_REVISION = Number.POSITIVE_INFINITY;
/** Maximum number of removals that are kept to be sent to peers. */
const MAX_REMOVALS = 1_000;

/** Removal of a server from the list. */
interface Removal {
  readonly revision: number;
  /** Last entry of the server; undefined when it was registered and removed between two reads of the list. */
  readonly entry: BackendServer | undefined;
}

/** Range of revisions between two complete lists. */
interface RevisionGap {
  readonly from: number;
  readonly to: number;
}

/** Removals of servers from the list, kept for the peers that have not received them yet, with the range of revisions in which they are complete. */
export class RemovalLog {
  /** Removals by server id, in the order of removal. */
  readonly #removals = new Map<string, Removal>();
  /** Revision from which on the removals are complete, apart from the gap. */
  #completeSince = 0;
  /** Revisions that the newest complete list has skipped. A server that was registered and removed between them was never listed here, but may be listed at a peer. */
  #gap: RevisionGap = { from: 0, to: 0 };

  /**
   * Gets whether the log contains all removals after a revision.
   *
   * @param revision - Revision of the store up to which the list of a peer is complete.
   * @example
   * ```ts
   * const removed = log.isCompleteSince(revision) ? log.listIds(revision) : undefined;
   * ```
   */
  isCompleteSince(revision: number): boolean {
    return revision >= this.#completeSince &&
      (revision <= this.#gap.from || revision >= this.#gap.to);
  }

  /** Lists the ids of the servers that were removed after a revision of the store. */
  listIds(sinceRevision: number): string[] {
    return [...this.#removals].flatMap(([id, { revision }]) =>
      revision > sinceRevision ? [id] : []
    );
  }

  /** Lists the ids of the servers whose removal has no revision. */
  listUndatedIds(): string[] {
    return [...this.#removals].flatMap(([id, { revision }]) =>
      revision === UNKNOWN_REVISION ? [id] : []
    );
  }

  /** Gets whether a removal is recorded. */
  hasRemoval(id: string): boolean {
    return this.#removals.has(id);
  }

  /** Lists the last entries of the removed servers. */
  listEntries(): BackendServer[] {
    return [...this.#removals.values()].flatMap(({ entry }) =>
      entry === undefined ? [] : [entry]
    );
  }

  /** Finds the last entry of a removed server. */
  findEntry(id: string): BackendServer | undefined {
    return this.#removals.get(id)?.entry;
  }

  /** Gets whether the time of a removal is known; after a store outage it is not. */
  hasRevision(id: string): boolean {
    const revision = this.#removals.get(id)?.revision;
    return revision !== undefined && revision !== UNKNOWN_REVISION;
  }

  /**
   * Records a removal. The oldest one is dropped when there are too many.
   *
   * @param id - Id of the server.
   * @param removal - Last entry of the server if it was listed, revision of its removal if it is known, and revision of the list.
   */
  recordRemoval(
    id: string,
    removal: {
      entry: BackendServer | undefined;
      revision: number | undefined;
      listRevision: number;
    },
  ): void {
    const known = this.#removals.get(id);
    // The removals stay in the order in which they were recorded.
    this.#removals.delete(id);
    this.#removals.set(id, {
      revision: Math.max(
        removal.revision ?? UNKNOWN_REVISION,
        known?.revision ?? 0,
      ),
      entry: removal.entry ?? known?.entry,
    });
    if (this.#removals.size > MAX_REMOVALS) {
      const [[oldestId]] = this.#removals;
      this.#removals.delete(oldestId);
      this.#completeSince = Math.max(this.#completeSince, removal.listRevision);
    }
  }

  /** Replaces the last entry of a removed server; does nothing for other servers. */
  replaceEntry(id: string, entry: BackendServer): void {
    const removal = this.#removals.get(id);
    if (removal !== undefined) {
      this.#removals.set(id, { ...removal, entry });
    }
  }

  /**
   * Records that a complete list has replaced an earlier one, so that removals between the two may be missing.
   *
   * @param gap - Revisions of the earlier and the new list; `from` is 0 for the first list.
   */
  recordGap(gap: { from: number; to: number }): void {
    if (gap.to > gap.from) {
      this.#completeSince = Math.max(this.#completeSince, this.#gap.to);
      this.#gap = gap;
    }
  }

  /** Forgets a removal, since the server is listed again. */
  forgetRemoval(id: string): void {
    this.#removals.delete(id);
  }
}
