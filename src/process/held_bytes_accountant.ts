/** Part of a bound above which the slowest stream is parked, so that the bound itself is not reached by streams that grow meanwhile. */
const PARK_SHARE = 0.75;
/** Time without progress after which a stream may be parked. A reader that is only briefly behind is not worth a new prefill. */
const PARK_AFTER_MS = 200;

/** Stream whose held bytes are counted. */
export interface HeldStream {
  /** Name of the client account. */
  readonly account: string;
  /** Bound of the client account in bytes. */
  readonly maxAccountBytes: number;
  /** Monotonic time at which the caller last took data, in milliseconds of `performance.now()`. */
  readonly lastReadAtMs: number;
  /** All bytes held for the stream now. */
  readonly heldBytes: number;
  /** Whether the daemon waits for the caller to read. */
  readonly isBlocked: boolean;
  /** Whether an engine still works for the stream. */
  readonly isRunning: boolean;
  /** Cancels the stream at the engine until the caller reads again. */
  park(): void;
  /** Ends the stream and frees what it holds. */
  close(): void;
}

/** Bytes held in the process. */
export interface HeldBytes {
  readonly processBytes: number;
  readonly peakProcessBytes: number;
  readonly streams: number;
  readonly parked: number;
  readonly closed: number;
}

/** Counts the bytes held for each stream, client account and process, and relieves the last two when a bound is passed. */
export class HeldBytesAccountant {
  readonly #maxProcessBytes: number;
  readonly #byStream = new Map<HeldStream, number>();
  readonly #byAccount = new Map<string, number>();
  #processBytes = 0;
  #peakProcessBytes = 0;
  #parked = 0;
  #closed = 0;

  constructor(options: { maxProcessBytes: number }) {
    this.#maxProcessBytes = options.maxProcessBytes;
  }

  /** Gets the bytes held in the process. */
  getHeldBytes(): HeldBytes {
    return {
      processBytes: this.#processBytes,
      peakProcessBytes: this.#peakProcessBytes,
      streams: this.#byStream.size,
      parked: this.#parked,
      closed: this.#closed,
    };
  }

  /**
   * Gets the bytes held for a client account.
   *
   * @param account - Name of the client account.
   */
  getAccountBytes(account: string): number {
    return this.#byAccount.get(account) ?? 0;
  }

  /**
   * Sets the bytes held for a stream, parks the slowest stream near a bound, and closes the slowest streams while a bound is passed.
   *
   * @param stream - Stream that holds the bytes.
   * @param bytes - All bytes held for it.
   */
  set(stream: HeldStream, bytes: number): void {
    this.#store(stream, bytes);
    this.#checkBounds(stream);
    this.#peakProcessBytes = Math.max(
      this.#peakProcessBytes,
      this.#processBytes,
    );
  }

  #checkBounds(stream: HeldStream): void {
    const accountBytes = this.getAccountBytes(stream.account);
    const { maxAccountBytes } = stream;
    if (accountBytes > maxAccountBytes * PARK_SHARE) {
      this.#parkSlowest((s) =>
        s.account === stream.account &&
        this.getAccountBytes(s.account) > maxAccountBytes, stream.account);
    }
    if (this.#processBytes > this.#maxProcessBytes * PARK_SHARE) {
      this.#parkSlowest(() => this.#processBytes > this.#maxProcessBytes);
    }
  }

  /**
   * Removes a stream that has ended.
   *
   * @param stream - Stream to remove.
   */
  remove(stream: HeldStream): void {
    this.#store(stream, 0);
    this.#byStream.delete(stream);
  }

  #store(stream: HeldStream, bytes: number): void {
    const change = bytes - (this.#byStream.get(stream) ?? 0);
    this.#byStream.set(stream, bytes);
    this.#processBytes += change;
    const accountBytes = this.getAccountBytes(stream.account) + change;
    if (accountBytes === 0) {
      this.#byAccount.delete(stream.account);
    } else {
      this.#byAccount.set(stream.account, accountBytes);
    }
  }

  #parkSlowest(
    isOver: (stream: HeldStream) => boolean,
    account?: string,
  ): void {
    const slowestFirst = [...this.#byStream.entries()]
      .filter(([s, bytes]) =>
        bytes > 0 && (account === undefined || s.account === account)
      )
      .map(([s]) => s)
      .sort((a, b) => a.lastReadAtMs - b.lastReadAtMs);
    const blocked = slowestFirst.filter((s) => s.isBlocked && s.isRunning);
    const waiting = blocked.find((s) =>
      performance.now() - s.lastReadAtMs >= PARK_AFTER_MS
    );
    if (waiting !== undefined) {
      this.#park(waiting);
    }
    for (const stream of blocked) {
      if (isOver(stream) && stream.isRunning) {
        this.#park(stream);
      }
    }
    for (const stream of slowestFirst) {
      if (!isOver(stream)) {
        return;
      }
      this.#closed++;
      stream.close();
      this.remove(stream);
    }
  }

  #park(stream: HeldStream): void {
    this.#parked++;
    stream.park();
    this.#store(stream, stream.heldBytes);
  }
}
