import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryStore } from "../../../tests/support/memory_store.ts";
import { type LeaseValue, PlannerLease } from "./planner_lease.ts";

const DURATION_MS = 9_000;
const ORDER_TIMEOUT_MS = 2_000;

describe("PlannerLease", () => {
  let store: MemoryStore;

  beforeEach(() => {
    vi.useFakeTimers();
    store = new MemoryStore();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createLease(holder: string): PlannerLease {
    return new PlannerLease({
      store,
      zone: "zone-a",
      holder,
      durationMs: DURATION_MS,
    });
  }

  async function getHolder(): Promise<string | undefined> {
    const object = (await store.getObject("lease", "planner-zone-a"))
      .unsafeCoerce();
    return (object?.value as LeaseValue | undefined)?.holder;
  }

  async function runRefreshes(lease: PlannerLease, timeMs: number) {
    for (let atMs = 0; atMs < timeMs; atMs += 1_000) {
      vi.advanceTimersByTime(1_000);
      await lease.refresh();
    }
  }

  describe("refresh", () => {
    // Guards against a zone that stays without a planner.
    it("acquires a lease without a holder", async () => {
      const lease = createLease("entry-1");
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
      expect(await getHolder()).toBe("entry-1");
    });

    // Guards against two daemons that plan one zone at the same time.
    it("does not acquire a lease while its holder renews it", async () => {
      const firstLease = createLease("entry-1");
      const secondLease = createLease("entry-2");
      await firstLease.refresh();
      for (let round = 0; round < 30; round++) {
        vi.advanceTimersByTime(1_000);
        await firstLease.refresh();
        await secondLease.refresh();
        expect(firstLease.isHeld()).toBe(true);
        expect(secondLease.isHeld()).toBe(false);
      }
    });

    // Guards against a store write at every check of the lease.
    it("renews the lease after a third of its duration", async () => {
      const lease = createLease("entry-1");
      await lease.refresh();
      await runRefreshes(lease, DURATION_MS);
      expect(store.writes).toBe(4);
    });

    // Guards against a second holder before the lease has expired by the first holder's clock.
    it("acquires a held lease only after it was unchanged for its full duration", async () => {
      const firstLease = createLease("entry-1");
      const secondLease = createLease("entry-2");
      await firstLease.refresh();
      vi.advanceTimersByTime(8_000);
      await secondLease.refresh();
      vi.advanceTimersByTime(8_999);
      await secondLease.refresh();
      expect(secondLease.isHeld()).toBe(false);
      vi.advanceTimersByTime(1);
      await secondLease.refresh();
      expect(secondLease.isHeld()).toBe(true);
      expect(firstLease.isHeld()).toBe(false);
    });

    // Guards against a daemon of another zone that acquires the lease before the daemons of the zone can.
    it("acquires a free lease only after the given delay", async () => {
      const lease = createLease("entry-1");
      await lease.refresh(5_000);
      vi.advanceTimersByTime(4_999);
      await lease.refresh(5_000);
      expect(lease.isHeld()).toBe(false);
      vi.advanceTimersByTime(1);
      await lease.refresh(5_000);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against a daemon that holds the lease in the store but does not act as its holder.
    it("holds the lease when only the response to its write is lost", async () => {
      const lease = createLease("entry-1");
      store.responsesToLose = 1;
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against a daemon that acts as the holder although its write never took effect.
    it("does not hold the lease when its write is lost", async () => {
      const lease = createLease("entry-1");
      store.writesToLose = 1;
      expect(await lease.refresh()).toBe(false);
      expect(lease.isHeld()).toBe(false);
      await lease.refresh();
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against a lease duration that is counted from the response, which lets the holder's lease overlap with the next one.
    it("counts the duration from before the write is sent", async () => {
      const lease = createLease("entry-1");
      store.onWritten = () => {
        vi.advanceTimersByTime(1_500);
      };
      await lease.refresh();
      vi.advanceTimersByTime(DURATION_MS - 1_501);
      expect(lease.isHeld()).toBe(true);
      vi.advanceTimersByTime(1);
      expect(lease.isHeld()).toBe(false);
    });

    // Guards against a process that was paused and acts as the holder after another daemon acquired the lease.
    it("lets the lease of a paused holder expire", async () => {
      const firstLease = createLease("entry-1");
      const secondLease = createLease("entry-2");
      await firstLease.refresh();
      await secondLease.refresh();
      vi.advanceTimersByTime(DURATION_MS);
      expect(firstLease.isHeld()).toBe(false);
      await secondLease.refresh();
      expect(secondLease.isHeld()).toBe(true);
      expect(await firstLease.refresh()).toBe(false);
      expect(firstLease.isHeld()).toBe(false);
    });

    // Guards against orders without a valid lease while the store is down for longer than the lease lasts.
    it("lets the lease expire during a store outage and acquires it again afterwards", async () => {
      const lease = createLease("entry-1");
      await lease.refresh();
      store.down = true;
      await runRefreshes(lease, DURATION_MS);
      expect(lease.isHeld()).toBe(false);
      store.down = false;
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against two holders at the same time in any sequence of pauses, refreshes, outages and lost or slow responses.
    it("never has two holders", async () => {
      const stepArbitrary = fc.record({
        lease: fc.nat(2),
        waitMs: fc.integer({ min: 0, max: 12_000 }),
        loseResponse: fc.boolean(),
        loseWrite: fc.boolean(),
        down: fc.boolean(),
        slowMs: fc.integer({ min: 0, max: 3_000 }),
      });
      await fc.assert(
        fc.asyncProperty(
          fc.array(stepArbitrary, { maxLength: 40 }),
          async (steps) => {
            store = new MemoryStore();
            const leases = ["a", "b", "c"].map(createLease);
            for (const step of steps) {
              vi.advanceTimersByTime(step.waitMs);
              store.responsesToLose = Number(step.loseResponse);
              store.writesToLose = Number(step.loseWrite);
              store.down = step.down;
              store.onWritten = () => {
                vi.advanceTimersByTime(step.slowMs);
              };
              await leases[step.lease].refresh();
              expect(leases.filter((l) => l.isHeld()).length)
                .toBeLessThanOrEqual(1);
            }
          },
        ),
        { numRuns: 300 },
      );
    });
  });

  describe("isOrderAllowed", () => {
    // Guards against an order of the previous holder that arrives after one of the new holder at an engine that ignores fencing.
    it("allows orders to unfenced engines only after those of the previous holder have ended", async () => {
      const firstLease = createLease("entry-1");
      const secondLease = createLease("entry-2");
      await firstLease.refresh();
      expect(firstLease.isOrderAllowed(false)).toBe(true);
      await secondLease.refresh();
      vi.advanceTimersByTime(DURATION_MS);
      await secondLease.refresh();
      expect(secondLease.isOrderAllowed(true)).toBe(true);
      expect(secondLease.isOrderAllowed(false)).toBe(false);
      await runRefreshes(secondLease, DURATION_MS + ORDER_TIMEOUT_MS - 1_000);
      expect(secondLease.isOrderAllowed(false)).toBe(false);
      await runRefreshes(secondLease, 1_000);
      expect(secondLease.isOrderAllowed(false)).toBe(true);
    });
  });

  describe("release", () => {
    // Guards against a planned stop that leaves the zone without a planner until the lease expires.
    it("lets another daemon acquire the lease at once", async () => {
      const firstLease = createLease("entry-1");
      const secondLease = createLease("entry-2");
      await firstLease.refresh();
      await secondLease.refresh();
      await firstLease.release();
      expect(firstLease.isHeld()).toBe(false);
      await secondLease.refresh();
      expect(secondLease.isHeld()).toBe(true);
      await firstLease.refresh();
      expect(firstLease.isHeld()).toBe(false);
    });
  });
});
