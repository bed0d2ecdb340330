import type { FleetPeerClients } from "../../connection/fleet_peer_router.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutingConfig } from "../../version/routing_config.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { CrashLedger } from "./crash_ledger.ts";
import type { ExcludedZones } from "./excluded_zones.ts";
import type { GroupLoads } from "./group_loads.ts";
import type { GroupTable } from "./group_table.ts";
import { KindWatch } from "./kind_watch.ts";
import type { PeerTable } from "./peer_table.ts";
import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Pauses between two calls of a watch, in milliseconds: a configuration has to be in force soon, while changes of servers come in bunches. The planner's picture of the servers delays groups; the other daemons learn of lost groups from their streams and peers. */
const CONFIG_BATCH_DELAY_MS = 50;
const PLANNER_BATCH_DELAY_MS = 200;
const SERVERS_BATCH_DELAY_MS = 350;
/** Longest wait of the watch on the servers at a daemon that others rely on, in milliseconds: it shows them that the store is in reach, and they read it themselves when it is not. */
const HUB_WATCH_TIMEOUT_MS = 1_000;
/** Age above which the list of a hub counts as out of date, in milliseconds: the wait of its watch and a slow answer. */
const MAX_HUB_LIST_AGE_MS = 2_500;
/** Time by which a peer may be ahead through the gathering of changes, in milliseconds. */
const LAG_TOLERANCE_MS = 700;

/** Parts that are kept up to date. */
export interface FleetSyncOptions {
  readonly platform: PlatformAdapter;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly loads: GroupLoads;
  readonly crashes: CrashLedger;
  readonly excludedZones: ExcludedZones;
  readonly peerTable: PeerTable;
  readonly clients: FleetPeerClients;
  readonly logger: Logger;
  /** Gets whether this daemon plans the groups. */
  isPlanner(): boolean;
  /** Gets whether this daemon reads the store in any case. */
  isHub(): boolean;
  /** Tells the partners of news at once. */
  announce(): void;
  getConfigVersion(): number;
  applyConfig(config: RoutingConfig, source: string): void;
}

