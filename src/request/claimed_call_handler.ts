import { Buffer } from "node:buffer";
import type { ServiceAnswer } from "../connection/service_client.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { delay } from "../shared/delay.ts";
import { getErrorMessage, RequestError } from "../shared/errors.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import {
  getClaimName,
  type HeldClaim,
  isSendable,
  type StoredAnswer,
} from "./claim.ts";
import {
  ClaimRegistry,
  type CompleteOptions,
  createUnknownOutcomeError,
} from "./claim_registry.ts";
import { OutageLedger } from "./outage_ledger.ts";
import type { RequestContext } from "./request_context.ts";
import { getCallSha256, type ServiceCall } from "./service_call.ts";
import {
  createDeadlineError,
  type ServiceDispatcher,
} from "./service_dispatcher.ts";

/** Time for which an answer waits for its outcome write, so that an immediate retry finds it stored. */
const OUTCOME_WAIT_MS = 250;
const MAX_PENDING_OUTCOMES = 256;
const STORE_RETRY_AFTER_MS = 1_000;

/** Non-repeatable call with an idempotency key. */
export interface ClaimedCall {
  readonly service: ServiceConfig;
  readonly call: ServiceCall;
  readonly key: string;
  readonly request: RequestContext;
}

/** Runs a non-repeatable call at most once for each idempotency key. */
export class ClaimedCallHandler {
  readonly #context: DaemonContext;
  readonly #dispatcher: ServiceDispatcher;
  readonly #registry: ClaimRegistry;
  readonly #ledger = new OutageLedger();
  #pendingOutcomes = 0;

  constructor(context: DaemonContext, dispatcher: ServiceDispatcher) {
    this.#context = context;
    this.#dispatcher = dispatcher;
    this.#registry = new ClaimRegistry(context.store, context.settings);
  }

