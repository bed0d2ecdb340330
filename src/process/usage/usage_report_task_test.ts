import { Left, Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  DutyCallOutcome,
  DutyFence,
  UsageReport,
} from "../../connection/duty_client.ts";
import {
  createVersion,
  getRevision,
  type PutObjectOptions,
  type StoredObject,
  StoreUnavailableError,
  type WriteOutcome,
} from "../../connection/object_store.ts";
import { NullLogger } from "../../shared/logger.ts";
import { SharedClock } from "./shared_clock.ts";
import { UsageRecordStore } from "./usage_record.ts";
import { UsageReportTask } from "./usage_report_task.ts";

const WINDOW_MS = 5_000;
const FIRST_WINDOW = 1_000;
const LEASE_MS = 3_000;

/** Store of one object that can be restored from a copy. */
class RecordStore {
  isDown = false;
  /** Outcome of the next write, which takes effect with `applied` and is lost with `dropped`. */
  nextWrite: "applied" | "dropped" | undefined;
  generation = 0;
  object: StoredObject | undefined;
  #revision = 0;

  getObject() {
    return Promise.resolve(
      this.isDown
        ? Left(new StoreUnavailableError("The store is down"))
        : Right(this.#getCurrent()),
    );
  }

  putObject(
    { kind, name, value, expectedVersion }: PutObjectOptions,
  ): Promise<WriteOutcome> {
    const { nextWrite, generation } = this;
    this.nextWrite = undefined;
    const lost = { outcome: "unknown", message: "No response" } as const;
    if (this.isDown || nextWrite === "dropped") {
      return Promise.resolve(lost);
    }
    if (expectedVersion !== (this.#getCurrent()?.version ?? 0)) {
      return Promise.resolve({ outcome: "conflict" });
    }
    const revision = ++this.#revision;
    const version = createVersion({ generation, revision });
    this.object = { kind, name, value, version };
    return Promise.resolve(
      nextWrite === "applied" ? lost : { outcome: "written", version },
    );
  }

  #getCurrent(): StoredObject | undefined {
    const { object, generation } = this;
    return object === undefined ? undefined : {
      ...object,
      version: createVersion({
        generation,
        revision: getRevision(object.version),
      }),
    };
  }
}

describe("UsageReportTask", () => {
  const controllers: AbortController[] = [];
  let store: RecordStore;
  let outcomes: DutyCallOutcome[];
  let calls: { window: number; counts: unknown; token: number }[];

  beforeEach(() => {
    vi.useFakeTimers();
    vi.setSystemTime(FIRST_WINDOW * WINDOW_MS);
    store = new RecordStore();
    outcomes = [];
    calls = [];
  });
  afterEach(() => {
    controllers.splice(0).forEach((controller) => controller.abort());
    vi.useRealTimers();
  });

  /** Starts the task of a daemon that knows `requests` of account a in each window. */
  function start(options: { name: string; token: number; requests: number }) {
    const controller = new AbortController();
    controllers.push(controller);
    const state = {
      fence: { holder: options.name, token: options.token } as
        | DutyFence
        | undefined,
      requests: options.requests,
      acquiredAtMs: performance.now(),
      renewalAgeMs: 500,
    };
    const clock = new SharedClock();
    const getCounts = () => ({
      counts: new Map([["a", state.requests]]),
      daemonCount: 1,
      expectedCount: 1,
      isComplete: true,
    });
    const task = new UsageReportTask({
      records: new UsageRecordStore(store),
      client: {
        reportUsage: ({ window, counts }: UsageReport, { token }) => {
          calls.push({ window, counts, token });
          return Promise.resolve(outcomes.shift() ?? "done");
        },
      },
      lease: {
        getFence: () => state.fence,
        recordFenced: () => state.fence = undefined,
      },
      leaseTimes: {
        getTermAgeMs: () => performance.now() - state.acquiredAtMs,
        getRenewalAgeMs: () => state.renewalAgeMs,
      },
      leaseMs: LEASE_MS,
      clock,
      logger: new NullLogger(),
      windowMs: WINDOW_MS,
      dueMs: 10_000,
      counts: {
        listWindows: () =>
          [FIRST_WINDOW, FIRST_WINDOW + 1].filter((window) =>
            window * WINDOW_MS <= clock.getNowMs()
          ),
        getCounts,
      },
      getStoreGeneration: () => store.generation,
    });
    void task.run(controller.signal);
    return { state, task };
  }

  function listCalls() {
    return calls.map(({ window, counts, token }) => [
      window - FIRST_WINDOW,
      (counts as { a: number }).a,
      token,
    ]);
  }

  it("records and reports each window once", async () => {
    const { task } = start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(3 * WINDOW_MS + 1_000);
    expect(listCalls()).toEqual([[0, 7, 1], [1, 7, 1], [2, 7, 1]]);
    expect(task.getReportAgeMs()).toBeCloseTo(1_000, -1);
  });

  // Guards against counts that differ between two calls for one window, since a call without a response may still be executed.
  it("repeats a report without a response exactly, before the next window", async () => {
    outcomes = ["unknown", "limited", "unknown"];
    const { state } = start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 700);
    state.requests = 9;
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 300);
    expect(listCalls()).toEqual([
      [0, 7, 1],
      [0, 7, 1],
      [0, 7, 1],
      [0, 7, 1],
      [1, 9, 1],
    ]);
  });

