import type { ChatMessage } from "../src/connection/engine_client.ts";
import { getHash32 } from "../src/shared/rendezvous_hash.ts";

const DEFAULT_COMPLETION_TOKENS = 24;
const CHARACTERS_PER_TOKEN = 4;

/**
 * Returns the tokens that every fake engine generates for a chat. They depend on the messages only, so that a test can check a resumed stream token by token. A message that contains `tokens=N` sets the number of tokens.
 *
 * @param messages - Messages of the chat.
 * @param maxTokens - Limit on the number of tokens.
 * @example
 * ```ts
 * getExpectedTokens([{ role: "user", content: "tokens=2" }], 10).length; // 2
 * ```
 */
export function getExpectedTokens(
  messages: readonly ChatMessage[],
  maxTokens: number,
): string[] {
  const text = messages.map((m) => m.content).join("\n");
  const requestedLength = /tokens=(\d+)/.exec(text)?.[1];
  const length = Math.min(
    Number(requestedLength ?? DEFAULT_COMPLETION_TOKENS),
    maxTokens,
  );
  const tag = getHash32(text).toString(36);
  return Array.from({ length }, (_, index) => ` ${tag}.${index}`);
}

/**
 * Returns the number of prompt tokens as the fake engines count them.
 *
 * @param messages - Messages of the chat.
 */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
  const characters = messages.reduce((sum, m) => sum + m.content.length, 0);
  return Math.max(1, Math.ceil(characters / CHARACTERS_PER_TOKEN));
}
