import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { ColdLimits } from "./cold_limits.ts";

const RATE = 10;
const OVERAGE = 1.5;
const SLACK = 5;
const BOUND = RATE * OVERAGE + SLACK;
const SECOND_MS = 1_000;

describe("ColdLimits", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createServer(coldForMs: number): BackendServer {
    return createBackendServer({
      coldUntilMs: performance.now() + coldForMs,
    });
  }

  /** Sends as many requests as the limits of all daemons allow for 3 seconds. Returns their number and the largest number within any second. */
  function doTest(daemons: number, rate: number, server: BackendServer) {
    const names = Array.from({ length: daemons }, (_, i) => `entry-${i}`);
    const limits = names.map((ownName) =>
      new ColdLimits({
        overageFactor: OVERAGE,
        slackRequests: SLACK,
        getColdRate: () => rate,
        minDaemons: 1,
        ownName,
        listPeerNames: () => names.filter((name) => name !== ownName),
      })
    );
    const sentAtMs: number[] = [];
    let largestPerSecond = 0;
    for (let step = 0; step < 60; step++) {
      for (const limit of limits) {
        while (limit.isBelowLimit(server) && sentAtMs.length < 10_000) {
          limit.recordRequest(server);
          sentAtMs.push(performance.now());
        }
      }
      const sinceMs = performance.now() - SECOND_MS;
      largestPerSecond = Math.max(
        largestPerSecond,
        sentAtMs.filter((atMs) => atMs > sinceMs).length,
      );
      vi.advanceTimersByTime(50);
    }
    return { largestPerSecond, sentCount: sentAtMs.length };
  }

  // Guards against daemons that together send a cold server more requests than it can sustain.
  it.each([1, 7, 30, 78])(
    "keeps the request rate of %i daemons within the limit",
    (daemons) => {
      const { largestPerSecond, sentCount } = doTest(
        daemons,
        RATE,
        createServer(60_000),
      );
      expect(largestPerSecond).toBeLessThanOrEqual(BOUND);
      expect(sentCount).toBeGreaterThan(0);
    },
  );

  // Guards against limits for servers that need none.
  it.each<[string, number, number]>([
    ["a warm server", RATE, 0],
    ["a service without a cold phase", 0, 60_000],
  ])("does not limit %s", (_name, rate, coldForMs) => {
    expect(doTest(1, rate, createServer(coldForMs)).sentCount).toBe(10_000);
  });
});
