import { createHash } from "node:crypto";
import { RequestError } from "../../shared/errors.ts";
import type { Verdict } from "../../shared/verdict.ts";
import type { RequestScope } from "./request_scope.ts";

/**
 * Returns a hash that identifies a request and stays the same when its caller retries it.
 *
 * @example
 * ```ts
 * if (context.crashes.isRefused(getFingerprint(scope), request.requestId)) {
 *   throw createCrashRefusal("Several servers crashed", "not-run");
 * }
 * ```
 */
export function getFingerprint({ request, account }: RequestScope): string {
  return createHash("sha256")
    .update(JSON.stringify([request.method, request.path, account]))
    .update(request.body)
    .digest("base64url")
    .slice(0, 16);
}

/**
 * Creates the refusal of a request that is suspected of crashing whatever runs it.
 *
 * @param message - What crashed.
 * @param verdict - Whether the request may have run in an earlier attempt.
 * @returns An error with status 503 if the request has not run, else 502.
 * @example
 * ```ts
 * throw createCrashRefusal("Several backend servers crashed", verdict);
 * ```
 */
export function createCrashRefusal(
  message: string,
  verdict: Verdict,
): RequestError {
  return new RequestError(message, {
    code: "quarantined",
    verdict,
    status: verdict === "not-run" ? 503 : 502,
  });
}
