/** Entry of a fair queue. */
export interface FairQueueEntry {
  readonly account: string;
  /** Share of the account when requests wait. */
  readonly weight: number;
}

interface QueuedEntry<T> {
  readonly value: T;
  readonly virtualFinishTime: number;
}

/** Queue that serves client accounts in proportion to their weights, by virtual finish times. Bounded in length. */
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

  /** Lists the entries that are to be served next, best first. */
  list(limit = Number.POSITIVE_INFINITY): T[] {
    return this.#entries.slice(0, limit).map((e) => e.value);
  }

  /** Takes an entry out to serve it. */
  take(value: T): boolean {
    const entry = this.#entries.find((e) => e.value === value);
    if (entry === undefined) {
      return false;
    }
    this.#virtualTime = Math.max(this.#virtualTime, entry.virtualFinishTime);
    return this.remove(value);
  }

  /** Removes an entry that is not served. */
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
