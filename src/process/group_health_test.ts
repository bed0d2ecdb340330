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

    const fromPeer = { observer: "peer" };
    const incomplete = { state: "incomplete" as const };
    // Guards against a daemon without a connection to the engines that takes a group out of service for all daemons, and against an older observation that replaces a newer one.
    it.each<Case>([
      {
        name: "reports a loss when a peer observes the group as incomplete",
        known: {},
        offered: { ...fromPeer, ...incomplete },
        afterMs: 100,
        state: "ready",
        reportedLosses: 1,
      },
      {
        name:
          "keeps its own incomplete state when a peer reports the group as complete",
        known: incomplete,
        offered: fromPeer,
        afterMs: 100,
        state: "incomplete",
        reportedLosses: 0,
      },
      {
        name:
          "stores a peer's incomplete state when its own observation has expired",
        known: {},
        offered: { ...fromPeer, ...incomplete },
        afterMs: HEALTH_EXPIRY_MS + 1,
        state: "incomplete",
        reportedLosses: 0,
      },
      {
        name:
          "reports a loss when one of two peers reports the group as incomplete",
        known: fromPeer,
        offered: { observer: "peer-2", ...incomplete },
        afterMs: 100,
        state: "ready",
        reportedLosses: 1,
      },
      {
        name: "stores the newer observation of two peers",
        known: fromPeer,
        offered: { observer: "peer-2", state: "cold" },
        afterMs: 100,
        state: "cold",
        reportedLosses: 0,
      },
      {
        name:
          "replaces one peer's incomplete state by another peer's complete state",
        known: { ...fromPeer, ...incomplete },
        offered: { observer: "peer-2" },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "doesn't replace an observation by an older one",
        known: fromPeer,
        offered: { observer: "peer-2", state: "cold", ageMs: 200 },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "stores a peer's observation of a higher generation",
        known: incomplete,
        offered: { ...fromPeer, generation: 2 },
        afterMs: 100,
        state: "ready",
        reportedLosses: 0,
      },
      {
        name: "stores its own next observation when that uses an old status",
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
    // Guards against a group that is recorded as complete again because a peer sent back an earlier observation of this daemon.
    it.each<[string, Partial<GroupHealth>, GroupHealthState]>([
      ["ignores this daemon's own observation", {}, "incomplete"],
      [
        "stores the peer's own observation",
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
