import { Buffer } from "node:buffer";
import {
  type BackendAnswer,
  BackendError,
} from "../../connection/backend_transport.ts";

/** Largest answer that is held as a whole, in bytes. */
const MAX_RESPONSE_BYTES = 4_194_304;

/**
 * How an attempt ended.
 *
 * - `complete`: the answer was passed on as it arrived.
 * - `answered`: the backend server gave a whole answer, a success or a failure of its own.
 * - `declined`: the backend server states that it has not run the request.
 * - `failed`: there is no whole answer.
 */
export type AttemptResult =
  | { readonly outcome: "complete" }
  | AttemptResponse
  | AttemptFailure;

/** Attempt with a whole answer that was not passed on yet. */
export interface AttemptResponse {
  readonly outcome: "answered" | "declined";
  readonly answer: BackendAnswer;
  readonly body: Buffer;
}

/** Attempt without a whole answer. */
export interface AttemptFailure {
  readonly outcome: "failed";
  readonly error: BackendError;
  /** Whether the attempt was ended since its group is lost. */
  readonly isGroupLost: boolean;
}

/** Lowest status by which a server says that it failed a proper request. */
const FIRST_SERVER_ERROR_STATUS = 500;
/** Status of a server whose time for the request has passed. */
const GATEWAY_TIMEOUT_STATUS = 504;

/** Gets whether a status says that the server failed a proper request, which another server may answer in time. */
export function isRetryableServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS &&
    status !== GATEWAY_TIMEOUT_STATUS;
}

/**
 * Reads the whole body of an answer.
 *
 * @throws {BackendError} When the body is cut or too large.
 */
export async function readResponseBody(answer: BackendAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of answer.body) {
    bytes += chunk.length;
    if (bytes > MAX_RESPONSE_BYTES) {
      throw new BackendError(
        `The answer is larger than ${MAX_RESPONSE_BYTES} bytes`,
        { kind: "invalid", verdict: answer.verdict },
      );
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
