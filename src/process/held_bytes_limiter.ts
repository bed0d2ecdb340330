/** Part of a bound above which the slowest stream is parked, so that the bound itself is not reached by streams that grow meanwhile. */
const PARK_THRESHOLD_RATIO = 0.75;
/** Time without progress after which a stream may be parked. A reader that is only briefly behind is not worth a new prefill. */
const MIN_STALL_BEFORE_PARK_MS = 200;

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
export class HeldBytesLimiter {
  readonly #maxProcessBytes: number;
  readonly #bytesByStream = new Map<HeldStream, number>();
  readonly #bytesByAccount = new Map<string, number>();
  #processBytes = 0;
  #peakProcessBytes = 0;
  #parkCount = 0;
  #closeCount = 0;

  constructor(options: { maxProcessBytes: number }) {
    this.#maxProcessBytes = options.maxProcessBytes;
  }

  /** Gets the bytes held in the process. */
  getHeldBytes(): HeldBytes {
    return {
      processBytes: this.#processBytes,
      peakProcessBytes: this.#peakProcessBytes,
      streams: this.#bytesByStream.size,
      parked: this.#parkCount,
      closed: this.#closeCount,
    };
  }

  /**
   * Gets the bytes held for a client account.
   *
   * @param account - Name of the client account.
   */
  getAccountBytes(account: string): number {
    return this.#bytesByAccount.get(account) ?? 0;
  }

  /**
   * Sets the bytes held for a stream, parks the slowest stream near a bound, and closes the slowest streams while a bound is passed.
   *
   * @param stream - Stream that holds the bytes.
   * @param bytes - All bytes held for it.
   */
  set(stream: HeldStream, bytes: number): void {
    this.#updateBytes(stream, bytes);
    this.#applyBounds(stream);
    this.#peakProcessBytes = Math.max(
      this.#peakProcessBytes,
      this.#processBytes,
    );
  }

  #applyBounds(stream: HeldStream): void {
    const accountBytes = this.getAccountBytes(stream.account);
    const { maxAccountBytes } = stream;
    if (accountBytes > maxAccountBytes * PARK_THRESHOLD_RATIO) {
      this.#parkOrCloseSlowest((s) =>
        s.account === stream.account &&
        this.getAccountBytes(s.account) > maxAccountBytes, stream.account);
    }
    if (this.#processBytes > this.#maxProcessBytes * PARK_THRESHOLD_RATIO) {
      this.#parkOrCloseSlowest(() =>
        this.#processBytes > this.#maxProcessBytes
      );
    }
  }

  /**
   * Removes a stream that has ended.
   *
   * @param stream - Stream to remove.
   */
  remove(stream: HeldStream): void {
    this.#updateBytes(stream, 0);
    this.#bytesByStream.delete(stream);
  }

  #updateBytes(stream: HeldStream, bytes: number): void {
    const change = bytes - (this.#bytesByStream.get(stream) ?? 0);
    this.#bytesByStream.set(stream, bytes);
    this.#processBytes += change;
    const accountBytes = this.getAccountBytes(stream.account) + change;
    if (accountBytes === 0) {
      this.#bytesByAccount.delete(stream.account);
    } else {
      this.#bytesByAccount.set(stream.account, accountBytes);
    }
  }

  #parkOrCloseSlowest(
    isOverBound: (stream: HeldStream) => boolean,
    account?: string,
  ): void {
    const slowestFirst = [...this.#bytesByStream.entries()]
      .filter(([s, bytes]) =>
        bytes > 0 && (account === undefined || s.account === account)
      )
      .map(([s]) => s)
      .sort((a, b) => a.lastReadAtMs - b.lastReadAtMs);
    const blocked = slowestFirst.filter((s) => s.isBlocked && s.isRunning);
    const stalled = blocked.find((s) =>
      performance.now() - s.lastReadAtMs >= MIN_STALL_BEFORE_PARK_MS
    );
    if (stalled !== undefined) {
      this.#park(stalled);
    }
    for (const stream of blocked) {
      if (isOverBound(stream) && stream.isRunning) {
        this.#park(stream);
      }
    }
    for (const stream of slowestFirst) {
      if (!isOverBound(stream)) {
        return;
      }
      this.#closeCount++;
      stream.close();
      this.remove(stream);
    }
  }

  #park(stream: HeldStream): void {
    this.#parkCount++;
    stream.park();
    this.#updateBytes(stream, stream.heldBytes);
  }
}
