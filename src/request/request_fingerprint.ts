import { createHash } from "node:crypto";
import type { ModelConfig } from "../version/config_schema.ts";
import { getMessageText } from "./chat_engine_request.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";

/**
 * Gets the fingerprint of a request, which is the same for every retry of it.
 *
 * Model, model version and messages go in. Request id, deadline, account, `stream`, output limit, temperature and stop words stay out: a caller may change them in a retry, and the same prompt crashes the server again.
 *
 * @param body - Validated request.
 * @param model - Model that runs it.
 */
export function getRequestFingerprint(
  body: ChatRequestBody,
  model: ModelConfig,
): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([model.name, model.version]));
  for (const message of body.messages) {
    hash.update(
      JSON.stringify([message.role, getMessageText(message.content)]),
    );
  }
  return hash.digest("hex").slice(0, 32);
}
