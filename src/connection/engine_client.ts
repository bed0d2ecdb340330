import type { Either } from "purify-ts";
import type { Verdict } from "../shared/verdict.ts";

/** State of an engine on one backend server. */
export type EngineState = "empty" | "loading" | "cold" | "ready";

/** Status that an engine reports, possibly with a lag. */
export interface EngineStatus {
  /** Changes whenever the engine restarts. */
  readonly bootId: string;
  /** Generation of the last order that the engine took. */
  readonly generation: number;
  readonly state: EngineState;
  readonly groupId?: string;
  readonly model?: string;
  readonly modelVersion?: string;
  /** Members of the group that the engine currently reaches, itself included. */
  readonly connectedMembers: readonly string[];
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly heldTokens: number;
  /** Bound of held tokens; the engine fails when it is exceeded. */
  readonly maxTokens: number;
  /** Recent time for each generated token in milliseconds. */
  readonly tokenIntervalMs?: number;
}

/** Order to an engine. */
export interface EngineOrder {
  readonly action: "load" | "unload" | "drain";
  /** Fencing number. */
  readonly generation: number;
  readonly groupId: string;
  /** Addresses of the members by name. */
  readonly members: Readonly<Record<string, string>>;
  readonly leader: string;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}

/** Answer to an order. */
export type EngineOrderOutcome = "accepted" | "fenced" | "unknown";

/** Message of a chat. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant" | "tool" | "developer";
  readonly content: string;
}

/** Request to an engine for one attempt. */
export interface EngineChatRequest {
  /** Identifies the attempt at the engine. */
  readonly requestId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxOutputTokens: number;
  readonly priority: number;
  readonly temperature?: number;
  readonly stop?: readonly string[];
  /** Tokens already passed on to the caller; generation continues after them. */
  readonly resumeTokens: readonly string[];
}

/** Part of an engine's answer. */
export type EngineChunk =
  | { readonly type: "token"; readonly index: number; readonly text: string }
  | {
    readonly type: "end";
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
    readonly outputTokens: number;
  };

/** Failure of one attempt at an engine. */
export class EngineError extends Error {
  override readonly name = "EngineError";
  readonly verdict: Verdict;
  readonly kind: EngineFailureKind;

  constructor(
    message: string,
    options: {
      verdict: Verdict;
      kind: EngineFailureKind;
      cause?: unknown;
    },
  ) {
    super(message, { cause: options.cause });
    this.verdict = options.verdict;
    this.kind = options.kind;
  }
}

/**
 * How an attempt failed.
 *
 * - `refused`: the engine declined the request and is healthy.
 * - `unreachable`: no connection was made.
 * - `lost`: the connection broke, or the engine stopped, after the request was sent.
 * - `silent`: the engine sent nothing in time.
 * - `out-of-order`: a token is missing in the stream.
 * - `aborted`: the daemon cancelled the attempt.
 */
export type EngineFailureKind =
  | "refused"
  | "unreachable"
  | "lost"
  | "silent"
  | "out-of-order"
  | "aborted";

/** KV cache of a request, as one engine exports it for another. */
export interface KvExport {
  readonly requestId: string;
  readonly generatedTokens: number;
  readonly prefixHashes: readonly number[];
}

/** Client of the model engines. */
export interface EngineClient {
  /**
   * Streams an answer in batches, one for each read from the connection. More is read only when the consumer asks for it.
   *
   * @throws {EngineError} When the attempt fails.
   */
  streamChat(
    address: string,
    request: EngineChatRequest,
    signal: AbortSignal,
  ): AsyncIterable<readonly EngineChunk[]>;
  /** Cancels a request at the engine. */
  abort(address: string, requestId: string): Promise<void>;
  /**
   * Exports the KV cache of a running request.
   *
   * @throws {Error} When the engine does not support it or the request does not run.
   */
  exportKv(address: string, requestId: string): Promise<KvExport>;
  /**
   * Imports an exported KV cache.
   *
   * @throws {Error} When the engine does not support it.
   */
  importKv(address: string, kv: KvExport): Promise<void>;
  /** Gets the engine's status. */
  getStatus(address: string): Promise<Either<EngineError, EngineStatus>>;
  /** Sends an order. */
  sendOrder(address: string, order: EngineOrder): Promise<EngineOrderOutcome>;
}
