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
function createStore() {
  let object: StoredObject | undefined;
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
  const controller = new AbortController();

  beforeEach(() => {
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
});
