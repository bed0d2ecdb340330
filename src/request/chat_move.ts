import type { Either } from "purify-ts";
import { type EngineChunk, EngineError } from "../connection/engine_client.ts";
import type { AdmissionRequest, Grant } from "../process/admission.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { delay } from "../shared/delay.ts";
import type { RequestError } from "../shared/errors.ts";
import type { ChatAttempt } from "./chat_attempt.ts";
import {
  createEarlyEndError,
  isDeclined,
  MAX_DECLINED_ATTEMPTS,
  MAX_FAILED_ATTEMPTS,
} from "./chat_failure.ts";
import { StreamMove } from "./routed/stream_move.ts";

/** Interval at which a stream that has to move looks for another group, in milliseconds. */
const MOVE_RETRY_INTERVAL_MS = 200;

/** Attempt whose response can be read. */
export interface ReadableAttempt {
  readonly attempt: ChatAttempt;
  /** Whether the whole group is reserved for the request. */
  readonly alone: boolean;
  readonly batches: AsyncGenerator<readonly EngineChunk[], void, undefined>;
}

/** Failed attempt of a chat request. */
export interface ChatFailure {
  readonly attempt: ChatAttempt;
  readonly error: unknown;
  readonly alone: boolean;
}

/** Stream that is moved to another group. */
export interface MovableStream {
  readonly requestId: string;
  /** Gets whether the stream still reads from an attempt. */
  isCurrent(attempt: ChatAttempt): boolean;
  /** Gets whether the request is refused because groups failed while running it. */
  isRefused(): boolean;
  isSuspect(): boolean;
  /** Waits for a grant of a group other than that of the current attempt. */
  requestGrant(
    options: Pick<AdmissionRequest, "alone" | "excludedGroupIds">,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>>;
  /** Creates an attempt that continues after the tokens accepted so far. */
  createAttempt(grant: Grant): ChatAttempt;
  recordFailure(failure: ChatFailure): void;
  /** Excludes a group that failed from the next attempts. */
  addExcludedGroup(groupId: string): void;
  /** Allows the groups that failed some time ago. */
  clearExcludedGroups(): void;
  /** Continues the stream with another attempt and ends the current one. */
  replaceAttempt(attempt: ChatAttempt, nextAttempt: ReadableAttempt): void;
}

/**
 * Moves a stream from a group that takes no new work to another one.
 *
 * The current attempt goes on until the other engine has sent its first batch. Meanwhile the stream accepts no tokens, since the other engine continues after those that were accepted before, and with sampling its next tokens may differ.
 *
 * @example
 * ```ts
 * const move = new ChatMove(context, stream);
 * await move.run(attempt, signal);
 * ```
 */
export class ChatMove {
  readonly #context: DaemonContext;
  readonly #stream: MovableStream;
  /** Current try to move the stream. */
  #move: StreamMove<ReadableAttempt> | undefined;
  #groupId: string | undefined;
  #failedCount = 0;
  #declinedCount = 0;
  #wasSilent = false;

  constructor(context: DaemonContext, stream: MovableStream) {
    this.#context = context;
    this.#stream = stream;
  }

  /** Group to which the request was sent, until that group has begun to respond. */
  get groupId(): string | undefined {
    return this.#groupId;
  }

  /**
   * Tries to move the stream until it has moved or its current attempt has ended. Gives up after too many failures, or after one silent engine, since that has already held the stream back for the longest accepted time; the stream then stays at its group.
   *
   * @param attempt - Current attempt of the stream.
   * @param signal - Aborts when the stream ends.
   */
  async run(attempt: ChatAttempt, signal: AbortSignal): Promise<void> {
    const { chatRetryBudget } = this.#context;
    let hasPermit = true;
    while (
      this.#stream.isCurrent(attempt) && !this.#stream.isRefused() &&
      !this.#wasSilent &&
      this.#failedCount < MAX_FAILED_ATTEMPTS &&
      this.#declinedCount < MAX_DECLINED_ATTEMPTS
    ) {
      hasPermit ||= chatRetryBudget.tryAcquire();
      if (hasPermit) {
        const state = await this.#runTry(attempt);
        if (state === "taken") {
          return;
        }
        // The first request of a planned move needs no retry permit, unlike its repetitions.
        hasPermit = state === "waiting";
      }
      await delay(MOVE_RETRY_INTERVAL_MS, signal);
    }
  }

