import { type Either, Left, Right } from "purify-ts";
import {
  type PutObjectOptions,
  type SnapshotStore,
  type StoredObject,
  StoreUnavailableError,
  type WriteOutcome,
} from "../../src/connection/object_store.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time of one call, in milliseconds. */
const CALL_MS = 6;
/** Time after which a call without a response fails, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Objects of the store, which all daemons share. */
export class SimulatedStore {
  readonly objects = new Map<string, StoredObject>();
  revision = 0;
}

/** Link of one daemon to the store, with faults. Serves the calls that the planner lease needs. */
export class SimulatedStoreLink {
  readonly #store: SimulatedStore;
  readonly #clock: VirtualClock;
  readonly #owner: string;
  readonly #isConditional: boolean;
  /** Whether no call reaches the store. */
  isCut = false;
  /** Number of upcoming writes that take effect without a response. */
  answersToLose = 0;

  constructor(options: {
    store: SimulatedStore;
    clock: VirtualClock;
    owner: string;
    /** Whether writes depend on the expected version. */
    isConditional: boolean;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#owner = options.owner;
    this.#isConditional = options.isConditional;
  }

  /** Creates the client of the store that the daemon uses. */
  createClient(): SnapshotStore {
    const client: Pick<SnapshotStore, "getObject" | "putObject"> = {
      getObject: (kind, name) => this.#getObject(kind, name),
      putObject: (options) => this.#putObject(options),
    };
    return client as SnapshotStore;
  }

  #getObject(
    kind: string,
    name: string,
  ): Promise<Either<StoreUnavailableError, StoredObject | undefined>> {
    return this.#call<Either<StoreUnavailableError, StoredObject | undefined>>(
      () => Right(this.#store.objects.get(`${kind}/${name}`)),
      () => Left(new StoreUnavailableError("The store did not respond")),
      false,
    );
  }

  #putObject(options: PutObjectOptions): Promise<WriteOutcome> {
    const isAnswerLost = this.answersToLose > 0 && !this.isCut;
    this.answersToLose -= isAnswerLost ? 1 : 0;
    return this.#call<WriteOutcome>(
      () => this.#write(options),
      () => ({ outcome: "unknown", message: "The store did not respond" }),
      isAnswerLost,
    );
  }

  #write(
    { kind, name, value, expectedVersion }: PutObjectOptions,
  ): WriteOutcome {
    const key = `${kind}/${name}`;
    const version = this.#store.objects.get(key)?.version ?? 0;
    if (this.#isConditional && version !== expectedVersion) {
      return { outcome: "conflict" };
    }
    const newVersion = ++this.#store.revision;
    this.#store.objects.set(key, { kind, name, value, version: newVersion });
    return { outcome: "written", version: newVersion };
  }

  #call<T>(
    apply: () => T,
    createFailure: () => T,
    isAnswerLost: boolean,
  ): Promise<T> {
    return new Promise((resolve) => {
      const answer = (delayMs: number, value: T) =>
        this.#clock.scheduleAs(this.#owner, delayMs, () => resolve(value));
      if (this.isCut) {
        answer(CALL_TIMEOUT_MS, createFailure());
        return;
      }
      setTimeout(() => {
        const value = apply();
        answer(CALL_MS / 2, isAnswerLost ? createFailure() : value);
      }, CALL_MS / 2);
    });
  }
}
