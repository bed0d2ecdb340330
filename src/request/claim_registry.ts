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
  type StoredAnswer,
} from "./claim.ts";

const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;
const MAX_OUTCOME_BACKOFF_MS = 5_000;
/** Reads after which a lost claim write is taken to have had no effect. */
const MIN_ABSENT_READS = 6;
const IN_PROGRESS_RETRY_AFTER_MS = 500;
/** Time for connecting, for the outcome write and for clock differences between daemons. */
const EXPIRY_MARGIN_MS = 5_000;
const OUTCOME_RETRY_LIMIT_MS = 600_000;

/** What a claim is for. */
export interface ClaimRequest {
  readonly name: string;
  /** Digest of method, path and body. */
  readonly requestSha256: string;
  /** Longest time that the call may run, in milliseconds. */
  readonly maxRunMs: number;
  /** Monotonic time by which the request has to end. */
  readonly deadlineAtMs: number;
}

/**
 * Result of claiming.
 *
 * - `granted`: this attempt may send the call; `isFirst` tells that the store knew nothing about the key before.
 * - `stored`: the call ran before; its answer is stored.
 * - `unavailable`: the store did not answer, and nothing is known about the key.
 */
export type ClaimResult =
  | {
    readonly type: "granted";
    readonly heldClaim: HeldClaim;
    readonly isFirst: boolean;
  }
  | { readonly type: "stored"; readonly answer: StoredAnswer }
  | { readonly type: "unavailable"; readonly heldClaim: HeldClaim };

/** How a held claim is completed. */
export interface CompleteOptions {
  readonly end: ClaimEnd;
  /** Whether a byte of the call may have been sent. */
  readonly isSent: boolean;
  /** Ends the retries. */
  readonly signal?: AbortSignal;
}

/** Settings of the registry. */
export type ClaimRegistrySettings = Pick<
  DaemonSettings,
  "name" | "claimWaitMs" | "claimRetentionMs"
>;

/** Claims of non-repeatable calls in the platform's store. */
export class ClaimRegistry {
  readonly #store: ObjectStore;
  readonly #settings: ClaimRegistrySettings;

  constructor(store: ObjectStore, settings: ClaimRegistrySettings) {
    this.#store = store;
    this.#settings = settings;
  }

  /**
   * Creates a claim, or finds the outcome of the one that exists.
   *
   * A lost answer is read back until the outcome is known, within the deadline and the longest wait.
   *
   * @param request - What the claim is for.
   * @returns The right to send the call, its stored answer, or the refusal.
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
        // The object is absent or free: the write is tried again under the version just read.
        expectedVersion = object?.version ?? 0;
        isFirst = object === undefined;
        hasConflict = false;
      }
      await delay(backoffMs * (0.5 + Math.random()));
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
    return hasConflict
      ? Left(createUnknownOutcomeError("Its claim cannot be read"))
      : Right({ type: "unavailable", heldClaim });
  }

  /**
   * Writes how a claim ended, with retries while the store fails.
   *
   * @param heldClaim - Claim in hand.
   * @param options - How it ended, and what ends the retries.
   * @returns Whether the end is known to be stored, or the claim of a call that was not sent is known to be absent.
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
    // After the retention another claim may have the same version number, so nothing is written any more.
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
        const stored = object && parseClaim(object);
        if (stored === undefined) {
          if (object !== undefined || heldClaim.version !== undefined) {
            return false;
          }
          // A call that was not sent must not create a claim: another daemon may have sent the key without one during an outage.
          absentReads++;
          if (!isSent && absentReads >= MIN_ABSENT_READS) {
            return true;
          }
          version = isSent ? 0 : undefined;
        } else if (
          isSameAttempt(stored, value) || isReplaceable(stored, value)
        ) {
          if (isSameAttempt(stored, value) && stored.state === value.state) {
            return true;
          }
          version = object?.version;
        } else if (isSent && isHeldByOtherAttempt(stored, value)) {
          // Another attempt of the same call still holds its claim; it is replaced once it is released.
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
   * Gets the outcome that a claim of another attempt implies for a caller.
   *
   * @param claim - Claim of another attempt.
   * @param requestSha256 - Digest of the caller's request.
   * @returns The outcome, or undefined when the claim is free to be taken over.
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
          ? Left(createAnswerNotStoredError())
          : Right({ type: "stored", answer: claim.answer });
      case "unknown":
        return Left(createUnknownOutcomeError("Its answer was lost"));
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
      return Left(createUnknownOutcomeError("Its claim is not valid"));
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

function isSameAttempt(stored: Claim, value: Claim): boolean {
  return stored.attemptId === value.attemptId;
}

/** Gets whether the outcome of a call that was sent without a claim replaces another attempt's claim of the same call. */
function isReplaceable(stored: Claim, value: Claim): boolean {
  return stored.requestSha256 === value.requestSha256 &&
    (stored.state === "released" || stored.state === "unknown") &&
    (value.state === "finished" ||
      (value.state === "unknown" && stored.state === "released"));
}

/** Gets whether another attempt of the same call holds the claim without an outcome. */
function isHeldByOtherAttempt(stored: Claim, value: Claim): boolean {
  return stored.requestSha256 === value.requestSha256 &&
    stored.state === "claimed";
}

function parseClaim(object: StoredObject): Claim | undefined {
  const parsed = claimSchema.safeParse(object.value);
  return parsed.success ? parsed.data : undefined;
}

function createKeyReusedError(): RequestError {
  return new RequestError(
    "The idempotency key was used before for another call; use a new key",
    { code: "key-reused", verdict: "not-run", status: 422 },
  );
}

function createAnswerNotStoredError(): RequestError {
  return new RequestError(
    "The call with this idempotency key ran; its answer was too large to be stored",
    { code: "claim-outcome-unknown", verdict: "ran", status: 409 },
  );
}

function createInProgressError(): RequestError {
  return new RequestError("A call with this idempotency key is running", {
    code: "claim-in-progress",
    verdict: "may-have-run",
    status: 409,
    retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
  });
}

/**
 * Creates the refusal of a key whose call may have run without a known outcome.
 *
 * @param reason - Full sentence without the full stop.
 */
export function createUnknownOutcomeError(reason: string): RequestError {
  return new RequestError(
    `The call with this idempotency key may have run. ${reason}`,
    { code: "claim-outcome-unknown", verdict: "may-have-run", status: 409 },
  );
}
