import type {
  EngineChatRequest,
  EngineChunk,
} from "../connection/engine_client.ts";
import { EngineError } from "../connection/engine_client.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { RequestError } from "../shared/errors.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import type { RequestContext } from "./request_context.ts";

const CHARACTERS_PER_TOKEN = 3;
const PREFIX_CHARACTERS = 256;
const MAX_ATTEMPTS = 3;

/** Runs one chat request: admission, attempts, and the order of the chunks. */
export class ChatHandler {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Streams the whole answer. When a group fails, the answer continues on another one after the last token passed on.
   *
   * @param body - Validated request.
   * @param request - What the request carries along.
   * @throws {RequestError} When the request is refused or cannot be completed.
   */
  async *stream(
    body: ChatRequestBody,
    request: RequestContext,
  ): AsyncGenerator<EngineChunk, void, undefined> {
    this.#checkFreshness();
    const model = this.#getModelOrThrow(body.model);
    const passedOn: string[] = [];
    const excluded = new Set<string>();
    for (let attempt = 1;; attempt++) {
      const granted = await this.#context.admission.acquire({
        requestId: request.requestId,
        model,
        account: request.account,
        kvTokens: getKvTokens(body, model),
        prefixHash: getHash32(getText(body).slice(0, PREFIX_CHARACTERS)),
        deadlineAtMs: request.deadlineAtMs,
        excludedGroupIds: excluded,
        alone: false,
      }, request.signal);
      if (granted.isLeft()) {
        throw granted.extract();
      }
      const grant = granted.unsafeCoerce();
      const engineRequest = createEngineRequest(body, model, {
        requestId: `${request.requestId}.${attempt}`,
        priority: request.account.priority,
        resumeTokens: passedOn,
      });
      try {
        const chunks = this.#context.engineClient.streamChat(
          grant.leaderAddress,
          engineRequest,
          request.signal,
        );
        for await (const chunk of chunks) {
          if (chunk.type === "token") {
            passedOn.push(chunk.text);
          }
          yield chunk;
        }
        grant.release("finished");
        return;
      } catch (error) {
        grant.release("group-failed");
        excluded.add(grant.group.groupId);
        const retryable = error instanceof EngineError &&
          error.kind !== "aborted" && attempt < MAX_ATTEMPTS;
        if (!retryable) {
          throw convertError(error);
        }
      } finally {
        grant.release("cancelled");
      }
    }
  }

  #checkFreshness(): void {
    if (this.#context.freshness.getState() === "stale") {
      throw new RequestError(
        "The daemon cannot confirm that its configuration is the newest",
        {
          code: "stale-configuration",
          verdict: "not-run",
          status: 503,
          retryAfterMs: 1_000,
        },
      );
    }
  }

  #getModelOrThrow(name: string): ModelConfig {
    const document = this.#context.configHolder.getCurrent()?.document;
    const model = document?.models.find((m) => m.name === name);
    if (model === undefined) {
      throw new RequestError(`The model "${name}" does not exist`, {
        code: "unknown-model",
        verdict: "not-run",
        status: 404,
      });
    }
    return model;
  }
}

/**
 * Gets the text of a request's messages.
 *
 * @param body - Validated request.
 */
export function getText(body: ChatRequestBody): string {
  return body.messages.map((m) => getContent(m.content)).join("\n");
}

function getContent(
  content: ChatRequestBody["messages"][0]["content"],
): string {
  return typeof content === "string"
    ? content
    : content.map((part) => part.text).join("");
}

function getOutputTokens(body: ChatRequestBody, model: ModelConfig): number {
  return body.max_completion_tokens ?? body.max_tokens ??
    model.defaultOutputTokens;
}

function getKvTokens(body: ChatRequestBody, model: ModelConfig): number {
  const promptTokens = Math.ceil(getText(body).length / CHARACTERS_PER_TOKEN);
  return promptTokens + getOutputTokens(body, model);
}

function createEngineRequest(
  body: ChatRequestBody,
  model: ModelConfig,
  options: { requestId: string; priority: number; resumeTokens: string[] },
): EngineChatRequest {
  const stop = typeof body.stop === "string" ? [body.stop] : body.stop;
  return {
    requestId: options.requestId,
    model: body.model,
    messages: body.messages.map((m) => ({
      role: m.role,
      content: getContent(m.content),
    })),
    maxOutputTokens: getOutputTokens(body, model),
    priority: options.priority,
    temperature: body.temperature ?? undefined,
    stop: stop ?? undefined,
    resumeTokens: [...options.resumeTokens],
  };
}

function convertError(error: unknown): unknown {
  if (!(error instanceof EngineError)) {
    return error;
  }
  return new RequestError(`The request failed: ${error.message}`, {
    code: error.kind === "aborted" ? "cancelled" : "backend-failed",
    verdict: error.verdict,
    status: 502,
    cause: error,
  });
}
