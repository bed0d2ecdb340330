import type { Buffer } from "node:buffer";
import type { HeaderPair } from "../../connection/backend_transport.ts";

/** Part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of a model. */
export interface ModelRequest {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** Output tokens that the caller expects. */
  readonly expectedOutputTokens?: number;
}

/** Request of a caller, decoded by the codec of its interface. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  /** Headers that are passed on. */
  readonly headers: readonly HeaderPair[];
  /** Key of the caller's client account. */
  readonly apiKey?: string;
  readonly body: Buffer;
  /** Monotonic time at which the request was read, in milliseconds. */
  readonly receivedAtMs: number;
  /** Time that the caller waits, in milliseconds. */
  readonly timeBudgetMs?: number;
  readonly modelRequest?: ModelRequest;
  /** Last event that the caller has of an earlier answer. */
  readonly resumeAfter?: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Writes the answer to one request. Exactly one of `answer`, `refuse` and `openStream` is called. */
export interface ResponseWriter {
  /** Sends a backend server's whole answer. */
  sendResponse(
    status: number,
    headers: readonly HeaderPair[],
    body: Buffer,
  ): void;
  /** Sends the head of a streamed answer. */
  openStream(status: number, headers: readonly HeaderPair[]): void;
  /**
   * Sends a piece of a streamed answer.
   *
   * @returns Promise to wait for when the caller reads slowly.
   */
  write(chunk: Buffer): Promise<void> | undefined;
  /** Ends a streamed answer as complete. */
  finish(): void;
  /** Closes the connection so that the answer is seen to be cut. */
  abort(): void;
  /** Gets whether the head of the answer was sent. */
  hasStarted(): boolean;
}
