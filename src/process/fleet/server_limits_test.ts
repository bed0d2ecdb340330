import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { NullLogger } from "../../shared/logger.ts";
import { ServerLimits } from "./server_limits.ts";

const STEP_MS = 50;
const WINDOW_MS = 4_000;

describe("ServerLimits", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  const server = createBackendServer({ id: "s1", zone: "z0" });

  /** Creates the limits of the daemons, which are spread over the zones. */
  function createFleet(options: {
    daemons: number;
    zones?: number;
    onChange?: () => void;
  }): ServerLimits[] {
    const { daemons, zones = 3, onChange = () => {} } = options;
    const descriptions = Array.from({ length: daemons }, (_, i) => ({
      name: `d${i}`,
      zone: `z${i % zones}`,
    }));
    return descriptions.map((ownDaemon) =>
      new ServerLimits({
        logger: new NullLogger(),
        minDaemons: 7,
        ownDaemon,
        listPeers: () => descriptions.filter((d) => d !== ownDaemon),
        getPeersVersion: () => 1,
        onChange,
      })
    );
  }

  /** Sends as many requests as the limits allow, with the statement in each response, and returns the times of the requests. */
  function sendAll(
    fleet: readonly ServerLimits[],
    options: { limit: number; durationMs: number },
  ): number[] {
    const times: number[] = [];
    for (let ms = 0; ms < options.durationMs; ms += STEP_MS) {
      for (const limits of fleet) {
        while (limits.isBelowLimit(server)) {
          limits.recordRequest(server);
          times.push(ms);
        }
        limits.recordResponse(server, options.limit);
      }
      vi.advanceTimersByTime(STEP_MS);
    }
    return times;
  }

  function countMostInWindow(times: readonly number[]): number {
    return Math.max(
      0,
      ...times.map((startMs) =>
        times.filter((ms) => ms >= startMs && ms < startMs + WINDOW_MS).length
      ),
    );
  }

  describe("isBelowLimit", () => {
    // Guards against a sum over all daemons above one and a half times the statement and five requests.
    it("keeps all daemons together within the statement of a server", () => {
      fc.assert(
        fc.property(
          fc.record({
            daemons: fc.integer({ min: 1, max: 60 }),
            zones: fc.integer({ min: 1, max: 5 }),
            limit: fc.double({ min: 0, max: 30, noNaN: true }),
          }),
          ({ daemons, zones, limit }) => {
            const fleet = createFleet({ daemons, zones });
            fleet.forEach((limits) => limits.recordResponse(server, limit));
            const times = sendAll(fleet, { limit, durationMs: 8_000 });
            expect(countMostInWindow(times)).toBeLessThanOrEqual(
              1.5 * limit * WINDOW_MS / 1_000 + 5,
            );
          },
        ),
        { numRuns: 40 },
      );
    });

    it.each([[7, 2], [7, 10], [70, 4]])(
      "lets %i daemons use nearly all of %i requests a second",
      (daemons, limit) => {
        const fleet = createFleet({ daemons });
        fleet.forEach((limits) => limits.recordResponse(server, limit));
        const times = sendAll(fleet, { limit, durationMs: 20_000 });
        expect(times.length).toBeGreaterThan(0.9 * limit * 20);
      },
    );

    it("still sends some requests to a server that states zero", () => {
      const fleet = createFleet({ daemons: 7 });
      fleet.forEach((limits) => limits.recordResponse(server, 0));
      const times = sendAll(fleet, { limit: 0, durationMs: 30_000 });
      expect(times.length).toBeGreaterThan(3);
    });

    it("applies to no other server", () => {
      const [limits] = createFleet({ daemons: 7 });
      limits.recordResponse(server, 0);
      const other = createBackendServer({ id: "s2", zone: "z0" });
      expect(limits.isBelowLimit(other)).toBe(true);
    });

    it("does not apply to a later process of the server", () => {
      const [limits] = createFleet({ daemons: 7 });
      limits.recordResponse(server, 0);
      const restarted = { ...server, startedAtMs: server.startedAtMs + 1 };
      expect(limits.isBelowLimit(server)).toBe(false);
      expect(limits.isBelowLimit(restarted)).toBe(true);
    });

    it.each([
      [
        "the server states no limit",
        (limits: ServerLimits) => limits.recordResponse(server, "unlimited"),
      ],
      [
        "no response repeats the statement",
        () => vi.advanceTimersByTime(16_000),
      ],
    ])("ends when %s", (_name, change) => {
      const [limits] = createFleet({ daemons: 7 });
      limits.recordResponse(server, 0);
      change(limits);
      expect(limits.isBelowLimit(server)).toBe(true);
      expect(limits.limitedCount === 0 || limits.getReport("hub").length === 0)
        .toBe(true);
    });

    it("ignores a statement that cannot be decoded", () => {
      const [limits] = createFleet({ daemons: 7 });
      limits.recordResponse(server, 0);
      limits.recordResponse(server, "unknown");
      expect(limits.isBelowLimit(server)).toBe(false);
    });
  });

  describe("applyNotice", () => {
    it("applies the statement that a peer reported, and not an earlier one", () => {
      const [first, second] = createFleet({ daemons: 7 });
      first.recordResponse(server, 0);
      const [{ atMs: _, ...statement }] = first.getReport("equal");
      second.applyNotice({ ...statement, ageMs: 20 }, "equal");
      expect(second.isBelowLimit(server)).toBe(false);
      second.recordResponse(server, "unlimited");
      second.applyNotice({ ...statement, ageMs: 30 }, "equal");
      expect(second.isBelowLimit(server)).toBe(true);
    });
  });

  describe("getReport", () => {
    it.each(
      [
        ["equal", "equal", 0],
        ["equal", "hub", 1],
        ["member", "equal", 1],
        ["member", "hub", 1],
        ["hub", "member", 0],
      ] as const,
    )(
      "of a statement from a peer with the role %j contains for receivers of %j %i statements",
      (origin, relation, count) => {
        const [limits] = createFleet({ daemons: 7 });
        limits.applyNotice(
          { serverId: "s1", startedAtMs: 1, limit: 2, ageMs: 0 },
          origin,
        );
        expect(limits.getReport(relation)).toHaveLength(count);
      },
    );

    // Guards against statements that peers receive for as long as the server answers, although it states no limit any more.
    it("forgets a server some time after its statement has ended", () => {
      const [limits] = createFleet({ daemons: 7 });
      limits.recordResponse(server, 2);
      for (let i = 0; i < 20; i++) {
        limits.recordResponse(server, "unlimited");
        vi.advanceTimersByTime(1_000);
      }
      expect(limits.getReport("equal")).toEqual([]);
    });

    it("tells of a change once", () => {
      const onChange = vi.fn();
      const [limits] = createFleet({ daemons: 7, onChange });
      [2, 2, "unlimited", "unlimited"].forEach((limit) => {
        limits.recordResponse(server, limit as number);
        vi.advanceTimersByTime(10);
      });
      expect(onChange).toHaveBeenCalledTimes(2);
      expect(limits.getReport("equal")).toMatchObject([
        { serverId: "s1", limit: null },
      ]);
    });
  });
});
