import type { EngineChunk } from "./engine_client.ts";

/** Last part of an engine's response, with the token counts. */
export type EndChunk = Extract<EngineChunk, { type: "end" }>;

/** Formats the server-sent events of one streamed chat response. The part that all events share is serialised only once. */
export class ChatEventFormatter {
  readonly #eventPrefix: string;
  readonly #tokenPrefix: string;
  #isFirstToken = true;

  constructor(options: { id: string; model: string }) {
    const chunkJson = JSON.stringify({
      id: options.id,
      object: "chat.completion.chunk",
      created: Math.floor(Date.now() / 1_000),
      model: options.model,
    });
    this.#eventPrefix = `data: ${chunkJson.slice(0, -1)},`;
    this.#tokenPrefix =
      `${this.#eventPrefix}"choices":[{"index":0,"delta":{"content":`;
  }

  /**
   * Formats one token as an event.
   *
   * @param text - Text of the token.
   */
  formatToken(text: string): string {
    if (this.#isFirstToken) {
      this.#isFirstToken = false;
      return `${this.#eventPrefix}"choices":[{"index":0,"delta":{"role":"assistant","content":${
        JSON.stringify(text)
      }},"finish_reason":null}]}\n\n`;
    }
    return `${this.#tokenPrefix}${
      JSON.stringify(text)
    }},"finish_reason":null}]}\n\n`;
  }

  /**
   * Formats the event that ends the response, followed by an event with the token counts if requested.
   *
   * @param end - Last part of the engine's response.
   * @param includeUsage - Whether the caller requested the event with the token counts.
   */
  formatEnd(end: EndChunk, includeUsage: boolean): string {
    const finishEvent =
      `${this.#eventPrefix}"choices":[{"index":0,"delta":{},` +
      `"finish_reason":${JSON.stringify(end.finishReason)}}]}\n\n`;
    return includeUsage
      ? `${finishEvent}${this.#eventPrefix}"choices":[],"usage":${
        JSON.stringify(formatUsage(end))
      }}\n\n`
      : finishEvent;
  }
}

/**
 * Gets the token counts under the property names of the chat completions API, which existing clients expect.
 *
 * @param end - Last part of the engine's response.
 */
export function formatUsage(end: EndChunk) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
  };
}
