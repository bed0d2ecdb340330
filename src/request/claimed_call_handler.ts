import { Buffer } from "node:buffer";
import type { ServiceResponse } from "../connection/service_client.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { delay } from "../shared/delay.ts";
import { getErrorMessage, RequestError } from "../shared/errors.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import {
  getClaimName,
  type HeldClaim,
  isSendable,
  type StoredResponse,
} from "./claim.ts";
import {
  ClaimRegistry,
  type CompleteOptions,
  createUnknownOutcomeError,
} from "./claim_registry.ts";
import { UnstoredClaimTable } from "./unstored_claim_table.ts";
import type { RequestContext } from "./request_context.ts";
import { getCallSha256, type ServiceCall } from "./service_call.ts";
import {
  createDeadlineError,
  type ServiceDispatcher,
} from "./service_dispatcher.ts";

/** Time for which a response is delayed until its outcome is stored, in milliseconds, so that an immediate retry finds the outcome. */
const OUTCOME_WAIT_MS = 250;
/** Number of outcome writes in progress beyond which a further write is not retried. */
const MAX_PENDING_OUTCOME_WRITES = 256;
const STORE_RETRY_AFTER_MS = 1_000;

/** Non-repeatable call with an idempotency key. */
export interface ClaimedCall {
  readonly service: ServiceConfig;
  readonly call: ServiceCall;
  readonly key: string;
  readonly request: RequestContext;
}

/** Runs non-repeatable calls at most once per idempotency key. */
export class ClaimedCallHandler {
  readonly #context: DaemonContext;
  readonly #dispatcher: ServiceDispatcher;
  readonly #registry: ClaimRegistry;
  readonly #unstoredClaims = new UnstoredClaimTable();
  #pendingOutcomeWriteCount = 0;

  constructor(context: DaemonContext, dispatcher: ServiceDispatcher) {
    this.#context = context;
    this.#dispatcher = dispatcher;
    this.#registry = new ClaimRegistry(context.store, context.settings);
  }

