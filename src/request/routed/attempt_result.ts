import { Buffer } from "node:buffer";
import {
  BackendError,
  type BackendResponse,
} from "../../connection/backend_transport.ts";

/** Maximum size of a buffered response body, in bytes. */
const MAX_RESPONSE_BYTES = 4_194_304;

/**
 * Result of sending a request to a backend server once.
 *
 * - `complete`: the response was streamed to the caller in full.
 * - `answered`: the backend server sent a complete response, with a success or an error status.
 * - `declined`: the backend server stated in its response that it has not run the request.
 * - `failed`: no complete response arrived.
 */
export type AttemptResult =
  | { readonly outcome: "complete" }
  | AttemptResponse
  | AttemptFailure;

/** Result of an attempt with a complete response, which has not been sent to the caller yet. */
export interface AttemptResponse {
  readonly outcome: "answered" | "declined";
  readonly response: BackendResponse;
  readonly body: Buffer;
}

/** Result of an attempt without a complete response. */
export interface AttemptFailure {
  readonly outcome: "failed";
  readonly error: BackendError;
  /** Whether the daemon aborted the attempt because its replica group was lost. */
  readonly isGroupLost: boolean;
}

/** Lowest HTTP status of the server errors. */
const FIRST_SERVER_ERROR_STATUS = 500;
/** HTTP status of a server that ran out of time for the request. */
const GATEWAY_TIMEOUT_STATUS = 504;

/** Gets whether an HTTP status is a server error after which another server may still respond in time, which excludes 504. */
export function isRetryableServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS &&
    status !== GATEWAY_TIMEOUT_STATUS;
}

/**
 * Reads the whole body of a response into memory.
 *
 * @throws {BackendError} When the body is truncated or larger than `MAX_RESPONSE_BYTES`.
 */
export async function readResponseBody(
  response: BackendResponse,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response.body) {
    bytes += chunk.length;
    if (bytes > MAX_RESPONSE_BYTES) {
      throw new BackendError(
        `The response is larger than ${MAX_RESPONSE_BYTES} bytes`,
        { kind: "invalid", verdict: response.verdict },
      );
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

/** Reads the body of a response that is no stream, and returns the result of the attempt. */
export async function readRefusal(
  response: BackendResponse,
): Promise<AttemptResponse> {
  const body = await readResponseBody(response);
  return {
    outcome: response.verdict === "not-run" ? "declined" : "answered",
    response,
    body,
  };
}

/** Gets whether a head refused the request for a stated time, after which the request may be sent to it again. */
export function isPausing(result: AttemptResult): boolean {
  return result.outcome === "declined" &&
    typeof result.response.pause === "number" && result.response.pause > 0;
}

/** Gets whether the connection of an attempt failed without the daemon having ended the attempt. */
export function isReset(result: AttemptResult): boolean {
  return result.outcome === "failed" && !result.isGroupLost &&
    result.error.kind === "reset";
}

/** Describes the connection on which the response of an attempt arrived, for the log; undefined without a response. */
export function describeConnection(
  result: AttemptResult,
): "new" | "reused" | undefined {
  if (!("response" in result)) {
    return undefined;
  }
  return result.response.isConnectionReused ? "reused" : "new";
}

/** Describes the failure of an attempt at a replica group, for the error of its request. */
export function describeFailure(result: AttemptResult): string {
  if (result.outcome === "failed") {
    return result.error.message;
  }
  return result.outcome === "answered"
    ? `The replica group that was to continue the stream answered with status ${result.response.status}`
    : "All replica groups that were tried declined the request";
}

/**
 * Converts the error of an attempt at a replica group to its result.
 *
 * @param error - Thrown value; an error that says nothing about the server is thrown again.
 * @param lossReason - Reason why the daemon ended the attempt; undefined when it did not.
 */
export function convertAttemptError(
  error: unknown,
  lossReason: string | undefined,
): AttemptResult {
  if (!(error instanceof BackendError)) {
    throw error;
  }
  return {
    outcome: "failed",
    isGroupLost: lossReason !== undefined,
    error: lossReason === undefined
      ? error
      : new BackendError(`The replica group was lost: ${lossReason}`, {
        kind: "reset",
        verdict: error.verdict,
        cause: error,
      }),
  };
}
