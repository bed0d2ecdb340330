import { randomUUID } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import type { DaemonSettings } from "../process/daemon_settings.ts";
import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import {
  type Claim,
  CLAIM_KIND,
  type ClaimEnd,
  claimSchema,
  type HeldClaim,
  type StoredResponse,
} from "./claim.ts";

const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;
const MAX_OUTCOME_BACKOFF_MS = 5_000;
/** Number of reads without a claim after which a claim write without a response counts as not applied. */
const MIN_ABSENT_READS = 6;
const IN_PROGRESS_RETRY_AFTER_MS = 500;
/** Margin added to the expiry of a claim for connecting, writing the outcome and clock skew between daemons, in milliseconds. */
const EXPIRY_MARGIN_MS = 5_000;
/** Time after which the retries of an outcome write end, in milliseconds. */
const OUTCOME_RETRY_LIMIT_MS = 600_000;

/** Call to claim. */
export interface ClaimRequest {
  /** Name of the stored claim. */
  readonly name: string;
  /** Digest of the method, path, content type and body of the call. */
  readonly requestSha256: string;
  /** Maximum run time of the call, in milliseconds. */
  readonly maxRunMs: number;
  /** Deadline of the request on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
}

/**
 * Result of claiming a call.
 *
 * - `granted`: this attempt may send the call; `isFirst` is true when the store held no earlier claim for the key.
 * - `stored`: an earlier attempt ran the call, and its response is stored.
 * - `unavailable`: the store did not respond, so it is not known whether an earlier claim exists.
 */
export type ClaimResult =
  | {
    readonly type: "granted";
    readonly heldClaim: HeldClaim;
    readonly isFirst: boolean;
  }
  | { readonly type: "stored"; readonly response: StoredResponse }
  | { readonly type: "unavailable"; readonly heldClaim: HeldClaim };

/** Options for completing a held claim. */
export interface CompleteOptions {
  /** Final state of the claim. */
  readonly end: ClaimEnd;
  /** Whether a byte of the call may have been sent. */
  readonly isSent: boolean;
  /** Aborts the retries of the write. */
  readonly signal?: AbortSignal;
}

/** Settings of the registry. */
export type ClaimRegistrySettings = Pick<
  DaemonSettings,
  "name" | "claimWaitMs" | "claimRetentionMs"
>;

/** Creates and completes the claims of non-repeatable calls in the platform's store. */
export class ClaimRegistry {
  readonly #store: ObjectStore;
  readonly #settings: ClaimRegistrySettings;

  constructor(store: ObjectStore, settings: ClaimRegistrySettings) {
    this.#store = store;
    this.#settings = settings;
  }

