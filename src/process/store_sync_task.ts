import type { StoredObject, WatchEvent } from "../connection/object_store.ts";
import { delay } from "../shared/delay.ts";
import type { DomainPlacement } from "../version/placement.ts";
import {
  parseStoredConfig,
  type StoredConfig,
} from "../version/stored_config.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { chooseStoreReaders } from "./peer_selection.ts";

/** Maximum duration of one watch request, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;
/** Maximum number of reads that run at the same time. With a slow store, a read is still sent in each interval until this number is reached. */
const MAX_READS_IN_FLIGHT = 4;

/** Reads the configuration, the placements and the VM list from the platform, if this daemon is a store reader. */
export class StoreSyncTask {
  readonly #context: DaemonContext;
  #readsInFlight = 0;
  #reportedRelation = "";
  #readsStore = true;
  #vmListDigest: number | undefined;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    await Promise.all([
      this.#runPolls(),
      this.#runWatch("config"),
      this.#runWatch("placement"),
    ]);
  }

  /** Reads the configuration, the placements and the VM list once. */
  async syncOnce(): Promise<void> {
    await Promise.all([
      this.#syncConfig(),
      this.#syncPlacement(),
      this.#syncVms(),
    ]);
  }

  /** Polls the store in each exchange interval for its confirmations, and for changes that a watch delays or misses. */
  async #runPolls(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      if (this.#isStoreReader() && this.#readsInFlight < MAX_READS_IN_FLIGHT) {
        this.#readsInFlight++;
        void this.syncOnce().finally(() => this.#readsInFlight--);
      }
    } while (await delay(settings.exchangeIntervalMs, lifeCycle.signal));
  }

  async #runWatch(kind: "config" | "placement"): Promise<void> {
    const { settings, lifeCycle, store } = this.#context;
    let sinceRevision = 0;
    do {
      while (this.#isStoreReader() && !lifeCycle.signal.aborted) {
        const result = await store.watch({
          kind,
          sinceRevision,
          timeoutMs: WATCH_TIMEOUT_MS,
          signal: lifeCycle.signal,
        });
        const watchResult = result.toMaybe().extract();
        if (watchResult === undefined) {
          break;
        }
        sinceRevision = watchResult.revision;
        watchResult.events.forEach((event) => this.#applyEvent(kind, event));
        if (watchResult.reset) {
          await this.syncOnce();
        }
      }
    } while (await delay(settings.exchangeIntervalMs, lifeCycle.signal));
  }

  /** Gets whether this daemon reads the store. A daemon that is not in its VM list always reads it, since it may not know any peer. */
  #isStoreReader(): boolean {
    const { vmTable, settings } = this.#context;
    if (vmTable.getDigest() !== this.#vmListDigest) {
      this.#vmListDigest = vmTable.getDigest();
      const entryVms = vmTable.getEntryVms();
      this.#readsStore = !entryVms.some((vm) => vm.name === settings.name) ||
        chooseStoreReaders(entryVms).has(settings.name);
    }
    return this.#readsStore;
  }

  #applyEvent(kind: "config" | "placement", event: WatchEvent): void {
    if (event.object === undefined) {
      return;
    }
    if (kind === "placement") {
      this.#offerPlacement(event.object.version, event.object.value);
    } else if (event.name === "main") {
      parseStoredConfig(event.object).ifRight((c) => this.#offerConfig(c));
    }
  }

  async #syncConfig(): Promise<void> {
    const { store, freshness, agreement, configHolder } = this.#context;
    const requestedAtMs = performance.now();
    const versionAtRequest = configHolder.getVersion();
    const result = await store.getObject("config", "main");
    result.ifRight((object) => {
      const isConfirmed = object === undefined
        ? configHolder.getVersion() === 0
        : this.#applyConfig(object, versionAtRequest);
      if (isConfirmed) {
        freshness.recordStoreRead(performance.now() - requestedAtMs);
        agreement.recordConfirmation(requestedAtMs);
      }
    });
  }

  /**
   * Applies a configuration that was read from the store. If the store has lost the version in force, that version stays in force and the read doesn't count as a confirmation.
   *
   * @param object - Object that was read.
   * @param versionAtRequest - Version in force when the read was sent. If a newer version came into force in the meantime, an older version in the response doesn't mean that the store has lost the newer one.
   * @returns Whether the store confirms the version in force.
   */
  #applyConfig(object: StoredObject, versionAtRequest: number): boolean {
    const parseResult = parseStoredConfig(object);
    const config = parseResult.toMaybe().extract();
    if (config === undefined) {
      this.#reportRelation(
        "invalid",
        object.version,
        String(parseResult.extract()),
      );
      return false;
    }
    const relation = this.#context.configHolder.compare(config);
    this.#offerConfig(config);
    const isOutdatedRead = relation === "reverted" &&
      config.version >= versionAtRequest;
    this.#reportRelation(isOutdatedRead ? "same" : relation, config.version);
    return isOutdatedRead || relation === "newer" || relation === "same";
  }

  #offerConfig(config: StoredConfig): void {
    const { configHolder, logger } = this.#context;
    if (configHolder.offer(config)) {
      logger.write("info", "config-applied", {
        version: config.version,
        source: "store",
      });
    }
  }

  #reportRelation(relation: string, version: number, message?: string): void {
    const isFaulty = relation !== "newer" && relation !== "same";
    if (isFaulty && relation !== this.#reportedRelation) {
      this.#context.logger.write("error", `config-${relation}`, {
        storeVersion: version,
        versionInForce: this.#context.configHolder.getVersion(),
        message,
      });
    }
    this.#reportedRelation = relation;
  }

  async #syncPlacement(): Promise<void> {
    const result = await this.#context.store.listObjects("placement");
    result.ifRight((objects) => {
      for (const object of objects) {
        this.#offerPlacement(object.version, object.value);
      }
    });
  }

  #offerPlacement(objectVersion: number, value: unknown): void {
    const placement = value as DomainPlacement;
    this.#context.placementHolder.offer({ objectVersion, placement });
  }

  async #syncVms(): Promise<void> {
    const { vmDirectory, vmTable } = this.#context;
    const requestedAtMs = performance.now();
    const result = await vmDirectory.getVms();
    result.ifRight((vms) =>
      vmTable.replace(vms, performance.now() - requestedAtMs)
    );
  }
}
