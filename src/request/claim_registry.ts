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

const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;
const MAX_OUTCOME_BACKOFF_MS = 5_000;
/** Reads after which a lost claim write is taken to have had no effect. */
const ABSENT_READS = 6;
const IN_PROGRESS_RETRY_AFTER_MS = 500;
/** Time for connecting, for the outcome write and for clock differences between daemons. */
const EXPIRY_MARGIN_MS = 5_000;
const OUTCOME_LIMIT_MS = 600_000;

/** What a claim is for. */
export interface ClaimRequest {
  readonly name: string;
  /** Digest of method, path and body. */
  readonly requestSha256: string;
  /** Longest time that the call may run, in milliseconds. */
  readonly runMs: number;
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
    readonly held: HeldClaim;
    readonly isFirst: boolean;
  }
  | { readonly type: "stored"; readonly answer: StoredAnswer }
  | { readonly type: "unavailable"; readonly held: HeldClaim };

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
    const held = this.#createHeldClaim(request);
    const limitAtMs = Math.min(
      request.deadlineAtMs,
      performance.now() + this.#settings.claimWaitMs,
    );
    let expectedVersion: number | undefined = 0;
    let isFirst = true;
    let occupied = false;
    let backoffMs = FIRST_BACKOFF_MS;
    while (performance.now() < limitAtMs) {
      if (expectedVersion !== undefined) {
        const write = await this.#put(held, {
          value: held.claim,
          expectedVersion,
        });
        if (write.outcome === "written") {
          return Right({
            type: "granted",
            held: { ...held, version: write.version },
            isFirst,
          });
        }
        occupied ||= write.outcome === "conflict";
        expectedVersion = undefined;
      }
      const read = await this.#store.getObject(CLAIM_KIND, held.name);
      if (read.isRight()) {
        const object = read.unsafeCoerce();
        const decided = this.#getClaimResult(object, { held, isFirst });
        if (decided !== undefined) {
          return decided;
        }
        // The object is absent or free: the write is tried again under the version just read.
        expectedVersion = object?.version ?? 0;
        isFirst = object === undefined;
        occupied = false;
      }
      await delay(backoffMs * (0.5 + Math.random()));
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
    return occupied
      ? Left(createUnknownOutcomeError("Its claim cannot be read"))
      : Right({ type: "unavailable", held });
  }

  /**
   * Writes how a claim ended, with retries while the store fails.
   *
   * @param held - Claim in hand.
   * @param options - How it ended, and what ends the retries.
   * @returns Whether the end is known to be stored, or the claim of a call that was not sent is known to be absent.
   */
  async complete(
    held: HeldClaim,
    options: CompleteOptions,
  ): Promise<boolean> {
    const { end, isSent, signal } = options;
    const value: Claim = { ...held.claim, ...end };
    const limitAtMs = performance.now() + OUTCOME_LIMIT_MS;
    let version = held.version;
    let absentReads = 0;
    let backoffMs = FIRST_BACKOFF_MS;
    // After the retention another claim may have the same version number, so nothing is written any more.
    while (
      performance.now() < limitAtMs && Date.now() < value.retainUntilMs
    ) {
      if (version !== undefined) {
        const write = await this.#put(held, {
          value,
          expectedVersion: version,
        });
        if (write.outcome === "written") {
          return true;
        }
      }
      const read = await this.#store.getObject(CLAIM_KIND, held.name);
      if (read.isRight()) {
        const object = read.unsafeCoerce();
        const stored = object && parseClaim(object);
        if (stored === undefined) {
          if (object !== undefined || held.version !== undefined) {
            return false;
          }
          // A call that was not sent must not create a claim: another daemon may have sent the key without one during an outage.
          absentReads++;
          if (!isSent && absentReads >= ABSENT_READS) {
            return true;
          }
          version = isSent ? 0 : undefined;
        } else if (isOwn(stored, value) || isReplaced(stored, value)) {
          if (isOwn(stored, value) && stored.state === value.state) {
            return true;
          }
          version = object?.version;
        } else if (isSent && isPending(stored, value)) {
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
    own: { held: HeldClaim; isFirst: boolean },
  ): Either<RequestError, ClaimResult> | undefined {
    const { held, isFirst } = own;
    if (object === undefined) {
      return undefined;
    }
    const claim = parseClaim(object);
    if (claim === undefined) {
      return Left(createUnknownOutcomeError("Its claim is not valid"));
    }
    if (claim.attemptId === held.claim.attemptId) {
      return Right({
        type: "granted",
        held: { ...held, version: object.version },
        isFirst,
      });
    }
    return this.getOutcome(claim, held.claim.requestSha256);
  }

  #put(
    held: HeldClaim,
    write: { value: Claim; expectedVersion: number },
  ): ReturnType<ObjectStore["putObject"]> {
    return this.#store.putObject({
      kind: CLAIM_KIND,
      name: held.name,
      ...write,
    });
  }

  #createHeldClaim(request: ClaimRequest): HeldClaim {
    const sendWithinMs = this.#settings.claimWaitMs + EXPIRY_MARGIN_MS / 2;
    const expiresInMs = this.#settings.claimWaitMs + request.runMs +
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

function isOwn(stored: Claim, value: Claim): boolean {
  return stored.attemptId === value.attemptId;
}

/** Gets whether the outcome of a call that was sent without a claim replaces another attempt's claim of the same call. */
function isReplaced(stored: Claim, value: Claim): boolean {
  return stored.requestSha256 === value.requestSha256 &&
    (stored.state === "released" || stored.state === "unknown") &&
    (value.state === "finished" ||
      (value.state === "unknown" && stored.state === "released"));
}

/** Gets whether another attempt of the same call holds the claim without an outcome. */
function isPending(stored: Claim, value: Claim): boolean {
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
