import { createHash } from "node:crypto";
import type { PromptPartQuarantine } from "../process/fleet/prompt_part_quarantine.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import type { ChatAttempt } from "./chat_attempt.ts";
import { getMessageText } from "./chat_engine_request.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import { PromptPartEvidence } from "./routed/prompt_part_evidence.ts";

/** Length of the id of a message, in hexadecimal digits. */
const PART_ID_LENGTH = 32;

/**
 * Reports to the quarantine what the attempts of one chat request show about the messages that other conversations may have in common with it. The last message belongs to this request, whose fingerprint covers it.
 *
 * @example
 * ```ts
 * evidence.recordCrash(attempt, lossId);
 * const message = evidence.findRefusedMessage();
 * ```
 */
export class ChatPartEvidence {
  readonly #quarantine: PromptPartQuarantine;
  readonly #messageIds: readonly string[];
  readonly #evidence: PromptPartEvidence;

  constructor(
    quarantine: PromptPartQuarantine,
    { body, model }: { body: ChatRequestBody; model: ModelConfig },
  ) {
    this.#quarantine = quarantine;
    this.#messageIds = body.messages.slice(0, -1)
      .map((message) => getMessageId(message, model));
    this.#evidence = new PromptPartEvidence(quarantine, this.#messageIds);
  }

  /** Finds the id of a message for which the request is refused; undefined when the request may run. */
  findRefusedMessage(): string | undefined {
    return this.#quarantine.findRefusedPart(this.#messageIds);
  }

  /** Records that an attempt has received tokens. */
  recordTokens(attempt: ChatAttempt): void {
    this.#evidence.recordEvents(attempt);
  }

  /** Records that the response is complete. */
  recordCompletion(): void {
    this.#evidence.recordCompletion();
  }

  /** Records that the group of an attempt was lost. */
  recordCrash(attempt: ChatAttempt, lossId: string): void {
    if (this.#evidence.recordCrash(attempt)) {
      this.#quarantine.recordCrash(lossId, this.#messageIds);
    }
  }
}

/** Gets the id of a message, which includes the model version because another version may not crash. */
function getMessageId(
  { role, content }: ChatRequestBody["messages"][0],
  model: ModelConfig,
): string {
  return createHash("sha256")
    .update(
      JSON.stringify([
        model.name,
        model.version,
        role,
        getMessageText(content),
      ]),
    )
    .digest("hex").slice(0, PART_ID_LENGTH);
}
