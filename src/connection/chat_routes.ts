import { once } from "node:events";
import express, { type Response, Router } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { ChatHandler } from "../request/chat_handler.ts";
import {
  type ChatRequestBody,
  chatRequestSchema,
} from "../request/chat_request_schema.ts";
import { RequestError } from "../shared/errors.ts";
import { createRequestContext } from "./caller_context.ts";
import type { EngineChunk } from "./engine_client.ts";

/**
 * Creates the route of chat requests.
 *
 * @param context - Parts of the daemon.
 */
export function createChatRoutes(context: DaemonContext): Router {
  const app = Router();
  const chatHandler = new ChatHandler(context);
  const limit = context.settings.maxBodyBytes;
  app.post(
    "/v1/chat/completions",
    express.json({ limit }),
    async (req, res) => {
      const request = createRequestContext(context, req, res);
      const body = parseChatBody(req.body);
      const chunks = chatHandler.stream(body, request);
      if (body.stream) {
        await sendStream(res, body, chunks);
      } else {
        await sendWhole(res, body, chunks);
      }
    },
  );
  return app;
}

function parseChatBody(value: unknown): ChatRequestBody {
  const parsed = chatRequestSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new RequestError(
      `The body is invalid at "${issue.path.join(".")}": ${issue.message}`,
      { code: "bad-request", verdict: "not-run", status: 400 },
    );
  }
  return parsed.data;
}

async function sendStream(
  res: Response,
  body: ChatRequestBody,
  chunks: AsyncIterable<EngineChunk>,
): Promise<void> {
  const created = Math.floor(Date.now() / 1_000);
  for await (const chunk of chunks) {
    if (!res.headersSent) {
      res.status(200).set({
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      }).flushHeaders();
    }
    const event = {
      id: String(res.locals.requestId),
      object: "chat.completion.chunk",
      created,
      model: body.model,
      choices: [
        chunk.type === "token"
          ? { index: 0, delta: { content: chunk.text }, finish_reason: null }
          : { index: 0, delta: {}, finish_reason: chunk.finishReason },
      ],
    };
    if (!res.write(`data: ${JSON.stringify(event)}\n\n`)) {
      await Promise.race([once(res, "drain"), once(res, "close")]);
    }
  }
  res.end("data: [DONE]\n\n");
}

async function sendWhole(
  res: Response,
  body: ChatRequestBody,
  chunks: AsyncIterable<EngineChunk>,
): Promise<void> {
  let content = "";
  let finishReason = "stop";
  let usage = { prompt_tokens: 0, completion_tokens: 0, total_tokens: 0 };
  for await (const chunk of chunks) {
    if (chunk.type === "token") {
      content += chunk.text;
    } else {
      finishReason = chunk.finishReason;
      usage = {
        prompt_tokens: chunk.promptTokens,
        completion_tokens: chunk.outputTokens,
        total_tokens: chunk.promptTokens + chunk.outputTokens,
      };
    }
  }
  res.json({
    id: String(res.locals.requestId),
    object: "chat.completion",
    created: Math.floor(Date.now() / 1_000),
    model: body.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finishReason,
    }],
    usage,
  });
}
