import { randomUUID } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import type {
  ObjectStore,
  StoredObject,
  StoreUnavailableError,
  WriteOutcome,
} from "../connection/object_store.ts";
import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { Logger } from "../shared/logger.ts";
import { getCanonicalDigest } from "./canonical_json.ts";
import { type ConfigDifference, getConfigDiff } from "./config_diff.ts";
import type { ConfigHolder } from "./config_holder.ts";
import type { ConfigFault, ConfigRules } from "./config_rule.ts";
import {
  type ConfigDocument,
  configSchema,
  type VersionedConfig,
} from "./config_schema.ts";
import type { ConfigPropagation, InForceReport } from "./config_propagation.ts";
import {
  type ConfigEnvelope,
  parseStoredConfig,
  type StoredConfig,
} from "./stored_config.ts";

const CONFIG_KIND = "config";
const CONFIG_NAME = "main";
const HISTORY_KIND = "config-history";
/** Number of earlier versions that the history keeps; older ones are deleted after each acceptance. */
export const MAX_HISTORY_VERSIONS = 100;
/** Maximum number of reads that check whether a write of unknown outcome took effect. */
const CONFIRM_ATTEMPTS = 5;
/** Delay before the first of these reads, in milliseconds; the delay before the nth read is n times as long. */
const CONFIRM_DELAY_MS = 300;

/**
 * Result of an attempt to accept a document.
 *
 * - `accepted`: the document was stored as the newest version.
 * - `invalid`: the document violates the schema or a rule; nothing was written.
 * - `conflict`: another version was accepted after the base version; nothing was written.
 * - `unavailable`: nothing was written, since the store or a majority of the daemons could not be reached.
 * - `unknown`: the store did not acknowledge the write, and reading it back did not determine the outcome; the write may have taken effect.
 */
export type AcceptResult =
  | AcceptedResult
  | { readonly outcome: "invalid"; readonly faults: readonly ConfigFault[] }
  | ConflictResult
  | { readonly outcome: "unavailable"; readonly message: string }
  | {
    readonly outcome: "unknown";
    readonly version: number;
    readonly message: string;
  };

/** Result for an accepted document, with the daemons on which its version is in force. */
export interface AcceptedResult extends InForceReport {
  readonly outcome: "accepted";
  readonly version: number;
  readonly digest: string;
}

/** Result for a document that was refused because another version had been accepted first. */
export interface ConflictResult {
  readonly outcome: "conflict";
  /** Version that was accepted first and is now in force. */
  readonly winner: VersionedConfig;
  /** Differences from the version in force to the refused document. */
  readonly diff: readonly ConfigDifference[];
}

/** Options of `ConfigRepository.accept`. */
export interface AcceptOptions {
  /** Version that the operator edited; acceptance fails with a conflict when it is no longer the newest. Defaults to the newest version. */
  readonly baseVersion?: number;
  /** Name of the operator, which is stored with the version. */
  readonly operator?: string;
}

/** Result of checking a document without accepting it. */
export interface CheckResult {
  readonly faults: readonly ConfigFault[];
  /** Differences from the version in force to the document. */
  readonly diff: readonly ConfigDifference[];
  /** Version in force that the document was compared with; 0 when no version has been accepted yet. */
  readonly currentVersion: number;
}

/** Dependencies of a `ConfigRepository`. */
export interface ConfigRepositoryOptions {
  readonly store: ObjectStore;
  readonly configHolder: ConfigHolder;
  readonly rules: ConfigRules;
  readonly propagation: ConfigPropagation;
  readonly logger: Logger;
}

interface CurrentConfig {
  /** Version of the stored object, on which the next write is conditional; 0 when there is no object. */
  readonly objectVersion: number;
  readonly object: StoredObject | undefined;
  /** Configuration parsed from the object; undefined when there is none or it is invalid. */
  readonly storedConfig: StoredConfig | undefined;
  /** Newer one of the stored configuration and the one in the config holder. */
  readonly newestConfig: VersionedConfig | undefined;
}

