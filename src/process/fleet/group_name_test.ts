import { describe, expect, it } from "vitest";
import { createGroupName, getFormedSize } from "./group_name.ts";

describe("getFormedSize", () => {
  it.each([1, 4, 16])("gets the size %i that a name states", (size) => {
    expect(getFormedSize(createGroupName({ generation: 100_001, size })))
      .toBe(size);
  });

  // Guards against a size that is read out of a name without one.
  it.each(["g255t", "spare-100001", "g255t-0", "g255t-", "x-2", ""])(
    "gets no size for %j",
    (groupName) => {
      expect(getFormedSize(groupName)).toBeUndefined();
    },
  );
});
