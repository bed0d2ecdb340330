import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type GroupHealth,
  type GroupHealthState,
  GroupHealthTable,
  HEALTH_EXPIRY_MS,
} from "./group_health.ts";

describe("GroupHealthTable", () => {
  beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(60_000);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createHealth(changes: Partial<GroupHealth> = {}): GroupHealth {
    return {
      groupId: "group-1",
      generation: 1,
      state: "ready",
      bootId: "boot-1",
      observer: "self",
      sequence: 1,
      ageMs: 0,
      runningRequests: 0,
      heldTokens: 0,
      maxTokens: 1,
      ...changes,
    };
  }

  describe("offer", () => {
    interface Case {
      readonly name: string;
      readonly known: Partial<GroupHealth>;
      readonly offered: Partial<GroupHealth>;
      readonly afterMs: number;
      readonly state: GroupHealthState;
      readonly reportedLosses: number;
    }

    const peer = { observer: "peer" };
    const incomplete = { state: "incomplete" as const };
    // Guards against a daemon cut off from the engines that decides for all, and against old news that replaces newer.
    it.each<Case>([
      {
        name: "asks again when a peer misses a member",
        known: {},
        offered: { ...peer, ...incomplete },
        afterMs: 100,
        state: "ready",
        reportedLosses: 1,
      },
      {
        name: "keeps its own loss against a peer's word",
        known: incomplete,
        offered: peer,
        afterMs: 100,
        state: "incomplete",
        reportedLosses: 0,
      },
      {
        name: "takes a peer's word when its own observation has expired",
        known: {},
        offered: { ...peer, ...incomplete },
        afterMs: HEALTH_EXPIRY_MS + 1,
        state: "incomplete",
        reportedLosses: 0,
      },
      {
        name: "asks again when two peers disagree",
        known: peer,
        offered: { observer: "peer-2", ...incomplete },
        afterMs: 100,
        state: "ready",
        reportedLosses: 1,
      },
      {
        name: "takes the newer one of two peers",
        known: peer,
        offered: { observer: "peer-2", state: "cold" },
        afterMs: 100,
        state: "cold",
        reportedLosses: 0,
      },
      {
        name: "takes a peer's word against another peer's loss",
        known: { ...peer, ...incomplete },
        offered: { observer: "peer-2" },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "keeps a newer observation against an older one",
        known: peer,
        offered: { observer: "peer-2", state: "cold", ageMs: 200 },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "takes a peer's higher generation",
        known: incomplete,
        offered: { ...peer, generation: 2 },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "takes its own next observation that rests on an old status",
        known: {},
        offered: { state: "cold", ageMs: 500 },
        afterMs: 500,
        state: "cold",
        reportedLosses: 0,
      },
    ])(
      "$name",
      ({ known, offered, afterMs, state, reportedLosses }) => {
        const table = new GroupHealthTable("self");
        let lossCount = 0;
        table.onReportedLoss(() => lossCount++);
        table.offer(createHealth(known));
        vi.advanceTimersByTime(afterMs);
        table.offer(createHealth({ sequence: 2, ...offered }));
        expect(table.getHealth("group-1")?.state).toBe(state);
        expect(lossCount).toBe(reportedLosses);
      },
    );
  });

  describe("offerFromPeer", () => {
    // Guards against a group that counts as complete again because a peer sent this daemon's own earlier observation back.
    it.each<[string, Partial<GroupHealth>, GroupHealthState]>([
      ["ignores this daemon's own observation", {}, "incomplete"],
      [
        "takes the peer's own one",
        { observer: "peer", generation: 2 },
        "ready",
      ],
    ])("%s", (_name, returned, state) => {
      const table = new GroupHealthTable("self");
      table.offer(createHealth());
      vi.advanceTimersByTime(250);
      table.offer(createHealth({ sequence: 2, state: "incomplete" }));
      vi.advanceTimersByTime(250);
      table.offerFromPeer(createHealth({ ageMs: 500, ...returned }));
      expect(table.getHealth("group-1")?.state).toBe(state);
    });
  });
});
