import { createHash } from "node:crypto";
import type { ModelConfig } from "../version/config_schema.ts";
import { getMessageText } from "./chat_engine_request.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";

/**
 * Returns the fingerprint of a request, which stays the same when the request is retried.
 *
 * It covers the model, the model version and the messages. It leaves out the request id, deadline, account, `stream`, output limit, temperature and stop sequences: a caller may change them in a retry, and the same prompt would crash the server again.
 *
 * @param body - Validated request.
 * @param model - Model that runs the request.
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