  /**
   * Creates a claim, or returns the outcome of the existing one.
   *
   * If the store does not confirm the write, the claim is read back until the outcome is known, up to the deadline or `claimWaitMs`, whichever is earlier.
   *
   * @param request - Call to claim.
   * @returns The granted claim, the stored response, or the error that refuses the call.
   */
  async claim(
    request: ClaimRequest,
  ): Promise<Either<RequestError, ClaimResult>> {
    const heldClaim = this.#createHeldClaim(request);
    const retryUntilMs = Math.min(
      request.deadlineAtMs,
      performance.now() + this.#settings.claimWaitMs,
    );
    let expectedVersion: number | undefined = 0;
    let isFirst = true;
    let hasConflict = false;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (performance.now() < retryUntilMs) {
      if (expectedVersion !== undefined) {
        const write = await this.#put(heldClaim, {
          value: heldClaim.claim,
          expectedVersion,
        });
        if (write.outcome === "written") {
          return Right({
            type: "granted",
            heldClaim: { ...heldClaim, version: write.version },
            isFirst,
          });
        }
        hasConflict ||= write.outcome === "conflict";
        expectedVersion = undefined;
      }
      const read = await this.#store.getObject(CLAIM_KIND, heldClaim.name);
      if (read.isRight()) {
        const object = read.unsafeCoerce();
        const result = this.#getClaimResult(object, {
          heldClaim,
          isFirst,
        });
        if (result !== undefined) {
          return result;
        }
        // No claim exists or the existing one may be taken over: the write is retried with the version that was read.
        expectedVersion = object?.version ?? 0;
        isFirst = object === undefined;
        hasConflict = false;
      }
      await delay(backoffMs * (0.5 + Math.random()));
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
    return hasConflict
      ? Left(
        createUnknownOutcomeError("Its claim cannot be read from the store"),
      )
      : Right({ type: "unavailable", heldClaim });
  }

  /**
   * Writes the final state of a claim, with retries while the store fails.
   *
   * @param heldClaim - Claim that this daemon holds.
   * @param options - Final state, and the signal that aborts the retries.
   * @returns `true` when the final state is stored, or when the call was not sent and the store holds no claim of it.
   */
  async complete(
    heldClaim: HeldClaim,
    options: CompleteOptions,
  ): Promise<boolean> {
    const { end, isSent, signal } = options;
    const value: Claim = { ...heldClaim.claim, ...end };
    const retryUntilMs = performance.now() + OUTCOME_RETRY_LIMIT_MS;
    let version = heldClaim.version;
    let absentReads = 0;
    let backoffMs = INITIAL_BACKOFF_MS;
    // After the retention another claim may have the same version number, so no further write is made.
    while (
      performance.now() < retryUntilMs && Date.now() < value.retainUntilMs
    ) {
      if (version !== undefined) {
        const write = await this.#put(heldClaim, {
          value,
          expectedVersion: version,
        });
        if (write.outcome === "written") {
          return true;
        }
      }
      const read = await this.#store.getObject(CLAIM_KIND, heldClaim.name);
      if (read.isRight()) {
        const object = read.unsafeCoerce();
        const storedClaim = object && parseClaim(object);
        if (storedClaim === undefined) {
          if (object !== undefined || heldClaim.version !== undefined) {
            return false;
          }
          // A call that was not sent must not create a claim: another daemon may have sent a call with this key without a claim during an outage.
          absentReads++;
          if (!isSent && absentReads >= MIN_ABSENT_READS) {
            return true;
          }
          version = isSent ? 0 : undefined;
        } else if (
          isSameAttempt(storedClaim, value) || isReplaceable(storedClaim, value)
        ) {
          if (
            isSameAttempt(storedClaim, value) &&
            storedClaim.state === value.state
          ) {
            return true;
          }
          version = object?.version;
        } else if (isSent && isHeldByOtherAttempt(storedClaim, value)) {
          // Another attempt of the same call still holds the claim, which can be replaced once it is released.
          version = undefined;
        } else {
          return false;
        }
      }
      if (!await delay(backoffMs * (0.5 + Math.random()), signal)) {
        return false;
      }
      backoffMs = Math.min(backoffMs * 2, MAX_OUTCOME_BACKOFF_MS);
    }
    return false;
  }

  /**
   * Returns the outcome for a caller whose key another attempt has claimed.
   *
   * @param claim - Claim of another attempt.
   * @param requestSha256 - Digest of the caller's request.
   * @returns The outcome, or undefined when the claim may be taken over.
   */
  getOutcome(
    claim: Claim,
    requestSha256: string,
  ): Either<RequestError, ClaimResult> | undefined {
    if (Date.now() >= claim.retainUntilMs) {
      return undefined;
    }
    if (claim.requestSha256 !== requestSha256) {
      return Left(createKeyReusedError());
    }
    switch (claim.state) {
      case "released":
        return undefined;
      case "finished":
        return claim.answer === undefined
          ? Left(createResponseNotStoredError())
          : Right({ type: "stored", response: claim.answer });
      case "unknown":
        return Left(createUnknownOutcomeError("Its response was lost"));
      case "claimed":
        return Left(
          Date.now() < claim.expiresAtMs
            ? createInProgressError()
            : createUnknownOutcomeError("Its claim expired without an outcome"),
        );
    }
  }

  #getClaimResult(
    object: StoredObject | undefined,
    context: { heldClaim: HeldClaim; isFirst: boolean },
  ): Either<RequestError, ClaimResult> | undefined {
    const { heldClaim, isFirst } = context;
    if (object === undefined) {
      return undefined;
    }
    const claim = parseClaim(object);
    if (claim === undefined) {
      return Left(createUnknownOutcomeError("Its stored claim is not valid"));
    }
    if (claim.attemptId === heldClaim.claim.attemptId) {
      return Right({
        type: "granted",
        heldClaim: { ...heldClaim, version: object.version },
        isFirst,
      });
    }
    return this.getOutcome(claim, heldClaim.claim.requestSha256);
  }

  #put(
    heldClaim: HeldClaim,
    write: { value: Claim; expectedVersion: number },
  ): ReturnType<ObjectStore["putObject"]> {
    return this.#store.putObject({
      kind: CLAIM_KIND,
      name: heldClaim.name,
      ...write,
    });
  }

  #createHeldClaim(request: ClaimRequest): HeldClaim {
    const sendWithinMs = this.#settings.claimWaitMs + EXPIRY_MARGIN_MS / 2;
    const expiresInMs = this.#settings.claimWaitMs + request.maxRunMs +
      EXPIRY_MARGIN_MS;
    const now = Date.now();
    return {
      name: request.name,
      version: undefined,
      sendByMs: performance.now() + sendWithinMs,
      sendByWallMs: now + sendWithinMs,
      claim: {
        state: "claimed",
        owner: this.#settings.name,
        attemptId: randomUUID(),
        requestSha256: request.requestSha256,
        expiresAtMs: now + expiresInMs,
        retainUntilMs: now + expiresInMs + this.#settings.claimRetentionMs,
      },
    };
  }
}

