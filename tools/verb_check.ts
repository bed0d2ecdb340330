import { readFileSync } from "node:fs";
import ts from "typescript";

/** Function or method whose name does not begin with an allowed verb. */
export interface VerbViolation {
  readonly file: string;
  /** Line of the declaration, from 1. */
  readonly line: number;
  readonly name: string;
}

/**
 * Reads the allowed verbs from the first column of the tables of a Markdown page.
 *
 * @param file - Path of the page.
 */
export function readVerbs(file: string): ReadonlySet<string> {
  const verbs = new Set<string>();
  for (const line of readFileSync(file, "utf8").split("\n")) {
    const cell = /^\| ([a-z, ]+) \|/.exec(line)?.[1];
    if (cell !== undefined && cell !== "verb") {
      cell.split(", ").forEach((verb) => verbs.add(verb));
    }
  }
  return verbs;
}

/**
 * Finds functions and methods whose name does not begin with an allowed verb.
 *
 * @param files - Paths of the source files.
 * @param verbs - Allowed verbs.
 * @example
 * ```ts
 * findVerbViolations(["src/shared/delay.ts"], readVerbs("docs/verbs.md"));
 * ```
 */
export function findVerbViolations(
  files: readonly string[],
  verbs: ReadonlySet<string>,
): VerbViolation[] {
  return files.flatMap((file) => {
    const source = ts.createSourceFile(
      file,
      readFileSync(file, "utf8"),
      ts.ScriptTarget.ES2022,
      true,
    );
    return findViolationsInNode(source, source, verbs);
  });
}

function findViolationsInNode(
  node: ts.Node,
  source: ts.SourceFile,
  verbs: ReadonlySet<string>,
): VerbViolation[] {
  const violations: VerbViolation[] = [];
  const name = getFunctionName(node);
  if (name !== undefined && !verbs.has(getFirstWord(name))) {
    const { line } = source.getLineAndCharacterOfPosition(node.getStart());
    violations.push({ file: source.fileName, line: line + 1, name });
  }
  node.forEachChild((child) => {
    violations.push(...findViolationsInNode(child, source, verbs));
  });
  return violations;
}

function getFunctionName(node: ts.Node): string | undefined {
  if (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) {
    return node.name !== undefined &&
        (ts.isIdentifier(node.name) || ts.isPrivateIdentifier(node.name))
      ? node.name.text
      : undefined;
  }
  return undefined;
}

function getFirstWord(name: string): string {
  return /^#?([a-z]+)/.exec(name)?.[1] ?? "";
}
