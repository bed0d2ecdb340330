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
import { type AttemptEnd, ChatAttempt } from "./chat_attempt.ts";
import {
  createEngineRequest,
  getKvTokens,
  getText,
} from "./chat_engine_request.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import type { RequestContext } from "./request_context.ts";
import { getRequestFingerprint } from "./request_fingerprint.ts";
import { TokenSequence } from "./token_sequence.ts";

const PREFIX_CHARACTERS = 256;
const MAX_FAILED_ATTEMPTS = 4;
/** Attempts that engines declined or that reached none. They cost little, and follow one another while the health of a lost group is not known yet. */
const MAX_DECLINED_ATTEMPTS = 32;
/** Time for which a group that failed the request gets no further attempt, longer than the monitors need to notice its loss. */
const EXCLUSION_MS = 1_000;
/** Time between two tries to find another group for a stream that has to move. */
const MOVE_RETRY_MS = 200;

/** Batches of a stream of which one gap is measured. */
const BATCHES_PER_SAMPLE = 16;

/** Time in milliseconds for which a suspect waits for a group of its own. The loss of one group makes suspects of all its streams, and groups that are free of other requests are rare under load. */
const ALONE_WAIT_MS = 1_000;

/** Grant, and whether the request runs alone on its group. */
interface ChatGrant {
  readonly grant: Grant;
  readonly alone: boolean;
}

/** What a stream is made of. */
export interface ChatStreamOptions {
  readonly body: ChatRequestBody;
  readonly model: ModelConfig;
  readonly request: RequestContext;
}

/** Answer to one chat request over all its attempts. */
export class ChatStream implements InFlightStream {
  readonly fingerprint: string;
  readonly #context: DaemonContext;
  readonly #options: ChatStreamOptions;
  readonly #controller = new AbortController();
  readonly #sequence = new TokenSequence();
  readonly #excluded = new Set<string>();
  readonly #prefixHash: number;
  #end: "caller-left" | "deadline" | undefined;
  #attempt: ChatAttempt | undefined;
  #attemptNumber = 0;
  #parked = false;
  #startedAtMs = 0;
  #lastBatchAtMs = 0;
  #batches = 0;
  #failedAttempts = 0;
  #declinedAttempts = 0;
  #lastFailureAtMs = 0;
  #nextGrant: ChatGrant | undefined;
  #moving = false;
  #complete = false;
  #verdict: Verdict = "not-run";

