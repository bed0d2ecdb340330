import { closest, distance } from "fastest-levenshtein";
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { getSchemaNode, type SchemaNode } from "./schema_node.ts";

/** Maximum edit distance at which an allowed key is suggested for an unknown one. */
const MAX_TYPO_DISTANCE = 3;

/** Fault of a document, with its position in the text. */
export interface DocumentFault {
  /** Line number, starting at 1. */
  readonly line: number;
  /** Column number, starting at 1. */
  readonly column: number;
  /** Path of the faulty value, for example `models.0.name`. */
  readonly path: string;
  /** Full sentence that describes the fault. */
  readonly message: string;
}

type Path = readonly (string | number)[];

/**
 * Parses a JSON document, which may contain comments and trailing commas, and validates it against a schema.
 *
 * @param text - Text of the document.
 * @param schema - Schema of the document.
 * @returns The parsed value, or the faults with their positions.
 * @example
 * ```ts
 * parseJsonDocument('{ "port": 80 /* HTTP *\/ }', schema);
 * ```
 */
export function parseJsonDocument<T extends z.ZodType>(
  text: string,
  schema: T,
): Either<DocumentFault[], z.output<T>> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    return Left(getSyntaxFaults(text, errors));
  }
  const result = schema.safeParse(getNodeValue(root));
  if (result.success) {
    return Right(result.data);
  }
  const rootSchemaNode = getSchemaNode(schema);
  return Left(
    result.error.issues.flatMap((issue) =>
      getIssueFaults(issue, { text, root, rootSchemaNode })
    ),
  );
}

/** Document and schema that a fault refers to. */
interface DocumentSource {
  readonly text: string;
  readonly root: Node;
  readonly rootSchemaNode: SchemaNode;
}

function getSyntaxFaults(
  text: string,
  errors: readonly ParseError[],
): DocumentFault[] {
  if (errors.length === 0) {
    return [{ line: 1, column: 1, path: "", message: "The document is empty" }];
  }
  return errors.map((error) => ({
    ...getPosition(text, error.offset),
    path: "",
    message: `The syntax is invalid: ${printParseErrorCode(error.error)}`,
  }));
}

function getIssueFaults(
  issue: z.core.$ZodIssue,
  source: DocumentSource,
): DocumentFault[] {
  const path = issue.path.map((part) =>
    typeof part === "symbol" ? String(part) : part
  );
  if (issue.code !== "unrecognized_keys") {
    return [createFault(path, getIssueMessage(issue, source, path), source)];
  }
  return issue.keys.map((key) =>
    createFault(
      [...path, key],
      getUnknownKeyMessage(key, findSchemaNode(source.rootSchemaNode, path)),
      source,
    )
  );
}

function createFault(
  path: Path,
  message: string,
  source: DocumentSource,
): DocumentFault {
  const node = findNodeAtLocation(source.root, [...path]) ??
    findNodeAtLocation(source.root, path.slice(0, -1)) ?? source.root;
  // The parent of a property's value is the property node, whose offset is that of the key.
  const start = node.parent?.type === "property" ? node.parent : node;
  return {
    ...getPosition(source.text, start.offset),
    path: path.join("."),
    message,
  };
}

function getIssueMessage(
  issue: z.core.$ZodIssue,
  source: DocumentSource,
  path: Path,
): string {
  const description = findSchemaNode(source.rootSchemaNode, path)?.description;
  return description ? `${issue.message} (${description})` : issue.message;
}

function getUnknownKeyMessage(
  key: string,
  node: SchemaNode | undefined,
): string {
  const names = [...node?.members?.keys() ?? []];
  const closestName = names.length === 0 ? undefined : closest(key, names);
  const isLikelyTypo = closestName !== undefined &&
    distance(key, closestName) <= MAX_TYPO_DISTANCE;
  return isLikelyTypo
    ? `The key "${key}" is not known; did you mean "${closestName}"?`
    : `The key "${key}" is not known; allowed are ${names.join(", ")}`;
}

function findSchemaNode(root: SchemaNode, path: Path): SchemaNode | undefined {
  let node: SchemaNode | undefined = root;
  for (const part of path) {
    node = typeof part === "number" ? node?.element : node?.members?.get(part);
  }
  return node;
}

function getPosition(
  text: string,
  offset: number,
): { line: number; column: number } {
  const linesBefore = text.slice(0, offset).split("\n");
  return { line: linesBefore.length, column: linesBefore.at(-1)!.length + 1 };
}
