import { describe, expect, it } from "vitest";
import { choosePreferredGroup, listPreferredGroups } from "./group_selector.ts";

describe("listPreferredGroups", () => {
  const idleGroups = Array.from({ length: 8 }, (_, index) => ({
    groupId: `group-${index}`,
    zone: index < 4 ? "zone-a" : "zone-b",
    load: 0,
  }));
  const preference = { zone: "zone-a", prefixHash: 42 };

  // Guards against requests of one prefix that are spread over the caches of many groups, or sent to another zone.
  it("assigns a prefix to one group in the daemon's zone", () => {
    const preferredGroup = listPreferredGroups(idleGroups, preference)[0];
    expect(preferredGroup.zone).toBe("zone-a");
    expect(listPreferredGroups([...idleGroups].reverse(), preference)[0]).toBe(
      preferredGroup,
    );
  });

  // Guards against prefix affinity that overloads a group.
  it("avoids a group whose load is above the bound", () => {
    const preferredGroup = listPreferredGroups(idleGroups, preference)[0];
    const loadedGroups = idleGroups.map((c) =>
      c === preferredGroup ? { ...c, load: 10 } : c
    );
    const nextGroup = listPreferredGroups(loadedGroups, preference)[0];
    expect(nextGroup.groupId).not.toBe(preferredGroup.groupId);
  });

  // Guards against two different orders in `choosePreferredGroup` and `listPreferredGroups`, which would spread a prefix over two groups.
  it("begins with the group that choosePreferredGroup chooses", () => {
    for (let prefixHash = 0; prefixHash < 200; prefixHash++) {
      const loadedGroups = idleGroups.map((c, i) => ({
        ...c,
        load: (prefixHash * i) % 7,
      }));
      const request = { zone: "zone-b", prefixHash };
      expect(choosePreferredGroup(loadedGroups, request))
        .toBe(listPreferredGroups(loadedGroups, request)[0]);
    }
    expect(choosePreferredGroup([], preference)).toBeUndefined();
  });
});
