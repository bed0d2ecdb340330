import { Left, Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createVersion,
  getRevision,
  type PutObjectOptions,
  type SnapshotStore,
  type StoredObject,
  StoreUnavailableError,
} from "../../connection/object_store.ts";
import { NullLogger } from "../../shared/logger.ts";
import { PlannerLeaseHolder } from "./planner_lease_holder.ts";

/** Interval at which another daemon checks the lease, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Term in a stored lease. */
interface StoredTerm {
  readonly term: number;
}

/** Store of one object that checks the expected version of a write, and that can be restored from a copy. */
class LeaseStore {
  /** Names of the daemons whose calls fail. */
  readonly unreachableFor = new Set<string>();
  /** Called once instead of the next write, which gets no response and takes no effect. */
  beforeLostWrite: (() => void) | undefined;
  /** Called before each write takes effect. */
  beforeWrite: (() => void) | undefined;
  generation = 0;
  #revision = 0;
  object: StoredObject | undefined;

  /** Creates the store's client of a daemon. */
  createClient(daemon: string): SnapshotStore {
    return {
      getObject: () =>
        Promise.resolve(
          this.unreachableFor.has(daemon)
            ? Left(new StoreUnavailableError("The store is cut off"))
            : Right(this.object && this.#getCurrent(this.object)),
        ),
      putObject: (put: PutObjectOptions) =>
        Promise.resolve(
          this.unreachableFor.has(daemon)
            ? { outcome: "unknown", message: "The store is cut off" }
            : this.#put(put),
        ),
    } as unknown as SnapshotStore;
  }

  get term(): number {
    return (this.object?.value as StoredTerm | undefined)?.term ?? 0;
  }

  /** Replaces the object by an earlier one. */
  applyCopy(object: StoredObject | undefined): void {
    this.generation++;
    this.object = object;
  }

  /** Gets an object with the version that the store states in its current generation. */
  #getCurrent(object: StoredObject): StoredObject {
    const { generation } = this;
    const revision = getRevision(object.version);
    return { ...object, version: createVersion({ generation, revision }) };
  }

