import { Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  PutObjectOptions,
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { NullLogger } from "../../shared/logger.ts";
import { PlannerLeaseHolder } from "./planner_lease_holder.ts";

/** Interval at which another daemon checks the lease, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Creates a store of one object that checks the expected version of a write. */
function createStore(initialObject?: StoredObject) {
  let object = initialObject;
  return {
    getObject: () => Promise.resolve(Right(object)),
    putObject: (put: PutObjectOptions) => {
      const version = object?.version ?? 0;
      if (put.expectedVersion !== version) {
        return Promise.resolve({ outcome: "conflict" });
      }
      object = {
        kind: put.kind,
        name: put.name,
        value: put.value,
        version: version + 1,
      };
      return Promise.resolve({ outcome: "written", version: version + 1 });
    },
  } as unknown as SnapshotStore;
}

describe("PlannerLeaseHolder", () => {
  let controller: AbortController;

  beforeEach(() => {
    controller = new AbortController();
    vi.useFakeTimers();
  });
  afterEach(() => {
    controller.abort();
    vi.useRealTimers();
  });

  function startHolder(store: SnapshotStore, name: string) {
    const holder = new PlannerLeaseHolder({
      store,
      kind: "leases",
      name,
      logger: new NullLogger(),
      areOrdersFenced: true,
      isHolderReported: () => false,
      onStoreRecovered: () => {},
    });
    void holder.run(controller.signal);
    return holder;
  }

  describe("release", () => {
    // Guards against several seconds without a planner after each planned stop, when the lease is left to expire.
    it("lets another daemon take over within one check interval, in a later term", async () => {
      const store = createStore();
      const firstHolder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(0);
      expect(firstHolder.getTerm()).toBe(1);
      const secondHolder = startHolder(store, "entry-2");
      await vi.advanceTimersByTimeAsync(500);
      expect(secondHolder.getTerm()).toBeUndefined();
      await firstHolder.release();
      expect(firstHolder.getTerm()).toBeUndefined();
      await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
      expect(secondHolder.getTerm()).toBe(2);
      await vi.advanceTimersByTimeAsync(10 * CHECK_INTERVAL_MS);
      expect(firstHolder.getTerm()).toBeUndefined();
    });
  });

  // The term is the fencing number of all orders; one that is not a number, or too large to be increased, stops or confuses the planners.
  describe("getTerm", () => {
    it.each([
      null,
      "text",
      { holder: "entry-9" },
      { holder: "entry-9", term: "5", renewal: 0 },
      { holder: "entry-9", term: -1, renewal: 0 },
      { holder: "entry-9", term: 1.5, renewal: 0 },
      { holder: "entry-9", term: 2 ** 53, renewal: 0 },
      { holder: "entry-9", term: 1e308, renewal: 0 },
    ])(
      "is a whole number after the takeover of the lease %j",
      async (value) => {
        const store = createStore({
          kind: "leases",
          name: "planner",
          version: 3,
          value,
        });
        const holder = startHolder(store, "entry-1");
        await vi.advanceTimersByTimeAsync(3_000);
        expect(holder.getTerm()).toBeUndefined();
        await vi.advanceTimersByTimeAsync(3_000);
        expect(holder.getTerm()).toBe(1);
      },
    );

    it("rises beyond the term of a lease without a valid holder", async () => {
      const store = createStore({
        kind: "leases",
        name: "planner",
        version: 3,
        value: { holder: 7, term: 5, renewal: 0 },
      });
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(6_000);
      expect(holder.getTerm()).toBe(6);
    });

    it("rises beyond the last known term after a lease that cannot be decoded", async () => {
      const known = { holder: "entry-9", term: 41, renewal: 0 };
      const store = createStore({
        kind: "leases",
        name: "planner",
        version: 3,
        value: known,
      });
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(1_000);
      await store.putObject({
        kind: "leases",
        name: "planner",
        value: "odd",
        expectedVersion: 3,
      });
      await vi.advanceTimersByTimeAsync(6_000);
      expect(holder.getTerm()).toBe(42);
    });
  });
});
