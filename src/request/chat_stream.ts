import { type EngineChunk, EngineError } from "../connection/engine_client.ts";
import type { Grant } from "../process/admission.ts";
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
import type { ChatRequestBody } from "./chat_request_schema.ts";
import type { RequestContext } from "./request_context.ts";
import { getRequestFingerprint } from "./request_fingerprint.ts";
import { TokenSequence } from "./token_sequence.ts";

/** Length of the prompt prefix that is hashed for admission, in characters. */
const PREFIX_HASH_CHARACTERS = 256;
/** Number of failed attempts after which a request fails. */
const MAX_FAILED_ATTEMPTS = 4;
/** Number of declined attempts after which a request fails. An attempt counts as declined when the engine refused it or could not be reached. Such attempts are cheap, and several may follow one another until the monitors detect the loss of a group. */
const MAX_DECLINED_ATTEMPTS = 32;
/** Time since the last failure after which a waiting stream may use failed groups again, in milliseconds. It is longer than the monitors need to detect the loss of a group. */
const GROUP_EXCLUSION_MS = 1_000;
/** Interval at which a stream that has to move looks for another group, in milliseconds. */
const MOVE_RETRY_INTERVAL_MS = 200;

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
  #nextGrant: ChatGrant | undefined;
  #isMoving = false;
  #isComplete = false;
  #verdict: Verdict = "not-run";

  constructor(context: DaemonContext, options: ChatStreamOptions) {
    this.#context = context;
    this.#options = options;
    this.fingerprint = getRequestFingerprint(options.body, options.model);
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
    if (attempt !== undefined && !this.#isMoving) {
      this.#isMoving = true;
      this.#moveToOtherGroup(attempt)
        .catch((error: unknown) => {
          this.#context.logger.write("warn", "stream-move-failed", {
            requestId: this.requestId,
            message: String(error),
          });
        })
        .finally(() => this.#isMoving = false);
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
      if (this.#isMoving) {
        this.#controller.abort();
      }
      this.#nextGrant?.grant.release("cancelled");
      this.#nextGrant = undefined;
    }
  }

  async *#runAttempt(): AsyncGenerator<
    readonly EngineChunk[],
    void,
    undefined
  > {
    const { grant, alone } = this.#takeNextGrant() ??
      await this.#acquireAndMeasure();
    const attempt = this.#createAttempt(grant);
    this.#attempt = attempt;
    this.#recordAttemptStart(grant);
    try {
      for await (const batch of attempt.run()) {
        this.#verdict = "may-have-run";
        const chunks = this.#acceptChunks(batch);
        this.#measureBatch(chunks);
        if (chunks.length > 0) {
          yield chunks;
        }
      }
      if (!this.#isComplete) {
        throw new EngineError("The engine ended the stream early", {
          verdict: "may-have-run",
          kind: "lost",
        });
      }
      this.#attempt = undefined;
      attempt.releaseGrant("finished");
      if (alone) {
        this.#context.quarantine.recordSafeRun(this.fingerprint);
      }
    } catch (error) {
      this.#recordFailure({ attempt, error, alone });
      this.#attempt = undefined;
      await this.#waitBeforeRetry(attempt, error);
    } finally {
      this.#attempt = undefined;
      if (!this.#isComplete) {
        attempt.cancel("caller-disconnected");
      }
      attempt.releaseGrant("cancelled");
    }
  }

  #createAttempt(grant: Grant): ChatAttempt {
    const { engineClient, settings } = this.#context;
    const { body, model, request } = this.#options;
    this.#attemptNumber++;
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
    const { metrics, events } = this.#context;
    const { requestId, tokens } = this;
    if (this.#attemptNumber > 1) {
      metrics.count("resumes");
    }
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

  #takeNextGrant(): ChatGrant | undefined {
    const grant = this.#nextGrant;
    this.#nextGrant = undefined;
    return grant;
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
      const excludedGroupIds = isSuspect && !alone
        ? new Set([...this.#excludedGroupIds, ...this.#listSuspectGroups()])
        : this.#excludedGroupIds;
      const grantResult = await this.#requestGrant(alone, excludedGroupIds);
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
      // No other group has free capacity, so groups that failed earlier may be used again.
      if (performance.now() - this.#lastFailureAtMs > GROUP_EXCLUSION_MS) {
        this.#excludedGroupIds.clear();
      }
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
      .flatMap((stream) => stream.groupId ?? []);
  }

  #requestGrant(alone: boolean, excludedGroupIds: ReadonlySet<string>) {
    const { body, model, request } = this.#options;
    return this.#context.admission.acquire({
      requestId: request.requestId,
      model,
      account: request.account,
      kvTokens: getKvTokens(body, model),
      prefixHash: this.#prefixHash,
      deadlineAtMs: request.deadlineAtMs,
      excludedGroupIds,
      alone,
    }, this.#controller.signal);
  }

  #recordFailure(
    failure: { attempt: ChatAttempt; error: unknown; alone: boolean },
  ): void {
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
        attempt: this.#attemptNumber,
        group: group.groupId,
        kind: error.kind,
        message: error.message,
      },
    });
    if (error.kind === "lost") {
      const { quarantine, inFlightStreams, healthTable } = this.#context;
      const fingerprints = inFlightStreams
        .getStreams({ groupId: group.groupId })
        .map((stream) => stream.fingerprint);
      const bootId = healthTable.getHealth(group.groupId)?.bootId ?? "";
      quarantine.recordLoss({
        lossId: `${group.groupId}@${group.generation}/${bootId}`,
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
    this.#excludedGroupIds.add(attempt.grant.group.groupId);
    this.#lastFailureAtMs = performance.now();
    if (error.kind === "refused" || error.kind === "unreachable") {
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

  async #moveToOtherGroup(attempt: ChatAttempt): Promise<void> {
    const { group } = attempt.grant;
    while (this.#attempt === attempt && attempt.endReason === undefined) {
      const alone = this.#context.quarantine.isSuspect(this.fingerprint);
      const grantResult = await this.#requestGrant(
        alone,
        new Set([...this.#excludedGroupIds, group.groupId]),
      );
      const grant = grantResult.toMaybe().extract();
      if (grant === undefined) {
        await delay(MOVE_RETRY_INTERVAL_MS, this.#controller.signal);
        continue;
      }
      await this.#sendKvCache(attempt, grant);
      if (this.#attempt !== attempt || attempt.endReason !== undefined) {
        grant.release("cancelled");
        return;
      }
      this.#context.events.record("info", {
        event: "stream-moved",
        requestId: this.requestId,
        fields: {
          group: group.groupId,
          tokens: this.tokens,
          reason: "its group takes no new work",
          from: group.groupId,
          to: grant.group.groupId,
        },
      });
      this.#nextGrant = { grant, alone };
      attempt.cancel("moved");
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
        requestId: this.requestId,
        message: String(error),
      });
    }
  }

  #stop(
    endReason: AttemptEndReason & ("caller-disconnected" | "deadline"),
  ): void {
    if (this.#endReason === undefined && !this.#isComplete) {
      this.#endReason = endReason;
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
