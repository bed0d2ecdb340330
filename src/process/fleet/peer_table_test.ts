import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import type { Logger } from "../../shared/logger.ts";
import { PeerTable } from "./peer_table.ts";

/** Time between two notices of a daemon, in milliseconds. */
const NOTICE_INTERVAL_MS = 300;

describe("PeerTable", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Simulates three linked daemons that send notices after a fourth one, which was a partner of two of them, has gone. */
  function doTest(seconds: number) {
    const losses: string[] = [];
    const createTable = (ownName: string) => {
      const logger: Logger = {
        write: (_level, event, fields) => {
          if (event === "peer-lost") {
            losses.push(`${ownName} ${fields?.peer}`);
          }
        },
      };
      return new PeerTable({ ownName, logger });
    };
    const names = ["entry-1", "entry-2", "entry-3"];
    const tables = new Map(names.map((name) => [name, createTable(name)]));
    const link = (from: string, to: string) =>
      tables.get(to)!.addPartner({
        sender: createDaemonDescription(from),
        relation: "equal",
      });
    const listPairs = () =>
      names.flatMap((from) =>
        names.filter((to) => to !== from).map((to) => [from, to])
      );
    listPairs().forEach(([from, to]) => link(from, to));
    link("replaced", "entry-1");
    link("replaced", "entry-2");
    for (let i = 0; i < seconds * 1_000 / NOTICE_INTERVAL_MS; i++) {
      for (const [from, to] of listPairs()) {
        tables.get(to)!.applyNotice(from, {
          isComplete: true,
          peers: [...tables.get(from)!.getReport("equal").values()],
        });
      }
      if (i === 1) {
        tables.get("entry-1")!.removePartner("replaced");
        tables.get("entry-2")!.removePartner("replaced");
      }
      names.forEach((name) => tables.get(name)!.listLivePeers());
      vi.advanceTimersByTime(NOTICE_INTERVAL_MS);
    }
    const knownNames = names.flatMap((name) =>
      tables.get(name)!.listPeerNames()
    );
    return { losses, isKnown: knownNames.includes("replaced") };
  }

  describe("getReport", () => {
    // Guards against a replaced daemon that the others keep relaying to each other: they would call it indefinitely and log its loss with every notice.
    it("lets all daemons remove a replaced daemon", () => {
      expect(doTest(130).isKnown).toBe(false);
    });

    it("logs the loss of a daemon once", () => {
      expect(doTest(30).losses.sort()).toEqual([
        "entry-1 replaced",
        "entry-2 replaced",
        "entry-3 replaced",
      ]);
    });

    it("names the peers of partners to members only", () => {
      const table = new PeerTable({
        ownName: "entry-1",
        logger: { write: () => {} },
      });
      table.addPartner({
        sender: createDaemonDescription("entry-2"),
        relation: "equal",
      });
      table.applyNotice("entry-2", {
        peers: [createDaemonDescription("entry-3")],
      });
      expect([...table.getReport("equal").keys()]).toEqual(["entry-2"]);
      expect([...table.getReport("hub").keys()]).toEqual([
        "entry-2",
        "entry-3",
      ]);
      table.applyNotice("entry-2", { removedPeers: ["entry-3"] });
      expect([...table.getReport("hub").keys()]).toEqual(["entry-2"]);
    });
  });

  describe("findPlanner", () => {
    it("finds a planner only as long as it is confirmed", () => {
      const table = new PeerTable({
        ownName: "entry-1",
        logger: { write: () => {} },
      });
      table.addPartner({
        sender: createDaemonDescription("entry-2"),
        relation: "equal",
      });
      table.applyNotice("entry-2", {
        planner: { name: "entry-3", term: 4, ageMs: 500 },
      });
      expect(table.findPlanner()).toEqual({
        name: "entry-3",
        term: 4,
        ageMs: 500,
      });
      vi.advanceTimersByTime(1_600);
      expect(table.findPlanner()).toBeUndefined();
    });
  });
});
