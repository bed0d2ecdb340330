import {
  getGeneration,
  type SnapshotStore,
  type StoredObject,
} from "../../connection/object_store.ts";
import type { AccountCounts } from "./usage_counter.ts";
import { decodeCounts, isCount } from "./usage_messages.ts";

const RECORD_KIND = "tarragontally-usage";
const RECORD_NAME = "report";

/** Last window that a holder of the duty has recorded in order to send it. */
export interface UsageRecord {
  readonly window: number;
  readonly counts: AccountCounts;
  /** Token of the holder that recorded the window. */
  readonly token: number;
  /** Generation of the store in which the window was recorded. */
  readonly generation: number;
  /** Number of daemons whose counts are included. */
  readonly daemonCount: number;
}

/**
 * Result of a read of the record.
 *
 * - `found`: the record is valid.
 * - `missing`: there is no record.
 * - `invalid`: the object cannot be decoded.
 * - `failed`: the store did not respond.
 */
export type ReadResult =
  | {
    readonly outcome: "found";
    readonly version: number;
    readonly record: UsageRecord;
  }
  | { readonly outcome: "missing" | "failed" }
  | { readonly outcome: "invalid"; readonly version: number };

/** Record of the last window in the platform's store. */
export class UsageRecordStore {
  readonly #store: Pick<SnapshotStore, "getObject" | "putObject">;

  constructor(store: Pick<SnapshotStore, "getObject" | "putObject">) {
    this.#store = store;
  }

  /** Reads the record. */
  async read(): Promise<ReadResult> {
    const result = await this.#store.getObject(RECORD_KIND, RECORD_NAME);
    if (result.isLeft()) {
      return { outcome: "failed" };
    }
    const object = result.extract() as StoredObject | undefined;
    if (object === undefined) {
      return { outcome: "missing" };
    }
    const { version } = object;
    const record = decodeRecord(object.value);
    return record === undefined
      ? { outcome: "invalid", version }
      : { outcome: "found", version, record };
  }

  /**
   * Writes the record if the object has the expected version.
   *
   * @returns Version of the object; `conflict` when it has another one, and `unknown` when the store did not respond.
   */
  async write(
    { counts, ...fields }: UsageRecord,
    expectedVersion: number,
  ): Promise<number | "conflict" | "unknown"> {
    const result = await this.#store.putObject({
      kind: RECORD_KIND,
      name: RECORD_NAME,
      value: { ...fields, counts: Object.fromEntries(counts) },
      expectedVersion,
    });
    return result.outcome === "written" ? result.version : result.outcome;
  }
}

/** Gets whether a record was written before the store was restored from a copy. The store may have lost later records then, whose windows were sent. */
export function isRecordOutdated(
  { generation }: UsageRecord,
  version: number,
): boolean {
  return generation !== getGeneration(version);
}

function decodeRecord(value: unknown): UsageRecord | undefined {
  const fields = (value ?? {}) as Record<string, unknown>;
  const { window, token, generation, daemonCount } = fields;
  const counts = decodeCounts(fields.counts);
  return counts !== undefined && isCount(window) && isCount(token) &&
      isCount(generation) && isCount(daemonCount)
    ? { window, counts, token, generation, daemonCount }
    : undefined;
}
