import { randomUUID } from "node:crypto";
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";

/** Time after an error response at which a connection that is still open is destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;
/** Connections whose first error was handled. Later errors on them are ignored. */
const handledSockets = new WeakSet<Socket>();

/**
 * Sends an error response to a request that the HTTP parser rejected or that timed out, and closes the connection.
 *
 * @param error - Error from the HTTP parser or from a timeout of the server.
 * @param socket - Connection to the caller.
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
  dropInput(socket);
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
  // Closing a connection with unread input causes a reset, which can make the caller lose the response.
  setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
}

/** Stops passing input to the HTTP parser. Otherwise, a refused request would be handled if its rest arrived before the connection is closed. */
function dropInput(socket: Socket): void {
  socket.removeAllListeners("data");
  // Node.js detaches the parser when a listener is added.
  socket.on("data", () => {});
  socket.resume();
}

/** Gets whether a response has already started on the connection. A second response would corrupt it. */
function hasStartedResponse(socket: Socket): boolean {
  const response = (socket as Socket & { _httpMessage?: ServerResponse })
    ._httpMessage;
  return response?.headersSent ?? false;
}

function convertClientError(error: Error): RequestError {
  const code = (error as NodeJS.ErrnoException).code;
  if (code === "HPE_HEADER_OVERFLOW") {
    return new RequestError("The request headers are larger than 16384 bytes", {
      code: "headers-too-large",
      verdict: "not-run",
      status: 431,
      cause: error,
    });
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return new RequestError("The request did not arrive completely in time", {
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
