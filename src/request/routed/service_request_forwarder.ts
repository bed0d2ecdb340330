import { BackendError } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { getJitteredMs } from "../../shared/backoff.ts";
import { RequestError } from "../../shared/errors.ts";
import type { LogFields } from "../../shared/logger.ts";
import { combineVerdicts, type Verdict } from "../../shared/verdict.ts";
import {
  type AttemptResponse,
  type AttemptResult,
  describeConnection,
  isRetryableServerError,
  readResponseBody,
} from "./attempt_result.ts";
import { createCrashRefusal, getFingerprint } from "./crash_refusal.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import type { RequestScope } from "./request_scope.ts";
import { SentAddresses } from "./sent_addresses.ts";

/** Share of the remaining time that an attempt of an idempotent request gets while another attempt may follow. */
const ATTEMPT_TIME_SHARE = 0.5;
/** Interval at which an attempt that has used its share of the time checks whether another one can follow, in milliseconds. */
const REPLACEMENT_CHECK_INTERVAL_MS = 50;
/** Lowest HTTP status of an error, whose duration says nothing about the speed of a server. */
const FIRST_ERROR_STATUS = 400;
/** Maximum number of retries of a request, including those after a server declined it without running it. */
const MAX_RETRIES = 3;
/** Time after which callers are asked to retry a request that has not run, in milliseconds. In this time a full server completes several requests. */
const RETRY_AFTER_MS = 200;

/** Forwards one request whose response is not streamed, with retries on other backend servers, and sends the buffered response to the caller. */
export class ServiceRequestForwarder implements RequestForwarder {
  readonly #scope: RequestScope;
  readonly #triedServerIds = new Set<string>();
  readonly #sentAddresses = new SentAddresses();
  #verdict: Verdict = "not-run";
  #attemptCount = 0;
  /** Number of attempts that ran or may have run, which the route limits. */
  #countedAttemptCount = 0;
  #responseStatus: number | undefined;
  /** Hash that identifies the request, once it is needed. */
  #fingerprint: string | undefined;
  /** Server of the next attempt, for which a retry has been taken from the budget. */
  #nextServer: BackendServer | undefined;
  /** Last response of a server that ran the request. */
  #lastResponse: AttemptResponse | undefined;

  constructor(scope: RequestScope) {
    this.#scope = scope;
  }

  get hasBeenSent(): boolean {
    return this.#attemptCount > 0;
  }

  /** Returns the log fields of the completed request. */
  getLogFields(): LogFields {
    return {
      servers: [...this.#triedServerIds].join(","),
      attempts: this.#attemptCount,
      status: this.#responseStatus,
    };
  }

  /**
   * Forwards the request until a response can be sent to the caller. A request that is not idempotent is retried only when it has certainly not run; an idempotent one is also retried after a server error or a failed connection.
   *
   * @throws {RequestError} When the request is refused or no complete response arrived.
   */
  async run(): Promise<void> {
    for (;;) {
      this.#checkCrashLimit();
      const server = this.#nextServer ?? this.#chooseServer();
      this.#nextServer = undefined;
      if (server === undefined) {
        this.#sendLastResponseOrThrow(
          this.#createError("No backend server can take the request"),
        );
        return;
      }
      if (this.#verdict === "not-run") {
        this.#scope.context.plannedStop.checkDeadline(this.#scope.deadlineAtMs);
      }
      this.#triedServerIds.add(server.id);
      this.#attemptCount++;
      const result = await this.#runAttempt(server);
      this.#recordResult(server, result);
      await this.#recordCrashEvidence(server, result);
      if (result.outcome === "answered") {
        this.#lastResponse = result;
        if (!isRetryableServerError(result.response.status)) {
          this.#sendResponse(result);
          return;
        }
      }
      const finalError = this.#findFinalError(result);
      if (finalError !== undefined) {
        this.#sendLastResponseOrThrow(finalError);
        return;
      }
    }
  }

  /** Refuses a request that is suspected of crashing the servers that run it. */
  #checkCrashLimit(): void {
    const { context: { crashes }, request } = this.#scope;
    const isRefused = !crashes.isEmpty &&
      crashes.isRefused(this.#getFingerprint(), request.requestId);
    if (isRefused) {
      throw createCrashRefusal(
        "The request is refused because several backend servers crashed while running it",
        this.#verdict,
      );
    }
  }

