import {
  BackendError,
  type BackendResponse,
} from "../../connection/backend_transport.ts";
import type { GroupGrant } from "../../process/fleet/group_admission.ts";
import type { ReplicaGroup } from "../../process/fleet/group_table.ts";
import {
  getReturnDeadlineMs,
  type RefusedReturn,
} from "../../process/waiting/refusal_record.ts";
import { RequestError } from "../../shared/errors.ts";
import type { LogFields } from "../../shared/logger.ts";
import { combineVerdicts, type Verdict } from "../../shared/verdict.ts";
import type { EngineProfile } from "../../version/routing_config.ts";
import {
  type ServerSentEvent,
  ServerSentEventParser,
} from "./server_sent_events.ts";
import {
  type AttemptResult,
  convertAttemptError,
  describeConnection,
  describeFailure,
  isPausing,
  isReset,
  readRefusal,
} from "./attempt_result.ts";
import { AttemptedServers } from "./attempted_servers.ts";
import { CrashEvidence, formatPromptParts } from "./crash_evidence.ts";
import { GroupAttempt } from "./group_attempt.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import type { RequestScope } from "./request_scope.ts";
import type { ModelRequest } from "./routed_request.ts";
import { SentAddresses } from "./sent_addresses.ts";
import {
  getMaxPauseMs,
  MIN_MOVE_SILENCE_MS,
  type RespondingAttempt,
  StreamMove,
  waitForBody,
} from "./stream_move.ts";
import { StreamProgress } from "./stream_progress.ts";

/** Share of the remaining time that a request may wait for a free slot before its response has started. */
const FIRST_ADMISSION_WAIT_SHARE = 0.3;
const MS_PER_SECOND = 1_000;
/** Maximum number of retries after a group declined the request without running it. Declined attempts are cheap, and a closing group declines requests until this daemon learns of its state. */
const MAX_DECLINED_ATTEMPTS = 4;

/**
 * Limit that forbids another attempt.
 *
 * - `route`: the request may have run, and its route permits no resumption.
 * - `servers`: as many servers as the route permits have run it, and it may return to none of them.
 * - `declined`: too many attempts were declined.
 * - `budget`: the retries of the service are used up.
 */
type RetryLimit = "route" | "servers" | "declined" | "budget";

/** Forwards one request to the replica groups of a model and streams the response to the caller, resuming on another group after a failure. */
export class ModelStreamForwarder implements RequestForwarder {
  readonly #scope: RequestScope;
  readonly #engine: EngineProfile;
  readonly #modelRequest: ModelRequest;
  readonly #excludedGroupKeys = new Set<string>();
  readonly #crashEvidence: CrashEvidence;
  #isAttemptRunning = false;
  /** Move to another group while the group of the current attempt is silent. */
  #move: StreamMove | undefined;
  readonly #progress: StreamProgress;
  readonly #servers: AttemptedServers;
  readonly #sentAddresses = new SentAddresses();
  /** Return of the caller after a refusal; undefined when none is known. */
  readonly #refusedReturn: RefusedReturn | undefined;
  #verdict: Verdict = "not-run";
  #attemptCount = 0;
  #declinedCount = 0;
  #admissionWaitMs = 0;
  #lastGroupKey: string | undefined;

