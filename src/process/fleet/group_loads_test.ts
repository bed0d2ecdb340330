import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
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

  /** Creates two hubs with two members each, where every daemon has the same number of requests in flight in one group. */
  function doTest(ownRequests: number) {
    const names = ["hub-1", "hub-2", "m-1", "m-2", "m-3", "m-4"];
    const loads = new Map(names.map((name) => [name, new GroupLoads()]));
    for (const daemonLoads of loads.values()) {
      Array.from({ length: ownRequests }, () => daemonLoads.addRequest("g1"));
    }
    let noticeNumber = 0;
    /** Number of the last notice that a hub received from a member, by both names. */
    const receivedNumbers = new Map<string, number>();
    const sendLoad = (from: string, to: string, relation: PeerRelation) => {
      const report = loads.get(from)!.getReport(relation);
      if (relation === "member") {
        loads.get(from)!.recordSentLoads(++noticeNumber, report);
        receivedNumbers.set(`${to} ${from}`, noticeNumber);
      }
      loads.get(to)!.applyPeerLoad(from, relation, {
        isComplete: true,
        loads: [...report],
        acknowledged: receivedNumbers.get(`${from} ${to}`),
      });
    };
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
    return { loads, sendLoad, exchange, exchangeAll };
  }

  describe("applyPeerLoad", () => {
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
      // The load of m-1 is still included in the report of hub-1 until their link closes.
      expect(loads.get("m-1")!.getLoad("g1")).toBe(7);
      loads.get("hub-1")!.removePeer("m-1");
      exchange("hub-1", "hub-2", "equal");
      exchange("m-1", "hub-2", "member");
      expect(loads.get("m-1")!.getLoad("g1")).toBe(6);
    });

    it("counts requests that began after the notice that the hub has acknowledged", () => {
      const { loads, sendLoad } = doTest(1);
      sendLoad("m-1", "hub-1", "member");
      loads.get("m-1")!.addRequest("g1");
      sendLoad("hub-1", "m-1", "hub");
      // One request of hub-1, and two of m-1, of which the hub knows one.
      expect(loads.get("m-1")!.getLoad("g1")).toBe(3);
      loads.get("m-1")!.removeRequest("g1");
      loads.get("m-1")!.removeRequest("g1");
      expect(loads.get("m-1")!.getLoad("g1")).toBe(1);
    });

    it("applies changes to the loads that earlier notices reported", () => {
      const loads = new GroupLoads();
      loads.applyPeerLoad("entry-2", "equal", {
        isComplete: true,
        loads: [["g1", 3], ["g2", 1]],
      });
      loads.applyPeerLoad("entry-2", "equal", { loads: [["g1", 1]] });
      loads.applyPeerLoad("entry-2", "equal", { loads: [["g2", 0]] });
      expect([loads.getLoad("g1"), loads.getLoad("g2")]).toEqual([1, 0]);
    });
  });

  describe("removePeer", () => {
    it("removes the load of a daemon whose link has closed", () => {
      const loads = new GroupLoads();
      loads.applyPeerLoad("entry-2", "equal", { loads: [["g1", 3]] });
      loads.removePeer("entry-2");
      expect(loads.getLoad("g1")).toBe(0);
    });

    it("keeps the loads from a lost hub for two seconds, unless another hub reports", () => {
      const loads = new GroupLoads();
      loads.applyPeerLoad("hub-1", "hub", { loads: [["g1", 3]] });
      loads.removePeer("hub-1");
      vi.advanceTimersByTime(1_900);
      expect(loads.getLoad("g1")).toBe(3);
      loads.applyPeerLoad("hub-2", "hub", { loads: [["g1", 4]] });
      vi.advanceTimersByTime(2_000);
      expect(loads.getLoad("g1")).toBe(4);
      loads.removePeer("hub-2");
      vi.advanceTimersByTime(2_000);
      expect(loads.getLoad("g1")).toBe(0);
    });
  });

  describe("getPeersShare", () => {
    it("gets the share of the requests that other daemons sent", () => {
      const loads = new GroupLoads();
      loads.addRequest("g1");
      loads.applyPeerLoad("entry-2", "member", { loads: [["g1", 1]] });
      loads.applyPeerLoad("entry-3", "equal", { loads: [["g2", 2]] });
      expect(loads.getPeersShare()).toBe(0.75);
    });
  });
});
