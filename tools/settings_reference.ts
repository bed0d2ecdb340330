import type { z } from "zod";
import { daemonSettingsSchema } from "../src/process/daemon_settings.ts";
import { configSchema } from "../src/version/config_schema.ts";
import { getSchemaNode, type SchemaNode } from "../src/version/schema_node.ts";

const INTRODUCTION = `# Settings and configuration document

This page is generated from the schemas by \`npm run generate\`; a test compares it with them.

Both are JSON with comments; trailing commas are allowed. Unknown keys are errors. An error names the file, line, column and path, and what is allowed.
`;

/** Renders the reference page of the daemon settings and the configuration document as Markdown. */
export function renderSettingsReference(): string {
  return [
    INTRODUCTION,
    "## Daemon settings\n",
    "Read from the file given with `tarragontallyd --settings FILE`.\n",
    renderTable(daemonSettingsSchema),
    "## Configuration document\n",
    "Submitted with `tarragontally config apply FILE` or in the console. `[]` marks the elements of a list.\n",
    renderTable(configSchema),
  ].join("\n");
}

function renderTable(schema: z.ZodType): string {
  const rows = renderRows(getSchemaNode(schema), "");
  return [
    "| key | value | default | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function renderRows(node: SchemaNode, path: string): string[] {
  const rows: string[] = [];
  for (const [name, member] of node.members ?? []) {
    const memberPath = path === "" ? name : `${path}.${name}`;
    rows.push(formatRow(member, memberPath));
    rows.push(...renderRows(member, memberPath));
    if (member.element?.members !== undefined) {
      rows.push(...renderRows(member.element, `${memberPath}[]`));
    }
  }
  return rows;
}

function formatRow(node: SchemaNode, path: string): string {
  const cells = [
    `\`${path}\``,
    formatValue(node),
    formatDefault(node),
    node.description,
  ];
  return `| ${cells.map((cell) => cell.replaceAll("|", "\\|")).join(" | ")} |`;
}

function formatValue(node: SchemaNode): string {
  switch (node.kind) {
    case "choice":
      return `one of ${formatChoices(node)}`;
    case "choice-list":
      return `list of ${formatChoices(node)}`;
    case "constant":
      return formatChoices(node);
    case "number":
      return formatNumber(node);
    case "text-list":
      return "list of texts";
    case "list":
      return "list of objects";
    default:
      return node.kind;
  }
}

function formatChoices(node: SchemaNode): string {
  return (node.choices ?? []).map((choice) => `\`${choice}\``).join(", ");
}

function formatNumber(node: SchemaNode): string {
  const type = node.integer ? "whole number" : "number";
  if (node.minimum === undefined) {
    return type;
  }
  return node.maximum === undefined
    ? `${type}, at least ${node.minimum}`
    : `${type}, ${node.minimum} to ${node.maximum}`;
}

function formatDefault(node: SchemaNode): string {
  if (node.defaultValue !== undefined && node.kind !== "object") {
    return `\`${JSON.stringify(node.defaultValue)}\``;
  }
  if (node.defaultValue !== undefined || node.optional) {
    return "may be left out";
  }
  return "required";
}
