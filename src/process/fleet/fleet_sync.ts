import type { FleetPeerClients } from "../../connection/fleet_peer_router.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutingConfig } from "../../version/routing_config.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { CrashCounter } from "./crash_counter.ts";
import type { ExcludedZones } from "./excluded_zones.ts";
import type { GroupLoads } from "./group_loads.ts";
import type { GroupTable } from "./group_table.ts";
import { ObjectWatcher } from "./object_watcher.ts";
import type { PeerTable } from "./peer_table.ts";
import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Delay between two calls of the watches on the configuration and the excluded zones, in milliseconds. It is short because a new configuration has to take effect soon. */
const CONFIG_BATCH_DELAY_MS = 50;
/** Delay between two calls of the planner's watch on the servers, in milliseconds. Server changes arrive in bursts and are batched, but an outdated list at the planner delays the formation of groups. */
const PLANNER_BATCH_DELAY_MS = 200;
/** Delay between two calls of the watch on the servers at the other daemons, in milliseconds. It may be longer, since they detect lost groups by their streams and the notices of peers. */
const SERVERS_BATCH_DELAY_MS = 350;
/** Timeout of one watch call on the servers at a hub with members, in milliseconds. Each response confirms the list that the members receive from the hub; without a recent confirmation they read the store themselves. */
const HUB_WATCH_TIMEOUT_MS = 1_000;
/** Age of a hub's list, counted from its last confirmation by the store, above which a member reads the store itself, in milliseconds. It covers the timeout of the hub's watch and a slow response. */
const MAX_HUB_LIST_AGE_MS = 2_500;
/** Time for which a peer's list of servers may be newer before this daemon restarts its watches, in milliseconds. A shorter lag is normal, since changes are batched. */
const LAG_TOLERANCE_MS = 700;

/** Components that the synchronisation reads and updates. */
export interface FleetSyncOptions {
  readonly platform: PlatformAdapter;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly loads: GroupLoads;
  readonly crashes: CrashCounter;
  readonly excludedZones: ExcludedZones;
  readonly peerTable: PeerTable;
  readonly clients: FleetPeerClients;
  readonly logger: Logger;
  /** Gets whether this daemon is the planner of the groups. */
  isPlanner(): boolean;
  /** Gets whether this daemon is a hub, which always reads the store. */
  isHub(): boolean;
  /** Sends a notice to the partners at once. */
  announce(): void;
  getConfigVersion(): number;
  applyConfig(config: RoutingConfig, source: string): void;
}

/** Keeps the configuration, the excluded zones and the list of backend servers of this daemon up to date, from the store and from peers that have newer data. */
export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #configWatch: ObjectWatcher<RoutingConfig>;
  readonly #zonesWatch: ObjectWatcher<true>;
  readonly #serversWatch: ObjectWatcher<BackendServer>;
  readonly #excludedZoneNames = new Set<string>();
  readonly #pendingFetches = new Set<string>();
  #laggingSinceMs: number | undefined;
  /** Monotonic time at which the store last confirmed the list of servers of this daemon's hub, in milliseconds. */
  #hubConfirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    const { platform, logger, directory } = options;
    const { store, kinds } = platform;
    this.#configWatch = new ObjectWatcher<RoutingConfig>({
      store,
      logger,
      kind: kinds.config,
      getBatchDelayMs: () => CONFIG_BATCH_DELAY_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: true,
      decode: ({ value }) => platform.decodeConfig(value),
      onChange: ({ changed }) =>
        changed.forEach((config) => options.applyConfig(config, "store")),
    });
    this.#zonesWatch = new ObjectWatcher<true>({
      store,
      logger,
      kind: kinds.excludedZones,
      getBatchDelayMs: () => CONFIG_BATCH_DELAY_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: true,
      decode: () => true,
      onChange: ({ changed, removed, revision, isSnapshot }) => {
        if (isSnapshot) {
          this.#excludedZoneNames.clear();
        }
        [...changed.keys()].forEach((zone) =>
          this.#excludedZoneNames.add(zone)
        );
        removed.forEach((zone) => this.#excludedZoneNames.delete(zone));
        const zones = [...this.#excludedZoneNames];
        options.excludedZones.applyNotice({ revision, zones }, "store");
      },
    });
    this.#serversWatch = new ObjectWatcher<BackendServer>({
      store,
      logger,
      kind: kinds.servers,
      getBatchDelayMs: () =>
        options.isPlanner() ? PLANNER_BATCH_DELAY_MS : SERVERS_BATCH_DELAY_MS,
      getWatchTimeoutMs: () =>
        options.peerTable.listMembers().length > 0
          ? HUB_WATCH_TIMEOUT_MS
          : undefined,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: false,
      decode: ({ name, value, version }) =>
        platform.decodeServer(name, value, version),
      onChange: (change) => directory.applyChange(change),
      onStoreRecovered: () => {
        // The connections of the other watches may have been lost in the same outage; without a restart, this would be noticed only after their longer timeouts.
        this.#configWatch.restart();
        this.#zonesWatch.restart();
      },
    });
  }

  /** Runs the watches on the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#configWatch.run(signal),
      this.#zonesWatch.run(signal),
      this.#serversWatch.run(signal),
    ]);
  }

  /** Restarts all watches, since their pending calls may wait on connections that were lost in an outage. */
  restartWatches(): void {
    this.#configWatch.restart();
    this.#zonesWatch.restart();
    this.#serversWatch.restart();
  }

  /** Gets whether this daemon reads the store itself. A member that is not the planner receives all data from its hub as long as the store has recently confirmed the hub's list of servers. */
  #isReadingStore(): boolean {
    const { isHub, isPlanner } = this.#options;
    const untilMs = this.#hubConfirmedAtMs + MAX_HUB_LIST_AGE_MS;
    return isHub() || isPlanner() || performance.now() > untilMs;
  }

  /**
   * Gets the fields of a notice that describe the list of servers. A notice to a member also contains the changes that the member lacks.
   *
   * @param partner - Name of the receiver.
   * @param relation - Role of this daemon towards the receiver.
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

  /** Applies the notice of a peer, and requests the data that this daemon lacks. */
  applyNotice(notice: PeerNotice): void {
    const { peerTable, loads, crashes, excludedZones } = this.#options;
    const { sender } = notice;
    peerTable.applyNotice(notice);
    loads.applyPeerLoad(notice);
    this.#applyLosses(notice);
    notice.crashes.forEach((crash) => crashes.applyNotice(crash));
    excludedZones.applyNotice(notice.excludedZones, sender.name);
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

  /** Records the lost groups that a peer reported. A hub with members announces new losses at once, since its members receive notices from no other daemon. */
  #applyLosses({ sender, lostGroups }: PeerNotice): void {
    const { groups, peerTable, announce } = this.#options;
    const newLosses = lostGroups.filter((key) =>
      groups.recordLoss(key, `reported by ${sender.name}`)
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

  /** Runs a fetch unless one of the same name is pending, and logs its failure. */
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
