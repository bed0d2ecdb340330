import type { Response } from "express";
import type { HeldStream } from "../process/held_bytes_limiter.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { ChatStream } from "../request/chat_stream.ts";
import type { RequestContext } from "../request/request_context.ts";

/** Part of the stream bound at which the engine is read no further; the rest takes the batch that is being written. */
const PAUSE_SHARE = 0.5;
/** Most bytes that the runtime buffers from an engine's connection that is not read. */
const ENGINE_BUFFER_BYTES = 65_536;
const PROGRESS_CHECK_MS = 100;
const PROGRESS_EVENTS = ["drain", "finish", "close"] as const;

/** Writes an answer to its caller, with back-pressure and within the bounds of held bytes. */
export class CallerWriter implements HeldStream {
  readonly account: string;
  readonly maxAccountBytes: number;
  readonly #context: DaemonContext;
  readonly #res: Response;
  readonly #stream: ChatStream;
  readonly #pauseBytes: number;
  #blocked = false;
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
    this.#pauseBytes = context.settings.maxStreamHeldBytes * PAUSE_SHARE;
  }

  get lastReadAtMs(): number {
    return this.#lastReadAtMs;
  }

  get isBlocked(): boolean {
    return this.#blocked;
  }

  get heldBytes(): number {
    const engineBuffer = this.#blocked && this.#stream.isRunning
      ? ENGINE_BUFFER_BYTES
      : 0;
    return this.#res.writableLength + engineBuffer;
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
    const waiting = this.#res.writableLength;
    this.#context.heldBytes.set(this, waiting + text.length);
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
    this.#update();
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
    let length = this.#res.writableLength;
    while (!this.#res.destroyed && isWaiting()) {
      this.#blocked = true;
      this.#update();
      await this.#waitForProgress();
      if (this.#res.writableLength < length) {
        this.#lastReadAtMs = performance.now();
      }
      length = this.#res.writableLength;
      const silentMs = performance.now() - this.#lastReadAtMs;
      if (silentMs > this.#context.settings.stalledCallerMs) {
        this.close();
      }
    }
    this.#blocked = false;
  }

  #waitForProgress(): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        PROGRESS_EVENTS.forEach((name) => this.#res.off(name, finish));
        resolve();
      };
      const timer = setTimeout(finish, PROGRESS_CHECK_MS);
      PROGRESS_EVENTS.forEach((name) => this.#res.on(name, finish));
    });
  }

  #update(): void {
    if (!this.#res.destroyed) {
      this.#context.heldBytes.set(this, this.heldBytes);
    }
  }
}
