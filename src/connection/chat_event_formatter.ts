import type { EngineChunk } from "./engine_client.ts";

/** End of an engine's answer. */
export type EndChunk = Extract<EngineChunk, { type: "end" }>;

/** Formats the events of one streamed answer. What does not change between events is serialised once. */
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
   * Formats the end of the answer.
   *
   * @param end - End with the token counts.
   * @param includeUsage - Whether the caller asked for an event with the token counts.
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
 * Gets the token counts as existing clients expect them.
 *
 * @param end - End of the answer.
 */
export function formatUsage(end: EndChunk) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
  };
}
