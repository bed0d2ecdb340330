import { type Got, type Hooks, HTTPError } from "got";
import { type Either, Left, Right } from "purify-ts";
import type { Metrics } from "../process/metrics.ts";
import { getErrorMessage } from "../shared/errors.ts";
import {
  type ObjectStore,
  type PutObjectOptions,
  type StoredObject,
  StoreUnavailableError,
  type WatchOptions,
  type WatchResult,
  type WriteOutcome,
} from "./object_store.ts";
import { httpClient } from "./http_client.ts";
import type { Vm, VmDirectory } from "./vm_directory.ts";

/** Time limit of a request in milliseconds. It is long because a slow response still confirms this daemon's data if it arrives within the freshness limit. */
const REQUEST_TIMEOUT_MS = 4_000;
/** Time that is added to the wait of a watch call for its response to arrive, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 2_000;

/** HTTP client of the platform's object API and VM list. */
export class HttpPlatformClient implements ObjectStore, VmDirectory {
  readonly #got: Got;

  constructor(options: { url: string; metrics?: Metrics }) {
    const { metrics } = options;
    this.#got = httpClient.extend({
      prefixUrl: options.url,
      timeout: { request: REQUEST_TIMEOUT_MS },
      retry: { limit: 0 },
      hooks: metrics === undefined ? {} : createMetricsHooks(metrics),
    });
  }

  async getObject(
    kind: string,
    name: string,
  ): Promise<Either<StoreUnavailableError, StoredObject | undefined>> {
    try {
      const path = getObjectPath(kind, name);
      return Right(await this.#got(path).json<StoredObject>());
    } catch (error) {
      return hasStatus(error, 404) ? Right(undefined) : Left(wrapError(error));
    }
  }

  async listObjects(
    kind: string,
  ): Promise<Either<StoreUnavailableError, StoredObject[]>> {
    try {
      const result = await this.#got(`v1/objects/${encodeURIComponent(kind)}`)
        .json<{ objects: StoredObject[] }>();
      return Right(result.objects);
    } catch (error) {
      return Left(wrapError(error));
    }
  }

  putObject(options: PutObjectOptions): Promise<WriteOutcome> {
    return this.#write(
      options,
      () =>
        this.#got.put(getObjectPath(options.kind, options.name), {
          json: options.value,
          headers: getConditionHeaders(options.expectedVersion),
        }).json<{ version: number }>(),
    );
  }

  deleteObject(
    options: Omit<PutObjectOptions, "value">,
  ): Promise<WriteOutcome> {
    return this.#write(
      options,
      () =>
        this.#got.delete(getObjectPath(options.kind, options.name), {
          headers: getConditionHeaders(options.expectedVersion),
        }).json<{ version: number }>(),
    );
  }

  async watch(
    options: WatchOptions,
  ): Promise<Either<StoreUnavailableError, WatchResult>> {
    try {
      const result = await this.#got(
        `v1/watch/${encodeURIComponent(options.kind)}`,
        {
          searchParams: {
            since: options.sinceRevision,
            timeoutMs: options.timeoutMs,
          },
          timeout: { request: options.timeoutMs + WATCH_TIMEOUT_MARGIN_MS },
          signal: options.signal,
        },
      ).json<WatchResult>();
      return Right(result);
    } catch (error) {
      return Left(wrapError(error));
    }
  }

  async getVms(): Promise<Either<StoreUnavailableError, Vm[]>> {
    try {
      const result = await this.#got("v1/vms").json<{ vms: Vm[] }>();
      return Right(result.vms);
    } catch (error) {
      return Left(wrapError(error));
    }
  }

  async #write(
    options: { kind: string; name: string },
    send: () => Promise<{ version: number }>,
  ): Promise<WriteOutcome> {
    try {
      const { version } = await send();
      return { outcome: "written", version };
    } catch (error) {
      if (hasStatus(error, 412)) {
        return { outcome: "conflict" };
      }
      return {
        outcome: "unknown",
        message:
          `The outcome of the write of "${options.kind}/${options.name}" is unknown: ${
            getErrorMessage(error)
          }`,
      };
    }
  }
}

/** Creates hooks that count each request and record its duration. The duration of a watch call is not recorded: it consists mainly of waiting and does not show how fast the store is. */
function createMetricsHooks(metrics: Metrics): Partial<Hooks> {
  return {
    beforeRequest: [({ method }) => {
      metrics.count(method === "GET" ? "store_reads" : "store_writes");
    }],
    afterResponse: [(response) => {
      const { total } = response.timings.phases;
      if (total !== undefined && !response.url.includes("/v1/watch/")) {
        metrics.record("store_call", total);
      }
      return response;
    }],
  };
}

function getObjectPath(kind: string, name: string): string {
  return `v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function getConditionHeaders(version: number): Record<string, string> {
  return version === 0
    ? { "if-none-match": "*" }
    : { "if-match": String(version) };
}

function hasStatus(error: unknown, status: number): boolean {
  return error instanceof HTTPError && error.response.statusCode === status;
}

function wrapError(error: unknown): StoreUnavailableError {
  return new StoreUnavailableError(
    `The request to the platform's store failed: ${getErrorMessage(error)}`,
    { cause: error },
  );
}
