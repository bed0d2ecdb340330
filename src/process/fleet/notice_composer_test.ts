import { describe, expect, it } from "vitest";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { NoticeComposer, type NoticeState } from "./notice_composer.ts";

describe("NoticeComposer", () => {
  function createState(state: Partial<NoticeState> = {}): NoticeState {
    return {
      isLeaving: false,
      planner: undefined,
      configVersion: 1,
      excludedZones: { revision: 1, zones: [] },
      serversRevision: 1,
      serversChangeRevision: 1,
      serversAgeMs: 0,
      loads: new Map(),
      lostGroups: [],
      suspectedGroups: [],
      crashes: [],
      completedSuspects: [],
      promptParts: { crashes: [], successes: [] },
      serverLimits: [],
      leavingServers: [],
      sections: new Map(),
      peers: new Map(),
      ...state,
    };
  }

  function doTest(before: Partial<NoticeState>, after: Partial<NoticeState>) {
    const composer = new NoticeComposer();
    composer.createChangeNotice(createState(before), { isPeriodic: false });
    return composer.createChangeNotice(createState(after), {
      isPeriodic: false,
    });
  }

  describe("createChangeNotice", () => {
    it("composes no notice when nothing has changed", () => {
      expect(doTest({}, {})).toBeUndefined();
    });

    it("contains the loads that have changed, and a zero for those that are gone", () => {
      expect(doTest(
        { loads: new Map([["g1", 1], ["g2", 2], ["g3", 3]]) },
        { loads: new Map([["g1", 1], ["g2", 4]]) },
      )).toEqual({ loads: [["g2", 4], ["g3", 0]] });
    });

    it("contains the sections whose report was replaced", () => {
      const unchanged = { n: 1 };
      expect(doTest(
        { sections: new Map([["a", unchanged], ["b", { n: 2 }]]) },
        { sections: new Map([["a", unchanged], ["b", { n: 3 }]]) },
      )).toEqual({ sections: { b: { n: 3 } } });
    });

    it("contains each lost group and each crash once", () => {
      const createCrash = (groupKey: string) => ({
        fingerprint: "f1",
        groupKey,
        atMs: performance.now(),
      });
      const crashes = [createCrash("g1")];
      expect(doTest({ lostGroups: ["g1"], crashes }, {
        lostGroups: ["g1", "g2"],
        crashes: [...crashes, createCrash("g2")],
      })).toEqual({
        lostGroups: ["g2"],
        crashes: [
          { fingerprint: "f1", groupKey: "g2", ageMs: expect.any(Number) },
        ],
      });
    });

    it("contains each suspected request and each success once, and all of them for a new receiver", () => {
      const createReport = (count: number) => ({
        crashes: Array.from({ length: count }, (_, i) => ({
          groupKey: `g${i}`,
          parts: ["p"],
          atMs: performance.now(),
        })),
        successes: Array.from({ length: count }, (_, i) => ({
          groupKey: `g${i}`,
          part: "p",
          time: "after" as const,
        })),
      });
      const composer = new NoticeComposer();
      const options = { isPeriodic: false };
      composer.createChangeNotice(
        createState({ promptParts: createReport(1) }),
        options,
      );
      expect(
        composer.createChangeNotice(
          createState({ promptParts: createReport(2) }),
          options,
        ),
      ).toMatchObject({
        partCrashes: [{ groupKey: "g1", parts: ["p"] }],
        partSuccesses: [{ groupKey: "g1", part: "p", time: "after" }],
      });
      const complete = composer.createCompleteNotice();
      expect(complete?.partCrashes).toHaveLength(2);
      expect(complete?.partSuccesses).toHaveLength(2);
    });

    it("contains the statement of a server when it is new, has changed or has to be confirmed", () => {
      const createLimits = (limit: number, atMs: number) => [
        { serverId: "s1", startedAtMs: 1, limit, atMs },
      ];
      const composer = new NoticeComposer();
      const compose = (limit: number, atMs: number) =>
        composer.createChangeNotice(
          createState({ serverLimits: createLimits(limit, atMs) }),
          { isPeriodic: false },
        )?.serverLimits?.length ?? 0;
      expect([
        compose(2, 1_000),
        compose(2, 1_500),
        compose(3, 1_600),
        compose(3, 4_000),
        compose(3, 4_700),
      ]).toEqual([1, 0, 1, 0, 1]);
    });

    // Guards against a new process of a leaving server that is taken for the reported one, and against repeated notices.
    it("contains each process of a leaving server once, and all of them for a new receiver", () => {
      const first = { serverId: "s1", startedAtMs: 1 };
      const second = { serverId: "s1", startedAtMs: 2 };
      const composer = new NoticeComposer();
      const compose = (leavingServers: NoticeState["leavingServers"]) =>
        composer.createChangeNotice(createState({ leavingServers }), {
          isPeriodic: false,
        })?.leavingServers;
      expect([
        compose([first]),
        compose([first]),
        compose([first, second]),
      ]).toEqual([[first], undefined, [second]]);
      expect(composer.createCompleteNotice()?.leavingServers).toEqual([
        first,
        second,
      ]);
    });

    it("contains new and removed peers, and those with another address", () => {
      const [a, b, c] = ["a", "b", "c"].map((name) =>
        createDaemonDescription(name)
      );
      const movedB = { ...b, address: "b:2" };
      expect(doTest(
        { peers: new Map([["a", a], ["b", b]]) },
        { peers: new Map([["b", movedB], ["c", c]]) },
      )).toEqual({ peers: [movedB, c], removedPeers: ["a"] });
    });

    it("contains the changed versions", () => {
      expect(doTest({}, {
        configVersion: 2,
        excludedZones: { revision: 4, zones: ["z1"] },
        serversRevision: 9,
        serversChangeRevision: 8,
        isLeaving: true,
      })).toEqual({
        configVersion: 2,
        excludedZones: { revision: 4, zones: ["z1"] },
        serversRevision: 9,
        serversChangeRevision: 8,
        serversAgeMs: 0,
        isLeaving: true,
      });
    });

    it("contains the ages in a periodic notice", () => {
      const composer = new NoticeComposer();
      const planner = { name: "entry-1", term: 1, ageMs: 0 };
      composer.createChangeNotice(createState({ planner }), {
        isPeriodic: false,
      });
      const state = createState({
        planner: { ...planner, ageMs: 400 },
        serversAgeMs: 400,
      });
      expect(composer.createChangeNotice(state, { isPeriodic: false }))
        .toBeUndefined();
      expect(composer.createChangeNotice(state, { isPeriodic: true })).toEqual({
        planner: { ...planner, ageMs: 400 },
        serversRevision: 1,
        serversChangeRevision: 1,
        serversAgeMs: 400,
      });
    });
  });

  describe("createCompleteNotice", () => {
    it("describes the state that the notices so far have led to", () => {
      const composer = new NoticeComposer();
      expect(composer.createCompleteNotice()).toBeUndefined();
      const peer = createDaemonDescription("a");
      composer.createChangeNotice(
        createState({
          crashes: [{
            fingerprint: "f1",
            groupKey: "g3",
            atMs: performance.now() - 30_000,
          }],
          loads: new Map([["g1", 1]]),
          lostGroups: ["g2"],
          peers: new Map([["a", peer]]),
        }),
        { isPeriodic: false },
      );
      expect(composer.createCompleteNotice()).toMatchObject({
        isComplete: true,
        configVersion: 1,
        loads: [["g1", 1]],
        lostGroups: ["g2"],
        crashes: [{ fingerprint: "f1", groupKey: "g3" }],
        peers: [peer],
      });
      const ageMs = composer.createCompleteNotice()?.crashes?.[0].ageMs;
      expect(ageMs).toBeGreaterThanOrEqual(30_000);
    });
  });
});
