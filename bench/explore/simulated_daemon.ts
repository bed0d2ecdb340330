import type { GroupOrderClient } from "../../src/connection/group_order_client.ts";
import { BackendDirectory } from "../../src/process/fleet/backend_directory.ts";
import { GroupFailureDetector } from "../../src/process/fleet/group_failure_detector.ts";
import { GroupLoads } from "../../src/process/fleet/group_loads.ts";
import { GroupTable } from "../../src/process/fleet/group_table.ts";
import type { ObjectChanges } from "../../src/process/fleet/object_watcher.ts";
import type { PlannerLeaseHolder } from "../../src/process/fleet/planner_lease_holder.ts";
import { ReplicaReconciler } from "../../src/process/fleet/replica_reconciler.ts";
import { StreamAttempts } from "../../src/process/fleet/stream_attempts.ts";
import type { BackendServer } from "../../src/shared/backend_server.ts";
import { delay } from "../../src/shared/delay.ts";
import { LifeCycleManager } from "../../src/shared/life_cycle_manager.ts";
import type { Logger } from "../../src/shared/logger.ts";
import type { RoutedService } from "../../src/version/routing_config.ts";
import type { DaemonParts } from "./daemon_parts.ts";
import type { SimulatedStoreLink } from "./simulated_store.ts";

/** Interval at which streams of groups that stand still are noticed, in milliseconds. */
const STREAM_CHECK_MS = 300;

/** Time between two notices to the other daemons, in milliseconds. */
const NOTICE_INTERVAL_MS = 400;
/** Time after its last notice for which the planner counts as known, in milliseconds. */
const PLANNER_TIMEOUT_MS = 2_000;

/** Surroundings of a simulated daemon. */
export interface SimulatedDaemonOptions {
  readonly name: string;
  /** Owner of the daemon's timers. */
  readonly owner: string;
  readonly parts: DaemonParts;
  readonly orders: GroupOrderClient;
  readonly storeLink: SimulatedStoreLink;
  readonly logger: Logger;
  readonly service: RoutedService;
  /** Gets whether the streams of a group stand still. */
  isStanding(headAddress: string): boolean;
  /** Called when a task of the daemon ends with an error. */
  onTaskFailure(message: string): void;
  /** Sends a notice to the other daemons. */
  sendNotice(notice: DaemonNotice): void;
}

/** Message between two daemons. */
export interface DaemonNotice {
  readonly source: string;
  /** Term of the planner lease while the sender holds it. */
  readonly term: number | undefined;
  readonly lostKeys: readonly string[];
  /** Groups that the sender has begun to suspect since its last notice. */
  readonly suspectedKeys: readonly string[];
}

/** Daemon with the real parts that decide on groups. */
export class SimulatedDaemon {
  readonly name: string;
  readonly owner: string;
  readonly storeLink: SimulatedStoreLink;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly lease: PlannerLeaseHolder;
  readonly #options: SimulatedDaemonOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #detector: GroupFailureDetector;
  readonly #reconciler: ReplicaReconciler;
  #service: RoutedService;
  /** Monotonic time of the last notice of another daemon that holds the lease, in milliseconds. */
  #holderSeenAtMs = Number.NEGATIVE_INFINITY;
  #sentSuspectedKeys: readonly string[] = [];

  constructor(options: SimulatedDaemonOptions) {
    const { logger, parts, orders, storeLink, name } = options;
    this.#options = options;
    this.name = name;
    this.owner = options.owner;
    this.storeLink = storeLink;
    this.#service = options.service;
    this.directory = parts.createDirectory({ logger });
    this.groups = new GroupTable({
      directory: this.directory,
      logger,
      findModel: (_service, model) =>
        this.#service.engine?.models.find((other) => other.name === model),
    });
    this.lease = parts.createLease({
      store: storeLink.createClient(),
      kind: "leases",
      name,
      logger,
      areOrdersFenced: true,
      isHolderReported: () =>
        performance.now() - this.#holderSeenAtMs <= PLANNER_TIMEOUT_MS,
      onStoreRecovered: () => {},
    });
    const loads = new GroupLoads();
    loads.addRequest("traffic");
    this.#reconciler = new ReplicaReconciler({
      directory: this.directory,
      groups: this.groups,
      orders: parts.createExecutor({
        directory: this.directory,
        orders,
        lease: this.lease,
        logger,
      }),
      lease: this.lease,
      loads,
      logger,
      listEngineServices: () => [this.#service],
      getExcludedZones: () => new Set(),
    });
    this.#detector = new GroupFailureDetector({
      groups: this.groups,
      attempts: new StreamAttempts(),
      orders,
      logger,
      announceLoss: () => this.#sendNotice(),
    });
  }

  /** Starts the tasks of the daemon. */
  start(): void {
    const { signal } = this.#lifeCycle;
    const { name } = this;
    const recordFailure = (error: unknown) =>
      this.#options.onTaskFailure(`${name}: ${(error as Error).stack}`);
    this.lease.run(signal).catch(recordFailure);
    this.#reconciler.run(signal).catch(recordFailure);
    this.#detector.run(signal).catch(recordFailure);
    this.#watchStreams(signal).catch(recordFailure);
    this.#sendNotices(signal).catch(recordFailure);
  }

  /** Ends the daemon like a killed process. */
  dispose(): Promise<void> {
    return this.#lifeCycle.dispose();
  }

  /** Puts a configuration into force. */
  applyService(service: RoutedService): void {
    this.#service = service;
    this.groups.refresh();
  }

  /** Applies changes of the list of servers. */
  applyEntries(
    entries: readonly BackendServer[],
    removed: readonly string[],
    revision: number,
  ): void {
    const change: ObjectChanges<BackendServer> = {
      changed: new Map(entries.map((entry) => [entry.id, entry])),
      removed,
      revision,
      changeRevision: revision,
      outageMs: 0,
      isSnapshot: false,
    };
    this.directory.applyChange(change);
  }

  /** Applies a notice of another daemon. */
  applyNotice({ source, term, lostKeys, suspectedKeys }: DaemonNotice): void {
    if (term !== undefined) {
      this.#holderSeenAtMs = performance.now();
      this.lease.observeTerm(term, source);
    }
    lostKeys.forEach((key) =>
      this.groups.recordLoss(key, `reported by ${source}`)
    );
    suspectedKeys.forEach((key) =>
      this.groups.recordReportedSuspicion(key, source)
    );
  }

  #sendNotice(): void {
    const suspectedKeys = this.groups.listSuspectedKeys();
    const newSuspectedKeys = suspectedKeys.filter((key) =>
      !this.#sentSuspectedKeys.includes(key)
    );
    this.#sentSuspectedKeys = suspectedKeys;
    this.#options.sendNotice({
      source: this.name,
      term: this.lease.getTerm(),
      lostKeys: this.groups.listLostKeys(),
      suspectedKeys: newSuspectedKeys,
    });
  }

  async #sendNotices(signal: AbortSignal): Promise<void> {
    while (await delay(NOTICE_INTERVAL_MS, signal)) {
      this.#sendNotice();
    }
  }

  /** Checks groups whose streams stand still, as silent streams cause it in the forwarder. */
  async #watchStreams(signal: AbortSignal): Promise<void> {
    while (await delay(STREAM_CHECK_MS, signal)) {
      for (const group of this.groups.listAll()) {
        if (this.#options.isStanding(group.head.address)) {
          await this.#detector.checkGroup(group, "silence");
        }
      }
    }
  }
}
