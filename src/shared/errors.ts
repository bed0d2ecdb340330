import type { ClientRequest } from "node:http";
import type { Verdict } from "./verdict.ts";

/** Machine-readable reason of a refusal or a failed request. */
export type RefusalCode =
  | "bad-request"
  | "unauthorized"
  | "unknown-model"
  | "unknown-service"
  | "not-found"
  | "body-too-large"
  | "headers-too-large"
  | "request-timeout"
  | "no-capacity"
  | "account-limit"
  | "deadline-exceeded"
  | "quarantined"
  | "stale-configuration"
  | "shutting-down"
  | "store-unavailable"
  | "claim-in-progress"
  | "claim-outcome-unknown"
  | "key-reused"
  | "backend-failed"
  | "cancelled"
  | "internal";

/** Details of a refusal or a failed request. */
export interface RequestErrorOptions {
  /** Machine-readable reason. */
  readonly code: RefusalCode;
  /** Whether a backend server may have run the request. */
  readonly verdict: Verdict;
  /** HTTP status of the response. */
  readonly status: number;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Underlying error. */
  readonly cause?: unknown;
}

/** Error that ends a caller's request. Its verdict states whether a backend server may have run the request. */
export class RequestError extends Error {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly status: number;
  readonly retryAfterMs: number | undefined;

  constructor(message: string, options: RequestErrorOptions) {
    super(message, { cause: options.cause });
    this.name = "RequestError";
    this.code = options.code;
    this.verdict = options.verdict;
    this.status = options.status;
    this.retryAfterMs = options.retryAfterMs;
  }
}

/** Error of an invalid state of the program itself. */
export class InvalidStateError extends Error {
  override readonly name = "InvalidStateError";
}

/**
 * Gets the value or throws when it is undefined.
 *
 * @param value - Value to check.
 * @param getMessage - Creates the full-sentence error message.
 * @throws {InvalidStateError} When the value is undefined.
 * @example
 * ```ts
 * const group = getDefinedOrThrow(groups.get(id), () => `Group "${id}" does not exist`);
 * ```
 */
export function getDefinedOrThrow<T>(
  value: T | undefined,
  getMessage: () => string,
): T {
  if (value === undefined) {
    throw new InvalidStateError(getMessage());
  }
  return value;
}

/**
 * Gets the message of a thrown value.
 *
 * @param error - Thrown value of any type.
 * @example
 * ```ts
 * getErrorMessage(new Error("Connection refused")); // "Connection refused"
 * ```
 */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** End of a request that got no response, although Node.js reported no error. */
export class MissingResponseError extends Error {
  override readonly name = "MissingResponseError";
  /** Whether the server switched to another protocol, which no request asks for. */
  readonly hasProtocolSwitch: boolean;

  constructor({ hasProtocolSwitch }: { hasProtocolSwitch: boolean }) {
    super(
      hasProtocolSwitch
        ? "The server switched to another protocol in place of a response"
        : "The connection closed without a response",
    );
    this.hasProtocolSwitch = hasProtocolSwitch;
  }
}

/**
 * Lets a request that ends without a response emit `error` with a `MissingResponseError`.
 *
 * Node.js emits neither `response` nor `error` for a request whose response switches the protocol, so that whoever waits for one of them would wait forever.
 *
 * @param clientRequest - Request that has not been sent.
 * @returns The request.
 * @example
 * ```ts
 * const clientRequest = reportMissingResponse(request(options));
 * ```
 */
export function reportMissingResponse(
  clientRequest: ClientRequest,
): ClientRequest {
  let hasEnded = false;
  const recordEnd = () => hasEnded = true;
  const reportError = (hasProtocolSwitch: boolean) => {
    if (!hasEnded) {
      clientRequest.emit(
        "error",
        new MissingResponseError({ hasProtocolSwitch }),
      );
    }
  };
  clientRequest.once("response", recordEnd);
  clientRequest.once("error", recordEnd);
  clientRequest.once("close", () => reportError(false));
  clientRequest.once("upgrade", (_response, socket) => {
    socket.destroy();
    reportError(true);
  });
  return clientRequest;
}
