import { Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  SnapshotStore,
  StoredObject,
  WatchEvent,
} from "../../connection/object_store.ts";
import type { LogFields } from "../../shared/logger.ts";
import { ObjectWatcher } from "./object_watcher.ts";

const BATCH_DELAY_MS = 10;

describe("ObjectWatcher", () => {
  let controller: AbortController;
  let lines: { event: string; fields: LogFields }[];
  let values: Map<string, number>;

  beforeEach(() => {
    controller = new AbortController();
    lines = [];
    values = new Map();
    vi.useFakeTimers();
  });
  afterEach(() => {
    controller.abort();
    vi.useRealTimers();
  });

  function createObject(name: string, value: unknown, version: number) {
    return { kind: "servers", name, version, value };
  }

  function createEvent(object: StoredObject): WatchEvent {
    return { name: object.name, revision: object.version, object };
  }

  /** Runs a watcher whose store lists the objects and then reports one event with each watch call. */
  async function runWatcher(options: {
    objects: readonly StoredObject[];
    events: readonly WatchEvent[];
    undecodedCount?: number;
    keepsLastValid?: boolean;
  }): Promise<void> {
    const { objects, undecodedCount } = options;
    const events = [...options.events];
    const store = {
      listSnapshot: () =>
        Promise.resolve(Right({ revision: 5, objects, undecodedCount })),
      watch: () => {
        const next = events.shift();
        return next === undefined
          ? new Promise(() => {})
          : Promise.resolve(Right({
            revision: next.revision,
            events: [next],
            reset: false,
          }));
      },
    } as unknown as SnapshotStore;
    const watcher = createWatcher(store, options.keepsLastValid);
    void watcher.run(controller.signal);
    await vi.advanceTimersByTimeAsync(BATCH_DELAY_MS * (events.length + 2));
  }

  function createWatcher(
    store: SnapshotStore,
    keepsLastValid = false,
  ): ObjectWatcher<number> {
    return new ObjectWatcher<number>({
      store,
      kind: "servers",
      logger: {
        write: (_, event, fields = {}) => lines.push({ event, fields }),
      },
      getBatchDelayMs: () => BATCH_DELAY_MS,
      getRetryDelayMs: () => BATCH_DELAY_MS,
      getWatchLimits: () => ({ timeoutMs: 1_000 }),
      keepsLastValid,
      decode: ({ value }) => {
        if (typeof value !== "number") {
          throw new Error(`The value "${value}" must be a number`);
        }
        return value;
      },
      onChange: ({ changed, removed }) => {
        changed.forEach((value, name) => values.set(name, value));
        removed.forEach((name) => values.delete(name));
      },
    });
  }

  describe("a lost history", () => {
    // Guards against a list that is older than the notice time: a daemon that has not read the store for long needs two calls, and waited before the second one as after a change.
    it("is followed by a list without a delay", async () => {
      const calls: { kind: "list" | "watch"; atMs: number }[] = [];
      const store = {
        listSnapshot: () => {
          calls.push({ kind: "list", atMs: performance.now() });
          return Promise.resolve(Right({ revision: 5, objects: [] }));
        },
        watch: ({ sinceRevision }: { sinceRevision: number }) => {
          calls.push({ kind: "watch", atMs: performance.now() });
          return Promise.resolve(
            Right({ revision: sinceRevision, events: [], reset: true }),
          );
        },
      } as unknown as SnapshotStore;
      void createWatcher(store).run(controller.signal);
      await vi.advanceTimersByTimeAsync(BATCH_DELAY_MS * 2 + 1);
      const [startMs] = calls.map(({ atMs }) => atMs);
      expect(calls.map(({ kind, atMs }) => [kind, atMs - startMs])).toEqual([
        ["list", 0],
        ["watch", BATCH_DELAY_MS],
        ["list", BATCH_DELAY_MS],
        ["watch", 2 * BATCH_DELAY_MS],
        ["list", 2 * BATCH_DELAY_MS],
      ]);
    });
  });

  describe("run", () => {
    it("removes an object that can no longer be decoded, and holds the others", async () => {
      await runWatcher({
        objects: [createObject("a", 1, 1), createObject("b", 2, 2)],
        events: [createEvent(createObject("a", "odd", 6))],
      });
      expect([...values]).toEqual([["b", 2]]);
    });

    it("keeps the last valid value of an object if it is to", async () => {
      await runWatcher({
        objects: [createObject("a", 1, 1)],
        events: [createEvent(createObject("a", undefined, 6))],
        keepsLastValid: true,
      });
      expect([...values]).toEqual([["a", 1]]);
    });

    // A writer that changes an odd object with each heartbeat filled the log.
    it("logs an object that cannot be decoded once for each cause", async () => {
      await runWatcher({
        objects: [createObject("a", "odd", 1)],
        events: [
          createEvent(createObject("a", "odd", 6)),
          createEvent(createObject("a", "odd", 7)),
          createEvent(createObject("a", "odder", 8)),
          createEvent(createObject("a", 1, 9)),
          createEvent(createObject("a", "odder", 10)),
        ],
      });
      expect(lines.map(({ event, fields }) => [event, fields.version]))
        .toEqual([1, 8, 10].map((version) => ["object-not-decoded", version]));
    });

    it("logs the number of objects that were left out", async () => {
      await runWatcher({ objects: [], events: [], undecodedCount: 2 });
      expect(lines).toEqual([
        { event: "objects-left-out", fields: { kind: "servers", count: 2 } },
      ]);
    });
  });
});
