import type { Response } from "express";
import type { HeldStream } from "../process/held_bytes_limiter.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { ChatStream } from "../request/chat_stream.ts";
import type { RequestContext } from "../request/request_context.ts";

/** Fraction of the byte limit of a stream above which the daemon stops reading from the engine. The remainder has room for the batch that is being written. */
const PAUSE_FRACTION = 0.5;
/** Maximum number of bytes that Node.js buffers from an engine connection while the daemon does not read it. */
const MAX_ENGINE_BUFFER_BYTES = 65_536;
/** Interval at which the progress of a slow caller is checked when no event reports it, in milliseconds. */
const PROGRESS_CHECK_INTERVAL_MS = 100;
/** Events of a response after which its progress is checked. */
const PROGRESS_EVENTS = ["drain", "finish", "close"] as const;

/** Writes a chat response to the caller with back-pressure, and reports the bytes held for it so that the limits on held bytes are enforced. */
export class CallerWriter implements HeldStream {
  readonly account: string;
  readonly maxAccountBytes: number;
  readonly #context: DaemonContext;
  readonly #res: Response;
  readonly #stream: ChatStream;
  readonly #pauseBytes: number;
  #isBlocked = false;
  #lastReadAtMs = performance.now();

  constructor(
    context: DaemonContext,
    options: { res: Response; stream: ChatStream; request: RequestContext },
  ) {
    this.#context = context;
    this.#res = options.res;
    this.#stream = options.stream;
    this.account = options.request.account.name;
    this.maxAccountBytes = options.request.account.maxHeldBytes;
    this.#pauseBytes = context.settings.maxStreamHeldBytes * PAUSE_FRACTION;
  }

  get lastReadAtMs(): number {
    return this.#lastReadAtMs;
  }

  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  get heldBytes(): number {
    const engineBufferBytes = this.#isBlocked && this.#stream.isRunning
      ? MAX_ENGINE_BUFFER_BYTES
      : 0;
    return this.#res.writableLength + engineBufferBytes;
  }

  get isRunning(): boolean {
    return this.#stream.isRunning;
  }

  /** Gets whether data can still be written to the caller. */
  get isOpen(): boolean {
    return !this.#res.destroyed && !this.#res.writableEnded;
  }

  park(): void {
    this.#stream.park();
  }

  close(): void {
    this.#context.logger.write("warn", "slow-caller-closed", {
      requestId: this.#stream.requestId,
      account: this.account,
    });
    this.#stream.cancel();
    this.#res.destroy();
  }

  /**
   * Writes a part of the response. If the buffer for the caller is then too full, it waits until the caller has read enough of it.
   *
   * @param text - Part of the response.
   */
  async write(text: string): Promise<void> {
    const bufferedBytes = this.#res.writableLength;
    this.#context.heldBytes.set(this, bufferedBytes + text.length);
    if (!this.isOpen) {
      return;
    }
    if (!this.#res.write(text) && this.#res.writableLength > this.#pauseBytes) {
      await this.#waitForCaller(() =>
        this.#stream.isRunning
          ? this.#res.writableLength > this.#pauseBytes / 2
          : this.#res.writableLength > 0
      );
    }
    this.#updateHeldBytes();
  }

  /**
   * Writes the last part of the response and waits until all data has been flushed to the caller's connection.
   *
   * @param text - Last part of the response.
   */
  async finish(text: string): Promise<void> {
    this.#context.heldBytes.set(this, this.#res.writableLength + text.length);
    if (this.isOpen) {
      this.#res.end(text);
      await this.#waitForCaller(() => !this.#res.writableFinished);
    }
  }

  /** Removes the bytes of this response from the count of held bytes. */
  dispose(): void {
    this.#context.heldBytes.remove(this);
  }

  /** Waits until the condition no longer holds, and closes the response if the caller reads nothing for too long. */
  async #waitForCaller(isWaiting: () => boolean): Promise<void> {
    this.#lastReadAtMs = performance.now();
    let previousLength = this.#res.writableLength;
    while (!this.#res.destroyed && isWaiting()) {
      this.#isBlocked = true;
      this.#updateHeldBytes();
      await this.#waitForProgress();
      if (this.#res.writableLength < previousLength) {
        this.#lastReadAtMs = performance.now();
      }
      previousLength = this.#res.writableLength;
      const stalledMs = performance.now() - this.#lastReadAtMs;
      if (stalledMs > this.#context.settings.stalledCallerMs) {
        this.close();
      }
    }
    this.#isBlocked = false;
  }

  /** Waits for the next progress event or check interval, whichever comes first. */
  #waitForProgress(): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        clearTimeout(timer);
        PROGRESS_EVENTS.forEach((name) => this.#res.off(name, resume));
        resolve();
      };
      const timer = setTimeout(resume, PROGRESS_CHECK_INTERVAL_MS);
      PROGRESS_EVENTS.forEach((name) => this.#res.on(name, resume));
    });
  }

  #updateHeldBytes(): void {
    if (!this.#res.destroyed) {
      this.#context.heldBytes.set(this, this.heldBytes);
    }
  }
}
