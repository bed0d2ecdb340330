import { Buffer } from "node:buffer";
import { type Agent, type IncomingMessage, request } from "node:http";
import { getErrorMessage, reportMissingResponse } from "../shared/errors.ts";
import { isFinalStatus, parseAddress } from "./backend_transport.ts";
import { EngineError } from "./engine_client.ts";

/** Time limit for establishing a connection to an engine, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Codes of connection errors that occur before any byte of the request is sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "CONNECT_TIMEOUT",
]);

/** Options of a streaming request. */
export interface EngineStreamOptions {
  readonly address: string;
  readonly body: string;
  readonly agent: Agent;
  readonly signal: AbortSignal;
}

/**
 * Sends a chat request to an engine and resolves with the response stream. It uses `node:http` directly because a `got` stream costs several milliseconds of CPU time per request.
 *
 * @throws {EngineError} When the engine refuses the request or cannot be reached.
 */
export function openEngineStream(
  options: EngineStreamOptions,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = reportMissingResponse(request({
      ...parseAddress(options.address),
      method: "POST",
      path: "/v1/chat/completions",
      agent: options.agent,
      signal: options.signal,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(options.body),
      },
    }));
    req.once("socket", (socket) => {
      if (socket.connecting) {
        const timer = setTimeout(() => {
          req.destroy(
            new ConnectTimeoutError("Connecting to the engine timed out"),
          );
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
      const isRefused = isFinalStatus(res.statusCode ?? 0);
      reject(
        new EngineError(`The engine responded with status ${res.statusCode}`, {
          verdict: isRefused ? "not-run" : "may-have-run",
          kind: isRefused ? "refused" : "lost",
        }),
      );
    });
    req.end(options.body);
  });
}

/**
 * Converts an error of the request or its response stream to an `EngineError`.
 *
 * @param error - Error of the request or the stream.
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
  return new EngineError(
    `The request to the engine failed: ${getErrorMessage(error)}`,
    {
      verdict: isUnsent ? "not-run" : "may-have-run",
      kind: signal.aborted ? "aborted" : isUnsent ? "unreachable" : "lost",
      cause: error,
    },
  );
}

class ConnectTimeoutError extends Error {
  readonly code = "CONNECT_TIMEOUT";
}