  /** Waits with a batch of the current attempt while the request is at the other engine. A batch that completes the response cancels the move instead. */
  async waitForBatch(batch: readonly EngineChunk[]): Promise<void> {
    if (batch.some(({ type }) => type === "end")) {
      this.cancel();
    } else {
      await this.waitUntilDecided();
    }
  }

  /** Waits while the request is at the other engine. A move that has not sent the request yet ends by itself when the current attempt has ended. */
  async waitUntilDecided(): Promise<void> {
    if (this.#move?.state === "sent") {
      await this.#move.result;
    }
  }

  /** Cancels the move unless the other group already continues the stream. */
  cancel(): void {
    this.#move?.cancel();
  }

  async #runTry(attempt: ChatAttempt): Promise<StreamMove["state"]> {
    const move = new StreamMove<ReadableAttempt>((m) =>
      this.#sendToOtherGroup(attempt, m)
    );
    this.#move = move;
    try {
      await move.result;
    } finally {
      this.#move = undefined;
      this.#groupId = undefined;
    }
    return move.state;
  }

  async #sendToOtherGroup(
    attempt: ChatAttempt,
    move: StreamMove<ReadableAttempt>,
  ): Promise<ReadableAttempt | undefined> {
    const { groupId } = attempt.grant.group;
    const alone = this.#stream.isSuspect();
    const grantResult = await this.#stream.requestGrant(
      { alone, excludedGroupIds: new Set([groupId]) },
      move.signal,
    );
    const grant = grantResult.toMaybe().extract();
    if (grant === undefined) {
      this.#stream.clearExcludedGroups();
      return undefined;
    }
    await this.#sendKvCache(attempt, grant);
    if (!this.#stream.isCurrent(attempt) || move.signal.aborted) {
      grant.release("cancelled");
      return undefined;
    }
    move.recordSent();
    this.#groupId = grant.group.groupId;
    const nextAttempt = this.#stream.createAttempt(grant);
    const batches = nextAttempt.run();
    const onAbort = () => nextAttempt.cancel("moved");
    move.signal.addEventListener("abort", onAbort, { once: true });
    try {
      const first = await batches.next();
      if (first.done) {
        throw createEarlyEndError();
      }
      if (!move.signal.aborted) {
        return this.#continueAt({
          attempt: nextAttempt,
          alone,
          batches: combineBatches(first.value, batches),
        }, { attempt, move });
      }
    } catch (error) {
      this.#recordFailure({ attempt: nextAttempt, error, alone });
    } finally {
      move.signal.removeEventListener("abort", onAbort);
    }
    await closeAttempt({ attempt: nextAttempt, alone, batches });
    return undefined;
  }

  #continueAt(
    nextAttempt: ReadableAttempt,
    { attempt, move }: {
      attempt: ChatAttempt;
      move: StreamMove<ReadableAttempt>;
    },
  ): ReadableAttempt {
    move.recordTaken();
    this.#stream.replaceAttempt(attempt, nextAttempt);
    return nextAttempt;
  }

  #recordFailure(failure: ChatFailure): void {
    const { attempt, error } = failure;
    this.#stream.recordFailure(failure);
    if (!(error instanceof EngineError) || error.kind === "aborted") {
      return;
    }
    this.#stream.addExcludedGroup(attempt.grant.group.groupId);
    this.#wasSilent ||= error.kind === "silent";
    if (isDeclined(error)) {
      this.#declinedCount++;
    } else {
      this.#failedCount++;
    }
  }

  /** Copies the stream's KV cache to the new group if the engines support it. Otherwise the new group computes the cache again. */
  async #sendKvCache(attempt: ChatAttempt, grant: Grant): Promise<void> {
    const { engineClient } = this.#context;
    try {
      const kvCache = await engineClient.exportKv(
        attempt.grant.leaderAddress,
        attempt.requestId,
      );
      await engineClient.importKv(grant.leaderAddress, kvCache);
    } catch (error) {
      this.#context.logger.write("debug", "kv-transfer-failed", {
        requestId: this.#stream.requestId,
        message: String(error),
      });
    }
  }
}

/** Ends an attempt that does not continue the stream. */
export async function closeAttempt(
  { attempt, batches }: ReadableAttempt,
): Promise<void> {
  attempt.cancel("moved");
  attempt.releaseGrant("cancelled");
  await batches.return();
}

async function* combineBatches(
  first: readonly EngineChunk[],
  others: AsyncGenerator<readonly EngineChunk[], void, undefined>,
): AsyncGenerator<readonly EngineChunk[], void, undefined> {
  try {
    yield first;
    yield* others;
  } finally {
    await others.return();
  }
}
