import {
  type EngineChatRequest,
  type EngineChunk,
  type EngineClient,
  EngineError,
} from "../connection/engine_client.ts";
import type { Grant, GrantOutcome } from "../process/admission.ts";

/** Reason for which the daemon itself ends an attempt. */
export type AttemptEndReason = "caller-left" | "deadline" | "moved" | "parked";

/** Bounds on the silence of an engine. */
export interface TokenTimeouts {
  readonly firstTokenMs: number;
  readonly nextTokenMs: number;
}

/** Parts of an attempt. */
export interface ChatAttemptOptions {
  readonly engineClient: EngineClient;
  readonly grant: Grant;
  readonly engineRequest: EngineChatRequest;
  readonly limits: TokenTimeouts;
}

/** One run of a request on one group. */
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

  /** Gets why the daemon ended the attempt, or undefined when it did not. */
  get endReason(): AttemptEndReason | "silent" | undefined {
    return this.#endReason;
  }

  /** Gets the id under which the engine knows the attempt. */
  get requestId(): string {
    return this.#options.engineRequest.requestId;
  }

  /**
   * Ends the attempt, even while nobody reads: cancels it at the engine and then gives the grant back.
   *
   * @param reason - Why it ends.
   */
  cancel(reason: AttemptEndReason): void {
    if (this.#endReason === undefined && !this.#isComplete) {
      this.#endReason = reason;
      this.#abortAndRelease("cancelled");
    }
  }

  /**
   * Streams the chunks of the engine, one batch for each read.
   *
   * @throws {EngineError} When the attempt fails; the kind is `silent` when the engine sent nothing in time.
   */
  async *run(): AsyncGenerator<readonly EngineChunk[], void, undefined> {
    const { engineClient, grant, engineRequest, limits } = this.#options;
    const chunks = engineClient.streamChat(
      grant.leaderAddress,
      engineRequest,
      this.#controller.signal,
    )[Symbol.asyncIterator]();
    let isWaiting = true;
    const onSilence = () => {
      if (isWaiting && this.#endReason === undefined && !this.#isComplete) {
        this.#endReason = "silent";
        this.#abortAndRelease("group-failed");
      }
    };
    let timer = setTimeout(onSilence, limits.firstTokenMs);
    try {
      for (let isFirst = true;; isFirst = false) {
        isWaiting = true;
        if (!isFirst) {
          timer.refresh();
        }
        const next = await chunks.next();
        isWaiting = false;
        if (next.done) {
          break;
        }
        if (this.#endReason !== undefined) {
          break;
        }
        if (isFirst) {
          clearTimeout(timer);
          timer = setTimeout(onSilence, limits.nextTokenMs);
        }
        this.#isComplete = next.value.some((chunk) => chunk.type === "end");
        yield next.value;
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
      ? new EngineError("The engine sent no token in time", {
        verdict: "may-have-run",
        kind: "silent",
      })
      : new EngineError(`The attempt was ended: ${endReason}`, {
        verdict: "may-have-run",
        kind: "aborted",
      });
  }

  /**
   * Gives the grant back, unless the attempt is being cancelled: then it is given back when the engine has dropped the request, so that the slot is not used twice.
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
    // The engine also notices the closed connection, so that a lost abort only costs time.
    engineClient.abort(grant.leaderAddress, this.requestId)
      .catch(() => undefined)
      .finally(() => grant.release(outcome));
  }
}