  // Guards against a second report with other counts from a new holder, and against a call of the previous one after it.
  for (const hasSent of [true, false]) {
    it(`lets a new holder repeat the window first that its predecessor ${hasSent ? "has sent" : "has recorded only"}`, async () => {
      const { state } = start({ name: "a", token: 1, requests: 7 });
      if (!hasSent) {
        outcomes = ["unknown"];
      }
      await vi.advanceTimersByTimeAsync(WINDOW_MS + 600);
      state.fence = undefined;
      start({ name: "b", token: 2, requests: 9 });
      await vi.advanceTimersByTimeAsync(WINDOW_MS);
      expect(listCalls()).toEqual([[0, 7, 1], [0, 7, 2], [1, 9, 2]]);
    });
  }

  // Guards against a window that two daemons record, both of which assume that they hold the lease.
  it("sends what another holder has recorded instead of its own counts", async () => {
    start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 1_000);
    start({ name: "b", token: 2, requests: 9 });
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    const counts = new Map<number, Set<unknown>>();
    for (const [window, requests] of listCalls()) {
      counts.set(window, (counts.get(window) ?? new Set()).add(requests));
    }
    expect([...counts.values()].map(({ size }) => size)).toEqual([1, 1, 1]);
  });

  it("makes no further call after a refused token", async () => {
    outcomes = ["fenced"];
    start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(4 * WINDOW_MS);
    expect(listCalls()).toEqual([[0, 7, 1]]);
  });

  it("stops when the record has a later token", async () => {
    start({ name: "b", token: 2, requests: 9 });
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 1_000);
    const { state } = start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    expect(state.fence).toBeUndefined();
    expect(calls.every(({ token }) => token === 2)).toBe(true);
  });

  // Guards against windows that are sent without a record, and against their loss with a short outage.
  it("sends pending windows in order after an outage of the store", async () => {
    start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 1_000);
    store.isDown = true;
    await vi.advanceTimersByTimeAsync(3 * WINDOW_MS);
    expect(listCalls()).toEqual([[0, 7, 1]]);
    store.isDown = false;
    await vi.advanceTimersByTimeAsync(3_000);
    expect(listCalls().map(([window]) => window)).toEqual([0, 1, 2, 3]);
  });

  it("sends pending windows in order and at a bounded rate after an outage of the API", async () => {
    outcomes = Array(8).fill("unknown");
    start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(4 * WINDOW_MS + 1_000);
    const windows = listCalls().map(([window]) => window);
    expect(windows).toEqual([0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3]);
  });

  // Guards against a record that is taken as missing or as foreign because the response to its write was lost.
  it.each(["applied", "dropped"] as const)(
    "goes on after a write without a response that was %s",
    async (nextWrite) => {
      store.nextWrite = nextWrite;
      start({ name: "a", token: 1, requests: 7 });
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS + 1_000);
      expect(listCalls()).toEqual([[0, 7, 1], [1, 7, 1]]);
    },
  );

  // Guards against other counts for windows whose records the store has lost.
  it.each([true, false])(
    "leaves out the windows that may have been sent before a restore of the store (copy with a record: %s)",
    async (hasRecord) => {
      const { state } = start({ name: "a", token: 1, requests: 7 });
      await vi.advanceTimersByTimeAsync(WINDOW_MS + 1_000);
      const copy = hasRecord ? store.object : undefined;
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      state.fence = undefined;
      store.object = copy;
      store.generation++;
      calls.length = 0;
      const { task } = start({ name: "b", token: 100_000, requests: 9 });
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      expect(listCalls()).toEqual([
        ...(hasRecord ? [[0, 7, 100_000]] : []),
        [4, 9, 100_000],
      ]);
      expect(task.skippedCount).toBeGreaterThanOrEqual(3);
    },
  );

  // Guards against windows that are left out although the holder has stayed the same, and against other counts when another one may have reported meanwhile.
  it.each([
    { renewalAgeMs: 500, windows: [2, 3, 4] },
    { renewalAgeMs: 4_000, windows: [0, 4] },
  ])(
    "continues after a restore of the store when the lease was renewed $renewalAgeMs ms before",
    async ({ renewalAgeMs, windows }) => {
      const { state } = start({ name: "a", token: 1, requests: 7 });
      await vi.advanceTimersByTimeAsync(WINDOW_MS + 1_000);
      const copy = store.object;
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      state.renewalAgeMs = renewalAgeMs;
      await vi.advanceTimersByTimeAsync(200);
      calls.length = 0;
      state.fence = undefined;
      store.object = copy;
      store.generation++;
      state.acquiredAtMs = performance.now();
      await vi.advanceTimersByTimeAsync(LEASE_MS);
      state.fence = { holder: "a", token: 100_000 };
      state.requests = 9;
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      expect(listCalls().map(([window]) => window)).toEqual(windows);
      expect(listCalls()[0][1]).toBe(7);
    },
  );

  // Guards against a daemon that stops reporting because of an object that someone else wrote.
  it("replaces a record that cannot be decoded", async () => {
    store.object = { kind: "k", name: "n", version: 3, value: { window: "x" } };
    start({ name: "a", token: 1, requests: 7 });
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS + 1_000);
    expect(listCalls()).toEqual([[1, 7, 1]]);
  });
});
