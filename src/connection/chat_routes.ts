import express, { type Response, Router } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { ChatHandler } from "../request/chat_handler.ts";
import {
  type ChatRequestBody,
  chatRequestSchema,
} from "../request/chat_request_schema.ts";
import type { ChatStream } from "../request/chat_stream.ts";
import { RequestError } from "../shared/errors.ts";
import { CallerWriter } from "./caller_writer.ts";
import { createErrorBody } from "./error_body.ts";
import { recordFailure } from "./error_handler.ts";
import { createRequestContext } from "./request_context_factory.ts";
import {
  ChatEventFormatter,
  type EndChunk,
  formatUsage,
} from "./chat_event_formatter.ts";

/** Body of a chat request and the stream of the response to it. */
interface ChatExchange {
  readonly body: ChatRequestBody;
  readonly stream: ChatStream;
}

/**
 * Creates the router for chat requests.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createChatRoutes(context: DaemonContext): Router {
  const router = Router();
  const chatHandler = new ChatHandler(context);
  const limit = context.settings.maxBodyBytes;
  router.post(
    "/v1/chat/completions",
    express.json({ limit }),
    async (req, res) => {
      const startedAtMs = performance.now();
      context.metrics.count("chat_requests");
      const request = createRequestContext(context, { req, res });
      const body = parseChatBody(req.body);
      context.events.record("debug", {
        event: "request-received",
        requestId: request.requestId,
        fields: { account: request.account.name, model: body.model },
      });
      const stream = chatHandler.createStream(body, request);
      const writer = new CallerWriter(context, { res, stream, request });
      try {
        await (body.stream ? sendStreamedResponse : sendCompleteResponse)(
          res,
          { body, stream },
          writer,
        );
        recordFinishedRequest(context, { stream, startedAtMs });
      } catch (error) {
        if (res.headersSent && error instanceof RequestError) {
          await sendErrorEvent(context, { error, res, writer });
        } else if (!res.destroyed) {
          throw error;
        } else if (error instanceof RequestError) {
          recordFailure(context, {
            failure: error,
            requestId: request.requestId,
          });
        }
      } finally {
        writer.dispose();
      }
    },
  );
  return router;
}

function recordFinishedRequest(
  context: DaemonContext,
  finishedRequest: { stream: ChatStream; startedAtMs: number },
): void {
  const { stream, startedAtMs } = finishedRequest;
  const durationMs = performance.now() - startedAtMs;
  context.metrics.record("chat_duration", durationMs);
  context.events.record("debug", {
    event: "request-finished",
    requestId: stream.requestId,
    fields: { durationMs: Math.round(durationMs), tokens: stream.tokens },
  });
}

function parseChatBody(value: unknown): ChatRequestBody {
  const result = chatRequestSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new RequestError(
      `The request body is invalid at "${
        issue.path.join(".")
      }": ${issue.message}`,
      { code: "bad-request", verdict: "not-run", status: 400 },
    );
  }
  return result.data;
}

/** Sends the response as server-sent events while the engine generates it. */
async function sendStreamedResponse(
  res: Response,
  exchange: ChatExchange,
  writer: CallerWriter,
): Promise<void> {
  const { body, stream } = exchange;
  const formatter = new ChatEventFormatter({
    id: String(res.locals.requestId),
    model: body.model,
  });
  for await (const chunks of stream.run()) {
    if (!res.headersSent) {
      res.status(200).set({
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      });
    }
    let text = "";
    for (const chunk of chunks) {
      text += chunk.type === "token"
        ? formatter.formatToken(chunk.text)
        : formatter.formatEnd(
          chunk,
          body.stream_options?.include_usage ?? false,
        );
    }
    await writer.write(text);
  }
  await writer.finish("data: [DONE]\n\n");
}

/** Collects the complete response and sends it as one JSON body. */
async function sendCompleteResponse(
  res: Response,
  exchange: ChatExchange,
  writer: CallerWriter,
): Promise<void> {
  const { body, stream } = exchange;
  const tokenTexts: string[] = [];
  let end: EndChunk | undefined;
  for await (const chunks of stream.run()) {
    for (const chunk of chunks) {
      if (chunk.type === "token") {
        tokenTexts.push(chunk.text);
      } else {
        end = chunk;
      }
    }
  }
  res.status(200).set("content-type", "application/json; charset=utf-8");
  await writer.finish(JSON.stringify({
    id: res.locals.requestId,
    object: "chat.completion",
    created: Math.floor(Date.now() / 1_000),
    model: body.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: tokenTexts.join("") },
      finish_reason: end?.finishReason,
    }],
    usage: end && formatUsage(end),
  }));
}

/** Ends a response with an error event. It is used once the status line has been sent and can no longer report the error. */
async function sendErrorEvent(
  context: DaemonContext,
  failure: { error: RequestError; res: Response; writer: CallerWriter },
): Promise<void> {
  const { error, res, writer } = failure;
  const requestId = String(res.locals.requestId);
  recordFailure(context, { failure: error, requestId });
  const event = createErrorBody(error, requestId);
  await writer.finish(`data: ${JSON.stringify(event)}\n\n`);
}
