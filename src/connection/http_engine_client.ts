import { createParser, type EventSourceMessage } from "eventsource-parser";
import { HTTPError } from "got";
import { Agent } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { getErrorMessage } from "../shared/errors.ts";
import {
  type EngineChatRequest,
  type EngineChunk,
  type EngineClient,
  EngineError,
  type EngineOrder,
  type EngineOrderOutcome,
  type EngineStatus,
  type KvExport,
} from "./engine_client.ts";
import { httpClient } from "./http_client.ts";
import { PeerHttpClient } from "./peer_http_client.ts";
import { convertStreamError, openEngineStream } from "./engine_stream.ts";

/** Time limit of a status or abort request, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000;
/** Time limit of an order, in milliseconds. The outcome of an order without a response is unknown. */
export const ORDER_TIMEOUT_MS = 2_000;
/** Time limit of the export or import of a KV cache, in milliseconds. */
const KV_TIMEOUT_MS = 2_000;

/** Maximum size of the response to a status request, in bytes. */
const MAX_STATUS_BYTES = 262_144;
/** Maximum number of bytes of a stream without an event. */
const MAX_EVENT_BYTES = 262_144;

/** Data of one server-sent event of an engine's response. */
interface EngineStreamEvent {
  token_index?: number;
  choices: {
    delta: { content?: string };
    finish_reason?: "stop" | "length" | null;
  }[];
  usage?: { prompt_tokens: number; completion_tokens: number };
}

/** Engine client that uses HTTP and server-sent events. */
export class HttpEngineClient implements EngineClient {
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 64 });

  /** Client for the status requests. Each engine is polled every `statusIntervalMs`, and `got` would need several times the CPU time. */
  readonly #statusHttpClient = new PeerHttpClient({
    maxResponseBytes: MAX_STATUS_BYTES,
  });

  /** Closes the idle connections. */
  dispose(): void {
    this.#statusHttpClient.dispose();
    this.#agent.destroy();
  }

  async *streamChat(
    address: string,
    request: EngineChatRequest,
    signal: AbortSignal,
  ): AsyncGenerator<readonly EngineChunk[], void, undefined> {
    const stream = await openEngineStream({
      address,
      body: formatChatBody(request),
      agent: this.#agent,
      signal,
    });
    const chunks: EngineChunk[] = [];
    let nextIndex = request.resumeTokens.length;
    let bytesWithoutEvent = 0;
    const parser = createParser({
      onEvent: (message) => {
        bytesWithoutEvent = 0;
        const chunk = parseChunk(message, nextIndex);
        if (chunk.token !== undefined) {
          nextIndex = chunk.token.index + 1;
          chunks.push(chunk.token);
        }
        if (chunk.end !== undefined) {
          chunks.push(chunk.end);
        }
      },
    });
    const decoder = new TextDecoder();
    let hasEnded = false;
    try {
      for await (const data of stream) {
        bytesWithoutEvent += (data as Uint8Array).length;
        parser.feed(decoder.decode(data as Uint8Array, { stream: true }));
        if (bytesWithoutEvent > MAX_EVENT_BYTES) {
          throw new EngineError(
            `The engine sent ${MAX_EVENT_BYTES} bytes without an event`,
            { verdict: "may-have-run", kind: "lost" },
          );
        }
        const batch = chunks.splice(0);
        if (batch.length > 0) {
          hasEnded ||= batch.at(-1)!.type === "end";
          yield batch;
        }
      }
    } catch (error) {
      throw convertStreamError(error, signal);
    } finally {
      stream.destroy();
    }
    if (!hasEnded) {
      throw new EngineError(
        "The engine ended the stream before the end event",
        {
          verdict: "may-have-run",
          kind: signal.aborted ? "aborted" : "lost",
        },
      );
    }
  }

  async abort(address: string, requestId: string): Promise<void> {
    await httpClient.post(`http://${address}/abort`, {
      json: { request_id: requestId },
      agent: { http: this.#agent },
      timeout: { request: STATUS_TIMEOUT_MS },
      retry: { limit: 0 },
    });
  }

  async exportKv(address: string, requestId: string): Promise<KvExport> {
    return await httpClient.post(`http://${address}/kv/export`, {
      json: { request_id: requestId },
      agent: { http: this.#agent },
      timeout: { request: KV_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<KvExport>();
  }

  async importKv(address: string, kv: KvExport): Promise<void> {
    await httpClient.post(`http://${address}/kv/import`, {
      json: kv,
      agent: { http: this.#agent },
      timeout: { request: KV_TIMEOUT_MS },
      retry: { limit: 0 },
    });
  }

  async getStatus(
    address: string,
  ): Promise<Either<EngineError, EngineStatus>> {
    try {
      const response = await this.#statusHttpClient.request(
        `http://${address}/status`,
        { timeoutMs: STATUS_TIMEOUT_MS },
      );
      if (!response.ok) {
        throw new Error(`The engine responded with status ${response.status}`);
      }
      return Right(await response.json() as EngineStatus);
    } catch (error) {
      return Left(
        new EngineError(
          `The status of the engine at ${address} is not available: ${
            getErrorMessage(error)
          }`,
          { verdict: "not-run", kind: "unreachable", cause: error },
        ),
      );
    }
  }

  async sendOrder(
    address: string,
    order: EngineOrder,
  ): Promise<EngineOrderOutcome> {
    try {
      await httpClient.post(`http://${address}/orders`, {
        json: order,
        agent: { http: this.#agent },
        timeout: { request: ORDER_TIMEOUT_MS },
        retry: { limit: 0 },
      });
      return "accepted";
    } catch (error) {
      return error instanceof HTTPError && error.response.statusCode === 409
        ? "fenced"
        : "unknown";
    }
  }
}

function formatChatBody(request: EngineChatRequest): string {
  return JSON.stringify({
    request_id: request.requestId,
    model: request.model,
    messages: request.messages,
    max_tokens: request.maxOutputTokens,
    priority: request.priority,
    temperature: request.temperature,
    stop: request.stop,
    resume_tokens: request.resumeTokens,
    stream: true,
  });
}

interface ParsedChunk {
  readonly token?: Extract<EngineChunk, { type: "token" }>;
  readonly end?: Extract<EngineChunk, { type: "end" }>;
}

/** Parses a server-sent event. A token without an index gets `nextIndex`. */
function parseChunk(
  message: EventSourceMessage,
  nextIndex: number,
): ParsedChunk {
  if (message.data === "[DONE]") {
    return {};
  }
  const event = JSON.parse(message.data) as EngineStreamEvent;
  const choice = event.choices[0];
  const { content } = choice.delta;
  return {
    token: content === undefined ? undefined : {
      type: "token",
      index: event.token_index ?? nextIndex,
      text: content,
    },
    end: choice.finish_reason
      ? {
        type: "end",
        finishReason: choice.finish_reason,
        promptTokens: event.usage?.prompt_tokens ?? 0,
        outputTokens: event.usage?.completion_tokens ?? 0,
      }
      : undefined,
  };
}
