import { createHash } from "node:crypto";
import { z } from "zod";

/** Kind of the stored objects. */
export const CLAIM_KIND = "claim";

export const storedAnswerSchema = z.object({
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
  /** Answer of a finished call; left out when it is larger than the limit. */
  answer: storedAnswerSchema.optional(),
});

/** Answer of a service as stored with its claim. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/**
 * Stored claim of a non-repeatable call.
 *
 * - `claimed`: the owner may send the call until the expiry; after the expiry its outcome is unknown.
 * - `released`: the owner proved that it sent no byte; another attempt may take the claim over.
 * - `finished`: the service answered.
 * - `unknown`: the call was sent and its answer was lost.
 */
export type Claim = z.infer<typeof claimSchema>;

/** Claim that this daemon holds. */
export interface HeldClaim {
  readonly name: string;
  readonly claim: Claim;
  /** Version of the stored object; undefined when it is not known whether the claim was stored. */
  readonly version: number | undefined;
  /** Last time to send the first byte, in milliseconds of `performance.now()`. */
  readonly sendByMs: number;
  /** Last time to send the first byte, in milliseconds since the epoch. */
  readonly sendByWallMs: number;
}

/** How a held claim ends. */
export type ClaimEnd =
  | { readonly state: "released" | "unknown" }
  | { readonly state: "finished"; readonly answer: StoredAnswer | undefined };

/**
 * Gets the name of the object that holds a claim.
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
 * Gets whether the first byte of a claimed call may be sent now. The monotonic clock shows a pause of the process, the wall clock also one of the whole VM.
 *
 * @param heldClaim - Claim in hand.
 */
export function isSendable(heldClaim: HeldClaim): boolean {
  return performance.now() < heldClaim.sendByMs &&
    Date.now() < heldClaim.sendByWallMs;
}
