import type {
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";

/** Maximum wait of a watch call after a failed call, in milliseconds. It is short so that the end of an outage is noticed soon. */
const OUTAGE_WATCH_TIMEOUT_MS = 1_000;

/** Maximum length of the name of an object in a log line. */
const MAX_LOGGED_NAME_LENGTH = 256;

/** Changes of the objects of one kind since the last report of changes. */
export interface ObjectChanges<T> {
  readonly changed: ReadonlyMap<string, T>;
  readonly removed: readonly string[];
  /** Store revision up to which the changes are complete. */
  readonly revision: number;
  /** Store revision of the last change. */
  readonly changeRevision: number;
  /** Length of the store outage that ended before these changes, in milliseconds; 0 without an outage. */
  readonly outageMs: number;
  /** Whether `changed` contains all valid objects of the kind, so that any object missing from it no longer exists. */
  readonly isSnapshot: boolean;
}

/** Time limits of one watch call. Together they bound the time until a connection that has gone silent is noticed. */
export interface WatchLimits {
  /** Maximum wait of the store for a change, in milliseconds. */
  readonly timeoutMs: number;
  /** Time after the maximum wait within which the response has to arrive, in milliseconds; defaults to that of the store's client. */
  readonly responseTimeoutMs?: number;
}

/** Options of an `ObjectWatcher`. */
export interface ObjectWatcherOptions<T> {
  readonly store: SnapshotStore;
  readonly kind: string;
  readonly logger: Logger;
  /** Gets the delay before the next watch call, in milliseconds. Changes that occur meanwhile are read in one batch, as each call to the store has a cost. */
  getBatchDelayMs(): number;
  /** Gets the delay before a failed call to the store is retried, in milliseconds. */
  getRetryDelayMs(): number;
  /** Gets the time limits of one watch call while the store responds. */
  getWatchLimits(): WatchLimits;
  /** Waits until the objects have to be watched, or the signal aborts; defaults to no wait. */
  waitUntilNeeded?(signal: AbortSignal): Promise<void>;
  /** Whether an object that cannot be decoded keeps its last valid value instead of being reported as removed. */
  readonly keepsLastValid: boolean;
  /**
   * Decodes an object.
   *
   * @throws When the object cannot be decoded.
   */
  decode(object: StoredObject): T;
  /** Called with each set of changes. */
  onChange(change: ObjectChanges<T>): void;
  /** Called after each response that confirms the reported objects. */
  onConfirm?(): void;
  /** Called when the store responds again after a failed call. */
  onStoreRecovered?(): void;
}

/** Lists all objects of one kind in the store, then watches and reports their changes. */
export class ObjectWatcher<T> {
  readonly #options: ObjectWatcherOptions<T>;
  /** Names of the objects that exist in the store. */
  readonly #names = new Set<string>();
  /** Messages of the objects that cannot be decoded, by name. A writer may change such an object often; only a change of the message is logged. */
  readonly #decodeFailures = new Map<string, string>();
  #revision: number | undefined;
  /** Monotonic time up to which the store has confirmed the reported objects. */
  #confirmedAtMs: number | undefined;
  #isStoreReachable = true;
  #watchController = new AbortController();
  #isRestartRequested = false;

  constructor(options: ObjectWatcherOptions<T>) {
    this.#options = options;
  }

  /** Gets the time since the store last confirmed that the reported objects are up to date, in milliseconds; undefined before the first response. */
  get ageMs(): number | undefined {
    return this.#confirmedAtMs === undefined
      ? undefined
      : Math.round(performance.now() - this.#confirmedAtMs);
  }

  /** Aborts the watch call in progress and starts another one at once, since the connection may be dead. */
  restart(): void {
    this.#isRestartRequested = true;
    this.#watchController.abort();
  }

  /**
   * Lists the objects, then watches them until the signal aborts.
   *
   * @param signal - Stops the watch.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.waitUntilNeeded?.(signal);
      if (signal.aborted) {
        return;
      }
      const isSuccess = this.#revision === undefined
        ? await this.#list()
        : await this.#watch(this.#revision, signal);
      if (this.#isRestartRequested) {
        this.#isRestartRequested = false;
        continue;
      }
      await delay(
        isSuccess
          ? this.#options.getBatchDelayMs()
          : this.#options.getRetryDelayMs(),
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
      Right: ({ revision, objects, undecodedCount }) => {
        this.#recordUndecoded(undecodedCount);
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
          requestedAtMs,
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
      ...this.#isStoreReachable
        ? this.#options.getWatchLimits()
        : { timeoutMs: OUTAGE_WATCH_TIMEOUT_MS },
      signal: this.#watchController.signal,
    });
    signal.removeEventListener("abort", onAbort);
    if (this.#watchController.signal.aborted) {
      return true;
    }
    return await result.caseOf<boolean | Promise<boolean>>({
      Left: (error) => this.#recordFailure(error),
      Right: ({ revision, events, reset, undecodedCount }) => {
        this.#recordUndecoded(undecodedCount);
        if (reset) {
          logger.write("info", "watch-history-lost", { kind, sinceRevision });
          this.#revision = undefined;
          // The objects may have changed long ago, so the list is not delayed like the next watch call.
          return this.#list();
        }
        const latestObjects = new Map(
          events.map((event) => [event.name, event.object]),
        );
        const objects = [...latestObjects.values()].filter((object) =>
          object !== undefined
        );
        const removed = [...latestObjects].filter(([, object]) =>
          object === undefined
        ).map(([name]) => name);
        // An empty response confirms that nothing had changed up to the moment when it was sent.
        const isEmptyResponse = events.length === 0;
        this.#applyUpdate({
          objects,
          removed,
          revision,
          changeRevision: Math.max(0, ...events.map((e) => e.revision)),
          requestedAtMs: isEmptyResponse ? performance.now() : requestedAtMs,
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
    for (const name of update.removed) {
      this.#names.delete(name);
      this.#decodeFailures.delete(name);
    }
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
    this.#options.onConfirm?.();
  }

  #decode(object: StoredObject): T | undefined {
    try {
      const value = this.#options.decode(object);
      this.#decodeFailures.delete(object.name);
      return value;
    } catch (error) {
      this.#recordDecodeFailure(object, getErrorMessage(error));
      return undefined;
    }
  }

  #recordDecodeFailure(
    { name, version }: StoredObject,
    message: string,
  ): void {
    if (this.#decodeFailures.get(name) !== message) {
      this.#decodeFailures.set(name, message);
      this.#options.logger.write("warn", "object-not-decoded", {
        kind: this.#options.kind,
        name: name.slice(0, MAX_LOGGED_NAME_LENGTH),
        version,
        message,
      });
    }
  }

  #recordUndecoded(count = 0): void {
    if (count > 0) {
      const { logger, kind } = this.#options;
      logger.write("warn", "objects-left-out", { kind, count });
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
