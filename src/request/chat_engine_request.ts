import { Buffer } from "node:buffer";
import type { EngineChatRequest } from "../connection/engine_client.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";

/** UTF-8 bytes per token in the estimate of prompt lengths. A token covers about four bytes of English or three bytes of Japanese; the lower number avoids underestimates. */
const UTF8_BYTES_PER_TOKEN = 3;

/** Fields of an engine request that differ between the attempts of one chat request. */
export interface AttemptFields {
  readonly requestId: string;
  readonly priority: number;
  /** Tokens of the response so far, after which the engine continues. */
  readonly resumeTokens: readonly string[];
}

/**
 * Returns the text of all messages of a request.
 *
 * @param body - Validated request.
 */
export function getPromptText(body: ChatRequestBody): string {
  return body.messages.map((m) => getMessageText(m.content)).join("\n");
}

/**
 * Returns the maximum KV cache size of a request, in tokens.
 *
 * @param body - Validated request.
 * @param model - Model that runs the request.
 */
export function getKvTokens(body: ChatRequestBody, model: ModelConfig): number {
  return getPromptTokens(body) + getOutputTokens(body, model);
}

/**
 * Returns the estimated prompt length of a request, in tokens.
 *
 * @param body - Validated request.
 */
export function getPromptTokens(body: ChatRequestBody): number {
  return Math.ceil(
    Buffer.byteLength(getPromptText(body)) / UTF8_BYTES_PER_TOKEN,
  );
}

/**
 * Creates the engine request for one attempt.
 *
 * @param body - Validated request.
 * @param model - Model that runs the request.
 * @param fields - Fields that differ between attempts.
 */
export function createEngineRequest(
  body: ChatRequestBody,
  model: ModelConfig,
  fields: AttemptFields,
): EngineChatRequest {
  const stop = typeof body.stop === "string" ? [body.stop] : body.stop;
  return {
    requestId: fields.requestId,
    model: body.model,
    messages: body.messages.map((m) => ({
      role: m.role,
      content: getMessageText(m.content),
    })),
    maxOutputTokens: getOutputTokens(body, model),
    priority: fields.priority,
    temperature: body.temperature ?? undefined,
    stop: stop ?? undefined,
    resumeTokens: fields.resumeTokens,
  };
}

/**
 * Returns the text of a message.
 *
 * @param content - Content of the message, either a string or text parts.
 */
export function getMessageText(
  content: ChatRequestBody["messages"][0]["content"],
): string {
  return typeof content === "string"
    ? content
    : content.map((part) => part.text).join("");
}

/**
 * Returns the maximum number of output tokens of a request: the requested number or the model's default, limited to the rest of the model's context window.
 *
 * @param body - Validated request.
 * @param model - Model that runs the request.
 */
export function getOutputTokens(
  body: ChatRequestBody,
  model: ModelConfig,
): number {
  const requestedTokens = body.max_completion_tokens ?? body.max_tokens ??
    model.defaultOutputTokens;
  return Math.max(
    1,
    Math.min(requestedTokens, model.contextTokens - getPromptTokens(body)),
  );
}
