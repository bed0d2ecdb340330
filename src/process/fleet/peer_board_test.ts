import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createNotice } from "../../../tests/support/daemons.ts";
import type { Logger } from "../../shared/logger.ts";
import { PeerBoard } from "./peer_board.ts";

/** Time between two exchanges with a peer, in milliseconds. */
const EXCHANGE_MS = 300;

describe("PeerBoard", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Lets three daemons exchange notices for some seconds after a fourth one, which two of them heard, is gone. */
  function doTest(seconds: number) {
    const losses: string[] = [];
    const createBoard = (ownName: string) => {
      const logger: Logger = {
        write: (_level, event, fields) => {
          if (event === "peer-lost") {
            losses.push(`${ownName} ${fields?.peer}`);
          }
        },
      };
      return new PeerBoard({ ownName, logger });
    };
    const names = ["entry-1", "entry-2", "entry-3"];
    const boards = new Map(names.map((name) => [name, createBoard(name)]));
    boards.get("entry-1")!.applyNotice(createNotice("replaced"));
    boards.get("entry-2")!.applyNotice(createNotice("replaced"));
    for (let i = 0; i < seconds * 1_000 / EXCHANGE_MS; i++) {
      for (const from of names) {
        for (const to of names) {
          const board = boards.get(from)!;
          boards.get(to)!.applyNotice(
            createNotice(from, board.getPeersNotice(to, "equal")),
          );
        }
      }
      vi.advanceTimersByTime(EXCHANGE_MS);
    }
    const known = names.flatMap((name) => boards.get(name)!.listNames());
    return { losses, isKnown: known.includes("replaced") };
  }

  describe("getPeersNotice", () => {
    // Guards against daemons that remind each other of a replaced one, call it for ever and log its loss with each notice.
    it("lets all daemons forget one that was replaced", () => {
      expect(doTest(130).isKnown).toBe(false);
    });

    it("records the loss of a daemon once", () => {
      expect(doTest(30).losses.sort()).toEqual([
        "entry-1 replaced",
        "entry-2 replaced",
        "entry-3 replaced",
      ]);
    });
  });
});
