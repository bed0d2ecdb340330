import { BackendError } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { RequestError } from "../../shared/errors.ts";
import type { LogFields } from "../../shared/logger.ts";
import { combineVerdicts, type Verdict } from "../../shared/verdict.ts";
import {
  type AnsweredAttempt,
  type EndedAttempt,
  isServerFailure,
  readAnswer,
} from "./ended_attempt.ts";
import type { RequestScope } from "./request_scope.ts";

/** Part of the remaining time that one attempt of an idempotent call gets while another one may follow. */
const ATTEMPT_TIME_SHARE = 0.5;
/** Servers that may decline one call. */
const MAX_DECLINED_ATTEMPTS = 3;
/** Time after which a declined call may be taken, in milliseconds: some calls of a full server. */
const RETRY_AFTER_MS = 200;

/** Call of a plain service over all its attempts. */
export class PlainCall {
  readonly #scope: RequestScope;
  readonly #tried = new Set<string>();
  #verdict: Verdict = "not-run";
  #attempts = 0;
  #runs = 0;
  #status: number | undefined;
  /** Last answer of a server. */
  #answered: AnsweredAttempt | undefined;

  constructor(scope: RequestScope) {
    this.#scope = scope;
  }

  /** Gets what the log says of the answered call. */
  describe(): LogFields {
    return {
      servers: [...this.#tried].join(","),
      attempts: this.#attempts,
      status: this.#status,
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
        this.#answerFailure(
          this.#createFailure("No backend server takes the call"),
        );
        return;
      }
      this.#tried.add(server.id);
      this.#attempts++;
      const ended = await this.#runAttempt(server);
      this.#recordEnd(server, ended);
      if (ended.outcome === "answered") {
        this.#answered = ended;
        if (!isServerFailure(ended.answer.status)) {
          this.#answer(ended);
          return;
        }
      }
      const refusal = this.#findRefusal(ended);
      if (refusal !== undefined) {
        this.#answerFailure(refusal);
        return;
      }
    }
  }

  #answer({ answer: { status, headers }, body }: AnsweredAttempt): void {
    this.#status = status;
    this.#scope.writer.answer(status, headers, body);
  }

  /** Passes on what a server answered, if any did: its own failure tells the caller more than that of this daemon. */
  #answerFailure(refusal: RequestError): void {
    if (this.#answered === undefined) {
      throw refusal;
    }
    this.#answer(this.#answered);
  }

  #chooseServer(): BackendServer | undefined {
    const { context, service } = this.#scope;
    const excludedZones = context.getExcludedZones();
    const servers = context.directory.listServers(service.name).filter((
      server,
    ) => !server.isDraining && !excludedZones.has(server.zone));
    const untried = servers.filter((server) =>
      !this.#tried.has(server.id) && context.coldLimits.isBelowLimit(server)
    );
    return context.serverLoads.chooseServer(untried, context.settings.zone);
  }

  async #runAttempt(server: BackendServer): Promise<EndedAttempt> {
    const { context, request, account, route } = this.#scope;
    const { coldLimits, serverLoads, transport } = context;
    const remainingMs = this.#scope.deadlineAtMs - performance.now();
    const isLast = route.kind !== "idempotent" ||
      this.#runs + 1 >= route.maxAttempts;
    const controller = new AbortController();
    const onLeft = () => controller.abort();
    request.signal.addEventListener("abort", onLeft, { once: true });
    const timer = setTimeout(
      onLeft,
      isLast ? remainingMs : remainingMs * ATTEMPT_TIME_SHARE,
    );
    const remove = serverLoads.addRequest(server.id);
    coldLimits.recordRequest(server);
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
      const body = await readAnswer(answer);
      const outcome = answer.verdict === "not-run" ? "declined" : "answered";
      return { outcome, answer, body };
    } catch (error) {
      if (!(error instanceof BackendError)) {
        throw error;
      }
      return { outcome: "failed", error, isGroupLost: false };
    } finally {
      clearTimeout(timer);
      remove();
      request.signal.removeEventListener("abort", onLeft);
    }
  }

  #recordEnd(server: BackendServer, ended: EndedAttempt): void {
    const { context, request, route } = this.#scope;
    if (ended.outcome === "answered") {
      context.serverLoads.recordSuccess(server.id);
      if (!isServerFailure(ended.answer.status)) {
        return;
      }
      this.#verdict = combineVerdicts(this.#verdict, ended.answer.verdict);
      this.#runs++;
    }
    if (ended.outcome === "failed") {
      this.#verdict = combineVerdicts(this.#verdict, ended.error.verdict);
      this.#runs += ended.error.verdict === "not-run" ? 0 : 1;
    }
    if (!request.signal.aborted && ended.outcome !== "answered") {
      context.serverLoads.recordFailure(server.id);
    }
    context.logger.write("info", "attempt-ended", {
      requestId: request.requestId,
      route: route.name,
      attempt: this.#attempts,
      server: server.id,
      outcome: ended.outcome,
      status: "answer" in ended ? ended.answer.status : undefined,
      message: ended.outcome === "failed" ? ended.error.message : undefined,
      verdict: this.#verdict,
    });
  }

  /** Gets the refusal with which the call ends, unless it may be sent once more. */
  #findRefusal(ended: EndedAttempt): RequestError | undefined {
    const { context, request, route, service, deadlineAtMs } = this.#scope;
    if (request.signal.aborted) {
      return this.#createFailure("The caller closed the connection");
    }
    if (performance.now() >= deadlineAtMs) {
      return this.#createFailure("The time limit of the call has passed", 504);
    }
    const mayRepeat = this.#verdict === "not-run" ||
      route.kind === "idempotent";
    if (
      mayRepeat && this.#runs < route.maxAttempts &&
      this.#attempts <= MAX_DECLINED_ATTEMPTS &&
      context.getRepeatBudget(service.name).tryAcquire()
    ) {
      return undefined;
    }
    return this.#createFailure(
      ended.outcome === "failed"
        ? ended.error.message
        : "The backend servers are full",
    );
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
