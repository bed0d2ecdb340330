import type { Request, RequestHandler, Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";

/** Time after which a refused caller should retry, in milliseconds. */
const RETRY_AFTER_MS = 100;
/** Maximum time to wait for the rest of a refused request's body, in milliseconds. */
const BODY_DRAIN_TIMEOUT_MS = 1_000;

/**
 * Creates the middleware that registers requests in flight and refuses new requests during a graceful stop.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createGracefulStopMiddleware(
  context: DaemonContext,
): RequestHandler {
  const { gracefulStop } = context;
  return async (req, res, next) => {
    if (gracefulStop.isLeaving()) {
      res.setHeader("connection", "close");
    }
    const requestId = String(res.locals.requestId);
    const removeRequest = gracefulStop.addRequest({
      requestId,
      abort: () => abortResponse(res, requestId),
    });
    res.on("close", removeRequest);
    if (gracefulStop.takesRequests()) {
      next();
      return;
    }
    await drainBody(req);
    throw createStopError(
      "not-run",
      "The daemon is shutting down; send the request to another daemon",
    );
  };
}

/** Reads and discards the rest of the request body, up to a time limit. Closing a connection with unread input causes a reset, which can make the caller lose the response. */
async function drainBody(req: Request): Promise<void> {
  const drainController = new AbortController();
  req.on("end", () => drainController.abort());
  req.on("close", () => drainController.abort());
  req.resume();
  await delay(BODY_DRAIN_TIMEOUT_MS, drainController.signal);
}

/** Ends an open response with an error, in the form that its current state allows. */
function abortResponse(res: Response, requestId: string): void {
  // The request handler may still write to the response after it has ended here.
  res.on("error", () => {});
  const error = createStopError(
    "may-have-run",
    "The daemon shut down before the request finished",
  );
  const body = createErrorBody(error, requestId);
  const contentType = String(res.getHeader("content-type") ?? "");
  if (!res.headersSent) {
    res.setHeader("connection", "close");
    res.status(error.status).json(body);
  } else if (contentType.startsWith("text/event-stream")) {
    res.end(`data: ${JSON.stringify(body)}\n\n`);
  } else {
    res.destroy();
  }
}

function createStopError(
  verdict: "not-run" | "may-have-run",
  message: string,
): RequestError {
  return new RequestError(message, {
    code: "shutting-down",
    verdict,
    status: 503,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
