import { type Either, Left, Right } from "purify-ts";
import {
  type ObjectSnapshot,
  type PutObjectOptions,
  type SnapshotStore,
  type StoredObject,
  StoreUnavailableError,
  type WatchEvent,
  type WatchOptions,
  type WatchResult,
  type WriteOutcome,
} from "../../src/connection/object_store.ts";
import { delay } from "../../src/shared/delay.ts";

/** Time of a call, in milliseconds. */
const CALL_MS = 8;

/** Store in memory that may refuse the calls of some daemons. */
export class RefusingStore {
  readonly refusedNames = new Set<string>();
  readonly #objects = new Map<string, StoredObject>();
  readonly #events: (WatchEvent & { readonly kind: string })[] = [];
  /** Ends the waits of the watches in progress. */
  #onChange = new AbortController();
  #revision = 1;
  #firstRevision = 0;

  write(kind: string, name: string, value: unknown): StoredObject {
    const object = { kind, name, value, version: ++this.#revision };
    this.#objects.set(`${kind}/${name}`, object);
    this.#record({ kind, name, revision: this.#revision, object });
    return object;
  }

  /** Discards the events up to now, from which watches resume. */
  dropHistory(): void {
    this.#firstRevision = this.#revision;
  }

  createClient(daemonName: string): SnapshotStore {
    const call = async <T>(
      getResult: () => T,
    ): Promise<Either<StoreUnavailableError, T>> => {
      await delay(CALL_MS);
      return this.refusedNames.has(daemonName)
        ? Left(new StoreUnavailableError("The store is busy"))
        : Right(getResult());
    };
    return {
      getObject: (kind, name) =>
        call(() => this.#objects.get(`${kind}/${name}`)),
      listObjects: (kind) => call(() => this.#list(kind)),
      listSnapshot: (kind) =>
        call((): ObjectSnapshot => ({
          revision: this.#revision,
          objects: this.#list(kind),
        })),
      putObject: async (options: PutObjectOptions): Promise<WriteOutcome> => {
        const { kind, name, value } = options;
        const result = await call(() => this.write(kind, name, value));
        return result.caseOf<WriteOutcome>({
          Left: ({ message }) => ({ outcome: "unknown", message }),
          Right: ({ version }) => ({ outcome: "written", version }),
        });
      },
      deleteObject: () => Promise.resolve({ outcome: "conflict" as const }),
      watch: async (options: WatchOptions) => {
        const { kind, sinceRevision, timeoutMs } = options;
        await delay(CALL_MS);
        if (!this.refusedNames.has(daemonName)) {
          await this.#waitForEvent(kind, sinceRevision, timeoutMs);
        }
        return await call(() => this.#readEvents(kind, sinceRevision));
      },
    };
  }

  #list(kind: string): StoredObject[] {
    return [...this.#objects.values()].filter((object) => object.kind === kind);
  }

  #listEvents(kind: string, sinceRevision: number): WatchEvent[] {
    return this.#events.filter((event) =>
      event.kind === kind && event.revision > sinceRevision
    );
  }

  #readEvents(kind: string, sinceRevision: number): WatchResult {
    return sinceRevision < this.#firstRevision
      ? { revision: sinceRevision, events: [], reset: true }
      : {
        revision: this.#revision,
        events: this.#listEvents(kind, sinceRevision),
        reset: false,
      };
  }

  async #waitForEvent(
    kind: string,
    sinceRevision: number,
    timeoutMs: number,
  ): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (
      sinceRevision >= this.#firstRevision &&
      this.#listEvents(kind, sinceRevision).length === 0 &&
      performance.now() < endMs
    ) {
      await delay(endMs - performance.now(), this.#onChange.signal);
    }
  }

  #record(event: WatchEvent & { readonly kind: string }): void {
    this.#events.push(event);
    const waits = this.#onChange;
    this.#onChange = new AbortController();
    waits.abort();
  }
}
