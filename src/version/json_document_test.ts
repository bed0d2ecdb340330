import { describe, expect, it } from "vitest";
import { z } from "zod";
import { type DocumentFault, parseJsonDocument } from "./json_document.ts";

const SCHEMA = z.strictObject({
  name: z.string().min(1),
  zones: z.array(
    z.strictObject({
      name: z.string(),
      takenOut: z.boolean().default(false).describe("Out of service"),
    }),
  ).default([]),
});

describe("parseJsonDocument", () => {
  function checkFaults(text: string, expected: Partial<DocumentFault>[]) {
    const faults = parseJsonDocument(text, SCHEMA).swap().orDefault([]);
    expect(faults).toMatchObject(expected);
    expect(faults).toHaveLength(expected.length);
  }

  it("accepts comments and trailing commas", () => {
    checkFaults('// settings\n{ "name": "a", /* none */ "zones": [], }', []);
  });

  // Guards against ignoring a misspelled key, which would for example leave a zone in service.
  it("reports an unknown key with a suggestion and its position", () => {
    checkFaults(
      '{\n  "name": "a",\n  "zones": [{ "name": "z", "takeOut": true }]\n}',
      [
        {
          line: 3,
          column: 28,
          path: "zones.0.takeOut",
          message: 'The key "takeOut" is not known; did you mean "takenOut"?',
        },
      ],
    );
  });

  it("lists the allowed keys when none is similar", () => {
    checkFaults('{ "name": "a", "colour": 1 }', [{
      message: 'The key "colour" is not known; allowed are name, zones',
    }]);
  });

  it("reports a value of the wrong type with the description", () => {
    checkFaults(
      '{ "name": "a", "zones": [{ "name": "z", "takenOut": "no" }] }',
      [{
        path: "zones.0.takenOut",
        message:
          "Invalid input: expected boolean, received string (Out of service)",
      }],
    );
  });

  it("reports a missing key at the position of its object", () => {
    checkFaults('{ "zones": [] }', [{ line: 1, column: 1, path: "name" }]);
  });

  it("reports a syntax error", () => {
    checkFaults('{\n "name": }', [{ line: 2, column: 10 }]);
  });

  it("reports an empty document", () => {
    checkFaults("", [{ line: 1, column: 1 }]);
  });
});
