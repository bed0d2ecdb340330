import express, { type Express, type Request } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import {
  type ServiceCall,
  ServiceHandler,
} from "../request/service_handler.ts";
import { RequestError } from "../shared/errors.ts";
import { createRequestContext } from "./request_context_factory.ts";

const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;

/**
 * Adds the routes of the plain services.
 *
 * @param app - Application of the caller port.
 * @param context - Parts of the daemon.
 */
export function addServiceRoutes(app: Express, context: DaemonContext): void {
  const handler = new ServiceHandler(context);
  app.use(
    "/services/:service",
    express.raw({ type: () => true, limit: context.settings.maxBodyBytes }),
    async (req, res) => {
      const request = createRequestContext(context, { req, res });
      const answer = await handler.handle(createCall(req), request);
      if (answer.contentType !== undefined) {
        res.setHeader("content-type", answer.contentType);
      }
      res.status(answer.status).end(answer.body);
    },
  );
}

function createCall(req: Request): ServiceCall {
  const key = req.header("idempotency-key");
  if (key !== undefined && key.length > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
    throw new RequestError(
      "The idempotency key is longer than 255 characters",
      {
        code: "bad-request",
        verdict: "not-run",
        status: 400,
      },
    );
  }
  return {
    service: String(req.params.service),
    method: req.method as ServiceCall["method"],
    path: req.url,
    contentType: req.header("content-type"),
    body: req.body instanceof Uint8Array
      ? req.body as ServiceCall["body"]
      : undefined,
    idempotencyKey: key,
  };
}
