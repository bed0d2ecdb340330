import express, { type Express } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { addQuarantineRoutes } from "./quarantine_routes.ts";

/**
 * Creates the application of the operator port.
 *
 * @param context - Parts of the daemon.
 */
export function createOperatorApp(context: DaemonContext): Express {
  const app = express();
  app.disable("x-powered-by");
  app.get("/healthz", (_req, res) => {
    res.json({ name: context.settings.name });
  });
  app.get("/readyz", (_req, res) => {
    const ready = context.configHolder.getCurrent() !== undefined &&
      context.freshness.getState() === "fresh" &&
      context.sharedAdmission.isReady() &&
      !context.gracefulStop.isLeaving();
    res.status(ready ? 200 : 503).json({ ready });
  });
  app.get("/api/status", (_req, res) => {
    res.json({
      name: context.settings.name,
      configVersion: context.configHolder.getVersion(),
      freshness: context.freshness.getState(),
      vms: context.vmTable.getVms(),
      groups: context.placementHolder.getGroups().map((group) => ({
        ...group,
        health: context.healthTable.getHealth(group.groupId) ?? null,
      })),
    });
  });
  app.get("/api/timeline", (req, res) => {
    const requestId = req.query.requestId;
    res.json({
      events: context.timeline.getEvents({
        requestId: typeof requestId === "string" ? requestId : undefined,
      }),
    });
  });
  addQuarantineRoutes(app, context);
  return app;
}
