import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ExchangingFleet } from "../../../tests/support/exchanging_fleet.ts";

const DRAIN_INTERVAL_MS = 130;
const DRAINS = 90;
/** Time after the start within which the fleet has chosen its hubs and read the list, in milliseconds. */
const START_MS = 8_000;
/** Hubs of the fleet: the first daemons of each zone by name, as all are equal otherwise. */
const HUBS = ["a-0", "a-1", "b-0", "b-1", "c-0", "c-1"];

describe("FleetSync", () => {
  let fleet: ExchangingFleet;

  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    fleet.dispose();
    vi.useRealTimers();
  });

  /** Fault during which servers drain. */
  interface Fault {
    readonly drainNoticeMs: number;
    readonly planner: string;
    /** Daemons whose calls the store refuses. */
    readonly refused?: readonly string[];
    /** Daemons that have ended. */
    readonly ended?: readonly string[];
    readonly isHistoryLost?: boolean;
  }

  /** Drains a server after the other during a fault, and returns the longest time until a daemon without a fault of its own has learned of one, in milliseconds. */
  async function doTest(
    { drainNoticeMs, planner, refused = [], ended = [], isHistoryLost }: Fault,
  ): Promise<number> {
    fleet = new ExchangingFleet({
      zones: ["a", "b", "c"],
      daemonsPerZone: 8,
      servers: DRAINS,
      drainNoticeMs,
      planner,
    });
    await vi.advanceTimersByTimeAsync(START_MS);
    const hubs = fleet.daemons.filter(({ exchange }) => exchange.isHub);
    expect(hubs.map(({ name }) => name)).toEqual(HUBS);
    refused.forEach((name) => fleet.store.refusedNames.add(name));
    ended.forEach((name) => fleet.stopDaemon(name));
    for (let i = 0; i < DRAINS; i++) {
      fleet.drainServer(`s${i}`);
      if (isHistoryLost) {
        fleet.store.dropHistory();
      }
      await vi.advanceTimersByTimeAsync(DRAIN_INTERVAL_MS);
    }
    await vi.advanceTimersByTimeAsync(drainNoticeMs);
    const noticeTimesMs = fleet.daemons.map(({ name }) => name).filter((name) =>
      !refused.includes(name) && !ended.includes(name)
    ).map((name) => fleet.getSlowestNoticeMs(name));
    return Math.max(...noticeTimesMs);
  }

  // Guards against requests to a server that has drained for longer: the members of a hub whose list is not confirmed wait for it.
  describe.each([2_000, 3_000, 4_000])(
    "drain notice of %d ms",
    (drainNoticeMs) => {
      it.each<[string, Omit<Fault, "drainNoticeMs">]>([
        ["no fault", { planner: "a-0" }],
        ["a planner that is a member", { planner: "a-5" }],
        ["a refused planner", { planner: "a-0", refused: ["a-0"] }],
        ["a refused planner that is no first hub", {
          planner: "a-1",
          refused: ["a-1"],
        }],
        ["a refused planner that is a member", {
          planner: "a-5",
          refused: ["a-5"],
        }],
        ["a refused planner, and a lost history", {
          planner: "a-0",
          refused: ["a-0"],
          isHistoryLost: true,
        }],
        ["all hubs of the planner's zone refused", {
          planner: "a-0",
          refused: ["a-0", "a-1"],
        }],
        ["all first hubs refused", {
          planner: "a-0",
          refused: ["a-0", "b-0", "c-0"],
        }],
        ["all hubs refused", { planner: "a-0", refused: HUBS }],
        ["all hubs refused, and a lost history", {
          planner: "a-0",
          refused: HUBS,
          isHistoryLost: true,
        }],
        ["a refused hub", { planner: "a-0", refused: ["b-0"] }],
        ["a planner that has ended", { planner: "a-0", ended: ["a-0"] }],
        ["a planner that has ended, and refused hubs", {
          planner: "a-0",
          ended: ["a-0"],
          refused: ["a-1", "b-0"],
        }],
      ])("is kept with %s", async (_name, fault) => {
        const noticeMs = await doTest({ drainNoticeMs, ...fault });
        expect(noticeMs).toBeLessThan(drainNoticeMs);
      });
    },
  );
});
