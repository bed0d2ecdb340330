import { describe, expect, it } from "vitest";
import { TokenSequence } from "./token_sequence.ts";

describe("TokenSequence", () => {
  describe("accept", () => {
    function doTest(indexes: readonly number[]): string {
      const sequence = new TokenSequence();
      for (const index of indexes) {
        sequence.accept({ type: "token", index, text: `${index};` });
      }
      return sequence.getTokenTexts().join("");
    }

    // Guards against repeated tokens after a resume.
    it.each([
      { name: "in order", indexes: [0, 1, 2] },
      { name: "duplicate", indexes: [0, 1, 1, 2] },
      { name: "late token of an earlier attempt", indexes: [0, 1, 0, 2] },
    ])("keeps each token once: $name", ({ indexes }) => {
      expect(doTest(indexes)).toBe("0;1;2;");
    });

    // Guards against responses with missing tokens when tokens arrive out of order.
    it.each([
      { name: "first token missing", indexes: [1] },
      { name: "gap", indexes: [0, 2] },
    ])("throws when a token is missing: $name", ({ indexes }) => {
      expect(() => doTest(indexes)).toThrow("instead of token");
    });
  });
});
