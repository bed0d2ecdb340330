import type { DaemonContext } from "../process/daemon_context.ts";
import { RequestError } from "../shared/errors.ts";
import type { ModelConfig } from "../version/config_schema.ts";
import { getPromptTokens } from "./chat_engine_request.ts";
import type { ChatRequestBody } from "./chat_request_schema.ts";
import { ChatStream } from "./chat_stream.ts";
import { checkFreshness } from "./freshness_check.ts";
import type { RequestContext } from "./request_context.ts";

/** Validates chat requests and creates their response streams. */
export class ChatHandler {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /**
   * Creates the response stream of a request, which starts when its first batch is read.
   *
   * @param body - Validated request.
   * @param request - Id, account, deadline and abort signal of the request.
   * @throws {RequestError} When the request is refused.
   */
  createStream(body: ChatRequestBody, request: RequestContext): ChatStream {
    checkFreshness(this.#context.freshness);
    const model = this.#getModelOrThrow(body.model);
    checkPromptLength(body, model);
    return new ChatStream(this.#context, { body, model, request });
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

function checkPromptLength(body: ChatRequestBody, model: ModelConfig): void {
  const tokenLimit = Math.min(model.contextTokens, model.kvTokensPerGroup);
  const promptTokens = getPromptTokens(body);
  if (promptTokens >= tokenLimit) {
    throw new RequestError(
      `The prompt of about ${promptTokens} tokens leaves no room for output within the limit of ${tokenLimit} tokens of model "${model.name}"; shorten the prompt`,
      { code: "bad-request", verdict: "not-run", status: 400 },
    );
  }
}
