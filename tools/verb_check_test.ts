import { globSync } from "tinyglobby";
import { describe, expect, it } from "vitest";
import { findVerbViolations, readVerbs } from "./verb_check.ts";

/** Names that the runtime or a library requires, the template tag `html`, and `doTest`, the set-up function of many tests. */
const EXEMPT_NAMES: ReadonlySet<string> = new Set([
  "toString",
  "reuseSocket",
  "next",
  "return",
  "doTest",
  "html",
]);

describe("findVerbViolations", () => {
  // Guards against function names that begin with a verb missing from the list in the docs.
  it("finds no function whose name lacks an allowed verb", () => {
    const files = globSync("{src,platform,fakes,bench,tools,tests}/**/*.ts");
    const violations = findVerbViolations(files, readVerbs("docs/verbs.md"))
      .filter((fault) => !EXEMPT_NAMES.has(fault.name))
      .map((fault) => `${fault.file}:${fault.line}: ${fault.name}`);
    expect(violations).toEqual([]);
  });
});
