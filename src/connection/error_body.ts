import type { RequestError } from "../shared/errors.ts";
import type { Verdict } from "../shared/verdict.ts";

/** Body of every refusal of the caller port. */
export interface ErrorBody {
  readonly error: {
    readonly code: string;
    readonly message: string;
    readonly verdict: Verdict;
    /** Time after which a retry may succeed, in milliseconds; null when unknown. */
    readonly retryAfterMs: number | null;
    readonly requestId: string;
  };
}

/**
 * Creates the body of a refusal.
 *
 * @param failure - Why the request failed.
 * @param requestId - Identifier of the request.
 */
export function createErrorBody(
  failure: RequestError,
  requestId: string,
): ErrorBody {
  return {
    error: {
      code: failure.code,
      message: failure.message,
      verdict: failure.verdict,
      retryAfterMs: failure.retryAfterMs ?? null,
      requestId,
    },
  };
}
