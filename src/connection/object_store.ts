import type { Either } from "purify-ts";

/** Object of the platform's store with its version. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Version of the object; rises with each write. */
  readonly version: number;
  readonly value: unknown;
}

/**
 * Outcome of a conditional write.
 *
 * - `written`: the write took effect.
 * - `conflict`: the object has another version; nothing was written.
 * - `unknown`: the answer was lost; the write may have taken effect.
 */
export type WriteOutcome =
  | { readonly outcome: "written"; readonly version: number }
  | { readonly outcome: "conflict" }
  | { readonly outcome: "unknown"; readonly message: string };

/** Failure to reach the platform's store in time. */
export class StoreUnavailableError extends Error {
  override readonly name = "StoreUnavailableError";
}

/** Change that a watch reported. */
export interface WatchEvent {
  readonly revision: number;
  readonly name: string;
  /** The object after the change, or undefined when it was deleted. */
  readonly object?: StoredObject;
}

/** Result of one wait for changes. */
export interface WatchResult {
  /** Revision to continue from. */
  readonly revision: number;
  readonly events: readonly WatchEvent[];
  /** Whether events were skipped, so that the kind has to be listed again. */
  readonly reset: boolean;
}

/** Object API of the platform. */
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
  /** Writes an object if it has the expected version; version 0 means that it does not exist yet. */
  putObject(options: PutObjectOptions): Promise<WriteOutcome>;
  /** Deletes an object if it has the expected version. */
  deleteObject(
    options: Omit<PutObjectOptions, "value">,
  ): Promise<WriteOutcome>;
  /** Waits for changes of a kind. */
  watch(
    options: WatchOptions,
  ): Promise<Either<StoreUnavailableError, WatchResult>>;
}

/** Objects of a kind at one revision. */
export interface ObjectSnapshot {
  /** Revision from which a watch continues. */
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** Object API that lists a kind together with the revision of the list. */
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
  readonly sinceRevision: number;
  /** Longest wait in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the wait early. */
  readonly signal?: AbortSignal;
}
