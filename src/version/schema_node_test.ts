import { describe, expect, it } from "vitest";
import { configSchema } from "./config_schema.ts";
import { getSchemaNode } from "./schema_node.ts";

describe("getSchemaNode", () => {
  const root = getSchemaNode(configSchema);

  function checkNode(path: string, expected: object) {
    let node = root;
    for (const name of path.split(".")) {
      node = (node.element ?? node).members!.get(name)!;
    }
    expect(node).toMatchObject(expected);
  }

  // Guards against fields of the document for which the console has no form input.
  it("converts lists of objects", () => {
    checkNode("zones", { kind: "list", optional: false });
  });

  it("converts booleans with their default", () => {
    checkNode("zones.takenOut", { kind: "boolean", defaultValue: false });
  });

  it("converts lists of choices", () => {
    checkNode("zones.quietHours.weekdays", { kind: "choice-list" });
  });

  it("converts optional lists of texts", () => {
    checkNode("models.placements.fabricDomains", {
      kind: "text-list",
      optional: true,
    });
  });

  it("converts numbers with their bounds", () => {
    checkNode("models.groupSizeVms", {
      kind: "number",
      minimum: 1,
      maximum: 64,
      integer: true,
    });
  });

  it("converts constants", () => {
    checkNode("schemaVersion", { kind: "constant", choices: ["1"] });
  });
});