/** Validates configuration documents, stores them as new versions and keeps a history of earlier versions. */
export class ConfigRepository {
  readonly #options: ConfigRepositoryOptions;

  constructor(options: ConfigRepositoryOptions) {
    this.#options = options;
  }

  /**
   * Validates a document and stores it as the newest version with one conditional write.
   *
   * @param value - Document as parsed JSON.
   * @param options - Base version and name of the operator.
   * @example
   * ```ts
   * const result = await repository.accept(document, { baseVersion: 4 });
   * ```
   */
  async accept(
    value: unknown,
    options: AcceptOptions = {},
  ): Promise<AcceptResult> {
    const parseResult = configSchema.safeParse(value);
    if (!parseResult.success) {
      return {
        outcome: "invalid",
        faults: convertSchemaFaults(parseResult.error),
      };
    }
    const currentConfig = (await this.#readCurrent()).mapLeft((e) => e.message);
    return await currentConfig.caseOf<Promise<AcceptResult>>({
      Left: (message) => Promise.resolve({ outcome: "unavailable", message }),
      Right: (c) => this.#acceptDocument(c, parseResult.data, options),
    });
  }

  /**
   * Validates a document and compares it with the version in force, without storing it.
   *
   * @param value - Document as parsed JSON.
   */
  check(value: unknown): CheckResult {
    const { configHolder, rules } = this.#options;
    const currentConfig = configHolder.getCurrent();
    const currentVersion = configHolder.getVersion();
    const parseResult = configSchema.safeParse(value);
    if (!parseResult.success) {
      const faults = convertSchemaFaults(parseResult.error);
      return { faults, diff: [], currentVersion };
    }
    const document = parseResult.data;
    return {
      faults: rules.checkChange({ document, current: currentConfig?.document }),
      diff: getConfigDiff(currentConfig?.document ?? {}, document),
      currentVersion,
    };
  }

  /**
   * Accepts the document of an earlier version as a new version.
   *
   * @param version - Earlier version.
   * @param options - Base version and name of the operator.
   */
  async acceptEarlierVersion(
    version: number,
    options: AcceptOptions = {},
  ): Promise<AcceptResult> {
    const earlierConfig = await this.findVersion(version);
    return await earlierConfig.caseOf<Promise<AcceptResult>>({
      Left: (error) =>
        Promise.resolve({ outcome: "unavailable", message: error.message }),
      Right: (config) =>
        config === undefined
          ? Promise.resolve({
            outcome: "invalid",
            faults: [{
              path: "",
              message: `Version ${version} is not in the history`,
            }],
          })
          : this.accept(config.document, options),
    });
  }

  /**
   * Finds the newest version or a version of the history; undefined when the store does not keep it.
   *
   * @param version - Version to look up.
   */
  async findVersion(
    version: number,
  ): Promise<Either<StoreUnavailableError, StoredConfig | undefined>> {
    const { store } = this.#options;
    const mainObject = await store.getObject(CONFIG_KIND, CONFIG_NAME);
    if (mainObject.isLeft()) {
      return Left(mainObject.extract() as StoreUnavailableError);
    }
    const newestConfig = parseConfigObject(mainObject.unsafeCoerce());
    if (newestConfig?.version === version) {
      return Right(newestConfig);
    }
    const historyObject = await store.getObject(HISTORY_KIND, String(version));
    return historyObject.map(parseConfigObject);
  }

  /** Lists the earlier versions in the history, newest first. */
  async listVersions(): Promise<Either<StoreUnavailableError, StoredConfig[]>> {
    const objects = await this.#options.store.listObjects(HISTORY_KIND);
    return objects.map((list) =>
      list.map(parseConfigObject)
        .filter((config) => config !== undefined)
        .sort((a, b) => b.version - a.version)
    );
  }

  async #acceptDocument(
    current: CurrentConfig,
    document: ConfigDocument,
    options: AcceptOptions,
  ): Promise<AcceptResult> {
    const { baseVersion, operator = "" } = options;
    const { rules, propagation } = this.#options;
    const { newestConfig } = current;
    if (
      baseVersion !== undefined && baseVersion !== (newestConfig?.version ?? 0)
    ) {
      return createConflict(newestConfig, document);
    }
    const faults = rules.checkChange({
      document,
      current: newestConfig?.document,
    });
    if (faults.length > 0) {
      return { outcome: "invalid", faults };
    }
    const version = 1 + Math.max(
      current.objectVersion,
      current.storedConfig?.version ?? 0,
      newestConfig?.version ?? 0,
    );
    if (!await propagation.requestMajority(version)) {
      return {
        outcome: "unavailable",
        message:
          "A majority of the listed daemons did not acknowledge the new version; nothing was written",
      };
    }
    if (!await this.#storeInHistory(current)) {
      return {
        outcome: "unavailable",
        message:
          "The stored version could not be copied to the history; the new version was not written",
      };
    }
    const envelope: ConfigEnvelope = {
      version,
      digest: getCanonicalDigest(document),
      acceptId: randomUUID(),
      acceptedAt: new Date().toISOString(),
      operator,
      document,
    };
    return await this.#writeEnvelope(current, envelope, document);
  }

