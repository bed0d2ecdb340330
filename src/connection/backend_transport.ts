import type { Buffer } from "node:buffer";
import type { Verdict } from "../shared/verdict.ts";

/** Header as name and value. */
export type HeaderPair = readonly [name: string, value: string];

/** Backend server that a request is sent to. */
export interface BackendTarget {
  /** Identifies one life of the backend server. */
  readonly serverId: string;
  /** IP number and port. */
  readonly address: string;
}

/**
 * Splits an address into host and port; the brackets of an IPv6 number are left out.
 *
 * @param address - IP number and port.
 * @example
 * ```ts
 * parseAddress("10.0.0.7:8080"); // { host: "10.0.0.7", port: 8080 }
 * ```
 */
export function parseAddress(address: string): { host: string; port: number } {
  const separatorIndex = address.lastIndexOf(":");
  return {
    host: address.slice(0, separatorIndex).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(separatorIndex + 1)),
  };
}

/** One attempt of a request at a backend server. */
export interface BackendCall {
  readonly requestId: string;
  readonly method: string;
  /** Path with the query, as the caller sent it. */
  readonly path: string;
  /** End-to-end headers of the caller. */
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer;
  /** Time that the backend server has, in milliseconds. */
  readonly timeBudgetMs: number;
  /** Client account of the caller. */
  readonly account?: string;
  /** Id of the last event that the caller has; a stream continues after it. */
  readonly resumeAfter?: number;
  /** Whether the attempt uses a connection of its own, so that no earlier answer and no idle timeout can touch it. */
  readonly usesDedicatedConnection: boolean;
  /** Ends the attempt and closes its connection. */
  readonly signal: AbortSignal;
}

/** Head of a backend server's answer, and its body. */
export interface BackendResponse {
  readonly status: number;
  /** End-to-end headers as the backend server sent them. */
  readonly headers: readonly HeaderPair[];
  /** `not-run` when the backend server states that it has not run the request. */
  readonly verdict: Verdict;
  /** Backend server whose failure made this one decline, where it is named. */
  readonly failedServerId?: string;
  /** Length of the body in bytes, where the backend server stated it. */
  readonly contentLength?: number;
  /**
   * Body in pieces as they arrive. It throws a `BackendError` when the body is cut.
   */
  readonly body: AsyncIterable<Buffer>;
}

/**
 * How an attempt failed.
 *
 * - `unreachable`: no connection was made.
 * - `reset`: the connection ended before the whole answer.
 * - `invalid`: the bytes are no answer to this request.
 * - `aborted`: the daemon ended the attempt.
 */
export type BackendFailureKind =
  | "unreachable"
  | "reset"
  | "invalid"
  | "aborted";

/** Failure of an attempt at a backend server. */
export class BackendError extends Error {
  override readonly name = "BackendError";
  readonly kind: BackendFailureKind;
  readonly verdict: Verdict;

  constructor(
    message: string,
    options: { kind: BackendFailureKind; verdict: Verdict; cause?: unknown },
  ) {
    super(message, { cause: options.cause });
    this.kind = options.kind;
    this.verdict = options.verdict;
  }
}

/** Sends requests to backend servers. */
export interface BackendTransport {
  /**
   * Sends one attempt and waits for the head of its answer.
   *
   * @throws {BackendError} When there is no answer to this request.
   */
  send(target: BackendTarget, call: BackendCall): Promise<BackendResponse>;
  /** Closes the idle connections. */
  dispose(): void;
}
