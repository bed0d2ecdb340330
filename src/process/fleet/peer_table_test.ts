import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createPeerNotice } from "../../../tests/support/daemons.ts";
import type { Logger } from "../../shared/logger.ts";
import { PeerTable } from "./peer_table.ts";

/** Time between two exchanges with a peer, in milliseconds. */
const EXCHANGE_MS = 300;

describe("PeerTable", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Simulates three daemons that exchange notices after a fourth one, which was a partner of two of them, has gone. */
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
    tables.get("entry-1")!.applyNotice(createPeerNotice("replaced"));
    tables.get("entry-2")!.applyNotice(createPeerNotice("replaced"));
    for (let i = 0; i < seconds * 1_000 / EXCHANGE_MS; i++) {
      for (const from of names) {
        for (const to of names) {
          const table = tables.get(from)!;
          tables.get(to)!.applyNotice(
            createPeerNotice(from, table.getPeersNotice(to, "equal")),
          );
        }
      }
      vi.advanceTimersByTime(EXCHANGE_MS);
    }
    const knownNames = names.flatMap((name) =>
      tables.get(name)!.listPeerNames()
    );
    return { losses, isKnown: knownNames.includes("replaced") };
  }

  describe("getPeersNotice", () => {
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
  });
});
