import type { RequestError } from "../shared/errors.ts";
import type { Verdict } from "../shared/verdict.ts";

/** Body of every error response of the caller port. */
export interface ErrorBody {
  readonly error: {
    /** Error code for programs. */
    readonly code: string;
    /** Description of the error for people. */
    readonly message: string;
    readonly verdict: Verdict;
    /** Time after which a retry may succeed, in milliseconds, or null when it is unknown. */
    readonly retryAfterMs: number | null;
    readonly requestId: string;
  };
}

/**
 * Creates the body of an error response.
 *
 * @param failure - Error with which the request failed.
 * @param requestId - Id of the request.
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
