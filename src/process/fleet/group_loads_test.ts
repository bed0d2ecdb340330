import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createPeerNotice } from "../../../tests/support/daemons.ts";
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
    /** Creates two hubs with two members each, where every daemon has the same number of requests in flight in one group. */
    function doTest(ownRequests: number) {
      const names = ["hub-1", "hub-2", "m-1", "m-2", "m-3", "m-4"];
      const loads = new Map(names.map((name) => [name, new GroupLoads()]));
      for (const daemonLoads of loads.values()) {
        Array.from({ length: ownRequests }, () => daemonLoads.addRequest("g1"));
      }
      const sendLoad = (from: string, to: string, relation: PeerRelation) =>
        loads.get(to)!.applyPeerLoad(createPeerNotice(from, {
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

    it("replaces the load that the previous hub reported", () => {
      const { loads, exchange, exchangeAll } = doTest(1);
      exchangeAll();
      exchangeAll();
      exchange("m-1", "hub-2", "member");
      // The load of m-1 is still included in the report of hub-1 until it expires there.
      expect(loads.get("m-1")!.getLoad("g1")).toBe(7);
      vi.advanceTimersByTime(2_500);
      exchange("hub-1", "hub-2", "equal");
      exchange("m-1", "hub-2", "member");
      expect(loads.get("m-1")!.getLoad("g1")).toBe(3);
    });

    it("reports waiting requests of daemons that exchange no notices with the receiver", () => {
      const { loads, exchangeAll } = doTest(1);
      exchangeAll();
      exchangeAll();
      expect(loads.get("m-4")!.hasWaitingPeer()).toBe(true);
    });
  });

  describe("getLoad", () => {
    it("ignores the load of a peer that has sent no notice for 2 seconds", () => {
      const loads = new GroupLoads();
      loads.applyPeerLoad(createPeerNotice("entry-2", { loads: [["g1", 3]] }));
      expect(loads.getLoad("g1")).toBe(3);
      vi.advanceTimersByTime(2_000);
      expect(loads.getLoad("g1")).toBe(0);
    });
  });
});