  #put({ kind, name, value, expectedVersion }: PutObjectOptions) {
    this.beforeWrite?.();
    const { beforeLostWrite } = this;
    if (beforeLostWrite !== undefined) {
      this.beforeLostWrite = undefined;
      beforeLostWrite();
      return { outcome: "unknown", message: "The response was lost" };
    }
    const current = this.object && this.#getCurrent(this.object);
    if (expectedVersion !== (current?.version ?? 0)) {
      return { outcome: "conflict" };
    }
    const { generation } = this;
    const revision = ++this.#revision;
    const version = createVersion({ generation, revision });
    this.object = { kind, name, value, version };
    return { outcome: "written", version };
  }
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

  function startHolder(
    store: LeaseStore,
    name: string,
    options: { areOrdersFenced: boolean } = { areOrdersFenced: true },
  ) {
    const holder = new PlannerLeaseHolder({
      store: store.createClient(name),
      kind: "leases",
      name,
      logger: new NullLogger(),
      ...options,
      isHolderReported: () => false,
      onStoreRecovered: () => {},
    });
    void holder.run(controller.signal);
    return holder;
  }

  describe("release", () => {
    // Guards against several seconds without a planner after each planned stop, when the lease is left to expire.
    it("lets another daemon take over within one check interval, in a later term", async () => {
      const store = new LeaseStore();
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

  describe("drop", () => {
    // Guards against the return of a term that a server or the platform has refused: a renewal that was under way when the lease was dropped is acknowledged.
    it("ends the term although a renewal is acknowledged after it", async () => {
      const store = new LeaseStore();
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(500);
      expect(holder.getTerm()).toBe(1);
      expect(holder.getTermAgeMs()).toBe(500);
      store.beforeWrite = () => {
        store.beforeWrite = undefined;
        holder.drop("test");
      };
      const terms = new Set<number | undefined>();
      for (let i = 0; i < 30; i++) {
        await vi.advanceTimersByTimeAsync(100);
        terms.add(store.beforeWrite === undefined ? holder.getTerm() : 1);
      }
      expect([...terms]).toEqual([1, undefined, 2]);
    });
  });

  // The term is the fencing number of all orders; one that is not a number, or too large to be increased, stops or confuses the planners.
  describe("getTerm", () => {
    /** Creates a store with a lease that another writer has left. */
    function createStore(value: unknown): LeaseStore {
      const store = new LeaseStore();
      store.object = { kind: "leases", name: "planner", version: 3, value };
      return store;
    }

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
        const holder = startHolder(createStore(value), "entry-1");
        await vi.advanceTimersByTimeAsync(3_000);
        expect(holder.getTerm()).toBeUndefined();
        await vi.advanceTimersByTimeAsync(3_000);
        expect(holder.getTerm()).toBe(1);
      },
    );

    it("rises beyond the term of a lease without a valid holder", async () => {
      const store = createStore({ holder: 7, term: 5, renewal: 0 });
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(6_000);
      expect(holder.getTerm()).toBe(6);
    });

    it("rises beyond the last known term after a lease that cannot be decoded", async () => {
      const store = createStore({ holder: "entry-9", term: 41, renewal: 0 });
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(1_000);
      await store.createClient("entry-9").putObject({
        kind: "leases",
        name: "planner",
        value: "odd",
        expectedVersion: 3,
      });
      await vi.advanceTimersByTimeAsync(6_000);
      expect(holder.getTerm()).toBe(42);
    });
  });

  describe("a restore of the store", () => {
    /** Starts a holder, and another one that takes over after the first one is cut off from the store. Returns the lease of before the takeover. */
    async function startTakeover(
      store: LeaseStore,
      options?: { areOrdersFenced: boolean },
    ) {
      const firstHolder = startHolder(store, "entry-1", options);
      await vi.advanceTimersByTimeAsync(1_500);
      const copy = store.object;
      store.unreachableFor.add("entry-1");
      const secondHolder = startHolder(store, "entry-2", options);
      await vi.advanceTimersByTimeAsync(5_500);
      expect(secondHolder.getTerm()).toBeDefined();
      return { firstHolder, secondHolder, copy };
    }

    // Guards against two planners with the same fencing token and the same group generations, since the store has lost the last term.
    it("does not give out a lost term again", async () => {
      const store = new LeaseStore();
      const { firstHolder, secondHolder, copy } = await startTakeover(store);
      const lostTerm = secondHolder.getTerm()!;
      store.unreachableFor.add("entry-2");
      store.applyCopy(copy);
      store.unreachableFor.delete("entry-1");
      await vi.advanceTimersByTimeAsync(6_000);
      expect(firstHolder.getTerm()).toBeGreaterThan(lostTerm);
    });

    // Guards against two planners at a time where servers don't refuse orders of an earlier term: the restored lease shows an earlier holder, or none.
    for (const state of ["held by the daemon", "released"]) {
      it(`waits until a lost lease has expired when the restored lease is ${state}`, async () => {
        const store = new LeaseStore();
        const { firstHolder, secondHolder, copy } = await startTakeover(store, {
          areOrdersFenced: false,
        });
        const holder = state === "released" ? "" : "entry-1";
        store.unreachableFor.add("entry-2");
        store.applyCopy({
          ...copy!,
          value: { ...copy!.value as StoredTerm, holder },
        });
        store.unreachableFor.delete("entry-1");
        let overlapMs = 0;
        for (let i = 0; i < 100; i++) {
          await vi.advanceTimersByTimeAsync(100);
          const areBothHolders = firstHolder.getTerm() !== undefined &&
            secondHolder.getTerm() !== undefined;
          overlapMs += areBothHolders ? 100 : 0;
        }
        expect(firstHolder.getTerm()).toBeDefined();
        expect(overlapMs).toBe(0);
      });
    }

    // Guards against seconds without a planner where servers refuse orders of an earlier term: the holder was cut off from the store during the restore.
    it("lets a holder that was cut off acquire its lease again at once", async () => {
      const store = new LeaseStore();
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(1_500);
      const term = holder.getTerm()!;
      store.unreachableFor.add("entry-1");
      const copy = store.object;
      await vi.advanceTimersByTimeAsync(5_000);
      store.applyCopy(copy);
      store.unreachableFor.delete("entry-1");
      await vi.advanceTimersByTimeAsync(2 * CHECK_INTERVAL_MS);
      expect(holder.getTerm()).toBeGreaterThan(term + 1_000);
    });

    // Guards against two planners at a time where servers don't refuse orders of an earlier term: a daemon that has just started finds no lease.
    it("keeps a daemon that starts after it from planning beside the holder of a lost lease", async () => {
      const store = new LeaseStore();
      const options = { areOrdersFenced: false };
      const firstHolder = startHolder(store, "entry-1", options);
      await vi.advanceTimersByTimeAsync(1_500);
      store.applyCopy(undefined);
      const secondHolder = startHolder(store, "entry-2", options);
      await vi.advanceTimersByTimeAsync(100);
      expect(firstHolder.getTerm()).toBeDefined();
      expect(secondHolder.getTerm()).toBeUndefined();
    });

    // Guards against seconds without a planner after an outage: the last renewal gets no response, and the read after it is the first call that the restored store answers.
    it("lets the holder go on when a renewal without a response came before it", async () => {
      const store = new LeaseStore();
      const holder = startHolder(store, "entry-1", { areOrdersFenced: false });
      await vi.advanceTimersByTimeAsync(1_500);
      const term = holder.getTerm()!;
      store.beforeLostWrite = () => store.applyCopy(store.object);
      await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
      expect(store.generation).toBe(1);
      await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
      expect(holder.getTerm()).toBeGreaterThan(term + 1_000);
    });

    const copies = [
      { name: "an earlier renewal", hasLease: true },
      { name: "no lease", hasLease: false },
    ];
    for (const { name, hasLease } of copies) {
      // Guards against a second without a planner after each restore although the holder has stayed the same.
      it(`lets the holder go on in a later term when the copy has ${name}`, async () => {
        const store = new LeaseStore();
        const holder = startHolder(store, "entry-1");
        await vi.advanceTimersByTimeAsync(1_500);
        const copy = hasLease ? store.object : undefined;
        await vi.advanceTimersByTimeAsync(3_000);
        const term = holder.getTerm()!;
        store.applyCopy(copy);
        await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
        expect(holder.getTerm()).toBeGreaterThan(term);
        expect(store.term).toBe(holder.getTerm());
      });
    }

    // Guards against a first term that a lease of an earlier generation may have had, when the generation is not known before the first write.
    it("uses a term of the store's generation for the first lease", async () => {
      const store = new LeaseStore();
      store.generation = 3;
      const holder = startHolder(store, "entry-1");
      await vi.advanceTimersByTimeAsync(0);
      const term = holder.getTerm()!;
      store.applyCopy(undefined);
      await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
      expect(holder.getTerm()).toBeGreaterThan(term + 1_000);
    });
  });
});
