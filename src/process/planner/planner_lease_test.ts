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
    it("acquires a lease that nobody holds", async () => {
      const lease = createLease("entry-1");
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
      expect(await getHolder()).toBe("entry-1");
    });

    // Guards against two daemons that plan one zone at once.
    it("leaves a lease to its holder while that renews it", async () => {
      const first = createLease("entry-1");
      const second = createLease("entry-2");
      await first.refresh();
      for (let round = 0; round < 30; round++) {
        vi.advanceTimersByTime(1_000);
        await first.refresh();
        await second.refresh();
        expect(first.isHeld()).toBe(true);
        expect(second.isHeld()).toBe(false);
      }
    });

    // Guards against renewals that cost a write at every check.
    it("renews at a third of the duration", async () => {
      const lease = createLease("entry-1");
      await lease.refresh();
      await runRefreshes(lease, DURATION_MS);
      expect(store.writes).toBe(4);
    });

    // Guards against a take-over before the holder's own clock has ended its lease.
    it("takes a lease only after a full duration without a change", async () => {
      const first = createLease("entry-1");
      const second = createLease("entry-2");
      await first.refresh();
      vi.advanceTimersByTime(8_000);
      await second.refresh();
      vi.advanceTimersByTime(8_999);
      await second.refresh();
      expect(second.isHeld()).toBe(false);
      vi.advanceTimersByTime(1);
      await second.refresh();
      expect(second.isHeld()).toBe(true);
      expect(first.isHeld()).toBe(false);
    });

    // Guards against a daemon of another zone that takes the lease from the zone's own daemons.
    it("leaves a free lease to others for the given time", async () => {
      const lease = createLease("entry-1");
      await lease.refresh(5_000);
      vi.advanceTimersByTime(4_999);
      await lease.refresh(5_000);
      expect(lease.isHeld()).toBe(false);
      vi.advanceTimersByTime(1);
      await lease.refresh(5_000);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against a holder that does not know that it holds the lease.
    it("reads a write back whose answer was lost", async () => {
      const lease = createLease("entry-1");
      store.loseAnswerNext = 1;
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against a holder that assumes a write that never took effect.
    it("does not hold a lease whose write was lost", async () => {
      const lease = createLease("entry-1");
      store.loseWriteNext = 1;
      expect(await lease.refresh()).toBe(false);
      expect(lease.isHeld()).toBe(false);
      await lease.refresh();
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against an expiry that is counted from the answer instead of the request.
    it("counts the expiry from before the write was sent", async () => {
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

    // Guards against a paused holder that acts on a lease that another daemon took.
    it("ends the lease of a holder that was paused", async () => {
      const first = createLease("entry-1");
      const second = createLease("entry-2");
      await first.refresh();
      await second.refresh();
      vi.advanceTimersByTime(DURATION_MS);
      expect(first.isHeld()).toBe(false);
      await second.refresh();
      expect(second.isHeld()).toBe(true);
      expect(await first.refresh()).toBe(false);
      expect(first.isHeld()).toBe(false);
    });

    // Guards against orders while the store is down for longer than the lease.
    it("lapses during a store outage and returns after it", async () => {
      const lease = createLease("entry-1");
      await lease.refresh();
      store.down = true;
      await runRefreshes(lease, DURATION_MS);
      expect(lease.isHeld()).toBe(false);
      store.down = false;
      expect(await lease.refresh()).toBe(true);
      expect(lease.isHeld()).toBe(true);
    });

    // Guards against two holders at once for any order of pauses, refreshes and lost answers.
    it("never has two holders", async () => {
      const stepArbitrary = fc.record({
        lease: fc.nat(2),
        waitMs: fc.integer({ min: 0, max: 12_000 }),
        loseAnswer: fc.boolean(),
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
              store.loseAnswerNext = Number(step.loseAnswer);
              store.loseWriteNext = Number(step.loseWrite);
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
    // Guards against an order that overtakes one of the old holder at an engine that ignores fencing.
    it("waits for the old holder's orders before those to unfenced engines", async () => {
      const first = createLease("entry-1");
      const second = createLease("entry-2");
      await first.refresh();
      expect(first.isOrderAllowed(false)).toBe(true);
      await second.refresh();
      vi.advanceTimersByTime(DURATION_MS);
      await second.refresh();
      expect(second.isOrderAllowed(true)).toBe(true);
      expect(second.isOrderAllowed(false)).toBe(false);
      await runRefreshes(second, DURATION_MS + ORDER_TIMEOUT_MS - 1_000);
      expect(second.isOrderAllowed(false)).toBe(false);
      await runRefreshes(second, 1_000);
      expect(second.isOrderAllowed(false)).toBe(true);
    });
  });

  describe("release", () => {
    // Guards against a planned stop that leaves the zone without a planner until the lease lapses.
    it("lets another daemon acquire the lease at once", async () => {
      const first = createLease("entry-1");
      const second = createLease("entry-2");
      await first.refresh();
      await second.refresh();
      await first.release();
      expect(first.isHeld()).toBe(false);
      await second.refresh();
      expect(second.isHeld()).toBe(true);
      await first.refresh();
      expect(first.isHeld()).toBe(false);
    });
  });
});