  async #writeEnvelope(
    current: CurrentConfig,
    envelope: ConfigEnvelope,
    document: ConfigDocument,
  ): Promise<AcceptResult> {
    const writeResult = await this.#options.store.putObject({
      kind: CONFIG_KIND,
      name: CONFIG_NAME,
      value: envelope,
      expectedVersion: current.objectVersion,
    });
    const finalResult = writeResult.outcome === "unknown"
      ? await this.#confirmWrite(current, envelope)
      : writeResult;
    if (finalResult.outcome === "unknown") {
      return {
        outcome: "unknown",
        version: envelope.version,
        message: finalResult.message,
      };
    }
    if (finalResult.outcome === "conflict") {
      const winner = await this.#readCurrent();
      return createConflict(
        winner.toMaybe().extract()?.newestConfig ?? current.newestConfig,
        document,
      );
    }
    return await this.#completeAccept(envelope, document);
  }

  async #completeAccept(
    envelope: ConfigEnvelope,
    document: ConfigDocument,
  ): Promise<AcceptResult> {
    const { configHolder, propagation, logger } = this.#options;
    const { version, digest } = envelope;
    logger.write("info", "config-accepted", { version, digest });
    configHolder.offer({ version, digest, document });
    const report = await propagation.collectInForce(version);
    await this.#trimHistory();
    return { outcome: "accepted", version, digest, ...report };
  }

  async #readCurrent(): Promise<Either<StoreUnavailableError, CurrentConfig>> {
    const { store, configHolder } = this.#options;
    const result = await store.getObject(CONFIG_KIND, CONFIG_NAME);
    return result.map((object) => {
      const storedConfig = parseConfigObject(object);
      const heldConfig = configHolder.getCurrent();
      const newestConfig =
        (storedConfig?.version ?? 0) > (heldConfig?.version ?? 0)
          ? storedConfig
          : heldConfig ?? storedConfig;
      return {
        objectVersion: object?.version ?? 0,
        object,
        storedConfig,
        newestConfig,
      };
    });
  }

  /** Reads the object back after a write of unknown outcome, which may have taken effect and may since have been replaced by a later write. */
  async #confirmWrite(
    current: CurrentConfig,
    envelope: ConfigEnvelope,
  ): Promise<WriteOutcome> {
    const { store } = this.#options;
    let message = "The store did not acknowledge the write";
    for (let attempt = 1; attempt <= CONFIRM_ATTEMPTS; attempt++) {
      await delay(CONFIRM_DELAY_MS * attempt);
      const mainObject = await store.getObject(CONFIG_KIND, CONFIG_NAME);
      if (mainObject.isLeft()) {
        message = getErrorMessage(mainObject.extract());
        continue;
      }
      const object = mainObject.unsafeCoerce();
      if (parseConfigObject(object)?.acceptId === envelope.acceptId) {
        return { outcome: "written", version: object!.version };
      }
      if ((object?.version ?? 0) !== current.objectVersion) {
        return await this.#confirmFromHistory(envelope);
      }
      // The first write may still be in transit. Repeating it is safe, since only one of the two can match the expected object version.
      const retryResult = await store.putObject({
        kind: CONFIG_KIND,
        name: CONFIG_NAME,
        value: envelope,
        expectedVersion: current.objectVersion,
      });
      if (retryResult.outcome === "written") {
        return retryResult;
      }
    }
    return { outcome: "unknown", message };
  }

  /** Checks whether the written version is in the history, where a later write has moved it if it took effect. */
  async #confirmFromHistory(envelope: ConfigEnvelope): Promise<WriteOutcome> {
    const historyObject = await this.#options.store.getObject(
      HISTORY_KIND,
      String(envelope.version),
    );
    return historyObject.caseOf<WriteOutcome>({
      Left: (error) => ({ outcome: "unknown", message: error.message }),
      Right: (object) =>
        parseConfigObject(object)?.acceptId === envelope.acceptId
          ? { outcome: "written", version: envelope.version }
          : { outcome: "conflict" },
    });
  }

  /** Copies the stored version to the history before it is replaced, so that the history contains every version but the newest. Returns whether the history contains the copy. */
  async #storeInHistory(current: CurrentConfig): Promise<boolean> {
    const { storedConfig, object } = current;
    if (storedConfig === undefined || object === undefined) {
      return true;
    }
    const value: ConfigEnvelope = storedConfig.acceptId === undefined
      ? {
        version: storedConfig.version,
        digest: getCanonicalDigest(object.value),
        acceptId: "",
        acceptedAt: "",
        operator: "",
        document: object.value,
      }
      : object.value as ConfigEnvelope;
    const name = String(storedConfig.version);
    const writeResult = await this.#options.store.putObject({
      kind: HISTORY_KIND,
      name,
      value,
      expectedVersion: 0,
    });
    if (writeResult.outcome === "written") {
      return true;
    }
    const historyObject = await this.#options.store.getObject(
      HISTORY_KIND,
      name,
    );
    return historyObject.toMaybe().extract() !== undefined;
  }

  async #trimHistory(): Promise<void> {
    const { store, logger } = this.#options;
    const objects = (await store.listObjects(HISTORY_KIND)).orDefault([]);
    const surplusObjects = objects
      .sort((a, b) => Number(b.name) - Number(a.name))
      .slice(MAX_HISTORY_VERSIONS);
    for (const { kind, name, version } of surplusObjects) {
      await store.deleteObject({ kind, name, expectedVersion: version });
      logger.write("debug", "config-history-trimmed", { version: name });
    }
  }
}

function convertSchemaFaults(error: z.ZodError): ConfigFault[] {
  return error.issues.map((issue) => ({
    path: issue.path.join("."),
    message: issue.message,
  }));
}

function parseConfigObject(
  object: StoredObject | undefined,
): StoredConfig | undefined {
  return object === undefined
    ? undefined
    : parseStoredConfig(object).toMaybe().extract();
}

function createConflict(
  winner: VersionedConfig | undefined,
  document: ConfigDocument,
): AcceptResult {
  if (winner === undefined) {
    return {
      outcome: "unavailable",
      message: "The base version does not exist and no version is in force",
    };
  }
  const diff = getConfigDiff(winner.document, document);
  return { outcome: "conflict", winner, diff };
}
