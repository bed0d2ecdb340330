import { z } from "zod";

/** Kind of form input for a value of the schema. */
export type InputKind =
  | "object"
  | "list"
  | "text-list"
  | "choice-list"
  | "text"
  | "number"
  | "boolean"
  | "choice"
  | "constant";

/** Description of a schema or of a part of it, from which the console's forms and the settings reference are generated. */
export interface SchemaNode {
  readonly kind: InputKind;
  readonly description: string;
  readonly optional: boolean;
  /** Value that is used when the document contains none. */
  readonly defaultValue?: unknown;
  /** Members of an object. */
  readonly members?: ReadonlyMap<string, SchemaNode>;
  /** Elements of a list of objects. */
  readonly element?: SchemaNode;
  /** Allowed values of a choice, or the value of a constant. */
  readonly choices?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly integer?: boolean;
  readonly pattern?: string;
}

/**
 * Converts a schema to a tree of nodes.
 *
 * @param schema - Schema of the configuration document or of the settings.
 * @example
 * ```ts
 * getSchemaNode(configSchema).members?.get("zones")?.kind; // "list"
 * ```
 */
export function getSchemaNode(schema: z.ZodType): SchemaNode {
  const description = schema.description ?? "";
  if (schema instanceof z.ZodOptional) {
    const innerNode = getSchemaNode(schema.unwrap() as z.ZodType);
    return {
      ...innerNode,
      optional: true,
      ...getDescription(description, innerNode),
    };
  }
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) {
    const innerNode = getSchemaNode(schema.unwrap() as z.ZodType);
    return {
      ...innerNode,
      defaultValue: schema.def.defaultValue,
      ...getDescription(description, innerNode),
    };
  }
  return { description, optional: false, ...getBaseNode(schema) };
}

function getDescription(
  description: string,
  innerNode: SchemaNode,
): { description: string } {
  return { description: description || innerNode.description };
}

type BaseNode = Omit<SchemaNode, "description" | "optional">;

function getBaseNode(schema: z.ZodType): BaseNode {
  if (schema instanceof z.ZodObject) {
    return { kind: "object", members: getMembers(schema) };
  }
  if (schema instanceof z.ZodArray) {
    return getListNode(schema.element as z.ZodType);
  }
  if (schema instanceof z.ZodEnum) {
    return { kind: "choice", choices: schema.options.map(String) };
  }
  if (schema instanceof z.ZodLiteral) {
    return { kind: "constant", choices: [...schema.values].map(String) };
  }
  if (schema instanceof z.ZodBoolean) {
    return { kind: "boolean" };
  }
  if (schema instanceof z.ZodNumber) {
    return {
      kind: "number",
      minimum: getFinite(schema.minValue),
      maximum: getFinite(schema.maxValue),
      integer: schema.format === "safeint",
    };
  }
  const pattern = schema instanceof z.ZodString
    ? schema._zod.bag.patterns?.values().next().value?.source
    : undefined;
  return { kind: "text", pattern };
}

function getMembers(schema: z.ZodObject): Map<string, SchemaNode> {
  const members = new Map<string, SchemaNode>();
  for (const [name, member] of Object.entries(schema.shape)) {
    members.set(name, getSchemaNode(member as z.ZodType));
  }
  return members;
}

function getListNode(elementSchema: z.ZodType): BaseNode {
  const element = getSchemaNode(elementSchema);
  if (element.kind === "object") {
    return { kind: "list", element };
  }
  return element.kind === "choice"
    ? { kind: "choice-list", choices: element.choices }
    : { kind: "text-list", element };
}

function getFinite(value: number | null): number | undefined {
  const isBounded = value !== null && Number.isFinite(value) &&
    Math.abs(value) < Number.MAX_SAFE_INTEGER;
  return isBounded ? value : undefined;
}
