import { Buffer } from "node:buffer";
import type { EngineChatRequest } from "../connection/engine_client.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";

/** Tokenisers give about four bytes of English and three bytes of Japanese a token; the lower figure keeps the estimate high. */
const UTF8_BYTES_PER_TOKEN = 3;

/** What differs between the attempts of one request. */
export interface AttemptFields {
  readonly requestId: string;
  readonly priority: number;
  readonly resumeTokens: readonly string[];
}

/**
 * Gets the text of a request's messages.
 *
 * @param body - Validated request.
 */
export function getPromptText(body: ChatRequestBody): string {
  return body.messages.map((m) => getMessageText(m.content)).join("\n");
}

/**
 * Gets the KV memory that a request may come to hold, in tokens.
 *
 * @param body - Validated request.
 * @param model - Model that runs it.
 */
export function getKvTokens(body: ChatRequestBody, model: ModelConfig): number {
  return getPromptTokens(body) + getOutputTokens(body, model);
}

/**
 * Gets the estimated length of a request's prompt in tokens.
 *
 * @param body - Validated request.
 */
export function getPromptTokens(body: ChatRequestBody): number {
  return Math.ceil(
    Buffer.byteLength(getPromptText(body)) / UTF8_BYTES_PER_TOKEN,
  );
}

/**
 * Creates the request of one attempt to an engine.
 *
 * @param body - Validated request.
 * @param model - Model that runs it.
 * @param fields - What differs between attempts.
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
 * Gets the text of a message.
 *
 * @param content - Text or parts.
 */
export function getMessageText(
  content: ChatRequestBody["messages"][0]["content"],
): string {
  return typeof content === "string"
    ? content
    : content.map((part) => part.text).join("");
}

/**
 * Gets the output limit of a request in tokens: what it asks for, within the rest of the model's context.
 *
 * @param body - Validated request.
 * @param model - Model that runs it.
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
