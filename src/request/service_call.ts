import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** Call to a service. */
export interface ServiceCall {
  readonly service: string;
  readonly method: string;
  /** Path relative to the service, with the query string. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  readonly idempotencyKey: string | undefined;
  /** Number of the caller's own attempt, from 1; undefined when the caller does not state it. */
  readonly attempt: number | undefined;
}

/**
 * Returns the digest that identifies retries of the same call.
 *
 * @param call - Call to hash.
 */
export function getCallSha256(call: ServiceCall): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.method, call.path, call.contentType ?? ""]));
  if (call.body !== undefined) {
    hash.update(call.body);
  }
  return hash.digest("hex");
}
