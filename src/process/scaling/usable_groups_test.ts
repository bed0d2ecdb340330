import { describe, expect, it } from "vitest";
import { getExpectedGroups } from "./usable_groups.ts";

const ZONE = { count: 19, zoneCount: 57, zoneDomains: 3 };

describe("getExpectedGroups", () => {
  it.each([
    [1, 2, 4],
    [3, 2, 4],
    [0, 2, 5],
    [2, 3, 3],
  ])(
    "agrees with a count over all ways to remove servers (%i spares, groups of %i, %i kept)",
    (spares, groupSize, kept) => {
      const [count, zoneCount] = [5, 7];
      let [sum, ways] = [0, 0];
      for (let set = 0; set < 2 ** zoneCount; set++) {
        const isKept = (i: number) => (set >> i) % 2;
        const indexes = Array.from({ length: zoneCount }, (_, i) => i);
        if (indexes.filter(isKept).length === kept) {
          const servers = indexes.filter((i) => i < count && isKept(i)).length;
          sum += Math.floor(Math.max(0, servers - spares) / groupSize);
          ways++;
        }
      }
      const groups = getExpectedGroups(
        { count, zoneCount, zoneDomains: 2 },
        kept,
        { groupSize, spares },
      );
      expect(groups).toBeCloseTo(sum / ways, 10);
    },
  );

  // Guards against the search for the smallest number, which relies on it.
  it("never falls with the number of servers", () => {
    const options = { groupSize: 8, spares: 1 };
    let before = 0;
    for (let target = 0; target <= 80; target++) {
      const groups = getExpectedGroups(ZONE, target, options);
      expect(groups).toBeGreaterThanOrEqual(before - 1e-9);
      before = groups;
    }
  });
});
