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
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { NullLogger } from "../../shared/logger.ts";
import { Metrics } from "../metrics.ts";
import { EarlyTakeover } from "../takeover/early_takeover.ts";
import { ProcessEndReports } from "../takeover/process_end_reports.ts";
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
  writeCount = 0;
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
    this.writeCount++;
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

  describe("an early takeover", () => {
    const DAEMONS = [0, 1, 2, 3].map((i) =>
      createDaemonDescription(`entry-${i}`, { zone: `z${i}` })
    );
    let isHolderReported: boolean;
    let metrics: Metrics;

    /** Starts a daemon that knows all others. */
    function startDaemon(
      store: LeaseStore,
      index: number,
      options: { areOrdersFenced?: boolean; hasTakeover?: boolean } = {},
    ) {
      const { areOrdersFenced = true, hasTakeover = true } = options;
      const self = DAEMONS[index];
      const peers = DAEMONS.filter((daemon) => daemon !== self);
      const reports = new ProcessEndReports({
        ownName: self.name,
        ownZone: self.zone,
        findZone: (name) => DAEMONS.find((d) => d.name === name)?.zone,
        onOwnReport: () => {},
        onReport: () => holder.wake(),
      });
      const takeover = new EarlyTakeover({
        ownDaemon: self,
        daemons: { listLivePeers: () => peers, listKnownPeers: () => peers },
        reports,
        areOrdersFenced,
        returnPauseMs: 3_000,
        logger: new NullLogger(),
        metrics,
        announce: () => {},
      });
      const lifetime = new AbortController();
      controller.signal.addEventListener("abort", () => lifetime.abort());
      const holder = new PlannerLeaseHolder({
        store: store.createClient(self.name),
        kind: "leases",
        name: self.name,
        logger: new NullLogger(),
        areOrdersFenced,
        isHolderReported: () => index > 0 && isHolderReported,
        onStoreRecovered: () => {},
        takeover: hasTakeover ? takeover : undefined,
      });
      void holder.run(lifetime.signal);
      return { holder, reports, lifetime };
    }

    /** Starts a holder in term 1 and three other daemons, and lets `returnPauseMs` pass. */
    async function startFleet(options?: Parameters<typeof startDaemon>[2]) {
      metrics = new Metrics();
      isHolderReported = true;
      const store = new LeaseStore();
      const first = startDaemon(store, 0, options);
      await vi.advanceTimersByTimeAsync(500);
      const others = [1, 2, 3].map((i) => startDaemon(store, i, options));
      await vi.advanceTimersByTimeAsync(4_000);
      expect(first.holder.getTerm()).toBe(1);
      store.writeCount = 0;
      return { store, daemons: [first, ...others] };
    }

    /** Lets the other daemons report the end of a holder to each other. */
    function reportEnd(
      daemons: Awaited<ReturnType<typeof startFleet>>["daemons"],
      { holder, term }: { holder: number; term: number },
    ): void {
      const others = DAEMONS.map(({ name }) => name).filter((_, i) =>
        i !== holder
      );
      const lease = { holder: DAEMONS[holder].name, term };
      daemons.forEach(({ reports }, i) => {
        for (const reporter of others) {
          if (reporter === DAEMONS[i].name) {
            reports.recordOwn(lease);
          } else {
            reports.applyReport(reporter, "equal", [
              { ...lease, reporter, ageMs: 5 },
            ]);
          }
        }
      });
    }

    /** Gets the terms of the daemons after each step of 100 ms. */
    async function listTerms(
      daemons: Awaited<ReturnType<typeof startFleet>>["daemons"],
      durationMs: number,
    ): Promise<(number | undefined)[][]> {
      const terms = [];
      for (let i = 0; i < durationMs; i += 100) {
        isHolderReported &&= i < 2_000;
        await vi.advanceTimersByTimeAsync(100);
        terms.push(daemons.map(({ holder }) => holder.getTerm()));
      }
      return terms;
    }

    // Guards against 3.5 s and more without a planner after the kill of its process, and against a write by each candidate.
    it("gives the lease to the first candidate at once, with one write", async () => {
      const { store, daemons } = await startFleet();
      daemons[0].lifetime.abort();
      reportEnd(daemons, { holder: 0, term: 1 });
      await vi.advanceTimersByTimeAsync(100);
      expect(daemons[1].holder.getTerm()).toBe(2);
      await vi.advanceTimersByTimeAsync(800);
      expect(store.writeCount).toBe(1);
      expect(daemons[1].holder.getTermAgeMs()).toBeLessThanOrEqual(900);
      expect(metrics.getCount("early_takeovers")).toBe(1);
    });

    // Guards against an earlier or later takeover than before where there is no evidence, or where servers accept the orders of a holder that still runs.
    it.each([
      { name: "without reports", areOrdersFenced: true, hasReports: false },
      { name: "without fencing", areOrdersFenced: false, hasReports: true },
    ])("leaves the times as they are $name", async (test) => {
      const runs = [];
      for (const hasTakeover of [false, true]) {
        const { areOrdersFenced } = test;
        const { daemons } = await startFleet({ areOrdersFenced, hasTakeover });
        daemons[0].lifetime.abort();
        if (test.hasReports) {
          reportEnd(daemons, { holder: 0, term: 1 });
        }
        runs.push(await listTerms(daemons.slice(1), 8_000));
        daemons.forEach(({ lifetime }) => lifetime.abort());
      }
      expect(runs[1]).toEqual(runs[0]);
      const takeoverStep = runs[0].findIndex((terms) =>
        terms.some((term) => term !== undefined)
      );
      expect(takeoverStep).toBeGreaterThan(30);
    });

    // Guards against a fleet that waits for a candidate that has failed as well.
    it("gives the lease to the next candidate 200 ms later when the first one has ended", async () => {
      const { daemons } = await startFleet();
      daemons[0].lifetime.abort();
      daemons[1].lifetime.abort();
      reportEnd(daemons, { holder: 0, term: 1 });
      await vi.advanceTimersByTimeAsync(100);
      expect(daemons[2].holder.getTerm()).toBeUndefined();
      await vi.advanceTimersByTimeAsync(200);
      expect(daemons[2].holder.getTerm()).toBe(2);
    });

    // Guards against a takeover on the strength of reports alone while the store cannot confirm it.
    it("does not happen while the store is unavailable", async () => {
      const { store, daemons } = await startFleet();
      DAEMONS.forEach(({ name }) => store.unreachableFor.add(name));
      daemons[0].lifetime.abort();
      reportEnd(daemons, { holder: 0, term: 1 });
      const terms = await listTerms(daemons.slice(1), 6_000);
      expect(new Set(terms.flat())).toEqual(new Set([undefined]));
    });

    // Guards against two planners that go on side by side after wrong reports, and against the order of holders A, B, A within the time that duties wait.
    it("ends the term of a holder that lives, which does not take the lease back early", async () => {
      const { daemons } = await startFleet();
      reportEnd(daemons, { holder: 0, term: 1 });
      await vi.advanceTimersByTimeAsync(1_100);
      expect(daemons.map(({ holder }) => holder.getTerm()))
        .toEqual([undefined, 2, undefined, undefined]);
      daemons[1].lifetime.abort();
      reportEnd(daemons, { holder: 1, term: 2 });
      await vi.advanceTimersByTimeAsync(300);
      expect(daemons.map(({ holder }) => holder.getTerm()))
        .toEqual([undefined, 2, 3, undefined]);
    });

    // Guards against the loss of the lease of a restarted process through reports on its predecessor.
    it("does not follow from reports of an earlier term", async () => {
      const { store, daemons } = await startFleet();
      daemons[0].lifetime.abort();
      const restarted = startDaemon(store, 0);
      await vi.advanceTimersByTimeAsync(100);
      expect(restarted.holder.getTerm()).toBe(2);
      reportEnd(daemons, { holder: 0, term: 1 });
      await vi.advanceTimersByTimeAsync(1_900);
      expect(restarted.holder.getTerm()).toBe(2);
      expect(metrics.getCount("early_takeovers")).toBe(0);
    });
  });
});
