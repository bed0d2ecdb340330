/** Entry of a fair queue. */
export interface FairQueueEntry {
  readonly account: string;
  /** Relative share of the account while requests wait. */
  readonly weight: number;
}

interface QueuedEntry<T> {
  readonly value: T;
  readonly virtualFinishTime: number;
}

/** Bounded queue that serves client accounts in proportion to their weights: weighted fair queueing by virtual finish times. */
export class FairQueue<T extends FairQueueEntry> {
  readonly #maxLength: number;
  readonly #entries: QueuedEntry<T>[] = [];
  readonly #lastFinishTimeByAccount = new Map<string, number>();
  #virtualTime = 0;

  constructor(options: { maxLength: number }) {
    this.#maxLength = options.maxLength;
  }

  get length(): number {
    return this.#entries.length;
  }

  /**
   * Adds an entry.
   *
   * @returns `false` when the queue is full.
   */
  push(value: T): boolean {
    if (this.#entries.length >= this.#maxLength) {
      return false;
    }
    const lastFinishTime = this.#lastFinishTimeByAccount.get(value.account) ??
      0;
    const virtualFinishTime = Math.max(this.#virtualTime, lastFinishTime) +
      1 / value.weight;
    this.#lastFinishTimeByAccount.set(value.account, virtualFinishTime);
    const laterIndex = this.#entries.findIndex((e) =>
      e.virtualFinishTime > virtualFinishTime
    );
    const index = laterIndex < 0 ? this.#entries.length : laterIndex;
    this.#entries.splice(index, 0, {
      value,
      virtualFinishTime,
    });
    return true;
  }

  /** Lists the entries in the order in which they are to be served. */
  list(limit = Number.POSITIVE_INFINITY): T[] {
    return this.#entries.slice(0, limit).map((e) => e.value);
  }

  /**
   * Removes an entry to serve it, and advances the virtual time to its finish time.
   *
   * @returns `false` when the entry is not in the queue.
   */
  take(value: T): boolean {
    const entry = this.#entries.find((e) => e.value === value);
    if (entry === undefined) {
      return false;
    }
    this.#virtualTime = Math.max(this.#virtualTime, entry.virtualFinishTime);
    return this.remove(value);
  }

  /**
   * Removes an entry without serving it.
   *
   * @returns `false` when the entry is not in the queue.
   */
  remove(value: T): boolean {
    const index = this.#entries.findIndex((e) => e.value === value);
    if (index < 0) {
      return false;
    }
    this.#entries.splice(index, 1);
    if (this.#entries.length === 0) {
      this.#lastFinishTimeByAccount.clear();
      this.#virtualTime = 0;
    }
    return true;
  }
}
