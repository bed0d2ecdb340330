import { BackendError } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { RequestError } from "../../shared/errors.ts";
import type { LogFields } from "../../shared/logger.ts";
import { combineVerdicts, type Verdict } from "../../shared/verdict.ts";
import {
  type AttemptResponse,
  type AttemptResult,
  isRetryableServerError,
  readResponseBody,
} from "./attempt_result.ts";
import type { RequestScope } from "./request_scope.ts";

/** Part of the remaining time that one attempt of an idempotent call gets while another one may follow. */
const ATTEMPT_TIME_SHARE = 0.5;
/** Servers that may decline one call. */
const MAX_RETRIES = 3;
/** Time after which a declined call may be taken, in milliseconds: some calls of a full server. */
const RETRY_AFTER_MS = 200;

/** Call of a plain service over all its attempts. */
export class ServiceRequestForwarder {
  readonly #scope: RequestScope;
  readonly #triedServerIds = new Set<string>();
  #verdict: Verdict = "not-run";
  #attemptCount = 0;
  #countedAttemptCount = 0;
  #responseStatus: number | undefined;
  /** Last answer of a server. */
  #lastResponse: AttemptResponse | undefined;

  constructor(scope: RequestScope) {
    this.#scope = scope;
  }

  /** Gets what the log says of the answered call. */
  getLogFields(): LogFields {
    return {
      servers: [...this.#triedServerIds].join(","),
      attempts: this.#attemptCount,
      status: this.#responseStatus,
    };
  }

  /**
   * Answers the call. A call that is not idempotent is sent once more only when the server states that it has not run; an idempotent one also when a server fails it.
   *
   * @throws {RequestError} When the call is refused or has no whole answer.
   */
  async run(): Promise<void> {
    for (;;) {
      const server = this.#chooseServer();
      if (server === undefined) {
        this.#sendLastResponseOrThrow(
          this.#createError("No backend server takes the call"),
        );
        return;
      }
      this.#triedServerIds.add(server.id);
      this.#attemptCount++;
      const result = await this.#runAttempt(server);
      this.#recordResult(server, result);
      if (result.outcome === "answered") {
        this.#lastResponse = result;
        if (!isRetryableServerError(result.answer.status)) {
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

  #sendResponse({ answer: { status, headers }, body }: AttemptResponse): void {
    this.#responseStatus = status;
    this.#scope.writer.sendResponse(status, headers, body);
  }

  /** Passes on what a server answered, if any did: its own failure tells the caller more than that of this daemon. */
  #sendLastResponseOrThrow(finalError: RequestError): void {
    if (this.#lastResponse === undefined) {
      throw finalError;
    }
    this.#sendResponse(this.#lastResponse);
  }

  #chooseServer(): BackendServer | undefined {
    const { context, service } = this.#scope;
    const excludedZones = context.getExcludedZones();
    const servers = context.directory.listServers(service.name).filter((
      server,
    ) => !server.isDraining && !excludedZones.has(server.zone));
    const candidates = servers.filter((server) =>
      !this.#triedServerIds.has(server.id) && context.coldLimits.isOpen(server)
    );
    return context.serverLoads.chooseServer(candidates, context.settings.zone);
  }

  async #runAttempt(server: BackendServer): Promise<AttemptResult> {
    const { context, request, account, route } = this.#scope;
    const { coldLimits, serverLoads, transport } = context;
    const remainingMs = this.#scope.deadlineAtMs - performance.now();
    const isLastAttempt = route.kind !== "idempotent" ||
      this.#countedAttemptCount + 1 >= route.maxAttempts;
    const controller = new AbortController();
    const abortAttempt = () => controller.abort();
    request.signal.addEventListener("abort", abortAttempt, { once: true });
    const timer = setTimeout(
      abortAttempt,
      isLastAttempt ? remainingMs : remainingMs * ATTEMPT_TIME_SHARE,
    );
    const removeLoad = serverLoads.add(server.id);
    coldLimits.record(server);
    try {
      const answer = await transport.send(
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
          ownConnection: route.kind !== "idempotent",
          signal: controller.signal,
        },
      );
      const body = await readResponseBody(answer);
      const outcome = answer.verdict === "not-run" ? "declined" : "answered";
      return { outcome, answer, body };
    } catch (error) {
      if (!(error instanceof BackendError)) {
        throw error;
      }
      return { outcome: "failed", error, isGroupLost: false };
    } finally {
      clearTimeout(timer);
      removeLoad();
      request.signal.removeEventListener("abort", abortAttempt);
    }
  }

  #recordResult(server: BackendServer, result: AttemptResult): void {
    const { context, request, route } = this.#scope;
    if (result.outcome === "answered") {
      context.serverLoads.recordSuccess(server.id);
      if (!isRetryableServerError(result.answer.status)) {
        return;
      }
      this.#verdict = combineVerdicts(this.#verdict, result.answer.verdict);
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
      status: "answer" in result ? result.answer.status : undefined,
      message: result.outcome === "failed" ? result.error.message : undefined,
      verdict: this.#verdict,
    });
  }

  /** Gets the refusal with which the call ends, unless it may be sent once more. */
  #findFinalError(result: AttemptResult): RequestError | undefined {
    const { context, request, route, service, deadlineAtMs } = this.#scope;
    if (request.signal.aborted) {
      return this.#createError("The caller closed the connection");
    }
    if (performance.now() >= deadlineAtMs) {
      return this.#createError("The time limit of the call has passed", 504);
    }
    const isRetryable = this.#verdict === "not-run" ||
      route.kind === "idempotent";
    if (
      isRetryable && this.#countedAttemptCount < route.maxAttempts &&
      this.#attemptCount <= MAX_RETRIES &&
      context.getRepeatBudget(service.name).tryAcquire()
    ) {
      return undefined;
    }
    return this.#createError(
      result.outcome === "failed"
        ? result.error.message
        : "The backend servers are full",
    );
  }

  #createError(message: string, statusIfMayHaveRun = 502): RequestError {
    const isNotRun = this.#verdict === "not-run";
    return new RequestError(message, {
      code: isNotRun ? "no-capacity" : "backend-failed",
      verdict: this.#verdict,
      status: isNotRun ? 503 : statusIfMayHaveRun,
      retryAfterMs: isNotRun ? RETRY_AFTER_MS : undefined,
    });
  }
}
