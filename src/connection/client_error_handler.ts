import { randomUUID } from "node:crypto";
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";
import { recordEndReason } from "./connection_end_reason.ts";

/** Time after the last response at which a connection that is still open is destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;
/** Codes of errors by which a caller or the network ended the connection. */
const CALLER_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "ETIMEDOUT",
]);
/** Connections whose first error was handled. Later errors on them are ignored. */
const handledSockets = new WeakSet<Socket>();

/**
 * Sends an error response to a request that the HTTP parser rejected or that timed out, and closes the connection. Complete requests before it on the same connection are answered first.
 *
 * @param error - Error from the HTTP parser or from a timeout of the server.
 * @param socket - Connection to the caller.
 */
export function handleClientError(error: Error, socket: Socket): void {
  if (handledSockets.has(socket)) {
    return;
  }
  handledSockets.add(socket);
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { code } = error as NodeJS.ErrnoException;
  if (!socket.readableEnded && !CALLER_ERROR_CODES.has(code ?? "")) {
    recordEndReason(socket, "client-error");
  }
  dropInput(socket);
  const response = getResponse(socket);
  if (response === undefined || !hasRequest(response)) {
    sendError(error, socket);
  } else if (socket.readableEnded) {
    // The caller has left.
    socket.destroy();
  } else {
    socket.once("end", () => socket.destroy());
    closeAfterResponses(socket);
  }
}

/** Stops passing input to the HTTP parser. Otherwise, a refused request would be handled if its rest arrived before the connection is closed. */
function dropInput(socket: Socket): void {
  socket.removeAllListeners("data");
  // Node.js detaches the parser when a listener is added.
  socket.on("data", () => {});
  socket.resume();
}

/** Gets whether a response belongs to a complete request or has started. An error response would be taken for it or corrupt it. */
function hasRequest(response: ServerResponse): boolean {
  return response.req.complete || response.headersSent;
}

/** Closes the connection when the responses to all complete requests have been sent. */
function closeAfterResponses(socket: Socket): void {
  const response = getResponse(socket);
  if (response === undefined || !hasRequest(response)) {
    closeSoon(socket);
    return;
  }
  response.once("finish", () => closeAfterResponses(socket));
}

function sendError(error: Error, socket: Socket): void {
  const failure = convertClientError(error);
  const requestId = randomUUID();
  const body = JSON.stringify(createErrorBody(failure, requestId));
  closeSoon(
    socket,
    [
      `HTTP/1.1 ${failure.status} ${STATUS_CODES[failure.status]}`,
      "connection: close",
      "content-type: application/json; charset=utf-8",
      `content-length: ${body.length}`,
      `x-request-id: ${requestId}`,
      "",
      body,
    ].join("\r\n"),
  );
}

/** Ends the connection. It is not destroyed at once, because closing a connection with unread input causes a reset, which can make the caller lose the response. */
function closeSoon(socket: Socket, lastBytes = ""): void {
  socket.end(lastBytes);
  setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
}

/** Gets the response that is being sent on the connection. */
function getResponse(socket: Socket): ServerResponse | undefined {
  return (socket as Socket & { _httpMessage?: ServerResponse | null })
    ._httpMessage ?? undefined;
}

function convertClientError(error: Error): RequestError {
  const code = (error as NodeJS.ErrnoException).code;
  if (code === "HPE_HEADER_OVERFLOW") {
    return new RequestError("The request headers are larger than the limit", {
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
