import { type EngineChunk, EngineError } from "../connection/engine_client.ts";
import type { AdmissionRequest, Grant } from "../process/admission.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { InFlightStream } from "../process/in_flight_streams.ts";
import { getBackoffMs } from "../shared/backoff.ts";
import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import { combineVerdicts, type Verdict } from "../shared/verdict.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import { type AttemptEndReason, ChatAttempt } from "./chat_attempt.ts";
import {
  createEngineRequest,
  getKvTokens,
  getPromptText,
} from "./chat_engine_request.ts";
import {
  createEarlyEndError,
  isDeclined,
  MAX_DECLINED_ATTEMPTS,
  MAX_FAILED_ATTEMPTS,
} from "./chat_failure.ts";
import {
  type ChatFailure,
  ChatMove,
  closeAttempt,
  type ReadableAttempt,
} from "./chat_move.ts";
import { ChatPartEvidence } from "./chat_part_evidence.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import type { RequestContext } from "./request_context.ts";
import { getRequestFingerprint } from "./request_fingerprint.ts";
import { TokenSequence } from "./token_sequence.ts";

/** Length of the prompt prefix that is hashed for admission, in characters. */
const PREFIX_HASH_CHARACTERS = 256;
/** Time since the last failure after which a waiting stream may use failed groups again, in milliseconds. It is longer than the monitors need to detect the loss of a group. */
const GROUP_EXCLUSION_MS = 1_000;
/** Number of token batches for each sample of the time between tokens. */
const BATCHES_PER_SAMPLE = 16;

/** Time that a suspect, a request that may have crashed a group, waits for a group without other requests, in milliseconds. The wait is bounded because the loss of one group makes all its requests suspects, and idle groups are rare under load. */
const UNSHARED_GROUP_WAIT_MS = 1_000;

/** Admission grant, and whether it reserves the whole group for the request. */
interface ChatGrant {
  readonly grant: Grant;
  readonly alone: boolean;
}

/** Options of a chat stream. */
export interface ChatStreamOptions {
  readonly body: ChatRequestBody;
  readonly model: ModelConfig;
  readonly request: RequestContext;
}

/** Streams the response to one chat request, resuming on another group after a failure. */
export class ChatStream implements InFlightStream {
  readonly fingerprint: string;
  readonly #context: DaemonContext;
  readonly #options: ChatStreamOptions;
  readonly #controller = new AbortController();
  readonly #sequence = new TokenSequence();
  readonly #excludedGroupIds = new Set<string>();
  readonly #prefixHash: number;
  /** Evidence about the messages before the last one; undefined when there are none. */
  readonly #partEvidence: ChatPartEvidence | undefined;
  #endReason: "caller-disconnected" | "deadline" | undefined;
  #attempt: ChatAttempt | undefined;
  #attemptNumber = 0;
  #isParked = false;
  #startedAtMs = 0;
  #sampleStartedAtMs = 0;
  #batchCount = 0;
  #failedAttemptCount = 0;
  #declinedAttemptCount = 0;
  #lastFailureAtMs = 0;
  /** Attempt that continues the stream after a move. */
  #nextAttempt: ReadableAttempt | undefined;
  #move: ChatMove | undefined;
  #isComplete = false;
  #verdict: Verdict = "not-run";

