import express, {
  type ErrorRequestHandler,
  type Express,
  type RequestHandler,
} from "express";
import { addConsoleRoutes } from "../console/console_routes.ts";
import type { DaemonContext } from "../process/daemon_context.ts";
import { getErrorMessage } from "../shared/errors.ts";
import { addOperatorApiRoutes } from "./operator_api_routes.ts";
import { addQuarantineRoutes } from "./quarantine_routes.ts";

/**
 * Creates the Express application of the operator port.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createOperatorApp(context: DaemonContext): Express {
  const app = express();
  app.disable("x-powered-by");
  app.use(refuseCrossSiteChanges);
  app.get("/healthz", (_req, res) => {
    res.json({ name: context.settings.name });
  });
  app.get("/readyz", (_req, res) => {
    const isReady = context.configHolder.getCurrent() !== undefined &&
      context.freshness.getState() === "fresh" &&
      context.sharedAdmission.isReady() &&
      !context.gracefulStop.isLeaving();
    res.status(isReady ? 200 : 503).json({ ready: isReady });
  });
  app.get("/metrics", (_req, res) => {
    res.type("text/plain; version=0.0.4").send(context.metrics.render());
  });
  addOperatorApiRoutes(app, context);
  addQuarantineRoutes(app, context);
  addConsoleRoutes(app, context);
  app.use(createOperatorErrorHandler(context));
  return app;
}

/** Refuses state-changing requests that a page of another site sends through an operator's browser (cross-site request forgery). */
const refuseCrossSiteChanges: RequestHandler = (req, res, next) => {
  const site = req.header("sec-fetch-site");
  const isSafe = req.method === "GET" || req.method === "HEAD";
  if (!isSafe && site !== undefined && site !== "same-origin") {
    res.status(403).json({
      message: "Changes are only accepted from pages of this console",
    });
    return;
  }
  next();
};

function createOperatorErrorHandler(
  context: DaemonContext,
): ErrorRequestHandler {
  return (error, req, res, _next) => {
    const status = (error as { status?: number }).status ?? 500;
    context.logger.write("warn", "operator-request-failed", {
      path: req.path,
      status,
      message: getErrorMessage(error),
    });
    res.status(status).json({ message: getErrorMessage(error) });
  };
}
