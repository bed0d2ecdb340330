import { createHash } from "node:crypto";
import { z } from "zod";

/** Object kind under which claims are stored. */
export const CLAIM_KIND = "claim";

export const storedResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  location: z.string().optional(),
  bodyBase64: z.string(),
});

export const claimSchema = z.object({
  state: z.enum(["claimed", "released", "finished", "unknown"]),
  owner: z.string(),
  attemptId: z.string(),
  requestSha256: z.string(),
  expiresAtMs: z.number(),
  retainUntilMs: z.number(),
  /** Response of a finished call; left out when it exceeds `maxStoredAnswerBytes`. */
  answer: storedResponseSchema.optional(),
});

/** Response of a service that is stored with the claim of the call. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/**
 * Stored claim of a non-repeatable call.
 *
 * - `claimed`: the owner may run the call until the claim expires; afterwards the outcome is unknown.
 * - `released`: the owner sent no byte of the call; another attempt may take over the claim.
 * - `finished`: the service responded to the call.
 * - `unknown`: the call may have run, but its response was lost.
 */
export type Claim = z.infer<typeof claimSchema>;

/** Claim that this daemon holds. */
export interface HeldClaim {
  readonly name: string;
  readonly claim: Claim;
  /** Version of the stored object, or undefined when it is not known whether the claim was stored. */
  readonly version: number | undefined;
  /** Deadline for sending the first byte of the call, in milliseconds of `performance.now()`. */
  readonly sendByMs: number;
  /** Deadline for sending the first byte of the call on the wall clock, in milliseconds since the epoch. */
  readonly sendByWallMs: number;
}

/** Final state of a held claim. */
export type ClaimEnd =
  | { readonly state: "released" | "unknown" }
  | { readonly state: "finished"; readonly answer: StoredResponse | undefined };

/**
 * Returns the name of the stored object of a claim.
 *
 * @param service - Name of the service.
 * @param owner - Client account and idempotency key.
 */
export function getClaimName(
  service: string,
  owner: { account: string; key: string },
): string {
  const digest = createHash("sha256")
    .update(JSON.stringify([owner.account, owner.key])).digest("hex");
  return `${service}-${digest}`;
}

/**
 * Gets whether the first byte of a claimed call may still be sent. The monotonic clock detects a pause of the process, and the wall clock also a pause of the whole VM.
 *
 * @param heldClaim - Claim that this daemon holds.
 */
export function isSendable(heldClaim: HeldClaim): boolean {
  return performance.now() < heldClaim.sendByMs &&
    Date.now() < heldClaim.sendByWallMs;
}
