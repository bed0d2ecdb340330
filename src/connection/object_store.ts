import type { Either } from "purify-ts";

/** Number of revisions in the range of versions of one generation of the store. */
const REVISIONS_PER_GENERATION = 2 ** 40;
/** Highest generation whose versions are safe integers. */
const MAX_GENERATION = 2 ** 13 - 1;

/** Parts of a version. */
export interface StoreVersion {
  /** Number of the store's generation, which rises each time that the store is restored from a copy. */
  readonly generation: number;
  /** Revision within the generation. A restore sets the revisions back to those of the copy. */
  readonly revision: number;
}

/**
 * Creates a version. Versions are ordered by their generation first, so that a version that is given out after a restore is higher than all earlier ones.
 *
 * @throws {RangeError} When a part is not in the range of versions.
 * @example
 * ```ts
 * createVersion({ generation: 2, revision: 7 }) > createVersion({ generation: 1, revision: 350 });
 * ```
 */
export function createVersion({ generation, revision }: StoreVersion): number {
  if (
    !Number.isInteger(generation) || generation < 0 ||
    generation > MAX_GENERATION || revision >= REVISIONS_PER_GENERATION
  ) {
    throw new RangeError(
      `The revision ${revision} of the store's generation ${generation} is out of range`,
    );
  }
  return generation * REVISIONS_PER_GENERATION + revision;
}

/** Gets the generation of the store that gave out a version. */
export function getGeneration(version: number): number {
  return Math.floor(version / REVISIONS_PER_GENERATION);
}

/** Gets the revision of a version within its generation. */
export function getRevision(version: number): number {
  return version % REVISIONS_PER_GENERATION;
}

/** Object in the platform's store. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Version of the object, which increases with each write and with each restore of the store (see `createVersion`). */
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
  /** Time after the maximum wait within which the response has to arrive, in milliseconds; defaults to that of the client. */
  readonly responseTimeoutMs?: number;
  /** Ends the wait early. */
  readonly signal?: AbortSignal;
}
