import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Call of a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly method: string;
  /** Path below the service, with the query. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly idempotencyKey: string | undefined;
  /** Number of the sending as the caller counts it, from 1; undefined when the caller does not count. */
  readonly attempt: number | undefined;
}

/**
 * Gets the digest by which a re-sent call is recognised as the same.
 *
 * @param call - Call of the caller.
 */
export function getCallSha256(call: ServiceCall): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.method, call.path, call.contentType ?? ""]));
  if (call.body !== undefined) {
    hash.update(call.body);
  }
  return hash.digest("hex");
}