function isSameAttempt(storedClaim: Claim, value: Claim): boolean {
  return storedClaim.attemptId === value.attemptId;
}

/** Gets whether the outcome of a call that was sent without a claim may replace the stored claim of another attempt. */
function isReplaceable(storedClaim: Claim, value: Claim): boolean {
  return storedClaim.requestSha256 === value.requestSha256 &&
    (storedClaim.state === "released" || storedClaim.state === "unknown") &&
    (value.state === "finished" ||
      (value.state === "unknown" && storedClaim.state === "released"));
}

/** Gets whether another attempt of the same call holds the stored claim and has no outcome yet. */
function isHeldByOtherAttempt(storedClaim: Claim, value: Claim): boolean {
  return storedClaim.requestSha256 === value.requestSha256 &&
    storedClaim.state === "claimed";
}

function parseClaim(object: StoredObject): Claim | undefined {
  const result = claimSchema.safeParse(object.value);
  return result.success ? result.data : undefined;
}

function createKeyReusedError(): RequestError {
  return new RequestError(
    "The idempotency key was already used for another call; use a new key",
    { code: "key-reused", verdict: "not-run", status: 422 },
  );
}

function createResponseNotStoredError(): RequestError {
  return new RequestError(
    "The call with this idempotency key has already run, but its response was too large to be stored",
    { code: "claim-outcome-unknown", verdict: "ran", status: 409 },
  );
}

function createInProgressError(): RequestError {
  return new RequestError(
    "A call with this idempotency key is already running; retry later",
    {
      code: "claim-in-progress",
      verdict: "may-have-run",
      status: 409,
      retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
    },
  );
}

/**
 * Creates the error for an idempotency key whose call may have run with an unknown outcome.
 *
 * @param reason - Sentence without the final full stop.
 */
export function createUnknownOutcomeError(reason: string): RequestError {
  return new RequestError(
    `The call with this idempotency key may have run. ${reason}`,
    { code: "claim-outcome-unknown", verdict: "may-have-run", status: 409 },
  );
}
