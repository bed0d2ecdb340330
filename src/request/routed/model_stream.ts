import { createHash } from "node:crypto";
import {
  type BackendAnswer,
  BackendError,
} from "../../connection/backend_transport.ts";
import type { GroupGrant } from "../../process/fleet/group_admission.ts";
import type { StreamAttempt } from "../../process/fleet/stream_attempts.ts";
import { RequestError } from "../../shared/errors.ts";
import type { LogFields } from "../../shared/logger.ts";
import { combineVerdicts, type Verdict } from "../../shared/verdict.ts";
import type { EngineProfile } from "../../version/routing_config.ts";
import { type EventFrame, EventFrameReader } from "./event_frames.ts";
import {
  type EndedAttempt,
  type FailedAttempt,
  readAnswer,
} from "./ended_attempt.ts";
import type { RequestScope } from "./request_scope.ts";
import type { ModelDemand } from "./routed_request.ts";

/** Part of the remaining time for which a request that has not begun waits for a place. */
const FIRST_WAIT_SHARE = 0.3;
const MS_PER_SECOND = 1_000;
/** Attempts that groups decline without running the request. They cost little, and a group that closes declines until its state is known. */
const MAX_DECLINED_ATTEMPTS = 4;

/** Streamed answer of a model over all its attempts. */
export class ModelStream {
  readonly #scope: RequestScope;
  readonly #engine: EngineProfile;
  readonly #demand: ModelDemand;
  readonly #excluded = new Set<string>();
  readonly #fingerprint: string;
  #lastEventId: number | undefined;
  #verdict: Verdict = "not-run";
  #attempts = 0;
  #runs = 0;
  #declined = 0;
  #waitedMs = 0;
  #lastGroup: string | undefined;
  /** Time from the arrival of the request to its first event, in milliseconds. */
  #firstEventMs: number | undefined;
  /** Longest time between two events of the answer, in milliseconds. */
  #longestPauseMs = 0;
  #lastEventAtMs: number | undefined;

  constructor(scope: RequestScope, options: {
    engine: EngineProfile;
    demand: ModelDemand;
  }) {
    this.#scope = scope;
    this.#engine = options.engine;
    this.#demand = options.demand;
    this.#lastEventId = scope.request.resumeAfter;
    this.#fingerprint = getFingerprint(scope);
  }

