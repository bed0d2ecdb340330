import { readFile } from "node:fs/promises";
import type { ConfigDifference } from "../../version/config_diff.ts";
import type { AcceptResult } from "../../version/config_repository.ts";
import type { ConfigFault } from "../../version/config_rule.ts";
import { configSchema } from "../../version/config_schema.ts";
import type { ConfigDocument } from "../../version/config_schema.ts";
import {
  type DocumentFault,
  parseJsonDocument,
} from "../../version/json_document.ts";
import { CliError } from "../cli_error.ts";
import { type CommandContext, printResult } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";

/** Configuration document and the file that it was read from. */
export interface DocumentFile {
  readonly file: string;
  readonly document: ConfigDocument;
}

/**
 * Reads a configuration document from a file and checks it against the schema.
 *
 * @param file - Path of the file.
 * @throws {CliError} When the file cannot be read or is invalid.
 */
export async function readDocumentFile(file: string): Promise<DocumentFile> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch {
    throw new CliError(
      "usage",
      `The file "${file}" cannot be read; check its path and its permissions`,
    );
  }
  return parseJsonDocument(text, configSchema).caseOf({
    Left: (faults) => {
      throw new CliError("refused", formatDocumentFaults(file, faults));
    },
    Right: (document) => ({ file, document }),
  });
}

/**
 * Checks a document. The schema is checked locally, the configuration rules by the daemon.
 *
 * @param context - Context of the command.
 * @param options - File, and whether to check only the schema.
 */
export async function checkConfig(
  context: CommandContext,
  options: { file: string; offline: boolean },
): Promise<number> {
  const { file, document } = await readDocumentFile(options.file);
  const faults = options.offline
    ? []
    : (await context.client.checkConfig(document)).faults;
  if (faults.length > 0) {
    throw new CliError("refused", formatRuleFaults(file, faults));
  }
  context.output.write(
    context.json ? JSON.stringify({ valid: true }) : `${file} is valid`,
  );
  return EXIT_CODES.ok;
}

/**
 * Prints the configuration in force, or an earlier version.
 *
 * @param context - Context of the command.
 * @param options - Version to print; the one in force if undefined.
 */
export async function printConfig(
  context: CommandContext,
  options: { version?: number },
): Promise<number> {
  const current = await context.client.getConfig();
  if (options.version === undefined || options.version === current.version) {
    context.output.write(JSON.stringify(current.document, undefined, 2));
    return EXIT_CODES.ok;
  }
  const entry = (await context.client.getHistory())
    .find((e) => e.version === options.version);
  if (entry === undefined) {
    throw new CliError(
      "refused",
      `Version ${options.version} is not stored; list the stored versions with "tarragontally config history"`,
    );
  }
  context.output.write(JSON.stringify(entry.document, undefined, 2));
  return EXIT_CODES.ok;
}

/**
 * Prints the differences between the configuration in force and a document.
 *
 * @param context - Context of the command.
 * @param options - File of the document.
 */
export async function printConfigDiff(
  context: CommandContext,
  options: { file: string },
): Promise<number> {
  const { document } = await readDocumentFile(options.file);
  const result = await context.client.checkConfig(document);
  printChanges(context, result.diff);
  return EXIT_CODES.ok;
}

/**
 * Submits a document as the new configuration.
 *
 * @param context - Context of the command.
 * @param options - File, and the version that the document is based on; the version in force if `expectedVersion` is undefined.
 */
export async function applyConfig(
  context: CommandContext,
  options: { file: string; expectedVersion?: number },
): Promise<number> {
  const { document } = await readDocumentFile(options.file);
  const baseVersion = options.expectedVersion ??
    (await context.client.checkConfig(document)).currentVersion;
  const result = await context.client.acceptConfig({
    document,
    baseVersion,
    operator: context.operator,
  });
  return printAcceptResult(context, result);
}

/**
 * Prints the stored versions.
 *
 * @param context - Context of the command.
 */
export async function printConfigHistory(
  context: CommandContext,
): Promise<number> {
  const entries = await context.client.getHistory();
  printResult(context, {
    json: entries,
    headings: ["version", "accepted at", "operator"],
    rows: entries.map((entry) => [
      entry.version,
      entry.acceptedAt,
      entry.operator,
    ]),
  });
  return EXIT_CODES.ok;
}

/**
 * Prints the result of submitting a document.
 *
 * @param context - Context of the command.
 * @param result - Result from the daemon.
 * @returns The exit code for an accepted and confirmed document.
 * @throws {CliError} When the document was not accepted, the outcome is unknown, or a daemon did not confirm the version.
 */
export function printAcceptResult(
  context: CommandContext,
  result: AcceptResult,
): number {
  if (context.json) {
    context.output.write(JSON.stringify(result, undefined, 2));
  }
  switch (result.outcome) {
    case "accepted":
      return printAccepted(context, result);
    case "conflict":
      if (!context.json) {
        printChanges(context, result.diff);
      }
      throw new CliError(
        "conflict",
        `Another document was accepted as version ${result.winner.version}; review the differences above, merge them into the file and apply it again`,
      );
    case "invalid":
      throw new CliError(
        "refused",
        formatRuleFaults("document", result.faults),
      );
    case "unavailable":
      throw new CliError(
        "refused",
        `The document was not accepted: ${result.message}; try again later`,
      );
    case "unknown":
      throw new CliError(
        "unconfirmed",
        `The outcome is not known: ${result.message}; check the output of "tarragontally config show" before you try again`,
      );
  }
}

function printAccepted(
  context: CommandContext,
  result: AcceptResult & { outcome: "accepted" },
): number {
  if (!context.json) {
    context.output.write(
      `Accepted as version ${result.version}; in force on ${result.inForce.length} daemons`,
    );
  }
  if (result.notConfirmed.length === 0) {
    return EXIT_CODES.ok;
  }
  throw new CliError(
    "unconfirmed",
    `Version ${result.version} is not confirmed by ${
      result.notConfirmed.join(", ")
    }; check these daemons with "tarragontally status"`,
  );
}

function printChanges(
  context: CommandContext,
  changes: readonly ConfigDifference[],
): void {
  if (!context.json && changes.length === 0) {
    context.output.write("There are no changes");
    return;
  }
  printResult(context, {
    json: changes,
    headings: ["path", "change", "before", "after"],
    rows: changes.map((change) => [
      change.path,
      change.kind,
      JSON.stringify(change.before) ?? "",
      JSON.stringify(change.after) ?? "",
    ]),
  });
}

function formatDocumentFaults(
  file: string,
  faults: readonly DocumentFault[],
): string {
  return faults.map((fault) =>
    `${file}:${fault.line}:${fault.column}: ${
      fault.path === "" ? "" : `${fault.path}: `
    }${fault.message}`
  ).join("\n");
}

function formatRuleFaults(
  file: string,
  faults: readonly ConfigFault[],
): string {
  return faults.map((fault) => `${file}: ${fault.path}: ${fault.message}`)
    .join("\n");
}
