import { describe, expect, it } from "vitest";
import { createVersion, getGeneration, getRevision } from "./object_store.ts";

describe("createVersion", () => {
  // Guards against data of before a restore of the store that counts as newer than data written after it.
  it("orders versions by their generation first", () => {
    const before = createVersion({ generation: 1, revision: 350 });
    const after = createVersion({ generation: 2, revision: 7 });
    expect(after).toBeGreaterThan(before);
    expect(getGeneration(after)).toBe(2);
    expect(getRevision(after)).toBe(7);
  });

  it("returns the revision for a store that states no generation", () => {
    expect(createVersion({ generation: 0, revision: 350 })).toBe(350);
  });

  it("throws for a generation whose versions are not safe integers", () => {
    expect(() => createVersion({ generation: 2 ** 13, revision: 1 })).toThrow(
      RangeError,
    );
    expect(
      Number.isSafeInteger(
        createVersion({ generation: 2 ** 13 - 1, revision: 2 ** 40 - 1 }),
      ),
    ).toBe(true);
  });
});
