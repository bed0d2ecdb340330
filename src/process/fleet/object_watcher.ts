import type {
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";

/** Longest wait of one watch in milliseconds. A watch whose connection went silent is noticed after it at the latest. */
const WATCH_TIMEOUT_MS = 10_000;
/** The same after a failed call, so that the end of an outage is noticed soon. */
const OUTAGE_WATCH_TIMEOUT_MS = 1_000;
/** Pause before a failed call to the store is made again, in milliseconds. */
const RETRY_DELAY_MS = 250;
/** Time after which an unneeded watch is looked at again, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** Changes of a kind since the last ones. */
export interface ObjectChanges<T> {
  readonly changed: ReadonlyMap<string, T>;
  readonly removed: readonly string[];
  /** Revision of the store up to which the changes are complete. */
  readonly revision: number;
  /** Revision of the last change. */
  readonly changeRevision: number;
  /** Time for which the store had not answered before, in milliseconds. */
  readonly outageMs: number;
  /** Whether these are all objects of the kind, so that whatever is missing is gone. */
  readonly isSnapshot: boolean;
}

/** What is watched, and how. */
export interface ObjectWatcherOptions<T> {
  readonly store: SnapshotStore;
  readonly kind: string;
  readonly logger: Logger;
  /** Gets the time to gather changes before they are asked for again, in milliseconds. Each call to the store is priced. */
  getBatchDelayMs(): number;
  /** Gets the longest wait of one watch, in milliseconds; `WATCH_WAIT_MS` when left out. */
  getWatchTimeoutMs?(): number | undefined;
  /** Gets whether the copy is needed; always when left out. */
  isNeeded?(): boolean;
  /** Whether an object that cannot be decoded keeps its last good value, in place of being removed. */
  readonly keepsLastValid: boolean;
  /**
   * Decodes an object.
   *
   * @throws When the object cannot be decoded.
   */
  decode(object: StoredObject): T;
  /** Takes the changes. */
  onChange(change: ObjectChanges<T>): void;
  /** Called when the store answers again after a failed call. */
  onStoreRecovered?(): void;
}

/** Copy of all objects of one kind, kept up to date by a watch. */
export class ObjectWatcher<T> {
  readonly #options: ObjectWatcherOptions<T>;
  readonly #names = new Set<string>();
  #revision: number | undefined;
  #confirmedAtMs: number | undefined;
  #isStoreReachable = true;
  #watchController = new AbortController();
  #isRestartRequested = false;

  constructor(options: ObjectWatcherOptions<T>) {
    this.#options = options;
  }

  /** Gets the time since the store confirmed the copy, in milliseconds. */
  get ageMs(): number | undefined {
    return this.#confirmedAtMs === undefined
      ? undefined
      : Math.round(performance.now() - this.#confirmedAtMs);
  }

  /** Ends the wait of the running call and watches anew, since its connection may be dead. */
  restart(): void {
    this.#isRestartRequested = true;
    this.#watchController.abort();
  }

  /**
   * Lists the kind, then watches it until the signal aborts.
   *
   * @param signal - Ends the watch.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#options.isNeeded?.() === false) {
        await delay(IDLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const succeeded = this.#revision === undefined
        ? await this.#list()
        : await this.#watch(this.#revision, signal);
      if (this.#isRestartRequested) {
        this.#isRestartRequested = false;
        continue;
      }
      await delay(
        succeeded ? this.#options.getBatchDelayMs() : RETRY_DELAY_MS,
        signal,
      );
    }
  }

  async #list(): Promise<boolean> {
    const { store, kind } = this.#options;
    const requestedAtMs = performance.now();
    const result = await store.listSnapshot(kind);
    return result.caseOf({
      Left: (error) => this.#recordFailure(error),
      Right: ({ revision, objects }) => {
        const presentNames = new Set(objects.map(({ name }) => name));
        const removed = [...this.#names].filter((name) =>
          !presentNames.has(name)
        );
        const changeRevision = Math.max(0, ...objects.map((o) => o.version));
        this.#applyUpdate({
          objects,
          removed,
          revision,
          changeRevision,
          requestedAtMs: requestedAtMs,
          isSnapshot: true,
        });
        return true;
      },
    });
  }

  async #watch(sinceRevision: number, signal: AbortSignal): Promise<boolean> {
    const { store, kind, logger } = this.#options;
    const requestedAtMs = performance.now();
    this.#watchController = new AbortController();
    const onAbort = () => this.#watchController.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    const result = await store.watch({
      kind,
      sinceRevision,
      timeoutMs: this.#isStoreReachable
        ? this.#options.getWatchTimeoutMs?.() ?? WATCH_TIMEOUT_MS
        : OUTAGE_WATCH_TIMEOUT_MS,
      signal: this.#watchController.signal,
    });
    signal.removeEventListener("abort", onAbort);
    if (this.#watchController.signal.aborted) {
      return true;
    }
    return result.caseOf({
      Left: (error) => this.#recordFailure(error),
      Right: ({ revision, events, reset }) => {
        if (reset) {
          logger.write("info", "watch-history-lost", { kind, sinceRevision });
          this.#revision = undefined;
          return true;
        }
        const latestObjects = new Map(
          events.map((event) => [event.name, event.object]),
        );
        const objects = [...latestObjects.values()].filter((object) =>
          object !== undefined
        );
        const removed = [...latestObjects].filter(([, object]) =>
          object === undefined
        )
          .map(([name]) => name);
        // An empty answer proves that nothing had changed when it was sent.
        const isEmptyAnswer = events.length === 0;
        this.#applyUpdate({
          objects,
          removed,
          revision,
          changeRevision: Math.max(0, ...events.map((e) => e.revision)),
          requestedAtMs: isEmptyAnswer ? performance.now() : requestedAtMs,
          isSnapshot: false,
        });
        return true;
      },
    });
  }

  #applyUpdate(
    update: {
      objects: readonly StoredObject[];
      removed: readonly string[];
      revision: number;
      changeRevision: number;
      requestedAtMs: number;
      isSnapshot: boolean;
    },
  ): void {
    const changed = new Map<string, T>();
    const removed = [...update.removed];
    for (const object of update.objects) {
      this.#names.add(object.name);
      const value = this.#decode(object);
      if (value !== undefined) {
        changed.set(object.name, value);
      } else if (!this.#options.keepsLastValid) {
        removed.push(object.name);
      }
    }
    update.removed.forEach((name) => this.#names.delete(name));
    const outageMs = this.#recordSuccess(update.requestedAtMs);
    this.#revision = update.revision;
    if (changed.size > 0 || removed.length > 0 || update.isSnapshot) {
      const { revision, changeRevision, isSnapshot } = update;
      this.#options.onChange({
        changed,
        removed,
        revision,
        changeRevision,
        outageMs,
        isSnapshot,
      });
    }
  }

  #decode(object: StoredObject): T | undefined {
    const { logger, kind } = this.#options;
    try {
      return this.#options.decode(object);
    } catch (error) {
      logger.write("warn", "object-not-decoded", {
        kind,
        name: object.name,
        version: object.version,
        message: getErrorMessage(error),
      });
      return undefined;
    }
  }

  #recordFailure(error: Error): boolean {
    if (this.#isStoreReachable) {
      this.#isStoreReachable = false;
      this.#options.logger.write("warn", "store-lost", {
        kind: this.#options.kind,
        revision: this.#revision,
        message: error.message,
      });
    }
    return false;
  }

  #recordSuccess(requestedAtMs: number): number {
    const outageMs = this.#isStoreReachable || this.#confirmedAtMs === undefined
      ? 0
      : performance.now() - this.#confirmedAtMs;
    if (!this.#isStoreReachable) {
      this.#isStoreReachable = true;
      this.#options.logger.write("info", "store-regained", {
        kind: this.#options.kind,
        outageMs: Math.round(outageMs),
      });
      this.#options.onStoreRecovered?.();
    }
    this.#confirmedAtMs = requestedAtMs;
    return outageMs;
  }
}
