import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { formatCanonicalJson, getCanonicalDigest } from "./canonical_json.ts";

describe("formatCanonicalJson", () => {
  // Guards against a digest that differs after a document has been written to the store and read back.
  it("gives the same text after a round trip through JSON", () => {
    fc.assert(fc.property(fc.jsonValue(), (value) => {
      const text = formatCanonicalJson(value);
      expect(formatCanonicalJson(JSON.parse(text))).toBe(text);
    }));
  });

  // Guards against a digest that depends on the order of the keys.
  it("sorts the keys", () => {
    expect(getCanonicalDigest({ a: 1, b: { d: 1, c: 2 } }))
      .toBe(getCanonicalDigest({ b: { c: 2, d: 1 }, a: 1 }));
  });
});