/** Keeps this daemon's picture of configuration, zones and backend servers up to date: from the store, and from peers where they know more. */
export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #configWatch: KindWatch<RoutingConfig>;
  readonly #zonesWatch: KindWatch<true>;
  readonly #serversWatch: KindWatch<BackendServer>;
  readonly #excludedZoneNames = new Set<string>();
  readonly #pendingFetches = new Set<string>();
  #laggingSinceMs: number | undefined;
  /** Monotonic time at which the store confirmed the list that a hub handed over. */
  #hubConfirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    const { platform, logger, directory } = options;
    const { store, kinds } = platform;
    this.#configWatch = new KindWatch<RoutingConfig>({
      store,
      logger,
      kind: kinds.config,
      getGatherMs: () => CONFIG_BATCH_DELAY_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastGood: true,
      decode: ({ value }) => platform.decodeConfig(value),
      onChange: ({ changed }) =>
        changed.forEach((config) => options.applyConfig(config, "store")),
    });
    this.#zonesWatch = new KindWatch<true>({
      store,
      logger,
      kind: kinds.excludedZones,
      getGatherMs: () => CONFIG_BATCH_DELAY_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastGood: true,
      decode: () => true,
      onChange: ({ changed, removed, revision, isWhole }) => {
        if (isWhole) {
          this.#excludedZoneNames.clear();
        }
        [...changed.keys()].forEach((zone) =>
          this.#excludedZoneNames.add(zone)
        );
        removed.forEach((zone) => this.#excludedZoneNames.delete(zone));
        const zones = [...this.#excludedZoneNames];
        options.excludedZones.offer({ revision, zones }, "store");
      },
    });
    this.#serversWatch = new KindWatch<BackendServer>({
      store,
      logger,
      kind: kinds.servers,
      getGatherMs: () =>
        options.isPlanner() ? PLANNER_BATCH_DELAY_MS : SERVERS_BATCH_DELAY_MS,
      getWaitMs: () =>
        options.peerTable.listMembers().length > 0
          ? HUB_WATCH_TIMEOUT_MS
          : undefined,
      isNeeded: () => this.#isReadingStore(),
      keepsLastGood: false,
      decode: ({ name, value, version }) =>
        platform.decodeServer(name, value, version),
      onChange: (change) => directory.applyChange(change),
      onRegained: () => {
        // The waits of the other watches are longer, and their connections may have died at the same time.
        this.#configWatch.restart();
        this.#zonesWatch.restart();
      },
    });
  }

  /** Watches the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#configWatch.run(signal),
      this.#zonesWatch.run(signal),
      this.#serversWatch.run(signal),
    ]);
  }

  /** Watches anew, since the running calls may wait on connections that died in an outage. */
  restartWatches(): void {
    this.#configWatch.restart();
    this.#zonesWatch.restart();
    this.#serversWatch.restart();
  }

  /** Gets whether this daemon reads the store itself rather than taking everything from a hub whose list of servers was confirmed lately. */
  #isReadingStore(): boolean {
    const { isHub, isPlanner } = this.#options;
    const untilMs = this.#hubConfirmedAtMs + MAX_HUB_LIST_AGE_MS;
    return isHub() || isPlanner() || performance.now() > untilMs;
  }

  /**
   * Gets what a notice says of the list of servers; a member also gets the changes that it lacks.
   *
   * @param partner - Name of the receiver.
   * @param relation - What this daemon is to the receiver.
   */
  getServersNotice(partner: string, relation: PeerRelation): Pick<
    PeerNotice,
    "serversRevision" | "serversChangeRevision" | "serversAgeMs" | "servers"
  > {
    const { directory, peerTable } = this.#options;
    const partnerRevision = peerTable.getServersRevision(partner);
    const isBehind = relation === "hub" && directory.isPopulated &&
      partnerRevision !== undefined && partnerRevision < directory.revision;
    return {
      serversRevision: directory.revision,
      serversChangeRevision: directory.changeRevision,
      serversAgeMs: this.#serversWatch.ageMs,
      servers: isBehind ? directory.getNotice(partnerRevision) : undefined,
    };
  }

  /** Takes what a peer told. */
  applyNotice(notice: PeerNotice): void {
    const { peerTable, loads, crashes, excludedZones } = this.#options;
    const { sender } = notice;
    peerTable.applyNotice(notice);
    loads.applyPeerLoad(notice);
    this.#applyLosses(notice);
    notice.crashes.forEach((crash) => crashes.applyNotice(crash));
    excludedZones.offer(notice.excludedZones, sender.name);
    if (notice.relation === "hub") {
      this.#applyServers(notice);
    }
    if (notice.configVersion > this.#options.getConfigVersion()) {
      void this.#requestConfig(notice);
    }
    const { changeRevision } = this.#options.directory;
    if (notice.serversChangeRevision > changeRevision) {
      this.#checkLag(notice);
    } else {
      this.#laggingSinceMs = undefined;
    }
  }

  /** A hub passes news of a loss on at once, since its members hear from no other daemon. */
  #applyLosses({ sender, lostGroups }: PeerNotice): void {
    const { groups, peerTable, announce } = this.#options;
    const newLosses = lostGroups.filter((key) =>
      groups.recordLoss(key, `told by ${sender.name}`)
    );
    if (newLosses.length > 0 && peerTable.listMembers().length > 0) {
      announce();
    }
  }

  #applyServers({ servers, serversAgeMs }: PeerNotice): void {
    if (servers !== undefined) {
      this.#options.directory.offerNotice(servers);
    }
    if (serversAgeMs !== undefined) {
      const confirmedAtMs = performance.now() - serversAgeMs;
      this.#hubConfirmedAtMs = Math.max(this.#hubConfirmedAtMs, confirmedAtMs);
    }
  }

  #checkLag(notice: PeerNotice): void {
    this.#laggingSinceMs ??= performance.now();
    if (performance.now() - this.#laggingSinceMs > LAG_TOLERANCE_MS) {
      this.#laggingSinceMs = undefined;
      this.#options.logger.write("info", "list-behind", {
        peer: notice.sender.name,
        revision: this.#options.directory.changeRevision,
        peerRevision: notice.serversChangeRevision,
      });
      this.restartWatches();
      void this.#requestServers(notice);
    }
  }

  async #requestConfig({ sender }: PeerNotice): Promise<void> {
    const { name, address } = sender;
    const { clients, applyConfig } = this.#options;
    await this.#runSingleFlight("config", async () => {
      const config = await clients.getClient(address).getConfig.query();
      if (config !== null) {
        applyConfig(config, name);
      }
    });
  }

  async #requestServers({ sender: { address } }: PeerNotice): Promise<void> {
    const { clients, directory } = this.#options;
    await this.#runSingleFlight("servers", async () => {
      const notice = await clients.getClient(address).getServers.query();
      directory.offerNotice(notice);
    });
  }

  async #runSingleFlight(
    fetchName: string,
    fetch: () => Promise<void>,
  ): Promise<void> {
    if (this.#pendingFetches.has(fetchName)) {
      return;
    }
    this.#pendingFetches.add(fetchName);
    try {
      await fetch();
    } catch (error) {
      this.#options.logger.write("warn", "peer-fetch-failed", {
        what: fetchName,
        message: getErrorMessage(error),
      });
    } finally {
      this.#pendingFetches.delete(fetchName);
    }
  }
}
