import type { Either } from "purify-ts";
import type { Verdict } from "../shared/verdict.ts";

/** State of the model engine on one backend server. A `cold` engine has loaded its model, but fails under more than a few concurrent requests. */
export type EngineState = "empty" | "loading" | "cold" | "ready";

/** Status that an engine reports. It may lag behind the engine's actual state. */
export interface EngineStatus {
  /** Id that changes with each restart of the engine. */
  readonly bootId: string;
  /** Generation of the last order that the engine accepted. */
  readonly generation: number;
  readonly state: EngineState;
  readonly groupId?: string;
  readonly model?: string;
  readonly modelVersion?: string;
  /** Names of the group members that the engine can currently reach, including itself. */
  readonly connectedMembers: readonly string[];
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly heldTokens: number;
  /** Maximum of `heldTokens`. The engine fails when this limit is exceeded. */
  readonly maxTokens: number;
  /** Recent time between generated tokens, in milliseconds. */
  readonly tokenIntervalMs?: number;
}

/** Order to an engine. */
export interface EngineOrder {
  readonly action: "load" | "unload" | "drain";
  /** Fencing token: an engine refuses an order whose generation is lower than that of an earlier order. */
  readonly generation: number;
  readonly groupId: string;
  /** Addresses of the group members by their names. */
  readonly members: Readonly<Record<string, string>>;
  readonly leader: string;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}

/**
 * Outcome of an order to an engine.
 *
 * - `accepted`: the engine accepted the order.
 * - `fenced`: the engine refused the order because it has seen a higher generation.
 * - `unknown`: no other response arrived; the engine may still carry out the order.
 */
export type EngineOrderOutcome = "accepted" | "fenced" | "unknown";

/** One message of a chat conversation. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant" | "tool" | "developer";
  readonly content: string;
}

/** Chat request that is sent to an engine for one attempt. */
export interface EngineChatRequest {
  /** Id of the attempt, by which the engine can abort it or export its KV cache. */
  readonly requestId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxOutputTokens: number;
  readonly priority: number;
  readonly temperature?: number;
  readonly stop?: readonly string[];
  /** Tokens that earlier attempts already delivered to the caller. Generation continues after them. */
  readonly resumeTokens: readonly string[];
}

/** Part of an engine's streamed response: one token, or the end with the token counts. */
export type EngineChunk =
  | { readonly type: "token"; readonly index: number; readonly text: string }
  | {
    readonly type: "end";
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
    readonly outputTokens: number;
  };

/** Failure of one request to an engine. */
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
 * Cause of a failed attempt.
 *
 * - `refused`: the engine refused the request and is healthy.
 * - `unreachable`: no connection was established.
 * - `lost`: the connection broke, or the engine stopped, after the request was sent.
 * - `silent`: the engine sent no data within the time limit.
 * - `out-of-order`: a token is missing in the stream.
 * - `aborted`: the daemon aborted the attempt.
 */
export type EngineFailureKind =
  | "refused"
  | "unreachable"
  | "lost"
  | "silent"
  | "out-of-order"
  | "aborted";

/** KV cache of a running request, as one engine exports it and another imports it. */
export interface KvExport {
  readonly requestId: string;
  readonly generatedTokens: number;
  readonly prefixHashes: readonly number[];
}

/** Client of the model engines. */
export interface EngineClient {
  /**
   * Streams the response to a chat request in batches, one for each read from the connection. The next read happens only when the consumer requests the next batch, which applies back-pressure to the engine.
   *
   * @throws {EngineError} When the attempt fails.
   */
  streamChat(
    address: string,
    request: EngineChatRequest,
    signal: AbortSignal,
  ): AsyncIterable<readonly EngineChunk[]>;
  /** Aborts a request that the engine runs. */
  abort(address: string, requestId: string): Promise<void>;
  /**
   * Exports the KV cache of a running request.
   *
   * @throws {Error} When the engine does not support the export or does not run the request.
   */
  exportKv(address: string, requestId: string): Promise<KvExport>;
  /**
   * Imports an exported KV cache.
   *
   * @throws {Error} When the engine does not support the import.
   */
  importKv(address: string, kv: KvExport): Promise<void>;
  /** Requests the status of an engine. */
  getStatus(address: string): Promise<Either<EngineError, EngineStatus>>;
  /** Sends an order to an engine. */
  sendOrder(address: string, order: EngineOrder): Promise<EngineOrderOutcome>;
}