  /**
   * Claims the key and sends the call, or answers with the outcome of its earlier run.
   *
   * @param claimed - Call with its key.
   * @throws {RequestError} When the call is refused or its outcome is unknown.
   */
  async handle(claimed: ClaimedCall): Promise<ServiceAnswer> {
    const { call, service, request, key } = claimed;
    const name = getClaimName(service.name, {
      account: request.account.name,
      key,
    });
    const requestSha256 = getCallSha256(call);
    const remembered = this.#ledger.getClaim(name);
    const result = (remembered &&
      this.#registry.getOutcome(remembered, requestSha256)) ??
      await this.#registry.claim({
        name,
        requestSha256,
        runMs: service.timeoutMs,
        deadlineAtMs: request.deadlineAtMs,
      });
    const claim = result.caseOf({
      Left: (error) => {
        this.#recordClaim(claimed, { name, state: error.code });
        throw error;
      },
      Right: (value) => value,
    });
    this.#recordClaim(claimed, { name, state: claim.type });
    switch (claim.type) {
      case "stored":
        return convertStoredAnswer(claim.answer);
      case "granted":
        this.#checkFirstAttempt(claimed, claim);
        return await this.#run(claimed, claim.held);
      case "unavailable":
        this.#acceptWithoutClaimOrThrow(claimed, claim.held);
        return await this.#run(claimed, claim.held);
    }
  }

  #recordClaim(
    claimed: ClaimedCall,
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
      requestId: claimed.request.requestId,
      fields: isCreated ? { claim: name } : { claim: name, state },
    });
  }

  /** Refuses a counted retry whose first attempt may have been sent without a claim during an outage. */
  #checkFirstAttempt(
    claimed: ClaimedCall,
    granted: { held: HeldClaim; isFirst: boolean },
  ): void {
    if (
      claimed.service.claimOutage === "first-attempt-only" &&
      granted.isFirst && (claimed.call.attempt ?? 1) > 1
    ) {
      this.#completeInBackground(granted.held, {
        end: { state: "unknown" },
        isSent: false,
      });
      throw createUnknownOutcomeError(
        "Its first attempt left no claim, which happens while the store is down",
      );
    }
  }

  #acceptWithoutClaimOrThrow(claimed: ClaimedCall, held: HeldClaim): void {
    const isRetry = (claimed.call.attempt ?? 1) > 1;
    if (
      claimed.service.claimOutage === "first-attempt-only" && !isRetry &&
      this.#ledger.tryAdd(held.name, held.claim)
    ) {
      this.#context.logger.write("warn", "call-without-claim", {
        requestId: claimed.request.requestId,
        service: claimed.service.name,
      });
      return;
    }
    // The claim's write may still take effect. A released claim lets the key be used again, unless its first attempt may have been sent without a claim.
    const isUncertain = isRetry &&
      claimed.service.claimOutage === "first-attempt-only";
    this.#completeInBackground(held, {
      end: { state: isUncertain ? "unknown" : "released" },
      isSent: false,
    });
    throw new RequestError(
      "The call cannot be claimed, since the platform's store does not answer",
      {
        code: "store-unavailable",
        verdict: isRetry || this.#ledger.getClaim(held.name) !== undefined
          ? "may-have-run"
          : "not-run",
        status: 503,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      },
    );
  }

  /** Waits for the answer until the caller's deadline; the call itself ends in the background, so that its outcome is stored. */
  async #run(claimed: ClaimedCall, held: HeldClaim): Promise<ServiceAnswer> {
    const progress: RunProgress = { isSent: false, isClosed: false };
    const running = this.#sendAndComplete(claimed, { held, progress });
    this.#context.gracefulStop.addBackground(running);
    const stopTimer = new AbortController();
    const remainingMs = claimed.request.deadlineAtMs - performance.now();
    try {
      return await Promise.race([
        running,
        delay(remainingMs, stopTimer.signal).then((isPassed) => {
          progress.isClosed = isPassed;
          throw createDeadlineError(
            progress.isSent ? "may-have-run" : "not-run",
          );
        }),
      ]);
    } finally {
      stopTimer.abort();
    }
  }

  async #sendAndComplete(
    claimed: ClaimedCall,
    run: { held: HeldClaim; progress: RunProgress },
  ): Promise<ServiceAnswer> {
    const { held, progress } = run;
    try {
      const answer = await this.#dispatcher.send({
        service: claimed.service,
        call: claimed.call,
        callClass: "non-repeatable",
        requestId: claimed.request.requestId,
        deadlineAtMs: Number.POSITIVE_INFINITY,
        // The caller's absence does not end the call, since its outcome has to be stored.
        signal: new AbortController().signal,
        checkBeforeSend: () => {
          checkSendable(claimed.request, run);
          progress.isSent = true;
        },
      });
      await this.#complete(held, {
        end: { state: "finished", answer: this.#createStoredAnswer(answer) },
        isSent: true,
      });
      return answer;
    } catch (error) {
      await this.#complete(held, {
        end: { state: progress.isSent ? "unknown" : "released" },
        isSent: progress.isSent,
      });
      throw error;
    }
  }

  async #complete(held: HeldClaim, options: CompleteOptions): Promise<void> {
    const done = this.#completeInBackground(held, options);
    const stopTimer = new AbortController();
    await Promise.race([done, delay(OUTCOME_WAIT_MS, stopTimer.signal)]);
    stopTimer.abort();
  }

  #completeInBackground(
    held: HeldClaim,
    options: CompleteOptions,
  ): Promise<void> {
    const done = this.#completeAndForget(held, options);
    this.#context.gracefulStop.addBackground(done);
    return done;
  }

  async #completeAndForget(
    held: HeldClaim,
    options: CompleteOptions,
  ): Promise<void> {
    const { end, isSent } = options;
    if (isSent) {
      this.#ledger.update(held.name, { ...held.claim, ...end });
    } else if (this.#ledger.getClaim(held.name) === held.claim) {
      this.#ledger.remove(held.name);
    }
    // Beyond the bound a write is tried once, so that an outage does not multiply store calls.
    const signal = this.#pendingOutcomes < MAX_PENDING_OUTCOMES
      ? this.#context.lifeCycle.signal
      : AbortSignal.abort();
    this.#pendingOutcomes++;
    try {
      const isStored = await this.#registry.complete(held, {
        ...options,
        signal,
      });
      if (isStored && isSent) {
        this.#ledger.remove(held.name);
      } else if (!isStored) {
        this.#context.logger.write("warn", "claim-end-not-stored", {
          claim: held.name,
          state: end.state,
        });
      }
    } catch (error) {
      this.#context.logger.write("error", "claim-end-failed", {
        claim: held.name,
        message: getErrorMessage(error),
      });
    } finally {
      this.#pendingOutcomes--;
    }
  }

  #createStoredAnswer(answer: ServiceAnswer): StoredAnswer | undefined {
    if (answer.body.length > this.#context.settings.maxStoredAnswerBytes) {
      return undefined;
    }
    return {
      status: answer.status,
      contentType: answer.contentType,
      location: answer.location,
      bodyBase64: answer.body.toString("base64"),
    };
  }
}

interface RunProgress {
  isSent: boolean;
  isClosed: boolean;
}

function checkSendable(
  request: RequestContext,
  run: { held: HeldClaim; progress: RunProgress },
): void {
  if (run.progress.isClosed || performance.now() >= request.deadlineAtMs) {
    throw createDeadlineError("not-run");
  }
  if (request.signal.aborted) {
    throw new RequestError("The caller went away", {
      code: "cancelled",
      verdict: "not-run",
      status: 499,
    });
  }
  if (!isSendable(run.held)) {
    throw new RequestError(
      "The claim of the call expired before it was sent",
      {
        code: "deadline-exceeded",
        verdict: "not-run",
        status: 504,
      },
    );
  }
}

function convertStoredAnswer(answer: StoredAnswer): ServiceAnswer {
  return {
    status: answer.status,
    contentType: answer.contentType,
    location: answer.location,
    body: Buffer.from(answer.bodyBase64, "base64"),
  };
}
