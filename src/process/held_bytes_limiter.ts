/** Fraction of a limit above which the slowest stream is parked, so that streams whose buffers grow in the meantime do not reach the limit itself. */
const PARK_THRESHOLD_RATIO = 0.75;
/** Time for which the caller has to read nothing before its stream is parked near a limit, in milliseconds. Resuming a parked stream requires a new prefill, which is not worthwhile for a reader that pauses only briefly. */
const MIN_STALL_BEFORE_PARK_MS = 200;

/** Stream whose buffered bytes are counted. */
export interface HeldStream {
  /** Name of the client account. */
  readonly account: string;
  /** Limit for all streams of the client account, in bytes. */
  readonly maxAccountBytes: number;
  /** Monotonic time at which the caller last read data, in milliseconds of `performance.now()`. */
  readonly lastReadAtMs: number;
  /** Number of bytes that are currently buffered for the stream. */
  readonly heldBytes: number;
  /** Whether the daemon waits until the caller reads. */
  readonly isBlocked: boolean;
  /** Whether an engine is generating tokens for the stream; false while the stream is parked. */
  readonly isRunning: boolean;
  /** Cancels the request at the engine; the stream resumes when the caller reads again. */
  park(): void;
  /** Ends the stream and frees its buffers. */
  close(): void;
}

/** Number of bytes that the process buffers for slow readers, and the number of times that a limit took effect. */
export interface HeldBytes {
  readonly processBytes: number;
  readonly peakProcessBytes: number;
  readonly streams: number;
  /** Number of times that a stream was parked. */
  readonly parked: number;
  /** Number of streams that were closed. */
  readonly closed: number;
}

/** Counts the bytes that are buffered for each stream, and limits their sum per client account and per process: parks slow streams, and closes them if that does not suffice. */
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

  /** Gets the buffered bytes of the process and the counts of parked and closed streams. */
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
   * Gets the bytes that are buffered for a client account.
   *
   * @param account - Name of the client account.
   */
  getAccountBytes(account: string): number {
    return this.#bytesByAccount.get(account) ?? 0;
  }

  /**
   * Sets the number of bytes that are buffered for a stream. Near a limit, parks the slowest stream; while a limit is exceeded, parks and then closes the slowest streams.
   *
   * @param stream - Stream that the bytes are buffered for.
   * @param bytes - Number of bytes buffered for it.
   */
  set(stream: HeldStream, bytes: number): void {
    this.#updateBytes(stream, bytes);
    this.#applyLimits(stream);
    this.#peakProcessBytes = Math.max(
      this.#peakProcessBytes,
      this.#processBytes,
    );
  }

  #applyLimits(stream: HeldStream): void {
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

  /** Parks the slowest stalled stream. While a limit is exceeded, parks the blocked streams and then closes any streams, slowest first. */
  #parkOrCloseSlowest(
    isOverLimit: (stream: HeldStream) => boolean,
    account?: string,
  ): void {
    const streamsSlowestFirst = [...this.#bytesByStream.entries()]
      .filter(([s, bytes]) =>
        bytes > 0 && (account === undefined || s.account === account)
      )
      .map(([s]) => s)
      .sort((a, b) => a.lastReadAtMs - b.lastReadAtMs);
    const blockedStreams = streamsSlowestFirst.filter((s) =>
      s.isBlocked && s.isRunning
    );
    const stalledStream = blockedStreams.find((s) =>
      performance.now() - s.lastReadAtMs >= MIN_STALL_BEFORE_PARK_MS
    );
    if (stalledStream !== undefined) {
      this.#park(stalledStream);
    }
    for (const stream of blockedStreams) {
      if (isOverLimit(stream) && stream.isRunning) {
        this.#park(stream);
      }
    }
    for (const stream of streamsSlowestFirst) {
      if (!isOverLimit(stream)) {
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
