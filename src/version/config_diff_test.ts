import { describe, expect, it } from "vitest";
import { getConfigDiff } from "./config_diff.ts";

describe("getConfigDiff", () => {
  // Guards against a conflict report that omits a difference or contains one that does not exist.
  it.each([
    ["equal values", { a: [1, { b: 2 }] }, { a: [1, { b: 2 }] }, []],
    ["a changed value", { a: { b: 1 } }, { a: { b: 2 } }, ["changed a.b"]],
    ["an added value", { a: 1 }, { a: 1, b: null }, ["added b"]],
    ["a removed value", { a: 1, b: 2 }, { a: 1 }, ["removed b"]],
    ["a changed type", { a: [1] }, { a: { b: 1 } }, ["changed a"]],
    [
      "an item without a name",
      { a: [1, 2, 3] },
      { a: [1, 5] },
      ["changed a[1]", "removed a[2]"],
    ],
    [
      "named items in another order",
      { zones: [{ name: "x", n: 1 }, { name: "y", n: 1 }] },
      { zones: [{ name: "y", n: 2 }, { name: "x", n: 1 }] },
      ["changed zones[y].n"],
    ],
    [
      "a replaced named item",
      { zones: [{ name: "x" }] },
      { zones: [{ name: "y" }] },
      ["removed zones[x]", "added zones[y]"],
    ],
  ])("reports %s", (_name, before, after, expected) => {
    const differences = getConfigDiff(before, after)
      .map(({ kind, path }) => `${kind} ${path}`);
    expect(differences).toEqual(expected);
  });
});