  constructor(scope: RequestScope, options: {
    engine: EngineProfile;
    modelRequest: ModelRequest;
  }) {
    this.#scope = scope;
    this.#engine = options.engine;
    this.#modelRequest = options.modelRequest;
    this.#progress = new StreamProgress(scope.request.resumeAfter);
    this.#servers = new AttemptedServers({
      maxServers: scope.route.maxAttempts,
    });
    this.#crashEvidence = new CrashEvidence(scope, options.modelRequest);
    this.#refusedReturn = scope.context.refusals?.takeReturn(
      this.#crashEvidence.fingerprint,
    );
  }

  get hasBeenSent(): boolean {
    return this.#isAttemptRunning || this.#verdict !== "not-run";
  }

  /** Returns the log fields of the completed request. */
  getLogFields(): LogFields {
    return {
      model: this.#modelRequest.model,
      group: this.#lastGroupKey,
      attempts: this.#attemptCount,
      waitedMs: Math.round(this.#admissionWaitMs),
      ...this.#refusedReturn,
      ...this.#progress.getLogFields(),
    };
  }

  /**
   * Forwards the request until its response is complete. When a group fails, another group continues the response after the last event sent to the caller.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  async run(): Promise<void> {
    try {
      await this.#runAttempts();
    } catch (error) {
      this.#recordRefusal(error);
      throw error;
    } finally {
      this.#move?.cancel();
    }
  }

  /** Records the refusal of a request that has certainly not run, so that its caller is preferred when it returns. */
  #recordRefusal(error: unknown): void {
    const { context, account, request } = this.#scope;
    const isRefusal = error instanceof RequestError &&
      error.code === "no-capacity" && error.verdict === "not-run" &&
      !request.signal.aborted;
    if (isRefusal && error.retryAfterMs !== undefined) {
      context.refusals?.recordRefusal({
        fingerprint: this.#crashEvidence.fingerprint,
        account,
        returnMs: error.retryAfterMs,
      });
    }
  }

  async #runAttempts(): Promise<void> {
    let movedAttempt: RespondingAttempt | undefined;
    for (;;) {
      const attempt = movedAttempt?.attempt ?? await this.#startAttempt();
      const { group } = attempt;
      this.#lastGroupKey = group.key;
      this.#isAttemptRunning = true;
      const result = await this.#runAttempt(attempt, movedAttempt?.response);
      await this.#recordResult(attempt, result);
      movedAttempt = await this.#finishMove(result);
      this.#isAttemptRunning = false;
      if (result.outcome === "complete") {
        this.#crashEvidence.recordCompletion();
        return;
      }
      // The answer of another group cannot follow a stream that has started.
      if (result.outcome === "answered" && !this.#scope.writer.hasStarted()) {
        const { status, headers } = result.response;
        this.#scope.writer.sendResponse(status, headers, result.body);
        return;
      }
      this.#recordExclusion(group, result);
      if (movedAttempt === undefined) {
        this.#checkRetryAllowed(result);
      }
    }
  }

  async #startAttempt(): Promise<GroupAttempt> {
    this.#crashEvidence.checkLimit(this.#verdict);
    return this.#createAttempt(await this.#acquireGrant());
  }

  #createAttempt(grant: GroupGrant): GroupAttempt {
    this.#attemptCount++;
    const attempt: GroupAttempt = new GroupAttempt(this.#scope, {
      grant,
      onSilence: (reason) => this.#handleSilence(attempt, reason),
    });
    return attempt;
  }

  /** Starts to move the stream away from a silent group, or ends the attempt when callers no longer wait for its next event. */
  #handleSilence(attempt: GroupAttempt, reason: string): void {
    const isHopeless = this.#move?.state !== "sent" &&
      attempt.getSilenceMs() >= getMaxPauseMs(this.#scope.route);
    if (isHopeless) {
      const silenceMs = Math.round(attempt.getSilenceMs());
      attempt.abort(`no event for ${silenceMs} ms, and ${reason}`);
    } else {
      this.#startMove(attempt, reason);
    }
  }

  /** Starts to move the stream to another group, if the route permits another attempt. */
  #startMove(attempt: GroupAttempt, reason: string): void {
    const { context, service } = this.#scope;
    const canMove = this.#move === undefined && !attempt.signal.aborted &&
      attempt.getSilenceMs() >= MIN_MOVE_SILENCE_MS &&
      this.#hasAnotherAttempt(attempt.group.head.id) &&
      this.#declinedCount <= MAX_DECLINED_ATTEMPTS &&
      context.getRetryBudget(service.name).hasPermit();
    if (canMove) {
      this.#move = new StreamMove((move) =>
        this.#runMove(move, attempt, reason)
      );
    }
  }

  async #runMove(
    move: StreamMove,
    currentAttempt: GroupAttempt,
    reason: string,
  ): Promise<RespondingAttempt | undefined> {
    let movedAttempt: RespondingAttempt | undefined;
    try {
      const grant = await this.#waitForMoveGrant(move, currentAttempt);
      if (move.signal.aborted) {
        grant?.release();
      } else if (grant !== undefined) {
        move.recordSent();
        movedAttempt = await this.#openMovedAttempt(move, grant);
      }
    } catch (error) {
      // The current attempt goes on.
      this.#scope.context.logger.write("error", "stream-move-failed", {
        requestId: this.#scope.request.requestId,
        message: error instanceof Error ? error.stack : String(error),
      });
    }
    if (movedAttempt === undefined) {
      this.#move = this.#move === move ? undefined : this.#move;
      return undefined;
    }
    currentAttempt.abort(reason);
    this.#recordMove(currentAttempt, movedAttempt.attempt, reason);
    return movedAttempt;
  }

  /** Sends the request of a move to another group; returns the attempt if the group responds before the move is cancelled. */
  async #openMovedAttempt(
    move: StreamMove,
    grant: GroupGrant,
  ): Promise<RespondingAttempt | undefined> {
    const { signal } = move;
    const attempt = this.#createAttempt(grant);
    const dispose = () => attempt.dispose();
    signal.addEventListener("abort", dispose, { once: true });
    let hasResponded = false;
    try {
      const result = await this.#sendMove(attempt);
      hasResponded = !("outcome" in result) && !signal.aborted;
      if ("outcome" in result) {
        attempt.dispose();
        await this.#recordResult(attempt, result);
        if (signal.aborted) {
          this.#servers.recordCancellation(attempt.group.head.id);
        } else {
          this.#recordExclusion(attempt.group, result);
        }
        return undefined;
      }
      // A group that responds after the silent one has gone on may have run the request, too.
      if (!hasResponded) {
        this.#servers.add(attempt.group.head.id);
        this.#servers.recordCancellation(attempt.group.head.id);
        return undefined;
      }
      move.recordTaken();
      return { attempt, response: result };
    } finally {
      if (!hasResponded) {
        attempt.dispose();
      }
    }
  }

  /** Waits for a slot of another group until the current attempt goes on; undefined if there is none or the retry budget is exhausted. */
  async #waitForMoveGrant(
    { signal }: StreamMove,
    currentAttempt: GroupAttempt,
  ): Promise<GroupGrant | undefined> {
    const { context, service } = this.#scope;
    const grant = await this.#waitForGrant({
      excludedGroups: new Set([
        ...this.#excludedGroupKeys,
        currentAttempt.group.key,
      ]),
      permittedServers: this.#servers.findPermitted(
        currentAttempt.group.head.id,
      ),
      waitShare: 1,
      signal,
    }).catch((error: unknown) => {
      if (!(error instanceof RequestError)) {
        throw error;
      }
      return undefined;
    });
    const isPermitted = !signal.aborted && !currentAttempt.signal.aborted &&
      !this.#crashEvidence.isRefused() && grant !== undefined &&
      context.getRetryBudget(service.name).tryAcquire();
    if (!isPermitted) {
      grant?.release();
      return undefined;
    }
    return grant;
  }

  /** Sends the request of a move, and returns the response if it continues the stream, or the result of the attempt. */
  async #sendMove(
    attempt: GroupAttempt,
  ): Promise<BackendResponse | AttemptResult> {
    try {
      const response = await this.#sendRequest(attempt);
      return response.verdict !== "not-run" && response.status === 200
        ? await waitForBody(response)
        : await readRefusal(response);
    } catch (error) {
      return convertAttemptError(error, attempt.lossReason);
    }
  }

  #recordMove(
    from: GroupAttempt,
    to: GroupAttempt,
    reason: string,
  ): void {
    const { context: { logger, metrics }, request } = this.#scope;
    metrics.count("resumes");
    logger.write("info", "stream-moved", {
      requestId: request.requestId,
      from: from.group.key,
      to: to.group.key,
      reason,
      lastEvent: this.#progress.lastEventId,
      tookMs: Math.round(performance.now() - to.startedAtMs),
    });
  }

  /** Ends the moves that were started during an attempt, and returns the attempt that continues its response. */
  async #finishMove(
    result: AttemptResult,
  ): Promise<RespondingAttempt | undefined> {
    const isFinal = result.outcome === "complete" ||
      (result.outcome === "answered" && !this.#scope.writer.hasStarted());
    // The group of a move may fall silent too, which starts another move.
    for (let move = this.#move; move !== undefined; move = this.#move) {
      this.#move = undefined;
      if (isFinal || move.state === "waiting") {
        move.cancel();
      }
      const movedAttempt = await move.result;
      if (movedAttempt !== undefined && !isFinal) {
        return movedAttempt;
      }
      movedAttempt?.attempt.dispose();
    }
    return undefined;
  }

  /** Refuses a request that has not run and may outlast a planned stop of this daemon. */
  #checkStop(): void {
    const { context, writer, deadlineAtMs } = this.#scope;
    if (this.#verdict === "not-run" && !writer.hasStarted()) {
      context.plannedStop.checkDeadline(deadlineAtMs);
    }
  }

  async #acquireGrant(): Promise<GroupGrant> {
    const { request, writer } = this.#scope;
    const grant = await this.#waitForGrant({
      excludedGroups: this.#excludedGroupKeys,
      permittedServers: this.#servers.findPermitted(),
      waitShare: writer.hasStarted() ? 1 : FIRST_ADMISSION_WAIT_SHARE,
      signal: request.signal,
    });
    try {
      // The crashes for which the request is refused may have happened while it waited, and a planned stop may have begun.
      this.#crashEvidence.checkLimit(this.#verdict);
      this.#checkStop();
    } catch (error) {
      grant.release();
      throw error;
    }
    return grant;
  }

  async #waitForGrant(options: {
    excludedGroups: ReadonlySet<string>;
    permittedServers: ReadonlySet<string> | undefined;
    /** Share of the remaining time for which the request may wait. */
    waitShare: number;
    signal: AbortSignal;
  }): Promise<GroupGrant> {
    const { context, request, service, priority, deadlineAtMs, route } =
      this.#scope;
    const nowMs = performance.now();
    const hasStarted = this.#scope.writer.hasStarted();
    try {
      return await context.admission.acquire({
        service: service.name,
        model: this.#modelRequest.model,
        priority: hasStarted ? 0 : priority,
        excludedGroups: options.excludedGroups,
        permittedServers: options.permittedServers,
        hasStarted,
        mayHaveRun: this.hasBeenSent,
        isReturning: this.#refusedReturn?.isPunctual,
        slots: this.#engine.slots,
        latencyDeadlineMs: getReturnDeadlineMs(
          request.receivedAtMs + route.latencyObjectiveMs -
            this.#getExpectedFirstEventMs(),
          this.#refusedReturn,
        ),
        waitDeadlineMs: nowMs + (deadlineAtMs - nowMs) * options.waitShare,
        signal: options.signal,
      });
    } catch (error) {
      if (error instanceof RequestError && this.#verdict !== "not-run") {
        throw this.#createError(error.message);
      }
      throw error;
    } finally {
      const waitedMs = performance.now() - nowMs;
      this.#admissionWaitMs += waitedMs;
      context.metrics.record("admission_wait", waitedMs);
    }
  }

  /** Estimates the time from admission to a half-full group until the first event, in milliseconds. */
  #getExpectedFirstEventMs(): number {
    const { slots, stepMs, stepPerRequestMs, stepsPerBatch, models } =
      this.#engine;
    const model = models.find(({ name }) => name === this.#modelRequest.model);
    const batchMs = stepsPerBatch * (stepMs + stepPerRequestMs * slots / 2);
    const prefillMs = this.#modelRequest.promptTokens * MS_PER_SECOND /
      Math.max(1, this.#engine.promptTokensPerSecond);
    // Two batches: the one running on arrival has to finish before the request joins the next one.
    return (2 * batchMs + prefillMs) * (model?.stepFactor ?? 1);
  }

  /**
   * Streams the response of an attempt to the caller.
   *
   * @param response - Response of a group to which the stream was moved; undefined when the request has not been sent.
   */
  async #runAttempt(
    attempt: GroupAttempt,
    response: BackendResponse | undefined,
  ): Promise<AttemptResult> {
    try {
      return await this.#streamResponse(
        attempt,
        response ?? await this.#sendRequest(attempt),
      );
    } catch (error) {
      return convertAttemptError(error, attempt.lossReason);
    } finally {
      attempt.dispose();
    }
  }

  async #sendRequest(attempt: GroupAttempt): Promise<BackendResponse> {
    const { group, signal } = attempt;
    const { head } = group;
    const { context, request, route, deadlineAtMs, account } = this.#scope;
    const isRepeated = !this.#sentAddresses.add(head.address);
    attempt.observation = context.concurrency?.startStream({
      group,
      engine: this.#engine,
      promptTokens: this.#modelRequest.promptTokens,
    });
    const response = await context.transport.send(
      { serverId: head.id, address: head.address },
      {
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeBudgetMs: deadlineAtMs - performance.now(),
        account,
        resumeAfter: this.#progress.lastEventId,
        usesDedicatedConnection: isRepeated || !route.isResumable,
        signal,
      },
    );
    context.serverLimits.recordResponse(head, response.requestLimit);
    context.serverStatements.recordResponse(head, response);
    return response;
  }

  async #streamResponse(
    attempt: GroupAttempt,
    response: BackendResponse,
  ): Promise<AttemptResult> {
    if (response.verdict === "not-run" || response.status !== 200) {
      return await readRefusal(response);
    }
    await this.#streamEvents(response, attempt);
    return { outcome: "complete" };
  }

  async #streamEvents(
    response: BackendResponse,
    attempt: GroupAttempt,
  ): Promise<void> {
    const { writer, context, request } = this.#scope;
    const parser = new ServerSentEventParser();
    for await (const chunk of response.body) {
      const receivedEvents = parser.push(chunk);
      const events = this.#progress.acceptEvents(receivedEvents);
      attempt.lastEventAtMs = performance.now();
      if (receivedEvents.length > 0) {
        attempt.observation?.recordEvents();
        this.#crashEvidence.recordEvents(attempt);
      }
      if (events.length === 0) {
        continue;
      }
      this.#move?.cancel();
      if (!writer.hasStarted()) {
        const firstEventMs = performance.now() - request.receivedAtMs;
        this.#progress.recordFirstEvent(firstEventMs);
        context.metrics.record("time_to_first_token", firstEventMs);
        writer.openStream(response.status, response.headers);
        this.#recordUsage();
      }
      this.#progress.recordEvents();
      const writablePromise = writer.write(joinEvents(events));
      if (writablePromise !== undefined) {
        await attempt.waitForCaller(writablePromise);
      }
    }
    if (parser.hasPartialEvent) {
      throw new BackendError("The response ended in the middle of an event", {
        kind: "reset",
        verdict: "may-have-run",
      });
    }
    if (!writer.hasStarted()) {
      writer.openStream(response.status, response.headers);
    }
    writer.finish();
  }

  /** Counts the request for its account. A request that continues an earlier response was counted with the first event of that. */
  #recordUsage(): void {
    const { context, request, account } = this.#scope;
    if (account !== undefined && request.resumeAfter === undefined) {
      context.getUsageRecorder()?.recordRequest(account);
    }
  }

  async #recordResult(
    attempt: GroupAttempt,
    result: AttemptResult,
  ): Promise<void> {
    const { context, request, route } = this.#scope;
    const { group } = attempt;
    const isGroupSuspect = result.outcome === "declined" ||
      (result.outcome === "failed" && !result.isGroupLost &&
        result.error.kind !== "aborted");
    if (isGroupSuspect) {
      void context.groupFailureDetector.checkGroup(group, result.outcome);
    }
    const hasCrashed = await this.#hasHeadCrashed(group, result);
    if (result.outcome === "failed") {
      this.#verdict = combineVerdicts(this.#verdict, result.error.verdict);
      const countsTowardsLimit = result.error.verdict !== "not-run" &&
        !this.#hasHeadProcessEnded(group, hasCrashed);
      if (countsTowardsLimit) {
        this.#servers.add(group.head.id);
      }
    } else if (result.outcome === "declined") {
      this.#declinedCount++;
      attempt.recordDecline();
    } else if (result.outcome === "answered") {
      this.#verdict = combineVerdicts(this.#verdict, result.response.verdict);
      this.#servers.add(group.head.id);
    }
    this.#servers.recordEnd(group.head.id);
    if (!hasCrashed && isReset(result)) {
      this.#servers.recordReset(group.head.id);
    }
    if (result.outcome !== "complete") {
      context.logger.write("info", "attempt-ended", {
        requestId: request.requestId,
        route: route.name,
        attempt: this.#attemptCount,
        group: group.key,
        head: group.head.id,
        outcome: result.outcome,
        status: "response" in result ? result.response.status : undefined,
        connection: describeConnection(result),
        failedServer: "response" in result
          ? result.response.failedServerId
          : undefined,
        message: result.outcome === "failed" ? result.error.message : undefined,
        hasCrashed: result.outcome === "failed" ? hasCrashed : undefined,
        verdict: this.#verdict,
        lastEvent: this.#progress.lastEventId,
        promptParts: formatPromptParts(this.#modelRequest),
      });
    }
    if (hasCrashed) {
      this.#crashEvidence.recordCrash(attempt);
    }
  }

  /** Records that a group gets no further attempt, unless its head has only refused the request for a time, or has reset its connection once and goes on. */
  #recordExclusion({ key, head }: ReplicaGroup, result: AttemptResult): void {
    if (!isPausing(result) && !this.#servers.isReturnPermitted(head.id)) {
      this.#excludedGroupKeys.add(key);
    }
  }

  /** Gets whether the process of the group's head has ended during an attempt: the connection was reset, and no other one is accepted. Sound servers reset connections above their limit. */
  async #hasHeadCrashed(
    { head: { id, address } }: ReplicaGroup,
    result: AttemptResult,
  ): Promise<boolean> {
    return isReset(result) &&
      !await this.#scope.context.transport.isAccepting({
        serverId: id,
        address,
      });
  }

  /**
   * Gets whether the process of the group's head has ended, in which case the failed attempt does not count towards the route's limit.
   *
   * The attempt counts when the group lost another member, since the head has run the request. A missing directory entry alone does not prove that the head has ended: a head that cannot reach the store keeps running.
   */
  #hasHeadProcessEnded({ head }: ReplicaGroup, hasCrashed: boolean): boolean {
    const listedHead = this.#scope.context.directory.findServer(head.id);
    return listedHead === undefined
      ? hasCrashed
      : listedHead.startedAtMs !== head.startedAtMs;
  }

  /** Gets whether another attempt may follow the one at a server, if that is abandoned. */
  #hasAnotherAttempt(serverId: string): boolean {
    return this.#scope.route.isResumable &&
      this.#servers.findPermitted(serverId)?.size !== 0;
  }

  /**
   * Checks that the request may be sent to another group, and takes the retry from the budget.
   *
   * @throws {RequestError} When the request must not be retried.
   */
  #checkRetryAllowed(result: AttemptResult): void {
    const { context, request, deadlineAtMs } = this.#scope;
    if (request.signal.aborted) {
      throw this.#createError("The caller closed the connection");
    }
    if (performance.now() >= deadlineAtMs) {
      throw this.#createError(
        "The request timed out",
        504,
      );
    }
    const limit = this.#findRetryLimit();
    if (limit !== undefined) {
      context.logger.write("info", "retry-refused", {
        requestId: request.requestId,
        limit,
        hasStarted: this.#scope.writer.hasStarted(),
      });
      throw this.#createError(describeFailure(result));
    }
    context.metrics.count("resumes");
  }

  /** Takes a retry from the budget, or finds the limit that forbids it. */
  #findRetryLimit(): RetryLimit | undefined {
    const { context, route, service } = this.#scope;
    if (this.#verdict !== "not-run" && !route.isResumable) {
      return "route";
    }
    if (this.#servers.findPermitted()?.size === 0) {
      return "servers";
    }
    if (this.#declinedCount > MAX_DECLINED_ATTEMPTS) {
      return "declined";
    }
    return context.getRetryBudget(service.name).tryAcquire()
      ? undefined
      : "budget";
  }

  #createError(message: string, statusIfMayHaveRun = 502): RequestError {
    const { context, service } = this.#scope;
    const isNotRun = this.#verdict === "not-run";
    return new RequestError(message, {
      code: isNotRun ? "no-capacity" : "backend-failed",
      verdict: this.#verdict,
      status: isNotRun ? 503 : statusIfMayHaveRun,
      retryAfterMs: isNotRun
        ? context.admission.getRetryAfterMs({
          service: service.name,
          model: this.#modelRequest.model,
        })
        : undefined,
    });
  }
}

function joinEvents(events: readonly ServerSentEvent[]): Buffer {
  return events.length === 1
    ? events[0].bytes
    : Buffer.concat(events.map(({ bytes }) => bytes));
}