  /** Gets what the log says of the answered request. */
  describe(): LogFields {
    return {
      model: this.#demand.model,
      group: this.#lastGroup,
      attempts: this.#attempts,
      waitedMs: Math.round(this.#waitedMs),
      firstEventMs: this.#firstEventMs,
      longestPauseMs: Math.round(this.#longestPauseMs),
      lastEvent: this.#lastEventId,
    };
  }

  /**
   * Answers the request. When a group fails, the answer continues on another one after the last event passed on.
   *
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  async run(): Promise<void> {
    for (;;) {
      this.#checkCrashes();
      const grant = await this.#acquire();
      this.#attempts++;
      this.#lastGroup = grant.group.key;
      const ended = await this.#runAttempt(grant);
      this.#recordEnd(grant, ended);
      if (ended.outcome === "complete") {
        this.#scope.context.crashes.recordSuccess(this.#fingerprint);
        return;
      }
      if (ended.outcome === "answered") {
        const { status, headers } = ended.answer;
        this.#scope.writer.answer(status, headers, ended.body);
        return;
      }
      this.#excluded.add(grant.group.key);
      this.#checkRepeat(ended);
    }
  }

  /** Refuses a request that crashes whatever runs it. */
  #checkCrashes(): void {
    if (this.#scope.context.crashes.isRefused(this.#fingerprint)) {
      throw new RequestError(
        "The request is refused, since several groups crashed while they ran it",
        { code: "quarantined", verdict: this.#verdict, status: 503 },
      );
    }
  }

  async #acquire(): Promise<GroupGrant> {
    const { context, request, service, priority, deadlineAtMs, route } =
      this.#scope;
    const nowMs = performance.now();
    const hasBegun = this.#scope.writer.hasStarted();
    const waitMs = (deadlineAtMs - nowMs) * (hasBegun ? 1 : FIRST_WAIT_SHARE);
    try {
      return await context.admission.acquire({
        service: service.name,
        model: this.#demand.model,
        priority: hasBegun ? 0 : priority,
        excludedGroups: this.#excluded,
        slots: this.#engine.slots,
        latencyDeadlineMs: request.receivedAtMs + route.latencyObjectiveMs -
          this.#getFirstEventMs(),
        waitDeadlineMs: nowMs + waitMs,
        signal: request.signal,
      });
    } catch (error) {
      if (error instanceof RequestError && this.#verdict !== "not-run") {
        throw this.#createFailure(error.message);
      }
      throw error;
    } finally {
      const waitedMs = performance.now() - nowMs;
      this.#waitedMs += waitedMs;
      context.metrics.record("admission_wait", waitedMs);
    }
  }

  /** Gets the usual time from a place in a half full group to the first event, in milliseconds. */
  #getFirstEventMs(): number {
    const { slots, stepMs, stepPerRequestMs, stepsPerBatch, models } =
      this.#engine;
    const model = models.find(({ name }) => name === this.#demand.model);
    const batchMs = stepsPerBatch * (stepMs + stepPerRequestMs * slots / 2);
    const readMs = this.#demand.promptTokens * MS_PER_SECOND /
      Math.max(1, this.#engine.promptTokensPerSecond);
    // The batch that runs when the request arrives ends first.
    return (2 * batchMs + readMs) * (model?.stepFactor ?? 1);
  }

  async #runAttempt(grant: GroupGrant): Promise<EndedAttempt> {
    const { context, request } = this.#scope;
    const controller = new AbortController();
    const onLeft = () => controller.abort();
    request.signal.addEventListener("abort", onLeft, { once: true });
    let lossReason: string | undefined;
    const attempt: StreamAttempt = {
      group: grant.group,
      startedAtMs: performance.now(),
      lastEventAtMs: undefined,
      abandon: (reason) => {
        lossReason = reason;
        controller.abort();
      },
    };
    const remove = context.attempts.add(attempt);
    const timer = setTimeout(
      onLeft,
      Math.max(0, this.#scope.deadlineAtMs - performance.now()),
    );
    try {
      return await this.#streamAnswer(attempt, controller.signal);
    } catch (error) {
      return convertFailure(error, lossReason);
    } finally {
      clearTimeout(timer);
      remove();
      request.signal.removeEventListener("abort", onLeft);
      grant.release();
    }
  }

  async #streamAnswer(
    attempt: StreamAttempt,
    signal: AbortSignal,
  ): Promise<EndedAttempt> {
    const { context, request, deadlineAtMs, account } = this.#scope;
    const { head } = attempt.group;
    const answer = await context.transport.send(
      { serverId: head.id, address: head.address },
      {
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeBudgetMs: deadlineAtMs - performance.now(),
        account,
        resumeAfter: this.#lastEventId,
        ownConnection: false,
        signal,
      },
    );
    if (answer.verdict === "not-run") {
      const body = await readAnswer(answer);
      return { outcome: "declined", answer, body };
    }
    if (answer.status !== 200) {
      return { outcome: "answered", answer, body: await readAnswer(answer) };
    }
    await this.#streamEvents(answer, attempt);
    return { outcome: "complete" };
  }

  async #streamEvents(
    answer: BackendAnswer,
    attempt: StreamAttempt,
  ): Promise<void> {
    const { writer, context, request } = this.#scope;
    const reader = new EventFrameReader();
    for await (const piece of answer.body) {
      const frames = this.#acceptFrames(reader.push(piece));
      attempt.lastEventAtMs = performance.now();
      if (frames.length === 0) {
        continue;
      }
      if (!writer.hasStarted()) {
        const firstEventMs = performance.now() - request.receivedAtMs;
        this.#firstEventMs = Math.round(firstEventMs);
        context.metrics.record("time_to_first_token", firstEventMs);
        writer.openStream(answer.status, answer.headers);
      }
      this.#recordPause();
      const ready = writer.write(joinFrames(frames));
      if (ready !== undefined) {
        await ready;
        attempt.lastEventAtMs = performance.now();
      }
    }
    if (reader.hasPartialEvent) {
      throw new BackendError("The answer ends inside an event", {
        kind: "reset",
        verdict: "may-have-run",
      });
    }
    if (!writer.hasStarted()) {
      writer.openStream(answer.status, answer.headers);
    }
    writer.finish();
  }

