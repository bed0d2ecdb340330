import {
  ServiceCallError,
  type ServiceClient,
  type ServiceResponse,
} from "../connection/service_client.ts";
import type { EventRecorder } from "../process/event_recorder.ts";
import type { RetryBudget } from "../process/retry_budget.ts";
import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import { combineVerdicts, type Verdict } from "../shared/verdict.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import type { BackendLease, BackendPool } from "./backend_pool.ts";
import type { CallClass } from "./call_class.ts";
import type { ServiceCall } from "./service_call.ts";

/** Maximum number of attempts of one call, including the first. */
const MAX_ATTEMPTS = 3;
const INITIAL_BACKOFF_MS = 25;
const NO_CAPACITY_RETRY_AFTER_MS = 250;
/** HTTP statuses after which a repeatable call is retried. */
const RETRYABLE_STATUSES: readonly number[] = [502, 503, 504];

/** Call to send, with its class, deadline and abort signal. */
export interface DispatchRequest {
  readonly service: ServiceConfig;
  readonly call: ServiceCall;
  readonly callClass: CallClass;
  readonly requestId: string;
  /** Deadline of the call on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Aborts the attempts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called before the first byte of an attempt is sent; throws to prevent the attempt. */
  readonly checkBeforeSend?: () => void;
}

/** Sends calls to the backend servers of their services, with retries. */
export class ServiceDispatcher {
  readonly #pool: BackendPool;
  readonly #client: ServiceClient;
  readonly #retryBudget: RetryBudget;
  readonly #events: EventRecorder | undefined;

  constructor(options: {
    pool: BackendPool;
    client: ServiceClient;
    retryBudget: RetryBudget;
    events?: EventRecorder;
  }) {
    this.#pool = options.pool;
    this.#client = options.client;
    this.#retryBudget = options.retryBudget;
    this.#events = options.events;
  }

  /**
   * Sends a call. It is retried only if it is repeatable or no byte of it was sent, and only within the deadline and the retry budget.
   *
   * @param dispatch - Call to send.
   * @throws {RequestError} When no backend server has a free slot for the call or no response arrived.
   */
  async send(dispatch: DispatchRequest): Promise<ServiceResponse> {
    const triedAddresses = new Set<string>();
    let verdict: Verdict = "not-run";
    this.#retryBudget.recordFirstAttempt();
    for (let attempt = 1;; attempt++) {
      const remainingMs = dispatch.deadlineAtMs - performance.now();
      if (remainingMs <= 0) {
        throw createDeadlineError(verdict);
      }
      const lease = this.#pool.tryAcquire(dispatch.service, triedAddresses);
      if (lease === undefined) {
        throw createNoCapacityError(dispatch.service, verdict);
      }
      triedAddresses.add(lease.address);
      try {
        const response = await this.#sendAttempt(dispatch, {
          lease,
          remainingMs,
        });
        if (
          !this.#tryAcquireRetryAfterResponse(dispatch, { response, attempt })
        ) {
          return response;
        }
        verdict = combineVerdicts(verdict, "may-have-run");
      } catch (error) {
        if (!(error instanceof ServiceCallError)) {
          throw error;
        }
        verdict = combineVerdicts(
          verdict,
          error.isSent ? "may-have-run" : "not-run",
        );
        if (!this.#tryAcquireRetryAfterError(dispatch, { error, attempt })) {
          throw createBackendFailureError(dispatch, { error, verdict });
        }
      }
      const backoffMs = INITIAL_BACKOFF_MS * 2 ** (attempt - 1);
      await delay(backoffMs * (0.5 + Math.random()), dispatch.signal);
    }
  }

  async #sendAttempt(
    dispatch: DispatchRequest,
    options: { lease: BackendLease; remainingMs: number },
  ): Promise<ServiceResponse> {
    const { call, service } = dispatch;
    const { lease } = options;
    try {
      const response = await this.#client.send({
        address: lease.address,
        method: call.method,
        path: call.path,
        contentType: call.contentType,
        body: call.body,
        idempotencyKey: call.idempotencyKey,
        requestId: dispatch.requestId,
        timeoutMs: Math.min(service.timeoutMs, options.remainingMs),
        signal: dispatch.signal,
        isRepeatable: dispatch.callClass === "repeatable",
        checkBeforeSend: () => {
          dispatch.checkBeforeSend?.();
          this.#events?.record("debug", {
            event: "call-sent",
            requestId: dispatch.requestId,
            fields: { address: lease.address, service: service.name },
          });
        },
      });
      lease.release(
        RETRYABLE_STATUSES.includes(response.status) ? "failed" : "answered",
      );
      return response;
    } catch (error) {
      const isBackendFault = error instanceof ServiceCallError &&
        !dispatch.signal.aborted;
      lease.release(isBackendFault ? "failed" : "cancelled");
      throw error;
    }
  }

  #tryAcquireRetryAfterResponse(
    dispatch: DispatchRequest,
    result: { response: ServiceResponse; attempt: number },
  ): boolean {
    return dispatch.callClass === "repeatable" &&
      RETRYABLE_STATUSES.includes(result.response.status) &&
      result.attempt < MAX_ATTEMPTS && !dispatch.signal.aborted &&
      this.#retryBudget.tryAcquire();
  }

  #tryAcquireRetryAfterError(
    dispatch: DispatchRequest,
    result: { error: ServiceCallError; attempt: number },
  ): boolean {
    return (dispatch.callClass === "repeatable" || !result.error.isSent) &&
      result.attempt < MAX_ATTEMPTS && !dispatch.signal.aborted &&
      this.#retryBudget.tryAcquire();
  }
}

function createNoCapacityError(
  service: ServiceConfig,
  verdict: Verdict,
): RequestError {
  return new RequestError(
    `All backend servers of service "${service.name}" are unavailable or at their concurrency limit`,
    {
      code: "no-capacity",
      verdict,
      status: 503,
      retryAfterMs: NO_CAPACITY_RETRY_AFTER_MS,
    },
  );
}

/**
 * Creates the error for a request whose deadline has passed.
 *
 * @param verdict - Whether the request may have run.
 */
export function createDeadlineError(verdict: Verdict): RequestError {
  return new RequestError("The deadline of the request has passed", {
    code: "deadline-exceeded",
    verdict,
    status: 504,
  });
}

function createBackendFailureError(
  dispatch: DispatchRequest,
  result: { error: ServiceCallError; verdict: Verdict },
): RequestError {
  if (performance.now() >= dispatch.deadlineAtMs) {
    return createDeadlineError(result.verdict);
  }
  return new RequestError(
    `The call to service "${dispatch.service.name}" failed: ${result.error.message}`,
    {
      code: dispatch.signal.aborted ? "cancelled" : "backend-failed",
      verdict: result.verdict,
      status: result.error.isTimeout ? 504 : 502,
      cause: result.error,
    },
  );
}
