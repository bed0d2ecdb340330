import { Buffer } from "node:buffer";
import express, { type Express, type Request } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import type { RequestContext } from "../request/request_context.ts";
import type { ServiceCall } from "../request/service_call.ts";
import { ServiceHandler } from "../request/service_handler.ts";
import { RequestError } from "../shared/errors.ts";
import {
  createRequestContext,
  getIntegerHeader,
} from "./request_context_factory.ts";

const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
/** Largest attempt number that a caller may send in `x-attempt`. */
const MAX_ATTEMPT = 1_000_000;
const ALLOWED_METHODS: readonly string[] = [
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
];

/**
 * Adds the routes of the plain services.
 *
 * @param app - Express application of the caller port.
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function addServiceRoutes(app: Express, context: DaemonContext): void {
  const handler = new ServiceHandler(context);
  const limit = context.settings.maxBodyBytes;
  app.use(
    "/services/:service",
    // Checks the API key, the method and the headers before the body is read.
    (req, res, next) => {
      res.locals.startedAtMs = performance.now();
      context.metrics.count("service_requests");
      res.locals.request = createRequestContext(context, { req, res });
      checkMethod(req);
      getIdempotencyKey(req);
      next();
    },
    express.raw({ type: () => true, limit, inflate: false }),
    async (req, res) => {
      const request: RequestContext = res.locals.request;
      const { requestId, account } = request;
      context.events.record("debug", {
        event: "request-received",
        requestId,
        fields: { account: account.name, service: req.params.service },
      });
      const response = await handler.handle(createServiceCall(req), request);
      const durationMs = performance.now() - res.locals.startedAtMs;
      context.metrics.record("service_duration", durationMs);
      context.events.record("debug", {
        event: "request-finished",
        requestId,
        fields: { durationMs: Math.round(durationMs), status: response.status },
      });
      if (response.contentType !== undefined) {
        res.setHeader("content-type", response.contentType);
      }
      if (response.location !== undefined) {
        res.setHeader("location", response.location);
      }
      res.status(response.status).end(response.body);
    },
  );
}

function checkMethod(req: Request): void {
  if (!ALLOWED_METHODS.includes(req.method)) {
    throw new RequestError(
      `The method ${req.method} is not supported; use one of ${
        ALLOWED_METHODS.join(", ")
      }`,
      { code: "bad-request", verdict: "not-run", status: 405 },
    );
  }
}

function getIdempotencyKey(req: Request): string | undefined {
  const keys = req.headersDistinct["idempotency-key"];
  if (keys === undefined) {
    return undefined;
  }
  if (keys.length !== 1 || !IDEMPOTENCY_KEY_PATTERN.test(keys[0])) {
    throw new RequestError(
      "The idempotency-key header must occur only once and have 1 to 255 printable ASCII characters",
      { code: "bad-request", verdict: "not-run", status: 400 },
    );
  }
  return keys[0];
}

function createServiceCall(req: Request): ServiceCall {
  return {
    service: String(req.params.service),
    method: req.method,
    path: req.url,
    contentType: req.header("content-type"),
    body: Buffer.isBuffer(req.body) ? req.body : undefined,
    idempotencyKey: getIdempotencyKey(req),
    attempt: getIntegerHeader(req, { name: "x-attempt", max: MAX_ATTEMPT }),
  };
}