  #recordPause(): void {
    const nowMs = performance.now();
    const pauseMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastEventAtMs = nowMs;
  }

  /** Drops events that the caller has, and refuses a gap in the sequence. */
  #acceptFrames(frames: readonly EventFrame[]): EventFrame[] {
    return frames.filter(({ id }) => {
      if (id === undefined) {
        return true;
      }
      const last = this.#lastEventId;
      if (last !== undefined && id <= last) {
        return false;
      }
      if (last !== undefined && id !== last + 1) {
        throw new BackendError(`Event ${id} follows event ${last}`, {
          kind: "invalid",
          verdict: "may-have-run",
        });
      }
      this.#lastEventId = id;
      return true;
    });
  }

  #recordEnd(grant: GroupGrant, ended: EndedAttempt): void {
    const { context, request, route } = this.#scope;
    if (ended.outcome === "failed") {
      this.#verdict = combineVerdicts(this.#verdict, ended.error.verdict);
      const isCounted = ended.error.verdict !== "not-run" &&
        !this.#hasHeadEnded(grant, ended);
      this.#runs += isCounted ? 1 : 0;
      if (ended.error.kind === "reset" && !ended.isGroupLost) {
        context.crashes.recordCrash({
          fingerprint: this.#fingerprint,
          groupKey: grant.group.key,
        });
      }
    } else if (ended.outcome === "declined") {
      this.#declined++;
    }
    if (ended.outcome !== "complete") {
      context.logger.write("info", "attempt-ended", {
        requestId: request.requestId,
        route: route.name,
        attempt: this.#attempts,
        group: grant.group.key,
        head: grant.group.head.id,
        outcome: ended.outcome,
        status: "answer" in ended ? ended.answer.status : undefined,
        failedServer: "answer" in ended
          ? ended.answer.failedServerId
          : undefined,
        message: ended.outcome === "failed" ? ended.error.message : undefined,
        verdict: this.#verdict,
        lastEvent: this.#lastEventId,
      });
    }
    const isDoubtful = ended.outcome === "declined" ||
      (ended.outcome === "failed" && !ended.isGroupLost &&
        ended.error.kind !== "aborted");
    if (isDoubtful) {
      void context.guard.checkGroup(grant.group, ended.outcome);
    }
  }

  /** A run on a server that has ended is none of the attempts that the route limits. A group that lost another member than its head counts, since the head has run the request; an entry that lapsed alone shows nothing, since a head that is cut off from the store runs on. */
  #hasHeadEnded(
    { group: { head } }: GroupGrant,
    { error, isGroupLost }: FailedAttempt,
  ): boolean {
    const known = this.#scope.context.directory.findServer(head.id);
    return known === undefined
      ? error.kind === "reset" && !isGroupLost
      : known.startedAtMs !== head.startedAtMs;
  }

  /** Throws when the request may not be sent once more. */
  #checkRepeat(ended: EndedAttempt): void {
    const { context, request, route, service, deadlineAtMs } = this.#scope;
    if (request.signal.aborted) {
      throw this.#createFailure("The caller closed the connection");
    }
    if (performance.now() >= deadlineAtMs) {
      throw this.#createFailure(
        "The time limit of the request has passed",
        504,
      );
    }
    const mayRepeat = this.#verdict === "not-run" || route.isResumable;
    const isExhausted = this.#runs >= route.maxAttempts ||
      this.#declined > MAX_DECLINED_ATTEMPTS;
    if (
      !mayRepeat || isExhausted ||
      !context.getRepeatBudget(service.name).tryAcquire()
    ) {
      throw this.#createFailure(
        ended.outcome === "failed"
          ? ended.error.message
          : "No group took the request",
      );
    }
    context.metrics.count("resumes");
  }

  #createFailure(message: string, mayHaveRunStatus = 502): RequestError {
    const isNotRun = this.#verdict === "not-run";
    return new RequestError(message, {
      code: isNotRun ? "no-capacity" : "backend-failed",
      verdict: this.#verdict,
      status: isNotRun ? 503 : mayHaveRunStatus,
      retryAfterMs: isNotRun ? RETRY_AFTER_MS : undefined,
    });
  }
}

/** Time after which a declined request may be taken, in milliseconds: the time to form a group anew. */
const RETRY_AFTER_MS = 500;

/** Gets a text that is the same for every repeat of a request by its caller. */
function getFingerprint({ request, account }: RequestScope): string {
  return createHash("sha256")
    .update(JSON.stringify([request.method, request.path, account]))
    .update(request.body)
    .digest("base64url")
    .slice(0, 16);
}

function joinFrames(frames: readonly EventFrame[]): Buffer {
  return frames.length === 1
    ? frames[0].bytes
    : Buffer.concat(frames.map(({ bytes }) => bytes));
}

function convertFailure(
  error: unknown,
  lossReason: string | undefined,
): EndedAttempt {
  if (!(error instanceof BackendError)) {
    throw error;
  }
  return {
    outcome: "failed",
    isGroupLost: lossReason !== undefined,
    error: lossReason === undefined
      ? error
      : new BackendError(`The group was lost: ${lossReason}`, {
        kind: "reset",
        verdict: error.verdict,
        cause: error,
      }),
  };
}
