import { type Either, Left, Right } from "purify-ts";
import {
  type ObjectStore,
  type PutObjectOptions,
  type StoredObject,
  StoreUnavailableError,
  type WatchResult,
  type WriteOutcome,
} from "../../src/connection/object_store.ts";

/** In-memory object store with faults that a test can inject. */
export class MemoryStore implements ObjectStore {
  /** Whether all calls fail because the store is unavailable. */
  down = false;
  /** Number of following writes that take effect although their response is lost. */
  responsesToLose = 0;
  /** Number of following writes that are lost before they take effect. */
  writesToLose = 0;
  /** Called after a write has taken effect and before its response. */
  onWritten: () => void | Promise<void> = () => {};
  writes = 0;
  readonly #objects = new Map<string, StoredObject>();

  getObject(
    kind: string,
    name: string,
  ): Promise<Either<StoreUnavailableError, StoredObject | undefined>> {
    return Promise.resolve(
      this.down
        ? Left(new StoreUnavailableError("The store is down"))
        : Right(structuredClone(this.#objects.get(`${kind}/${name}`))),
    );
  }

  listObjects(
    kind: string,
  ): Promise<Either<StoreUnavailableError, StoredObject[]>> {
    return Promise.resolve(
      this.down
        ? Left(new StoreUnavailableError("The store is down"))
        : Right(structuredClone(
          [...this.#objects.values()].filter((o) => o.kind === kind),
        )),
    );
  }

  async putObject(options: PutObjectOptions): Promise<WriteOutcome> {
    const { kind, name, value, expectedVersion } = options;
    if (this.down || this.writesToLose > 0) {
      this.writesToLose = Math.max(0, this.writesToLose - 1);
      return {
        outcome: "unknown",
        message: "The store did not respond to the write",
      };
    }
    const key = `${kind}/${name}`;
    if ((this.#objects.get(key)?.version ?? 0) !== expectedVersion) {
      return { outcome: "conflict" };
    }
    const version = expectedVersion + 1;
    this.writes++;
    this.#objects.set(key, {
      kind,
      name,
      version,
      value: JSON.parse(JSON.stringify(value)),
    });
    await this.onWritten();
    if (this.responsesToLose > 0) {
      this.responsesToLose--;
      return { outcome: "unknown", message: "The response was lost" };
    }
    return { outcome: "written", version };
  }

  deleteObject(): Promise<WriteOutcome> {
    return Promise.resolve({ outcome: "conflict" });
  }

  watch(): Promise<Either<StoreUnavailableError, WatchResult>> {
    return Promise.resolve(Right({ revision: 0, events: [], reset: false }));
  }
}
