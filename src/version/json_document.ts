import {
  findNodeAtLocation,
  getNodeValue,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";

/** Fault of a document, with its place. */
export interface DocumentFault {
  /** Line, from 1. */
  readonly line: number;
  /** Column, from 1. */
  readonly column: number;
  /** Path of the faulty value, for example `models.0.name`. */
  readonly path: string;
  /** Full sentence that says what is allowed. */
  readonly message: string;
}

/**
 * Parses a document in JSON with comments and checks it against a schema.
 *
 * @param text - Text of the document.
 * @param schema - Schema of the value.
 * @returns The value, or the faults in the order of their places.
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
    return Left(errors.map((error) => ({
      ...getPosition(text, error.offset),
      path: "",
      message: `The syntax is invalid: ${printParseErrorCode(error.error)}`,
    })));
  }
  const parsed = schema.safeParse(getNodeValue(root));
  if (parsed.success) {
    return Right(parsed.data);
  }
  return Left(parsed.error.issues.map((issue) => {
    const path = issue.path.map((part) =>
      typeof part === "symbol" ? String(part) : part
    );
    const node = findNodeAtLocation(root, path) ??
      findNodeAtLocation(root, path.slice(0, -1)) ?? root;
    return {
      ...getPosition(text, node.offset),
      path: path.join("."),
      message: issue.message,
    };
  }));
}

function getPosition(
  text: string,
  offset: number,
): { line: number; column: number } {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: before.at(-1)!.length + 1 };
}
