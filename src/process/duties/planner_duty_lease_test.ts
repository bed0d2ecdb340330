import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { DutyClient } from "../../connection/duty_client.ts";
import { LimitedDutyClient } from "./limited_duty_client.ts";
import { PlannerDutyLease } from "./planner_duty_lease.ts";

const LEASE_MS = 3_000;

describe("duty calls", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createLease() {
    let term: number | undefined;
    let acquiredAtMs = 0;
    const drop = vi.fn();
    const lease = new PlannerDutyLease({
      holder: "entry-1",
      leaseMs: LEASE_MS,
      lease: {
        getTerm: () => term,
        getTermAgeMs: () => performance.now() - acquiredAtMs,
        drop,
      },
    });
    const setTerm = (newTerm: number | undefined) => {
      term = newTerm;
      acquiredAtMs = performance.now();
    };
    return { lease, drop, setTerm };
  }

  // Guards against the order A, B, A of holders within the lease time, which a daemon that acquires its own lease again could cause as well.
  it("waits after each acquisition of the lease", () => {
    const { lease, setTerm } = createLease();
    expect(lease.getFence()).toBeUndefined();
    for (const token of [4, 7]) {
      setTerm(token);
      vi.advanceTimersByTime(LEASE_MS - 1);
      expect(lease.getFence()).toBeUndefined();
      vi.advanceTimersByTime(1);
      expect(lease.getFence()).toEqual({ holder: "entry-1", token });
    }
    setTerm(undefined);
    expect(lease.getFence()).toBeUndefined();
  });

  // Guards against further calls with a token that a later holder has replaced, for example while a late renewal has kept the lease.
  it("never uses a refused token again", () => {
    const { lease, drop, setTerm } = createLease();
    setTerm(4);
    vi.advanceTimersByTime(LEASE_MS);
    lease.recordFenced(lease.getFence()!);
    expect(drop).toHaveBeenCalledTimes(1);
    expect(lease.getFence()).toBeUndefined();
    setTerm(9);
    vi.advanceTimersByTime(LEASE_MS);
    lease.recordFenced({ holder: "entry-1", token: 4 });
    expect(drop).toHaveBeenCalledTimes(1);
    expect(lease.getFence()?.token).toBe(9);
  });

  // Guards against more calls than the platform permits to all daemons while two of them assume that they hold the lease.
  it("sends at most half of the permitted calls per second", async () => {
    const reportUsage = vi.fn(() => Promise.resolve("done" as const));
    const client = new LimitedDutyClient({
      client: { reportUsage } as unknown as DutyClient,
      callsPerSecond: 50,
    });
    const report = { window: 1, counts: {} };
    const fence = { holder: "entry-1", token: 1 };
    for (let call = 0; call < 100; call++) {
      await client.reportUsage(report, fence);
    }
    expect(reportUsage).toHaveBeenCalledTimes(25);
    expect(await client.reportUsage(report, fence)).toBe("limited");
    vi.advanceTimersByTime(1_000);
    expect(await client.reportUsage(report, fence)).toBe("done");
  });
});