  /**
   * Claims the idempotency key and sends the call, or returns the stored response of an earlier attempt.
   *
   * @param claimedCall - Call with its idempotency key.
   * @throws {RequestError} When the call is refused or its outcome is unknown.
   */
  async handle(claimedCall: ClaimedCall): Promise<ServiceResponse> {
    const { call, service, request, key } = claimedCall;
    const name = getClaimName(service.name, {
      account: request.account.name,
      key,
    });
    const requestSha256 = getCallSha256(call);
    const unstoredClaim = this.#unstoredClaims.getClaim(name);
    const result = (unstoredClaim &&
      this.#registry.getOutcome(unstoredClaim, requestSha256)) ??
      await this.#registry.claim({
        name,
        requestSha256,
        maxRunMs: service.timeoutMs,
        deadlineAtMs: request.deadlineAtMs,
      });
    const claim = result.caseOf({
      Left: (error) => {
        this.#recordClaim(claimedCall, { name, state: error.code });
        throw error;
      },
      Right: (value) => value,
    });
    this.#recordClaim(claimedCall, { name, state: claim.type });
    switch (claim.type) {
      case "stored":
        return convertStoredResponse(claim.response);
      case "granted":
        this.#checkFirstAttempt(claimedCall, claim);
        return await this.#runClaimedCall(claimedCall, claim.heldClaim);
      case "unavailable":
        this.#acceptWithoutClaimOrThrow(claimedCall, claim.heldClaim);
        return await this.#runClaimedCall(claimedCall, claim.heldClaim);
    }
  }

  #recordClaim(
    claimedCall: ClaimedCall,
    claim: { name: string; state: string },
  ): void {
    const { metrics, events } = this.#context;
    const { name, state } = claim;
    const isCreated = state === "granted";
    metrics.count("claims", { label: state });
    events.record(state === "unavailable" ? "warn" : "debug", {
      event: isCreated
        ? "claim-created"
        : state === "unavailable"
        ? "claim-unavailable"
        : "claim-found",
      requestId: claimedCall.request.requestId,
      fields: isCreated ? { claim: name } : { claim: name, state },
    });
  }

  /** Refuses a call that the caller marked as a retry if the store has no claim of its first attempt, which may have been sent without a claim during a store outage. */
  #checkFirstAttempt(
    claimedCall: ClaimedCall,
    grantedClaim: { heldClaim: HeldClaim; isFirst: boolean },
  ): void {
    if (
      claimedCall.service.claimOutage === "first-attempt-only" &&
      grantedClaim.isFirst && (claimedCall.call.attempt ?? 1) > 1
    ) {
      this.#completeInBackground(grantedClaim.heldClaim, {
        end: { state: "unknown" },
        isSent: false,
      });
      throw createUnknownOutcomeError(
        "Its first attempt has no stored claim, which happens while the store is unavailable",
      );
    }
  }

  #acceptWithoutClaimOrThrow(
    claimedCall: ClaimedCall,
    heldClaim: HeldClaim,
  ): void {
    const isRetry = (claimedCall.call.attempt ?? 1) > 1;
    if (
      claimedCall.service.claimOutage === "first-attempt-only" && !isRetry &&
      this.#unstoredClaims.tryAdd(heldClaim.name, heldClaim.claim)
    ) {
      this.#context.logger.write("warn", "call-without-claim", {
        requestId: claimedCall.request.requestId,
        service: claimedCall.service.name,
      });
      return;
    }
    // The write of the claim may still take effect. Storing it as released makes the key usable again; it is stored as unknown if the first attempt may have been sent without a claim.
    const mayHaveBeenSent = isRetry &&
      claimedCall.service.claimOutage === "first-attempt-only";
    this.#completeInBackground(heldClaim, {
      end: { state: mayHaveBeenSent ? "unknown" : "released" },
      isSent: false,
    });
    throw new RequestError(
      "The call cannot be claimed because the platform's store does not respond; retry later",
      {
        code: "store-unavailable",
        verdict:
          isRetry || this.#unstoredClaims.getClaim(heldClaim.name) !== undefined
            ? "may-have-run"
            : "not-run",
        status: 503,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      },
    );
  }

  /** Waits for the response until the caller's deadline. After the deadline the call continues in the background, so that its outcome is stored. */
  async #runClaimedCall(
    claimedCall: ClaimedCall,
    heldClaim: HeldClaim,
  ): Promise<ServiceResponse> {
    const progress: RunProgress = { isSent: false, isDeadlinePassed: false };
    const pendingResponse = this.#sendAndComplete(claimedCall, {
      heldClaim,
      progress,
    });
    this.#context.gracefulStop.addBackgroundWork(pendingResponse);
    const timerController = new AbortController();
    const remainingMs = claimedCall.request.deadlineAtMs - performance.now();
    try {
      return await Promise.race([
        pendingResponse,
        delay(remainingMs, timerController.signal).then((isPassed) => {
          progress.isDeadlinePassed = isPassed;
          throw createDeadlineError(
            progress.isSent ? "may-have-run" : "not-run",
          );
        }),
      ]);
    } finally {
      timerController.abort();
    }
  }

  async #sendAndComplete(
    claimedCall: ClaimedCall,
    run: { heldClaim: HeldClaim; progress: RunProgress },
  ): Promise<ServiceResponse> {
    const { heldClaim, progress } = run;
    try {
      const response = await this.#dispatcher.send({
        service: claimedCall.service,
        call: claimedCall.call,
        callClass: "non-repeatable",
        requestId: claimedCall.request.requestId,
        deadlineAtMs: Number.POSITIVE_INFINITY,
        // The call continues after the caller disconnects, since its outcome has to be stored.
        signal: new AbortController().signal,
        checkBeforeSend: () => {
          checkSendable(claimedCall.request, run);
          progress.isSent = true;
        },
      });
      await this.#completeWithTimeout(heldClaim, {
        end: {
          state: "finished",
          answer: this.#createStoredResponse(response),
        },
        isSent: true,
      });
      return response;
    } catch (error) {
      await this.#completeWithTimeout(heldClaim, {
        end: { state: progress.isSent ? "unknown" : "released" },
        isSent: progress.isSent,
      });
      throw error;
    }
  }

  async #completeWithTimeout(
    heldClaim: HeldClaim,
    options: CompleteOptions,
  ): Promise<void> {
    const outcomeWrite = this.#completeInBackground(heldClaim, options);
    const timerController = new AbortController();
    await Promise.race([
      outcomeWrite,
      delay(OUTCOME_WAIT_MS, timerController.signal),
    ]);
    timerController.abort();
  }

  #completeInBackground(
    heldClaim: HeldClaim,
    options: CompleteOptions,
  ): Promise<void> {
    const outcomeWrite = this.#storeOutcome(heldClaim, options);
    this.#context.gracefulStop.addBackgroundWork(outcomeWrite);
    return outcomeWrite;
  }

  async #storeOutcome(
    heldClaim: HeldClaim,
    options: CompleteOptions,
  ): Promise<void> {
    const { end, isSent } = options;
    if (isSent) {
      this.#unstoredClaims.update(heldClaim.name, {
        ...heldClaim.claim,
        ...end,
      });
    } else if (
      this.#unstoredClaims.getClaim(heldClaim.name) === heldClaim.claim
    ) {
      this.#unstoredClaims.remove(heldClaim.name);
    }
    // Above the limit a write is tried only once, so that an outage does not multiply the requests to the store.
    const signal = this.#pendingOutcomeWriteCount < MAX_PENDING_OUTCOME_WRITES
      ? this.#context.lifeCycle.signal
      : AbortSignal.abort();
    this.#pendingOutcomeWriteCount++;
    try {
      const isStored = await this.#registry.complete(heldClaim, {
        ...options,
        signal,
      });
      if (isStored && isSent) {
        this.#unstoredClaims.remove(heldClaim.name);
      } else if (!isStored) {
        this.#context.logger.write("warn", "claim-end-not-stored", {
          claim: heldClaim.name,
          state: end.state,
        });
      }
    } catch (error) {
      this.#context.logger.write("error", "claim-end-failed", {
        claim: heldClaim.name,
        message: getErrorMessage(error),
      });
    } finally {
      this.#pendingOutcomeWriteCount--;
    }
  }

  #createStoredResponse(response: ServiceResponse): StoredResponse | undefined {
    if (response.body.length > this.#context.settings.maxStoredAnswerBytes) {
      return undefined;
    }
    return {
      status: response.status,
      contentType: response.contentType,
      location: response.location,
      bodyBase64: response.body.toString("base64"),
    };
  }
}

/** Progress of a claimed call, shared by the sender and the deadline timer. */
interface RunProgress {
  /** Whether a byte of the call may have been sent. */
  isSent: boolean;
  /** Whether the caller has been refused because its deadline passed. */
  isDeadlinePassed: boolean;
}

function checkSendable(
  request: RequestContext,
  run: { heldClaim: HeldClaim; progress: RunProgress },
): void {
  if (
    run.progress.isDeadlinePassed || performance.now() >= request.deadlineAtMs
  ) {
    throw createDeadlineError("not-run");
  }
  if (request.signal.aborted) {
    throw new RequestError("The caller closed the connection", {
      code: "cancelled",
      verdict: "not-run",
      status: 499,
    });
  }
  if (!isSendable(run.heldClaim)) {
    throw new RequestError(
      "The claim of the call expired before the call was sent",
      {
        code: "deadline-exceeded",
        verdict: "not-run",
        status: 504,
      },
    );
  }
}

function convertStoredResponse(response: StoredResponse): ServiceResponse {
  return {
    status: response.status,
    contentType: response.contentType,
    location: response.location,
    body: Buffer.from(response.bodyBase64, "base64"),
  };
}
