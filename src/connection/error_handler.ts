import type { ErrorRequestHandler } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";

/**
 * Creates the error handler of the caller port, which responds to a failed request with an `ErrorBody`.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createErrorHandler(
  context: DaemonContext,
): ErrorRequestHandler {
  return (error, _req, res, _next) => {
    const failure = convertToRequestError(error);
    recordFailure(context, {
      failure,
      requestId: String(res.locals.requestId),
    });
    const body = createErrorBody(failure, String(res.locals.requestId));
    if (res.writableEnded) {
      return;
    }
    if (res.headersSent) {
      res.end(`data: ${JSON.stringify(body)}\n\n`);
      return;
    }
    if (failure.retryAfterMs !== undefined) {
      const seconds = Math.ceil(failure.retryAfterMs / 1_000);
      res.setHeader("retry-after", String(seconds));
    }
    res.status(failure.status).json(body);
  };
}

/**
 * Counts a failed request and records an event for it: `request-refused` if the request did not run, otherwise `request-failed`.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 * @param failedRequest - Id of the request and the error with which it failed.
 */
export function recordFailure(
  context: DaemonContext,
  failedRequest: { failure: RequestError; requestId: string },
): void {
  const { failure, requestId } = failedRequest;
  const { code, verdict, message } = failure;
  context.metrics.count("refusals", { label: code });
  context.events.record("info", {
    event: verdict === "not-run" ? "request-refused" : "request-failed",
    requestId,
    fields: { code, verdict, message },
  });
}

function convertToRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) {
    return error;
  }
  const type = (error as { type?: string }).type;
  if (type === "entity.too.large") {
    return new RequestError("The request body is larger than the limit", {
      code: "body-too-large",
      verdict: "not-run",
      status: 413,
    });
  }
  const status = (error as { status?: number }).status;
  if (status !== undefined && status >= 400 && status < 500) {
    return new RequestError("The request body cannot be read", {
      code: "bad-request",
      verdict: "not-run",
      status,
      cause: error,
    });
  }
  return new RequestError("The daemon failed to handle the request", {
    code: "internal",
    verdict: "may-have-run",
    status: 500,
    cause: error,
  });
}
