import {
  type EngineChatRequest,
  type EngineChunk,
  type EngineClient,
  EngineError,
} from "../connection/engine_client.ts";
import type { Grant, GrantOutcome } from "../process/admission.ts";

/** Reason why the daemon ended an attempt. */
export type AttemptEndReason =
  | "caller-disconnected"
  | "deadline"
  | "moved"
  | "parked";

/** Timeouts for the tokens of an engine, in milliseconds. */
export interface TokenTimeouts {
  readonly firstTokenMs: number;
  readonly nextTokenMs: number;
}

/** Options of a chat attempt. */
export interface ChatAttemptOptions {
  readonly engineClient: EngineClient;
  readonly grant: Grant;
  readonly engineRequest: EngineChatRequest;
  readonly tokenTimeouts: TokenTimeouts;
}

/** Single attempt to run a chat request on one group. */
export class ChatAttempt {
  readonly grant: Grant;
  readonly #options: ChatAttemptOptions;
  readonly #controller = new AbortController();
  #endReason: AttemptEndReason | "silent" | undefined;
  #isComplete = false;
  #isCancelling = false;

  constructor(options: ChatAttemptOptions) {
    this.#options = options;
    this.grant = options.grant;
  }

  /** Reason why the daemon ended the attempt, or undefined when it did not end it. */
  get endReason(): AttemptEndReason | "silent" | undefined {
    return this.#endReason;
  }

  /** Request id that was sent to the engine for this attempt. */
  get requestId(): string {
    return this.#options.engineRequest.requestId;
  }

  /**
   * Cancels the attempt at the engine and then releases the grant, even while no reader consumes the stream.
   *
   * @param reason - Why the attempt ends.
   */
  cancel(reason: AttemptEndReason): void {
    if (this.#endReason === undefined && !this.#isComplete) {
      this.#endReason = reason;
      this.#abortAndRelease("cancelled");
    }
  }

  /**
   * Streams the chunks of the engine in batches.
   *
   * @throws {EngineError} When the attempt fails; the kind is `silent` when the engine exceeded a token timeout.
   */
  async *run(): AsyncGenerator<readonly EngineChunk[], void, undefined> {
    const { engineClient, grant, engineRequest, tokenTimeouts } = this.#options;
    const chunks = engineClient.streamChat(
      grant.leaderAddress,
      engineRequest,
      this.#controller.signal,
    )[Symbol.asyncIterator]();
    let isWaiting = true;
    const onTokenTimeout = () => {
      if (isWaiting && this.#endReason === undefined && !this.#isComplete) {
        this.#endReason = "silent";
        this.#abortAndRelease("group-failed");
      }
    };
    let timer = setTimeout(onTokenTimeout, tokenTimeouts.firstTokenMs);
    try {
      for (let isFirst = true;; isFirst = false) {
        isWaiting = true;
        if (!isFirst) {
          timer.refresh();
        }
        const result = await chunks.next();
        isWaiting = false;
        if (result.done) {
          break;
        }
        if (this.#endReason !== undefined) {
          break;
        }
        if (isFirst) {
          clearTimeout(timer);
          timer = setTimeout(onTokenTimeout, tokenTimeouts.nextTokenMs);
        }
        this.#isComplete = result.value.some((chunk) => chunk.type === "end");
        yield result.value;
      }
    } catch (error) {
      if (this.#endReason === undefined) {
        throw error;
      }
    } finally {
      clearTimeout(timer);
      await chunks.return?.();
    }
    if (this.#endReason !== undefined) {
      throw this.#createEndError(this.#endReason);
    }
  }

  #createEndError(endReason: AttemptEndReason | "silent"): EngineError {
    return endReason === "silent"
      ? new EngineError("The engine sent no token within the timeout", {
        verdict: "may-have-run",
        kind: "silent",
      })
      : new EngineError(`The daemon ended the attempt: ${endReason}`, {
        verdict: "may-have-run",
        kind: "aborted",
      });
  }

  /**
   * Releases the grant. While the attempt is being cancelled this has no effect: the grant is released once the engine has dropped the request, so that two requests never share the slot.
   *
   * @param outcome - How the attempt ended.
   */
  releaseGrant(outcome: GrantOutcome): void {
    if (!this.#isCancelling) {
      this.grant.release(outcome);
    }
  }

  #abortAndRelease(outcome: GrantOutcome): void {
    const { engineClient, grant } = this.#options;
    this.#isCancelling = true;
    this.#controller.abort();
    // The engine also detects the closed connection, so a lost abort request only delays the cancellation.
    engineClient.abort(grant.leaderAddress, this.requestId)
      .catch(() => undefined)
      .finally(() => grant.release(outcome));
  }
}
