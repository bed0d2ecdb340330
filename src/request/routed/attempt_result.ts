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
