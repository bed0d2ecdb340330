import type { Request, RequestHandler, Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { delay } from "../shared/delay.ts";
import { RequestError } from "../shared/errors.ts";
import { createErrorBody } from "./error_body.ts";

const RETRY_AFTER_MS = 100;
const BODY_DRAIN_TIMEOUT_MS = 1_000;

/**
 * Creates the handler that counts requests in flight and refuses new ones in a planned stop.
 *
 * @param context - Parts of the daemon.
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
    throw createStopError("not-run", "The daemon is shutting down");
  };
}

/** Reads the rest of a small body, since closing over unread input can discard the answer at the caller. */
async function drainBody(req: Request): Promise<void> {
  const drainController = new AbortController();
  req.on("end", () => drainController.abort());
  req.on("close", () => drainController.abort());
  req.resume();
  await delay(BODY_DRAIN_TIMEOUT_MS, drainController.signal);
}

function abortResponse(res: Response, requestId: string): void {
  // The request's own handler may still write to the ended response.
  res.on("error", () => {});
  const error = createStopError(
    "may-have-run",
    "The daemon stopped before the request ended",
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
