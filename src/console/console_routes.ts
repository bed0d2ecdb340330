import express, { type Express, type Request } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";
import { createStatusReport } from "../process/status_report.ts";
import { TimelineCollector } from "../process/timeline_collector.ts";
import { configSchema } from "../version/config_schema.ts";
import { getSchemaNode } from "../version/schema_node.ts";
import { renderEditPage } from "./edit_page.ts";
import { type FormFields, readForm } from "./form_reader.ts";
import { renderHistoryPage } from "./history_page.ts";
import { renderPage } from "./layout.ts";
import { renderOverviewPage } from "./overview_page.ts";
import { renderAcceptResult, renderPreviewPage } from "./preview_page.ts";
import { renderTimelinePage } from "./timeline_page.ts";

const MAX_FORM_SIZE = "4mb";
const MAX_FORM_FIELDS = 100_000;
const CONSOLE_OPERATOR = "console";
const SCHEMA_NODE = getSchemaNode(configSchema);

/**
 * Adds the routes of the operator console. The pages work without scripts. The only change that they can make is to submit a configuration document.
 *
 * @param app - Express application of the operator port.
 * @param context - Components of the daemon.
 */
export function addConsoleRoutes(app: Express, context: DaemonContext): void {
  const timelineCollector = new TimelineCollector(context);
  app.get("/", (_req, res) => {
    const report = createStatusReport(context);
    res.send(renderPage("Overview", renderOverviewPage(report)));
  });
  app.get("/console/timeline", async (req, res) => {
    const requestId = getQueryParameter(req, "requestId");
    const timeline = await timelineCollector.collect({ requestId });
    const content = renderTimelinePage(timeline, { requestId });
    res.send(renderPage("Timeline", content));
  });
  app.get("/console/history", async (_req, res) => {
    const versions = await context.configRepository.listVersions();
    res.send(
      renderPage(
        "History",
        renderHistoryPage(context.configHolder.getCurrent(), versions),
      ),
    );
  });
  addEditRoutes(app, context);
}

function addEditRoutes(app: Express, context: DaemonContext): void {
  const { configHolder, configRepository } = context;
  const parseForm = express.urlencoded({
    extended: false,
    limit: MAX_FORM_SIZE,
    parameterLimit: MAX_FORM_FIELDS,
  });
  app.get("/console/edit", (_req, res) => {
    const current = configHolder.getCurrent();
    res.send(
      renderPage(
        "Configuration",
        renderEditPage(SCHEMA_NODE, {
          baseVersion: current?.version ?? 0,
          document: current?.document,
        }),
      ),
    );
  });
  app.post("/console/preview", parseForm, (req, res) => {
    const fields = req.body as FormFields;
    const document = readForm(SCHEMA_NODE, fields);
    const content = renderPreviewPage({
      document,
      baseVersion: Number(fields.$baseVersion ?? 0),
      check: configRepository.check(document),
    });
    res.send(renderPage("Review the changes", content));
  });
  app.post("/console/accept", parseForm, async (req, res) => {
    const fields = req.body as FormFields;
    const result = await configRepository.accept(
      JSON.parse(String(fields.$document)),
      {
        baseVersion: Number(fields.$baseVersion),
        operator: String(fields.$operator || CONSOLE_OPERATOR),
      },
    );
    res.status(result.outcome === "accepted" ? 200 : 409)
      .send(renderPage("Result", renderAcceptResult(result)));
  });
}

function getQueryParameter(req: Request, name: string): string | undefined {
  const value = req.query[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
