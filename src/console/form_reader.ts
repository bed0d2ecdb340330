import type { SchemaNode } from "../version/schema_node.ts";

/** Fields of a submitted form by name. A field that was sent several times has an array of values. */
export type FormFields = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Maximum number of items in a list. Fields with an item index beyond it are ignored. */
const MAX_LIST_ITEMS = 10_000;

/**
 * Converts the fields of a submitted form to a value, without validating it against the schema.
 *
 * @param node - Schema of the value.
 * @param fields - Fields of the form.
 * @param path - Path of the value; empty for the whole document.
 * @example
 * ```ts
 * const document = readForm(getSchemaNode(configSchema), req.body);
 * ```
 */
export function readForm(
  node: SchemaNode,
  fields: FormFields,
  path = "",
): unknown {
  switch (node.kind) {
    case "object":
      return readObject(node, fields, path);
    case "list":
      return readList(node, fields, path);
    case "boolean":
      return fields[path] === "true";
    case "choice-list":
      return getFieldValues(fields[path]);
    case "text-list":
      return readTextList(node, fields, path);
    case "number":
    case "constant":
      return readNumber(node, fields, path);
    default:
      return readText(node, fields, path);
  }
}

function readObject(
  node: SchemaNode,
  fields: FormFields,
  path: string,
): Record<string, unknown> {
  const value: Record<string, unknown> = {};
  for (const [name, member] of node.members ?? []) {
    const memberValue = readForm(
      member,
      fields,
      path === "" ? name : `${path}.${name}`,
    );
    if (memberValue !== undefined) {
      value[name] = memberValue;
    }
  }
  return value;
}

function readList(
  node: SchemaNode,
  fields: FormFields,
  path: string,
): unknown[] {
  const indices = getItemIndices(fields, path);
  return indices
    .filter((index) => fields[`${path}.${index}.$keep`] === "1")
    .map((index) => readForm(node.element!, fields, `${path}.${index}`));
}

function getItemIndices(fields: FormFields, path: string): number[] {
  const indices = new Set<number>();
  const prefix = `${path}.`;
  for (const name of Object.keys(fields)) {
    const index = name.startsWith(prefix)
      ? Number(name.slice(prefix.length).split(".")[0])
      : NaN;
    if (Number.isInteger(index) && index >= 0 && index < MAX_LIST_ITEMS) {
      indices.add(index);
    }
  }
  return [...indices].sort((a, b) => a - b);
}

function readTextList(
  node: SchemaNode,
  fields: FormFields,
  path: string,
): string[] | undefined {
  const lines = readRawText(fields, path).split(/\r?\n/)
    .map((line) => line.trim())
    .filter((line) => line !== "");
  return lines.length === 0 && node.optional ? undefined : lines;
}

function readNumber(
  node: SchemaNode,
  fields: FormFields,
  path: string,
): unknown {
  const text = readRawText(fields, path).trim();
  if (text === "") {
    return node.defaultValue;
  }
  const number = Number(text);
  return Number.isNaN(number) ? text : number;
}

function readText(
  node: SchemaNode,
  fields: FormFields,
  path: string,
): string | undefined {
  const text = readRawText(fields, path);
  const isAbsent = text === "" &&
    (node.optional || node.defaultValue !== undefined);
  return isAbsent ? undefined : text;
}

function readRawText(fields: FormFields, path: string): string {
  return getFieldValues(fields[path])[0] ?? "";
}

function getFieldValues(
  value: string | readonly string[] | undefined,
): string[] {
  if (value === undefined) {
    return [];
  }
  return typeof value === "string" ? [value] : [...value];
}
