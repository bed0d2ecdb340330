import { renderExplanation } from "../../console/request_explanation.ts";
import type { StatusReport } from "../../process/status_report.ts";
import { CliError } from "../cli_error.ts";
import { type CommandContext, printResult } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";

/**
 * Prints the state of the zones, the models and the groups.
 *
 * @param context - Context of the command.
 */
export async function printStatus(context: CommandContext): Promise<number> {
  const report = await context.client.getStatus();
  if (context.json) {
    context.output.write(JSON.stringify(report, undefined, 2));
    return EXIT_CODES.ok;
  }
  context.output.write(
    `${report.daemon} in ${report.zone}: configuration version ${report.configVersion}, ${report.freshness}`,
  );
  printZones(context, report);
  printModels(context, report);
  printGroups(context, report);
  return EXIT_CODES.ok;
}

/**
 * Prints the timeline of all daemons.
 *
 * @param context - Context of the command.
 * @param options - ID of the request whose events are printed, or undefined for all, and the maximum number of events; the oldest are omitted.
 */
export async function printTimeline(
  context: CommandContext,
  options: { request?: string; last: number },
): Promise<number> {
  const timeline = await context.client.getTimeline({
    requestId: options.request,
  });
  const events = timeline.events.slice(-options.last);
  printResult(context, {
    json: { events, missing: timeline.missing },
    headings: ["time", "process", "event", "request", "fields"],
    rows: events.map((event) => [
      new Date(event.timeMs).toISOString(),
      event.process,
      event.event,
      event.requestId ?? "",
      Object.entries(event.fields).map(([key, value]) => `${key}=${value}`)
        .join(" "),
    ]),
  });
  if (!context.json && timeline.missing.length > 0) {
    context.output.write(
      `Events are missing from daemons that did not respond: ${
        timeline.missing.join(", ")
      }`,
    );
  }
  return EXIT_CODES.ok;
}

/**
 * Prints where a request was sent and why.
 *
 * @param context - Context of the command.
 * @param options - ID of the request.
 */
export async function printRequestExplanation(
  context: CommandContext,
  options: { id: string },
): Promise<number> {
  const timeline = await context.client.getTimeline({ requestId: options.id });
  if (timeline.events.length === 0) {
    throw new CliError(
      "refused",
      `No daemon has events of the request "${options.id}"; check the X-Request-Id header of the response, and note that daemons drop old events`,
    );
  }
  const steps = renderExplanation(timeline.events);
  printResult(context, {
    json: steps,
    headings: ["time", "process", "what happened"],
    rows: steps.map((step) => [
      new Date(step.timeMs).toISOString(),
      step.process,
      step.sentence,
    ]),
  });
  return EXIT_CODES.ok;
}

/**
 * Prints the quarantined requests.
 *
 * @param context - Context of the command.
 */
export async function printQuarantine(
  context: CommandContext,
): Promise<number> {
  const entries = await context.client.getQuarantine();
  printResult(context, {
    json: entries,
    headings: ["fingerprint", "lost groups", "expires in"],
    rows: entries.map((entry) => [
      entry.fingerprint,
      entry.groups.join(", "),
      `${Math.ceil(entry.expiresInMs / 1_000)} s`,
    ]),
  });
  return EXIT_CODES.ok;
}

/**
 * Removes one request, or all, from the quarantine.
 *
 * @param context - Context of the command.
 * @param options - Fingerprint of the request; all requests if undefined.
 */
export async function clearQuarantine(
  context: CommandContext,
  options: { fingerprint?: string },
): Promise<number> {
  const cleared = await context.client.clearQuarantine(options.fingerprint);
  if (options.fingerprint !== undefined && cleared === 0) {
    throw new CliError(
      "refused",
      `No request with the fingerprint "${options.fingerprint}" is quarantined; list the quarantined requests with "tarragontally quarantine list"`,
    );
  }
  context.output.write(
    context.json
      ? JSON.stringify({ cleared })
      : `Removed ${cleared} requests from the quarantine`,
  );
  return EXIT_CODES.ok;
}

function printZones(context: CommandContext, report: StatusReport): void {
  context.output.write("");
  printResult(context, {
    json: report.zones,
    headings: [
      "zone",
      "region",
      "in service",
      "complete groups",
      "backend VMs",
      "stranded VMs",
    ],
    rows: report.zones.map((zone) => [
      zone.name,
      zone.region,
      zone.inService ? "yes" : "no",
      zone.completeGroups,
      zone.backendVms,
      zone.strandedVms,
    ]),
  });
}

function printModels(context: CommandContext, report: StatusReport): void {
  context.output.write("");
  printResult(context, {
    json: report.models,
    headings: ["model", "declared groups", "complete groups"],
    rows: report.models.map((model) => [
      model.name,
      model.declaredGroups,
      model.completeGroups,
    ]),
  });
}

function printGroups(context: CommandContext, report: StatusReport): void {
  context.output.write("");
  printResult(context, {
    json: report.groups,
    headings: ["group", "model", "zone", "health", "takes new work", "members"],
    rows: report.groups.map((group) => [
      group.groupId,
      group.model,
      group.zone,
      group.health,
      group.takesNewWork ? "yes" : "no",
      group.members.join(","),
    ]),
  });
}
