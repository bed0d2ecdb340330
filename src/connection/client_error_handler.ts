import { randomUUID } from "node:crypto";
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";

const CLOSE_TIMEOUT_MS = 1_000;
const handledSockets = new WeakSet<Socket>();

/**
 * Answers a request that the HTTP parser refused, and closes its connection.
 *
 * @param error - Error of the parser or of the server's timeouts.
 * @param socket - Connection of the caller.
 */
export function handleClientError(error: Error, socket: Socket): void {
  if (handledSockets.has(socket)) {
    return;
  }
  handledSockets.add(socket);
  if (!socket.writable || hasStartedResponse(socket)) {
    socket.destroy();
    return;
  }
  const failure = convertClientError(error);
  const requestId = randomUUID();
  const body = JSON.stringify(createErrorBody(failure, requestId));
  socket.end([
    `HTTP/1.1 ${failure.status} ${STATUS_CODES[failure.status]}`,
    "connection: close",
    "content-type: application/json; charset=utf-8",
    `content-length: ${body.length}`,
    `x-request-id: ${requestId}`,
    "",
    body,
  ].join("\r\n"));
  // Unread input would turn the close into a reset, which can discard the answer at the caller.
  socket.resume();
  setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
}

/** Gets whether a response on the connection has begun, so that another one would corrupt it. */
function hasStartedResponse(socket: Socket): boolean {
  const response = (socket as Socket & { _httpMessage?: ServerResponse })
    ._httpMessage;
  return response?.headersSent ?? false;
}

function convertClientError(error: Error): RequestError {
  const code = (error as NodeJS.ErrnoException).code;
  if (code === "HPE_HEADER_OVERFLOW") {
    return new RequestError("The headers are larger than 16384 bytes", {
      code: "headers-too-large",
      verdict: "not-run",
      status: 431,
      cause: error,
    });
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return new RequestError("The request took too long to arrive", {
      code: "request-timeout",
      verdict: "not-run",
      status: 408,
      cause: error,
    });
  }
  return new RequestError("The request is not valid HTTP", {
    code: "bad-request",
    verdict: "not-run",
    status: 400,
    cause: error,
  });
}
