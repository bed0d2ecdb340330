import express, { type Express, type Response } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { createStatusReport } from "../process/status_report.ts";
import { TimelineCollector } from "../process/timeline_collector.ts";
import type { AcceptResult } from "../version/config_repository.ts";

/** Maximum size of a request body with a configuration document, in the notation of `express.json`. */
const MAX_DOCUMENT_SIZE = "1mb";

/** HTTP status for each outcome of accepting a configuration document. */
const ACCEPT_STATUSES: Readonly<Record<AcceptResult["outcome"], number>> = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  unavailable: 503,
  unknown: 504,
};

/** Body of a request to check a configuration document. */
interface CheckRequestBody {
  readonly document?: unknown;
}

/** Body of a request to accept a configuration document. */
interface AcceptRequestBody extends CheckRequestBody {
  /** Configuration version on which the document is based. */
  readonly baseVersion?: number;
  /** Name of the operator who accepts the document. */
  readonly operator?: string;
}

/**
 * Adds the JSON routes of the operator port.
 *
 * @param app - Express application of the operator port.
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function addOperatorApiRoutes(
  app: Express,
  context: DaemonContext,
): void {
  const timelineCollector = new TimelineCollector(context);
  app.get("/api/status", (_req, res) => {
    res.json(createStatusReport(context));
  });
  app.get("/api/timeline", async (req, res) => {
    const { requestId } = req.query;
    res.json(
      await timelineCollector.collect({
        requestId: typeof requestId === "string" ? requestId : undefined,
      }),
    );
  });
  addConfigRoutes(app, context);
}

function addConfigRoutes(app: Express, context: DaemonContext): void {
  const { configHolder, configRepository } = context;
  const parseBody = express.json({ limit: MAX_DOCUMENT_SIZE });
  app.get("/api/config", (_req, res) => {
    const currentConfig = configHolder.getCurrent();
    if (currentConfig === undefined) {
      sendError(res, 404, "No configuration has been accepted yet");
      return;
    }
    res.json({
      version: currentConfig.version,
      document: currentConfig.document,
    });
  });
  app.get("/api/config/history", async (_req, res) => {
    const versions = await configRepository.listVersions();
    versions.caseOf({
      Left: (error) => sendError(res, 503, error.message),
      Right: (entries) => void res.json({ entries }),
    });
  });
  app.post("/api/config/check", parseBody, (req, res) => {
    res.json(configRepository.check((req.body as CheckRequestBody).document));
  });
  app.post("/api/config/accept", parseBody, async (req, res) => {
    const body = req.body as AcceptRequestBody;
    const result = await configRepository.accept(body.document, {
      baseVersion: body.baseVersion,
      operator: body.operator,
    });
    res.status(ACCEPT_STATUSES[result.outcome]).json(result);
  });
}

function sendError(res: Response, status: number, message: string): void {
  res.status(status).json({ message });
}