  /** Records a crash if the server reset the connection and no longer accepts another one, and clears the request after an answer. */
  async #recordCrashEvidence(
    { id, address, startedAtMs }: BackendServer,
    result: AttemptResult,
  ): Promise<void> {
    const { context: { crashes, transport, logger }, request } = this.#scope;
    if (result.outcome === "answered" && !crashes.isEmpty) {
      crashes.recordSuccess(this.#getFingerprint());
    }
    const isReset = result.outcome === "failed" &&
      result.error.kind === "reset";
    if (!isReset || await transport.isAccepting({ serverId: id, address })) {
      return;
    }
    const fingerprint = this.#getFingerprint();
    const groupKey = `${id}@${startedAtMs}`;
    crashes.recordCrash({ fingerprint, groupKey });
    logger.write("info", "crash-recorded", {
      requestId: request.requestId,
      group: groupKey,
      fingerprint,
      crashes: crashes.countCrashes(fingerprint),
    });
  }

  #getFingerprint(): string {
    this.#fingerprint ??= getFingerprint(this.#scope);
    return this.#fingerprint;
  }

  #sendResponse(
    { response: { status, headers }, body }: AttemptResponse,
  ): void {
    const { context, account } = this.#scope;
    if (account !== undefined) {
      context.getUsageRecorder()?.recordRequest(account);
    }
    this.#responseStatus = status;
    this.#scope.writer.sendResponse(status, headers, body);
  }

  /** Sends the last response of a server, if there is one: the error of the server is more specific than an error of this daemon. */
  #sendLastResponseOrThrow(finalError: RequestError): void {
    if (this.#lastResponse === undefined) {
      throw finalError;
    }
    this.#sendResponse(this.#lastResponse);
  }

  #chooseServer(): BackendServer | undefined {
    const { context } = this.#scope;
    const candidates = this.#listServers().filter((server) =>
      !this.#triedServerIds.has(server.id) &&
      context.coldLimits.isBelowLimit(server) &&
      this.#getWaitMs(server) === 0
    );
    return context.serverLoads.chooseServer(candidates, context.settings.zone);
  }

  /** Lists the servers of the service that are not draining. */
  #listServers(): BackendServer[] {
    const { context, service } = this.#scope;
    const excludedZones = context.getExcludedZones();
    return context.directory.listServers(service.name).filter((server) =>
      !server.isDraining && !excludedZones.has(server.zone)
    );
  }

  /** Gets the time until a server may get a request, as far as its answers tell, in milliseconds. */
  #getWaitMs(server: BackendServer): number {
    const { serverLimits, serverStatements } = this.#scope.context;
    return Math.max(
      serverLimits.getWaitMs(server),
      serverStatements.getWaitMs(server),
    );
  }

  async #runAttempt(server: BackendServer): Promise<AttemptResult> {
    const { context, request, account, route, service } = this.#scope;
    const startedAtMs = performance.now();
    const {
      coldLimits,
      serverLimits,
      serverLoads,
      serverStatements,
      transport,
    } = context;
    const remainingMs = this.#scope.deadlineAtMs - performance.now();
    const isLastAttempt = route.kind !== "idempotent" ||
      this.#countedAttemptCount + 1 >= route.maxAttempts;
    const controller = new AbortController();
    const abortAttempt = () => controller.abort();
    request.signal.addEventListener("abort", abortAttempt, { once: true });
    const timer = setTimeout(abortAttempt, remainingMs);
    const stopReplacement = isLastAttempt
      ? () => {}
      : this.#scheduleReplacement(
        remainingMs * ATTEMPT_TIME_SHARE,
        abortAttempt,
      );
    const removeLoad = serverLoads.addRequest(server.id);
    const observation = context.concurrency?.startCall(server, route.name);
    const isRepeated = !this.#sentAddresses.add(server.address);
    let isSuccess = false;
    coldLimits.recordRequest(server);
    serverLimits.recordRequest(server);
    try {
      const response = await transport.send(
        { serverId: server.id, address: server.address },
        {
          requestId: request.requestId,
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body,
          timeBudgetMs: remainingMs,
          account,
          resumeAfter: request.resumeAfter,
          usesDedicatedConnection: isRepeated || route.kind !== "idempotent",
          signal: controller.signal,
        },
      );
      serverLimits.recordResponse(server, response.requestLimit);
      serverStatements.recordResponse(server, response);
      const body = await readResponseBody(response);
      const outcome = response.verdict === "not-run" ? "declined" : "answered";
      isSuccess = outcome === "answered" &&
        response.status < FIRST_ERROR_STATUS;
      if (outcome === "answered" && !isRetryableServerError(response.status)) {
        context.serviceWaits?.recordDuration(
          service.name,
          performance.now() - startedAtMs,
        );
      }
      return { outcome, response, body };
    } catch (error) {
      if (!(error instanceof BackendError)) {
        throw error;
      }
      return { outcome: "failed", error, isGroupLost: false };
    } finally {
      clearTimeout(timer);
      stopReplacement();
      observation?.finish(isSuccess);
      removeLoad();
      request.signal.removeEventListener("abort", abortAttempt);
    }
  }

  /**
   * Aborts an attempt that has used its share of the time as soon as another server can take the request. Until then the attempt goes on, since its server may only be silent for a while.
   *
   * @param afterMs - Share of the time that the attempt gets, in milliseconds.
   * @param abortAttempt - Aborts the attempt.
   * @returns Function that is called when the attempt has ended.
   */
  #scheduleReplacement(afterMs: number, abortAttempt: () => void): () => void {
    const checkReplacement = () => {
      const server = this.#chooseServer();
      if (server !== undefined && this.#tryAcquireRetry()) {
        this.#nextServer = server;
        abortAttempt();
      } else {
        timer = setTimeout(checkReplacement, REPLACEMENT_CHECK_INTERVAL_MS);
      }
    };
    let timer = setTimeout(checkReplacement, afterMs);
    return () => clearTimeout(timer);
  }

  #tryAcquireRetry(): boolean {
    const { context, service } = this.#scope;
    return this.#attemptCount <= MAX_RETRIES &&
      context.getRetryBudget(service.name).tryAcquire();
  }

  #recordResult(server: BackendServer, result: AttemptResult): void {
    const { context, request, route } = this.#scope;
    if (result.outcome === "answered") {
      context.serverLoads.recordSuccess(server.id);
      if (!isRetryableServerError(result.response.status)) {
        return;
      }
      this.#verdict = combineVerdicts(this.#verdict, result.response.verdict);
      this.#countedAttemptCount++;
    }
    if (result.outcome === "failed") {
      this.#verdict = combineVerdicts(this.#verdict, result.error.verdict);
      this.#countedAttemptCount += result.error.verdict === "not-run" ? 0 : 1;
    }
    if (!request.signal.aborted && result.outcome !== "answered") {
      context.serverLoads.recordFailure(server.id);
    }
    context.logger.write("info", "attempt-ended", {
      requestId: request.requestId,
      route: route.name,
      attempt: this.#attemptCount,
      server: server.id,
      outcome: result.outcome,
      status: "response" in result ? result.response.status : undefined,
      connection: describeConnection(result),
      message: result.outcome === "failed" ? result.error.message : undefined,
      verdict: this.#verdict,
    });
  }

  /** Returns the error that ends the request, or undefined when the request may be retried, in which case the retry has been taken from the budget. */
  #findFinalError(result: AttemptResult): RequestError | undefined {
    const { request, route, deadlineAtMs } = this.#scope;
    if (request.signal.aborted) {
      return this.#createError("The caller closed the connection");
    }
    if (performance.now() >= deadlineAtMs) {
      return this.#createError("The request timed out", 504);
    }
    const isRetryable = this.#verdict === "not-run" ||
      route.kind === "idempotent";
    if (
      isRetryable && this.#countedAttemptCount < route.maxAttempts &&
      (this.#nextServer !== undefined || this.#tryAcquireRetry())
    ) {
      return undefined;
    }
    return this.#createError(
      result.outcome === "failed"
        ? result.error.message
        : "No backend server had capacity for the request",
    );
  }

  /** Gets the time after which the caller should retry, in milliseconds: when the first server takes requests again, or has a free slot. */
  #getRetryAfterMs(): number {
    const { context, service } = this.#scope;
    const servers = this.#listServers();
    const waitMs = Math.min(
      ...servers.map((server) => this.#getWaitMs(server)),
    );
    if (waitMs > 0 && Number.isFinite(waitMs)) {
      return getJitteredMs(Math.max(RETRY_AFTER_MS, waitMs));
    }
    const loads = servers.filter((server) => this.#getWaitMs(server) === 0)
      .map(({ id, slots }) => ({
        load: context.serverLoads.getLoad(id),
        slots,
      }));
    return context.serviceWaits?.createReturn(service.name, loads) ??
      RETRY_AFTER_MS;
  }

  #createError(message: string, statusIfMayHaveRun = 502): RequestError {
    const isNotRun = this.#verdict === "not-run";
    return new RequestError(message, {
      code: isNotRun ? "no-capacity" : "backend-failed",
      verdict: this.#verdict,
      status: isNotRun ? 503 : statusIfMayHaveRun,
      retryAfterMs: isNotRun ? this.#getRetryAfterMs() : undefined,
    });
  }
}
