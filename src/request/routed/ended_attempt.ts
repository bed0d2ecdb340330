import { Buffer } from "node:buffer";
import {
  type BackendAnswer,
  BackendError,
} from "../../connection/backend_transport.ts";

/** Largest answer that is held as a whole, in bytes. */
const MAX_ANSWER_BYTES = 4_194_304;

/**
 * How an attempt ended.
 *
 * - `complete`: the answer was passed on as it arrived.
 * - `answered`: the backend server gave a whole answer, a success or a failure of its own.
 * - `declined`: the backend server states that it has not run the request.
 * - `failed`: there is no whole answer.
 */
export type EndedAttempt =
  | { readonly outcome: "complete" }
  | AnsweredAttempt
  | FailedAttempt;

/** Attempt with a whole answer that was not passed on yet. */
export interface AnsweredAttempt {
  readonly outcome: "answered" | "declined";
  readonly answer: BackendAnswer;
  readonly body: Buffer;
}

/** Attempt without a whole answer. */
export interface FailedAttempt {
  readonly outcome: "failed";
  readonly error: BackendError;
  /** Whether the attempt was ended since its group is lost. */
  readonly isGroupLost: boolean;
}

/** Lowest status by which a server says that it failed a proper request. */
const SERVER_FAILURE = 500;
/** Status of a server whose time for the request has passed. */
const TIME_PASSED = 504;

/** Gets whether a status says that the server failed a proper request, which another server may answer in time. */
export function isServerFailure(status: number): boolean {
  return status >= SERVER_FAILURE && status !== TIME_PASSED;
}

/**
 * Reads the whole body of an answer.
 *
 * @throws {BackendError} When the body is cut or too large.
 */
export async function readAnswer(answer: BackendAnswer): Promise<Buffer> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of answer.body) {
    bytes += piece.length;
    if (bytes > MAX_ANSWER_BYTES) {
      throw new BackendError(
        `The answer is larger than ${MAX_ANSWER_BYTES} bytes`,
        { kind: "invalid", verdict: answer.verdict },
      );
    }
    pieces.push(piece);
  }
  return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
}
