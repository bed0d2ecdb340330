import type { Buffer } from "node:buffer";
import type { HeaderPair } from "../../connection/backend_transport.ts";

/** Part of a prompt that several requests may have in common. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Model and token counts of a request for generated text. */
export interface ModelRequest {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** Number of output tokens that the caller expects. */
  readonly expectedOutputTokens?: number;
}

/** Decoded request of a caller. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with the query string. */
  readonly path: string;
  /** Headers that are forwarded to the backend server. */
  readonly headers: readonly HeaderPair[];
  /** API key of the caller's client account. */
  readonly apiKey?: string;
  readonly body: Buffer;
  /** Monotonic time at which the request was read, in milliseconds. */
  readonly receivedAtMs: number;
  /** Time that the caller waits for the response, in milliseconds. */
  readonly timeBudgetMs?: number;
  readonly modelRequest?: ModelRequest;
  /** Id of the last event that the caller received of an interrupted response, after which the response resumes. */
  readonly resumeAfter?: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Writes the response to one request. At most one of `sendResponse` and `openStream` is called; neither is called for a request that is refused with an error. */
export interface ResponseWriter {
  /** Sends the complete response of a backend server. */
  sendResponse(
    status: number,
    headers: readonly HeaderPair[],
    body: Buffer,
  ): void;
  /** Sends the status and headers of a streamed response. */
  openStream(status: number, headers: readonly HeaderPair[]): void;
  /**
   * Sends a chunk of a streamed response.
   *
   * @returns Promise to await before the next write when the caller reads slowly, or undefined.
   */
  write(chunk: Buffer): Promise<void> | undefined;
  /** Ends a streamed response as complete. */
  finish(): void;
  /** Closes the connection, so that the caller detects a truncated response. */
  abort(): void;
  /** Gets whether the status and headers of the response were sent. */
  hasStarted(): boolean;
  /** Registers a callback that runs once no part of the response waits to be sent, because the response has been sent or its connection has closed. */
  onSent(callback: () => void): void;
}
