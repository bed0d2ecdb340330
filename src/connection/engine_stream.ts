import { Buffer } from "node:buffer";
import { type Agent, type IncomingMessage, request } from "node:http";
import { getErrorMessage } from "../shared/errors.ts";
import { parseAddress } from "./backend_transport.ts";
import { EngineError } from "./engine_client.ts";

const CONNECT_TIMEOUT_MS = 1_000;

/** Connection failures at which no byte of the request was sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "CONNECT_TIMEOUT",
]);

/** What is sent to open a stream. */
export interface EngineStreamOptions {
  readonly address: string;
  readonly body: string;
  readonly agent: Agent;
  readonly signal: AbortSignal;
}

/**
 * Opens the stream of an answer. It uses `node:http` directly, since a `got` stream costs several milliseconds of CPU time for each request.
 *
 * @throws {EngineError} When the engine declines the request or cannot be reached.
 */
export function openEngineStream(
  options: EngineStreamOptions,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = request({
      ...parseAddress(options.address),
      method: "POST",
      path: "/v1/chat/completions",
      agent: options.agent,
      signal: options.signal,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(options.body),
      },
    });
    req.once("socket", (socket) => {
      if (socket.connecting) {
        const timer = setTimeout(() => {
          req.destroy(new ConnectTimeoutError("The connection timed out"));
        }, CONNECT_TIMEOUT_MS);
        const clearTimer = () => clearTimeout(timer);
        socket.once("connect", clearTimer);
        socket.once("close", clearTimer);
      }
    });
    req.on("error", (error) => {
      reject(convertStreamError(error, options.signal));
    });
    req.once("response", (res) => {
      if (res.statusCode === 200) {
        resolve(res);
        return;
      }
      res.resume();
      reject(
        new EngineError(`The engine answered with status ${res.statusCode}`, {
          verdict: "not-run",
          kind: "refused",
        }),
      );
    });
    req.end(options.body);
  });
}

/**
 * Converts a failure of the stream.
 *
 * @param error - Error of the connection.
 * @param signal - Signal by which the daemon aborts the attempt.
 */
export function convertStreamError(
  error: unknown,
  signal: AbortSignal,
): EngineError {
  if (error instanceof EngineError) {
    return error;
  }
  const isUnsent = UNSENT_ERROR_CODES.has(
    (error as { code?: string }).code ?? "",
  );
  return new EngineError(`The engine failed: ${getErrorMessage(error)}`, {
    verdict: isUnsent ? "not-run" : "may-have-run",
    kind: signal.aborted ? "aborted" : isUnsent ? "unreachable" : "lost",
    cause: error,
  });
}

class ConnectTimeoutError extends Error {
  readonly code = "CONNECT_TIMEOUT";
}