  constructor(context: DaemonContext, options: ChatStreamOptions) {
    this.#context = context;
    this.#options = options;
    this.fingerprint = getRequestFingerprint(options.body, options.model);
    this.#prefixHash = getHash32(
      getText(options.body).slice(0, PREFIX_CHARACTERS),
    );
  }

  get requestId(): string {
    return this.#options.request.requestId;
  }

  /** Gets the number of tokens of the answer so far. */
  get tokens(): number {
    return this.#sequence.length;
  }

  get groupId(): string | undefined {
    return this.#attempt?.grant.group.groupId;
  }

  get zone(): string | undefined {
    return this.#attempt?.grant.group.zone;
  }

  /** Gets whether an engine works for the stream now. */
  get isRunning(): boolean {
    return this.#attempt !== undefined && this.#attempt.end === undefined;
  }

  /**
   * Cancels the request at the engine and gives its grant back. The answer continues after the last token passed on when the next batch is asked for.
   */
  park(): void {
    if (!this.isRunning) {
      return;
    }
    this.#attempt?.cancel("parked");
    this.#parked = true;
    this.#context.metrics.count("parks");
    this.#context.events.record("info", {
      event: "stream-parked",
      requestId: this.requestId,
      fields: { tokens: this.tokens },
    });
  }

  requestMove(): void {
    const attempt = this.#attempt;
    if (attempt !== undefined && !this.#moving) {
      this.#moving = true;
      this.#runMove(attempt)
        .catch((error: unknown) => {
          this.#context.logger.write("warn", "stream-move-failed", {
            requestId: this.requestId,
            message: String(error),
          });
        })
        .finally(() => this.#moving = false);
    }
  }

  /** Cancels the request, since the caller has left. */
  cancel(): void {
    this.#stop("caller-left");
  }

  /**
   * Streams the whole answer in batches. When a group fails, the answer continues on another one after the last token passed on.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  async *run(): AsyncGenerator<readonly EngineChunk[], void, undefined> {
    const { inFlightStreams, chatRetryBudget } = this.#context;
    const { request } = this.#options;
    this.#startedAtMs = performance.now();
    const onLeft = () => this.#stop("caller-left");
    request.signal.addEventListener("abort", onLeft, { once: true });
    const timer = setTimeout(
      () => this.#stop("deadline"),
      Math.max(0, request.deadlineAtMs - performance.now()),
    );
    inFlightStreams.add(this);
    try {
      this.#checkEnd();
      await this.#checkQuarantine();
      chatRetryBudget.recordFirstAttempt();
      while (!this.#complete) {
        yield* this.#runAttempt();
      }
    } finally {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", onLeft);
      inFlightStreams.remove(this);
      // An abort costs the stack trace of its reason, so it is left out when nothing listens.
      if (this.#moving) {
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
      await this.#measureAcquire();
    const attempt = this.#createAttempt(grant);
    this.#attempt = attempt;
    this.#recordStart(grant);
    try {
      for await (const batch of attempt.run()) {
        this.#verdict = "may-have-run";
        const chunks = this.#accept(batch);
        this.#measureBatch(chunks);
        if (chunks.length > 0) {
          yield chunks;
        }
      }
      if (!this.#complete) {
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
      await this.#waitForRetry(attempt, error);
    } finally {
      this.#attempt = undefined;
      if (!this.#complete) {
        attempt.cancel("caller-left");
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
        resumeTokens: this.#sequence.getTexts(),
      }),
      limits: {
        firstTokenMs: settings.firstTokenTimeoutMs,
        nextTokenMs: settings.nextTokenTimeoutMs,
      },
    });
  }

  async #measureAcquire(): Promise<ChatGrant> {
    const startedAtMs = performance.now();
    const acquired = await this.#acquire();
    this.#context.metrics.record(
      "admission_wait",
      performance.now() - startedAtMs,
    );
    return acquired;
  }

  #recordStart(grant: Grant): void {
    const { metrics, events } = this.#context;
    const { requestId, tokens } = this;
    if (this.#attemptNumber > 1) {
      metrics.count("resumes");
    }
    if (this.#parked) {
      this.#parked = false;
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

  /** Measures the first batch and samples the later ones, so that the cost of a token stays small. */
  #measureBatch(chunks: readonly EngineChunk[]): void {
    const { metrics } = this.#context;
    const tokens = chunks.at(-1)?.type === "end"
      ? chunks.length - 1
      : chunks.length;
    if (tokens === 0) {
      return;
    }
    metrics.count("tokens", { by: tokens });
    const batch = this.#batches++ % BATCHES_PER_SAMPLE;
    if (this.#batches === 1) {
      metrics.record(
        "time_to_first_token",
        performance.now() - this.#startedAtMs,
      );
    } else if (batch === 0) {
      this.#lastBatchAtMs = performance.now();
    } else if (batch === 1 && this.#lastBatchAtMs > 0) {
      const gapMs = performance.now() - this.#lastBatchAtMs;
      metrics.record("time_between_tokens", gapMs / tokens);
    }
  }

  #accept(batch: readonly EngineChunk[]): EngineChunk[] {
    const accepted: EngineChunk[] = [];
    for (const chunk of batch) {
      if (chunk.type === "end") {
        this.#complete = true;
        accepted.push({ ...chunk, outputTokens: this.#sequence.length });
        break;
      }
      if (this.#sequence.accept(chunk)) {
        accepted.push(chunk);
      }
    }
    return accepted;
  }

  #takeNextGrant(): ChatGrant | undefined {
    const grant = this.#nextGrant;
    this.#nextGrant = undefined;
    return grant;
  }

  /** Waits for a grant. A stream that has begun tries again for a while, since a refusal would cut its answer. */
  async #acquire(): Promise<ChatGrant> {
    const begun = this.#attemptNumber > 0;
    const startedAtMs = performance.now();
    const limitAtMs = startedAtMs +
      (begun ? this.#context.settings.resumeTimeoutMs : 0);
    for (let retry = 1;; retry++) {
      const suspect = this.#context.quarantine.isSuspect(this.fingerprint);
      const alone = suspect &&
        performance.now() - startedAtMs <= ALONE_WAIT_MS;
      const excluded = suspect && !alone
        ? new Set([...this.#excluded, ...this.#listSuspectGroups()])
        : this.#excluded;
      const granted = await this.#requestGrant(alone, excluded);
      const refusal = granted.swap().toMaybe().extract();
      if (this.#end !== undefined || refusal === undefined) {
        granted.ifRight((grant) => this.#end && grant.release("cancelled"));
        this.#checkEnd();
        return { grant: granted.unsafeCoerce(), alone };
      }
      if (performance.now() >= limitAtMs) {
        throw this.#convertRefusal(refusal);
      }
      // Every other group is full or gone, so the groups that failed before get another chance.
      if (performance.now() - this.#lastFailureAtMs > EXCLUSION_MS) {
        this.#excluded.clear();
      }
      await delay(getBackoffMs(retry + 2), this.#controller.signal);
      this.#checkEnd();
      await this.#checkQuarantine();
    }
  }

  /** Lists the groups on which this daemon runs another suspect. Two suspects on one group could not be told apart by its loss. */
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

  async #waitForRetry(attempt: ChatAttempt, error: unknown): Promise<void> {
    if (!(error instanceof EngineError)) {
      throw error;
    }
    this.#checkEnd();
    if (attempt.end === "parked" || attempt.end === "moved") {
      return;
    }
    this.#excluded.add(attempt.grant.group.groupId);
    this.#lastFailureAtMs = performance.now();
    if (error.kind === "refused" || error.kind === "unreachable") {
      this.#declinedAttempts++;
    } else {
      this.#failedAttempts++;
    }
    await this.#checkQuarantine();
    if (
      this.#failedAttempts >= MAX_FAILED_ATTEMPTS ||
      this.#declinedAttempts >= MAX_DECLINED_ATTEMPTS ||
      !this.#context.chatRetryBudget.tryAcquire()
    ) {
      throw new RequestError(`The request failed: ${error.message}`, {
        code: "backend-failed",
        verdict: this.#verdict,
        status: 502,
        cause: error,
      });
    }
    const retry = this.#failedAttempts + this.#declinedAttempts;
    await delay(getBackoffMs(retry), this.#controller.signal);
    this.#checkEnd();
  }

  async #runMove(attempt: ChatAttempt): Promise<void> {
    const { group } = attempt.grant;
    while (this.#attempt === attempt && attempt.end === undefined) {
      const alone = this.#context.quarantine.isSuspect(this.fingerprint);
      const granted = await this.#requestGrant(
        alone,
        new Set([...this.#excluded, group.groupId]),
      );
      const grant = granted.toMaybe().extract();
      if (grant === undefined) {
        await delay(MOVE_RETRY_MS, this.#controller.signal);
        continue;
      }
      await this.#exportKv(attempt, grant);
      if (this.#attempt !== attempt || attempt.end !== undefined) {
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

  /** Copies the KV cache of the stream where the engines support it. Without it the new group computes the cache again. */
  async #exportKv(attempt: ChatAttempt, grant: Grant): Promise<void> {
    const { engineClient } = this.#context;
    try {
      const kv = await engineClient.exportKv(
        attempt.grant.leaderAddress,
        attempt.requestId,
      );
      await engineClient.importKv(grant.leaderAddress, kv);
    } catch (error) {
      this.#context.logger.write("debug", "kv-transfer-failed", {
        requestId: this.requestId,
        message: String(error),
      });
    }
  }

  #stop(end: AttemptEnd & ("caller-left" | "deadline")): void {
    if (this.#end === undefined && !this.#complete) {
      this.#end = end;
      this.#attempt?.cancel(end);
      this.#controller.abort();
    }
  }

  #checkEnd(): void {
    if (this.#options.request.signal.aborted) {
      this.#end ??= "caller-left";
    }
    if (this.#end === "deadline") {
      throw new RequestError("The deadline of the request has passed", {
        code: "deadline-exceeded",
        verdict: this.#getEndVerdict(),
        status: 504,
      });
    }
    if (this.#end === "caller-left") {
      throw new RequestError("The caller closed the connection", {
        code: "cancelled",
        verdict: this.#getEndVerdict(),
        status: 499,
      });
    }
  }

  /** An attempt that was sent may have run even though nothing came back. */
  #getEndVerdict(): Verdict {
    return this.#attemptNumber > 0
      ? combineVerdicts(this.#verdict, "may-have-run")
      : this.#verdict;
  }

  async #checkQuarantine(): Promise<void> {
    const { quarantine } = this.#context;
    // A request that may be about to be quarantined must not reach a further group.
    if (quarantine.isSuspect(this.fingerprint)) {
      await quarantine.waitForDecision(
        this.fingerprint,
        this.#controller.signal,
      );
      this.#checkEnd();
    }
    if (quarantine.isQuarantined(this.fingerprint)) {
      throw new RequestError(
        "The request is quarantined, since groups failed while they ran it",
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
