import { describe, expect, it } from "vitest";
import {
  createBackendServer,
  MEMBER_REPORT,
} from "../../../tests/support/backend_servers.ts";
import {
  chooseClosings,
  createMissingMemberBounds,
  findLoss,
  type IncompleteGroup,
  isMissingAllowed,
} from "./missing_member_rules.ts";

const BOUNDS = createMissingMemberBounds(2_000);

function createGroup(
  key: string,
  group: Partial<IncompleteGroup> = {},
): IncompleteGroup {
  return {
    key,
    model: "m",
    missingMs: BOUNDS.closeFromMs,
    isHeadMissing: false,
    isServing: true,
    isAllowed: true,
    isConfirmed: false,
    isLeaving: false,
    isClosing: false,
    ...group,
  };
}

function listClosings(
  groups: readonly IncompleteGroup[],
  servingCount: number,
): [string, string][] {
  const servingCounts = new Map([["m", servingCount]]);
  return [...chooseClosings(groups, { servingCounts, bounds: BOUNDS })];
}

describe("createMissingMemberBounds", () => {
  // Guards against requests that are in flight when a server may exit, and against bounds in the past.
  it("leaves a second for requests in flight, and keeps no group when there is less time", () => {
    expect(createMissingMemberBounds(3_000)).toEqual({
      closeFromMs: 1_000,
      closeByMs: 2_000,
    });
    expect(createMissingMemberBounds(900).closeByMs).toBe(0);
  });
});

describe("isMissingAllowed", () => {
  // Guards against a group that stays in service while nobody polls its missing member, or past its bound.
  it.each([
    [999, 0, false, true],
    [1_000, 0, false, false],
    [0, 1_300, false, true],
    [0, 1_301, false, false],
    [0, undefined, false, false],
    [Number.POSITIVE_INFINITY, 0, false, false],
    [60_000, 1_300, true, true],
    [60_000, 1_301, true, false],
    [60_000, undefined, true, false],
  ])(
    "decides for %s ms, a planner's notice %s ms old, and a healthy member: %s",
    (missingMs, plannerAgeMs, isConfirmed, isAllowed) => {
      expect(
        isMissingAllowed({
          missingMs,
          plannerAgeMs,
          isConfirmed,
          bounds: BOUNDS,
        }),
      ).toBe(isAllowed);
    },
  );
});

describe("chooseClosings", () => {
  // Guards against a model that loses most of its slots at once, since many entries were removed together.
  it("closes a quarter of a model's groups at once, the longest missing first", () => {
    const groups = Array.from(
      { length: 8 },
      (_, index) => createGroup(`g${index}`, { missingMs: 500 + index }),
    );
    expect(listClosings(groups, 18)).toEqual([
      ["g7", "share"],
      ["g6", "share"],
      ["g5", "share"],
      ["g4", "share"],
    ]);
  });

  // Guards against a small model whose group is never closed before its bound.
  it("closes one group of a model with few groups", () => {
    expect(listClosings([createGroup("g0"), createGroup("g1")], 2))
      .toEqual([["g0", "share"]]);
  });

  // Guards against groups of a missing head that wait behind groups that still serve.
  it("counts groups with a missing head and closing groups first", () => {
    const head = createGroup("g1", { isHeadMissing: true, missingMs: 0 });
    expect(listClosings([createGroup("g0"), head], 3))
      .toEqual([["g1", "out-of-service"]]);
    const closing = createGroup("g1", { isClosing: true });
    expect(listClosings([createGroup("g0"), closing], 3)).toEqual([]);
  });

  // Guards against requests to a removed server after the drain notice time.
  it("closes all groups whose bound is reached", () => {
    const groups = ["g0", "g1", "g2"].map((key) =>
      createGroup(key, { missingMs: BOUNDS.closeByMs })
    );
    expect(listClosings(groups, 3).map(([, reason]) => reason))
      .toEqual(["bound", "bound", "bound"]);
  });

  // Guards against the loss of sound groups in a long partition, and against one that stands still since its member has left.
  it("closes no group whose member is healthy, and one whose member leaves at once", () => {
    const groups = [
      createGroup("g0", { isConfirmed: true, missingMs: 60_000 }),
      createGroup("g1", { isLeaving: true, missingMs: 0 }),
      createGroup("g2", { isConfirmed: true, isHeadMissing: true }),
    ];
    expect(listClosings(groups, 8)).toEqual([
      ["g1", "leaving"],
      ["g2", "out-of-service"],
    ]);
  });

  // Guards against the closing of a group whose member may be listed again in a moment.
  it("closes no group early", () => {
    expect(listClosings([createGroup("g0", { missingMs: 499 })], 8))
      .toEqual([]);
  });
});

describe("findLoss", () => {
  const { membership } = MEMBER_REPORT;
  const member = createBackendServer({ membership });

  // Guards against a group that stands still because its member was replaced or has left, and against the loss of a sound one.
  it.each(
    [
      ["serves on", {}, undefined],
      [
        "closes",
        { membership: { ...membership!, state: "closing" } },
        undefined,
      ],
      ["is another process", { startedAtMs: 2 }, "another process"],
      ["has left", { membership: undefined }, "does not belong"],
      [
        "is in another generation",
        { membership: { ...membership!, generation: 2 } },
        "does not belong",
      ],
      [
        "is broken",
        { membership: { ...membership!, state: "broken" } },
        "broken",
      ],
    ] as const,
  )("decides for a member that %s", (_name, change, expected) => {
    const loss = findLoss(member, { ...MEMBER_REPORT, ...change });
    expect(loss ?? "undefined").toContain(expected ?? "undefined");
  });
});
