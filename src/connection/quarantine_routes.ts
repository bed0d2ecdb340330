import type { Express } from "express";
import type { DaemonContext } from "../process/daemon_context.ts";

/**
 * Adds the routes by which operators list and clear quarantined requests.
 *
 * @param app - Express application of the operator port.
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function addQuarantineRoutes(
  app: Express,
  context: DaemonContext,
): void {
  const { quarantine } = context;
  app.get("/api/quarantine", (_req, res) => {
    res.json({ entries: quarantine.getQuarantined() });
  });
  app.delete("/api/quarantine", (_req, res) => {
    const cleared = quarantine.getQuarantined()
      .filter((entry) => quarantine.clear(entry.fingerprint)).length;
    res.json({ cleared });
  });
  app.delete("/api/quarantine/:fingerprint", (req, res) => {
    const cleared = quarantine.clear(req.params.fingerprint) ? 1 : 0;
    res.json({ cleared });
  });
}