  constructor(context: DaemonContext, options: ChatStreamOptions) {
    this.#context = context;
    this.#options = options;
    this.fingerprint = getRequestFingerprint(options.body, options.model);
    if (options.body.messages.length > 1) {
      this.#partEvidence = new ChatPartEvidence(
        context.promptParts.quarantine,
        options,
      );
    }
    this.#prefixHash = getHash32(
      getPromptText(options.body).slice(0, PREFIX_HASH_CHARACTERS),
    );
  }

  get requestId(): string {
    return this.#options.request.requestId;
  }

  /** Number of tokens of the response so far. */
  get tokens(): number {
    return this.#sequence.length;
  }

  get groupId(): string | undefined {
    return this.#attempt?.grant.group.groupId;
  }

  get moveGroupId(): string | undefined {
    return this.#move?.groupId;
  }

  get zone(): string | undefined {
    return this.#attempt?.grant.group.zone;
  }

  /** Whether an attempt is in progress. */
  get isRunning(): boolean {
    return this.#attempt !== undefined && this.#attempt.endReason === undefined;
  }

  /**
   * Cancels the request at the engine and releases its grant. The response resumes after the last forwarded token when the next batch is read.
   */
  park(): void {
    if (!this.isRunning) {
      return;
    }
    this.#move?.cancel();
    this.#attempt?.cancel("parked");
    this.#isParked = true;
    this.#context.metrics.count("parks");
    this.#context.events.record("info", {
      event: "stream-parked",
      requestId: this.requestId,
      fields: { tokens: this.tokens },
    });
  }

  requestMove(): void {
    const attempt = this.#attempt;
    const isMoving = this.#move !== undefined ||
      this.#nextAttempt !== undefined;
    if (attempt !== undefined && !isMoving) {
      this.#move = this.#createMove();
      this.#move.run(attempt, this.#controller.signal)
        .catch((error: unknown) => {
          this.#context.logger.write("warn", "stream-move-failed", {
            requestId: this.requestId,
            message: String(error),
          });
        })
        .finally(() => this.#move = undefined);
    }
  }

  /** Cancels the request because the caller has disconnected. */
  cancel(): void {
    this.#stop("caller-disconnected");
  }

  /**
   * Streams the whole response in batches. When a group fails, another group resumes the response after the last forwarded token.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  async *run(): AsyncGenerator<readonly EngineChunk[], void, undefined> {
    const { inFlightStreams, chatRetryBudget } = this.#context;
    const { request } = this.#options;
    this.#startedAtMs = performance.now();
    const onAbort = () => this.#stop("caller-disconnected");
    request.signal.addEventListener("abort", onAbort, { once: true });
    const timer = setTimeout(
      () => this.#stop("deadline"),
      Math.max(0, request.deadlineAtMs - performance.now()),
    );
    inFlightStreams.add(this);
    try {
      this.#checkNotEnded();
      await this.#checkQuarantine();
      chatRetryBudget.recordFirstAttempt();
      while (!this.#isComplete) {
        yield* this.#runAttempt();
      }
    } finally {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", onAbort);
      inFlightStreams.remove(this);
      // Aborting creates an error with a stack trace, so it is skipped unless a move may listen to the signal.
      if (this.#move !== undefined) {
        this.#controller.abort();
        this.#move.cancel();
      }
      const nextAttempt = this.#takeNextAttempt();
      if (nextAttempt !== undefined) {
        await closeAttempt(nextAttempt);
      }
    }
  }

  async *#runAttempt(): AsyncGenerator<
    readonly EngineChunk[],
    void,
    undefined
  > {
    const { attempt, alone, batches } = this.#takeNextAttempt() ??
      await this.#startAttempt();
    this.#attempt = attempt;
    try {
      for await (const batch of batches) {
        if (this.#move !== undefined) {
          await this.#move.waitForBatch(batch);
        }
        if (attempt.endReason === "moved") {
          continue;
        }
        this.#verdict = "may-have-run";
        const chunks = this.#acceptChunks(batch);
        this.#measureBatch(chunks);
        if (chunks.length > 0) {
          this.#partEvidence?.recordTokens(attempt);
          yield chunks;
        }
      }
      if (!this.#isComplete) {
        throw createEarlyEndError();
      }
      this.#removeAttempt(attempt);
      attempt.releaseGrant("finished");
      this.#partEvidence?.recordCompletion();
      if (alone) {
        this.#context.quarantine.recordSafeRun(this.fingerprint);
      }
    } catch (error) {
      this.#recordFailure({ attempt, error, alone });
      await this.#move?.waitUntilDecided();
      this.#removeAttempt(attempt);
      if (this.#nextAttempt === undefined) {
        await this.#waitBeforeRetry(attempt, error);
      }
    } finally {
      this.#removeAttempt(attempt);
      if (!this.#isComplete) {
        attempt.cancel("caller-disconnected");
      }
      attempt.releaseGrant("cancelled");
    }
  }

  /** Ends the current attempt, unless a move has already replaced it. */
  #removeAttempt(attempt: ChatAttempt): void {
    if (this.#attempt === attempt) {
      this.#attempt = undefined;
    }
  }

  async #startAttempt(): Promise<ReadableAttempt> {
    const { grant, alone } = await this.#acquireAndMeasure();
    const attempt = this.#createAttempt(grant);
    if (this.#attemptNumber > 1) {
      this.#context.metrics.count("resumes");
    }
    return { attempt, alone, batches: attempt.run() };
  }

  #createAttempt(grant: Grant): ChatAttempt {
    const { engineClient, settings } = this.#context;
    const { body, model, request } = this.#options;
    this.#attemptNumber++;
    this.#recordAttemptStart(grant);
    return new ChatAttempt({
      engineClient,
      grant,
      engineRequest: createEngineRequest(body, model, {
        requestId: `${request.requestId}.${this.#attemptNumber}`,
        priority: request.account.priority,
        resumeTokens: this.#sequence.getTokenTexts(),
      }),
      tokenTimeouts: {
        firstTokenMs: settings.firstTokenTimeoutMs,
        nextTokenMs: settings.nextTokenTimeoutMs,
      },
    });
  }

  async #acquireAndMeasure(): Promise<ChatGrant> {
    const startedAtMs = performance.now();
    const grant = await this.#acquireGrant();
    this.#context.metrics.record(
      "admission_wait",
      performance.now() - startedAtMs,
    );
    return grant;
  }

  #recordAttemptStart(grant: Grant): void {
    const { events } = this.#context;
    const { requestId, tokens } = this;
    if (this.#isParked) {
      this.#isParked = false;
      events.record("info", {
        event: "stream-resumed",
        requestId,
        fields: { tokens },
      });
    }
    events.record("debug", {
      event: "attempt-started",
      requestId,
      fields: {
        attempt: this.#attemptNumber,
        group: grant.group.groupId,
        generation: grant.group.generation,
        resumedTokens: tokens,
      },
    });
  }

  /** Records the time to the first token, and samples the later batches to keep the overhead per token low. */
  #measureBatch(chunks: readonly EngineChunk[]): void {
    const { metrics } = this.#context;
    const tokens = chunks.at(-1)?.type === "end"
      ? chunks.length - 1
      : chunks.length;
    if (tokens === 0) {
      return;
    }
    metrics.count("tokens", { amount: tokens });
    const batch = this.#batchCount++ % BATCHES_PER_SAMPLE;
    if (this.#batchCount === 1) {
      metrics.record(
        "time_to_first_token",
        performance.now() - this.#startedAtMs,
      );
    } else if (batch === 0) {
      this.#sampleStartedAtMs = performance.now();
    } else if (batch === 1 && this.#sampleStartedAtMs > 0) {
      const gapMs = performance.now() - this.#sampleStartedAtMs;
      metrics.record("time_between_tokens", gapMs / tokens);
    }
  }

  #acceptChunks(batch: readonly EngineChunk[]): EngineChunk[] {
    const acceptedChunks: EngineChunk[] = [];
    for (const chunk of batch) {
      if (chunk.type === "end") {
        this.#isComplete = true;
        acceptedChunks.push({ ...chunk, outputTokens: this.#sequence.length });
        break;
      }
      if (this.#sequence.accept(chunk)) {
        acceptedChunks.push(chunk);
      }
    }
    return acceptedChunks;
  }

  #takeNextAttempt(): ReadableAttempt | undefined {
    const attempt = this.#nextAttempt;
    this.#nextAttempt = undefined;
    return attempt;
  }

  /** Waits for a grant. A stream that has started retries for `resumeTimeoutMs`, since a refusal would truncate its response. */
  async #acquireGrant(): Promise<ChatGrant> {
    const hasStarted = this.#attemptNumber > 0;
    const startedAtMs = performance.now();
    const retryUntilMs = startedAtMs +
      (hasStarted ? this.#context.settings.resumeTimeoutMs : 0);
    for (let retry = 1;; retry++) {
      const isSuspect = this.#context.quarantine.isSuspect(this.fingerprint);
      const alone = isSuspect &&
        performance.now() - startedAtMs <= UNSHARED_GROUP_WAIT_MS;
      const excludedGroupIds = new Set(
        isSuspect && !alone ? this.#listSuspectGroups() : [],
      );
      const grantResult = await this.#requestGrant(
        { alone, excludedGroupIds },
        this.#controller.signal,
      );
      const refusal = grantResult.swap().toMaybe().extract();
      if (this.#endReason !== undefined || refusal === undefined) {
        grantResult.ifRight((grant) =>
          this.#endReason && grant.release("cancelled")
        );
        this.#checkNotEnded();
        return { grant: grantResult.unsafeCoerce(), alone };
      }
      if (performance.now() >= retryUntilMs) {
        throw this.#convertRefusal(refusal);
      }
      this.#clearExcludedGroups();
      await delay(getBackoffMs(retry + 2), this.#controller.signal);
      this.#checkNotEnded();
      await this.#checkQuarantine();
    }
  }

  /** Lists the groups on which this daemon runs another suspect request. If two suspects shared a group, its loss would not show which of them caused it. */
  #listSuspectGroups(): string[] {
    const { inFlightStreams, quarantine } = this.#context;
    return inFlightStreams.getStreams()
      .filter((stream) =>
        stream !== this && quarantine.isSuspect(stream.fingerprint)
      )
      .flatMap(({ groupId, moveGroupId }) => [groupId, moveGroupId])
      .filter((groupId) => groupId !== undefined);
  }

  /** Allows the groups that failed earlier when no other group has free capacity. */
  #clearExcludedGroups(): void {
    if (performance.now() - this.#lastFailureAtMs > GROUP_EXCLUSION_MS) {
      this.#excludedGroupIds.clear();
    }
  }

  #addExcludedGroup(groupId: string): void {
    this.#excludedGroupIds.add(groupId);
    this.#lastFailureAtMs = performance.now();
  }

  /**
   * Waits for a grant of a group that has not failed.
   *
   * @param options - Whether the request must run alone, and further groups to exclude.
   */
  #requestGrant(
    { alone, excludedGroupIds }: Pick<
      AdmissionRequest,
      "alone" | "excludedGroupIds"
    >,
    signal: AbortSignal,
  ) {
    const { body, model, request } = this.#options;
    return this.#context.admission.acquire({
      requestId: request.requestId,
      model,
      account: request.account,
      kvTokens: getKvTokens(body, model),
      prefixHash: this.#prefixHash,
      deadlineAtMs: request.deadlineAtMs,
      excludedGroupIds: new Set([
        ...this.#excludedGroupIds,
        ...excludedGroupIds,
      ]),
      alone,
    }, signal);
  }

  #recordFailure(failure: ChatFailure): void {
    const { attempt, error } = failure;
    const { group } = attempt.grant;
    if (!(error instanceof EngineError) || error.kind === "aborted") {
      return;
    }
    this.#verdict = combineVerdicts(this.#verdict, error.verdict);
    this.#context.events.record("info", {
      event: "attempt-failed",
      requestId: this.requestId,
      fields: {
        attempt: Number(attempt.requestId.slice(this.requestId.length + 1)),
        group: group.groupId,
        kind: error.kind,
        message: error.message,
      },
    });
    if (error.kind === "lost") {
      const { quarantine, inFlightStreams, healthTable } = this.#context;
      const fingerprints = inFlightStreams.getStreams()
        .filter(({ groupId, moveGroupId }) =>
          groupId === group.groupId || moveGroupId === group.groupId
        )
        .map((stream) => stream.fingerprint);
      const bootId = healthTable.getHealth(group.groupId)?.bootId ?? "";
      const lossId = `${group.groupId}@${group.generation}/${bootId}`;
      this.#partEvidence?.recordCrash(attempt, lossId);
      quarantine.recordLoss({
        lossId,
        fingerprints,
        alone: failure.alone && fingerprints.length === 1,
      });
    }
    attempt.releaseGrant("group-failed");
  }

  async #waitBeforeRetry(attempt: ChatAttempt, error: unknown): Promise<void> {
    if (!(error instanceof EngineError)) {
      throw error;
    }
    this.#checkNotEnded();
    if (attempt.endReason === "parked" || attempt.endReason === "moved") {
      return;
    }
    this.#addExcludedGroup(attempt.grant.group.groupId);
    if (isDeclined(error)) {
      this.#declinedAttemptCount++;
    } else {
      this.#failedAttemptCount++;
    }
    await this.#checkQuarantine();
    if (
      this.#failedAttemptCount >= MAX_FAILED_ATTEMPTS ||
      this.#declinedAttemptCount >= MAX_DECLINED_ATTEMPTS ||
      !this.#context.chatRetryBudget.tryAcquire()
    ) {
      throw new RequestError(`The request failed: ${error.message}`, {
        code: "backend-failed",
        verdict: this.#verdict,
        status: 502,
        cause: error,
      });
    }
    const retry = this.#failedAttemptCount + this.#declinedAttemptCount;
    await delay(getBackoffMs(retry), this.#controller.signal);
    this.#checkNotEnded();
  }

  #createMove(): ChatMove {
    const { quarantine } = this.#context;
    return new ChatMove(this.#context, {
      requestId: this.requestId,
      isCurrent: (attempt) =>
        this.#attempt === attempt && attempt.endReason === undefined,
      isRefused: () =>
        quarantine.isQuarantined(this.fingerprint) ||
        this.#partEvidence?.findRefusedMessage() !== undefined,
      isSuspect: () => quarantine.isSuspect(this.fingerprint),
      requestGrant: (options, signal) => this.#requestGrant(options, signal),
      createAttempt: (grant) => this.#createAttempt(grant),
      recordFailure: (failure) => this.#recordFailure(failure),
      addExcludedGroup: (groupId) => this.#addExcludedGroup(groupId),
      clearExcludedGroups: () => this.#clearExcludedGroups(),
      replaceAttempt: (attempt, nextAttempt) =>
        this.#replaceAttempt(attempt, nextAttempt),
    });
  }

  #replaceAttempt(attempt: ChatAttempt, nextAttempt: ReadableAttempt): void {
    const { groupId } = attempt.grant.group;
    this.#context.metrics.count("resumes");
    this.#context.events.record("info", {
      event: "stream-moved",
      requestId: this.requestId,
      fields: {
        group: groupId,
        tokens: this.tokens,
        reason: "its group takes no new work",
        from: groupId,
        to: nextAttempt.attempt.grant.group.groupId,
      },
    });
    this.#nextAttempt = nextAttempt;
    this.#attempt = nextAttempt.attempt;
    attempt.cancel("moved");
  }

  #stop(
    endReason: AttemptEndReason & ("caller-disconnected" | "deadline"),
  ): void {
    if (this.#endReason === undefined && !this.#isComplete) {
      this.#endReason = endReason;
      this.#move?.cancel();
      this.#attempt?.cancel(endReason);
      this.#controller.abort();
    }
  }

  #checkNotEnded(): void {
    if (this.#options.request.signal.aborted) {
      this.#endReason ??= "caller-disconnected";
    }
    if (this.#endReason === "deadline") {
      throw new RequestError("The deadline of the request has passed", {
        code: "deadline-exceeded",
        verdict: this.#getEndVerdict(),
        status: 504,
      });
    }
    if (this.#endReason === "caller-disconnected") {
      throw new RequestError("The caller closed the connection", {
        code: "cancelled",
        verdict: this.#getEndVerdict(),
        status: 499,
      });
    }
  }

  /** Returns the verdict of a request that ends early. An attempt that was started may have run even if it returned no token. */
  #getEndVerdict(): Verdict {
    return this.#attemptNumber > 0
      ? combineVerdicts(this.#verdict, "may-have-run")
      : this.#verdict;
  }

  async #checkQuarantine(): Promise<void> {
    const { quarantine } = this.#context;
    // A suspect must not crash another group while the daemon may be about to quarantine it.
    if (quarantine.isSuspect(this.fingerprint)) {
      await quarantine.waitForDecision(
        this.fingerprint,
        this.#controller.signal,
      );
      this.#checkNotEnded();
    }
    if (quarantine.isQuarantined(this.fingerprint)) {
      throw new RequestError(
        "The request is quarantined because groups failed while running it",
        { code: "quarantined", verdict: this.#verdict, status: 422 },
      );
    }
    const refusedMessage = this.#partEvidence?.findRefusedMessage();
    if (refusedMessage !== undefined) {
      throw new RequestError(
        `The request is quarantined because groups failed while running requests with its message "${refusedMessage}"`,
        { code: "quarantined", verdict: this.#verdict, status: 422 },
      );
    }
  }

  #convertRefusal(refusal: RequestError): RequestError {
    return new RequestError(refusal.message, {
      code: refusal.code,
      verdict: combineVerdicts(this.#verdict, refusal.verdict),
      status: refusal.status,
      retryAfterMs: refusal.retryAfterMs,
      cause: refusal,
    });
  }
}
