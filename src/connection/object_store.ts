import type { Either } from "purify-ts";

/** Object in the platform's store. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Version of the object, which increases with each write. */
  readonly version: number;
  readonly value: unknown;
}

/**
 * Outcome of a conditional write.
 *
 * - `written`: the write took effect.
 * - `conflict`: the object does not have the expected version; nothing was written.
 * - `unknown`: no valid response arrived; the write may have taken effect.
 */
export type WriteOutcome =
  | { readonly outcome: "written"; readonly version: number }
  | { readonly outcome: "conflict" }
  | { readonly outcome: "unknown"; readonly message: string };

/** Failed request to the platform's store. */
export class StoreUnavailableError extends Error {
  override readonly name = "StoreUnavailableError";
}

/** Change of one object that a watch reported. */
export interface WatchEvent {
  readonly revision: number;
  readonly name: string;
  /** Object after the change, or undefined when it was deleted. */
  readonly object?: StoredObject;
}

/** Result of one watch call. */
export interface WatchResult {
  /** Revision from which the next watch call continues. */
  readonly revision: number;
  readonly events: readonly WatchEvent[];
  /** Whether events were skipped, so that all objects of the kind have to be listed again. */
  readonly reset: boolean;
  /** Number of events left out because not even the name of their object can be decoded; defaults to 0. */
  readonly undecodedCount?: number;
}

/** Client of the platform's object API. */
export interface ObjectStore {
  /** Gets an object, or undefined when it does not exist. */
  getObject(
    kind: string,
    name: string,
  ): Promise<Either<StoreUnavailableError, StoredObject | undefined>>;
  /** Gets all objects of a kind. */
  listObjects(
    kind: string,
  ): Promise<Either<StoreUnavailableError, StoredObject[]>>;
  /** Writes an object if it has the expected version. The expected version 0 means that the object must not exist yet. */
  putObject(options: PutObjectOptions): Promise<WriteOutcome>;
  /** Deletes an object if it has the expected version. */
  deleteObject(
    options: Omit<PutObjectOptions, "value">,
  ): Promise<WriteOutcome>;
  /** Waits for changes to objects of a kind (long polling). */
  watch(
    options: WatchOptions,
  ): Promise<Either<StoreUnavailableError, WatchResult>>;
}

/** All objects of a kind at one revision of the store. */
export interface ObjectSnapshot {
  /** Revision from which a watch continues. */
  readonly revision: number;
  readonly objects: readonly StoredObject[];
  /** Number of objects left out because not even their name can be decoded; defaults to 0. */
  readonly undecodedCount?: number;
}

/** Client of an object API that lists the objects of a kind together with the revision of the list. */
export interface SnapshotStore extends ObjectStore {
  /** Gets all objects of a kind and the revision at which they were read. */
  listSnapshot(
    kind: string,
  ): Promise<Either<StoreUnavailableError, ObjectSnapshot>>;
}

/** Options of a conditional write. */
export interface PutObjectOptions {
  readonly kind: string;
  readonly name: string;
  readonly value: unknown;
  readonly expectedVersion: number;
}

/** Options of a watch. */
export interface WatchOptions {
  readonly kind: string;
  /** Revision after which changes are reported. */
  readonly sinceRevision: number;
  /** Maximum wait in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the wait early. */
  readonly signal?: AbortSignal;
}
