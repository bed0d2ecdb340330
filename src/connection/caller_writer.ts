import type { Response } from "express";
import type { HeldStream } from "../process/held_bytes_accountant.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { ChatStream } from "../request/chat_stream.ts";
import type { RequestContext } from "../request/request_context.ts";

/** Part of the stream bound at which the engine is read no further; the rest takes the batch that is being written. */
const PAUSE_FRACTION = 0.5;
/** Most bytes that the runtime buffers from an engine's connection that is not read. */
const MAX_ENGINE_BUFFER_BYTES = 65_536;
const PROGRESS_CHECK_INTERVAL_MS = 100;
const PROGRESS_EVENTS = ["drain", "finish", "close"] as const;

/** Writes an answer to its caller, with back-pressure and within the bounds of held bytes. */
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

  /** Gets whether the caller can still be written to. */
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
   * Writes a part of the answer. Waits while the caller has too much to read.
   *
   * @param text - Part of the answer.
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
   * Writes the last part and waits until the caller has taken everything.
   *
   * @param text - Last part of the answer.
   */
  async finish(text: string): Promise<void> {
    this.#context.heldBytes.set(this, this.#res.writableLength + text.length);
    if (this.isOpen) {
      this.#res.end(text);
      await this.#waitForCaller(() => !this.#res.writableFinished);
    }
  }

  /** Gives back all counted bytes. */
  dispose(): void {
    this.#context.heldBytes.remove(this);
  }

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
