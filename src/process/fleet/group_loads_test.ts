import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createNotice } from "../../../tests/support/daemons.ts";
import { GroupLoads } from "./group_loads.ts";
import {
  getOppositeRelation,
  type PeerRelation,
} from "../../connection/peer_notice.ts";

describe("GroupLoads", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  describe("getLoadNotice", () => {
    /** Two hubs with two members each; every daemon runs the same number of requests in one group. */
    function doTest(ownRequests: number) {
      const names = ["hub-1", "hub-2", "m-1", "m-2", "m-3", "m-4"];
      const loads = new Map(names.map((name) => [name, new GroupLoads()]));
      for (const daemonLoads of loads.values()) {
        Array.from({ length: ownRequests }, () => daemonLoads.addRequest("g1"));
      }
      const sendLoad = (from: string, to: string, relation: PeerRelation) =>
        loads.get(to)!.applyPeerLoad(createNotice(from, {
          relation,
          ...loads.get(from)!.getLoadNotice(to, relation, 1),
        }));
      const exchange = (from: string, to: string, relation: PeerRelation) => {
        sendLoad(from, to, relation);
        sendLoad(to, from, getOppositeRelation(relation));
      };
      const exchangeAll = () => {
        exchange("m-1", "hub-1", "member");
        exchange("m-2", "hub-1", "member");
        exchange("m-3", "hub-2", "member");
        exchange("m-4", "hub-2", "member");
        exchange("hub-1", "hub-2", "equal");
      };
      return { loads, exchange, exchangeAll };
    }

    it("counts each request once at every daemon, however often they exchange", () => {
      const { loads, exchangeAll } = doTest(2);
      for (let i = 0; i < 6; i++) {
        exchangeAll();
      }
      const counts = [...loads.values()].map((daemonLoads) =>
        daemonLoads.getLoad("g1")
      );
      expect(counts).toEqual([12, 12, 12, 12, 12, 12]);
    });

    it("replaces the load that an earlier hub stated", () => {
      const { loads, exchange, exchangeAll } = doTest(1);
      exchangeAll();
      exchangeAll();
      exchange("m-1", "hub-2", "member");
      // The first hub still counts the member as its own until that expires.
      expect(loads.get("m-1")!.getLoad("g1")).toBe(7);
      vi.advanceTimersByTime(2_500);
      exchange("hub-1", "hub-2", "equal");
      exchange("m-1", "hub-2", "member");
      expect(loads.get("m-1")!.getLoad("g1")).toBe(3);
    });

    it("tells of requests that wait at daemons further away", () => {
      const { loads, exchangeAll } = doTest(1);
      exchangeAll();
      exchangeAll();
      expect(loads.get("m-4")!.hasWaitingPeer()).toBe(true);
    });
  });

  describe("getLoad", () => {
    it("forgets the load of a peer that falls silent", () => {
      const loads = new GroupLoads();
      loads.applyPeerLoad(createNotice("entry-2", { loads: [["g1", 3]] }));
      expect(loads.getLoad("g1")).toBe(3);
      vi.advanceTimersByTime(2_000);
      expect(loads.getLoad("g1")).toBe(0);
    });
  });
});
