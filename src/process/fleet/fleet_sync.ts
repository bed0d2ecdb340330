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
import type { PeerBoard } from "./peer_board.ts";
import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Pauses between two calls of a watch, in milliseconds: a configuration has to be in force soon, while changes of servers come in bunches. The planner's picture of the servers delays groups; the other daemons learn of lost groups from their streams and peers. */
const CONFIG_GATHER_MS = 50;
const PLANNER_GATHER_MS = 200;
const SERVERS_GATHER_MS = 350;
/** Longest wait of the watch on the servers at a daemon that others rely on, in milliseconds: it shows them that the store is in reach, and they read it themselves when it is not. */
const HUB_WAIT_MS = 1_000;
/** Age above which the list of a hub counts as out of date, in milliseconds: the wait of its watch and a slow answer. */
const MAX_HUB_AGE_MS = 2_500;
/** Time by which a peer may be ahead through the gathering of changes, in milliseconds. */
const BEHIND_MS = 700;

/** Parts that are kept up to date. */
export interface FleetSyncOptions {
  readonly platform: PlatformAdapter;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly loads: GroupLoads;
  readonly crashes: CrashCounter;
  readonly excludedZones: ExcludedZones;
  readonly board: PeerBoard;
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
  readonly #config: ObjectWatcher<RoutingConfig>;
  readonly #zones: ObjectWatcher<true>;
  readonly #servers: ObjectWatcher<BackendServer>;
  readonly #zoneNames = new Set<string>();
  readonly #running = new Set<string>();
  #behindSinceMs: number | undefined;
  /** Monotonic time at which the store confirmed the list that a hub handed over. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    const { platform, logger, directory } = options;
    const { store, kinds } = platform;
    this.#config = new ObjectWatcher<RoutingConfig>({
      store,
      logger,
      kind: kinds.config,
      getBatchDelayMs: () => CONFIG_GATHER_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: true,
      decode: ({ value }) => platform.decodeConfig(value),
      onChange: ({ changed }) =>
        changed.forEach((config) => options.applyConfig(config, "store")),
    });
    this.#zones = new ObjectWatcher<true>({
      store,
      logger,
      kind: kinds.excludedZones,
      getBatchDelayMs: () => CONFIG_GATHER_MS,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: true,
      decode: () => true,
      onChange: ({ changed, removed, revision, isSnapshot: isWhole }) => {
        if (isWhole) {
          this.#zoneNames.clear();
        }
        [...changed.keys()].forEach((zone) => this.#zoneNames.add(zone));
        removed.forEach((zone) => this.#zoneNames.delete(zone));
        const zones = [...this.#zoneNames];
        options.excludedZones.applyNotice({ revision, zones }, "store");
      },
    });
    this.#servers = new ObjectWatcher<BackendServer>({
      store,
      logger,
      kind: kinds.servers,
      getBatchDelayMs: () =>
        options.isPlanner() ? PLANNER_GATHER_MS : SERVERS_GATHER_MS,
      getWatchTimeoutMs: () =>
        options.board.listMembers().length > 0 ? HUB_WAIT_MS : undefined,
      isNeeded: () => this.#isReadingStore(),
      keepsLastValid: false,
      decode: ({ name, value, version }) =>
        platform.decodeServer(name, value, version),
      onChange: (change) => directory.applyChange(change),
      onStoreRecovered: () => {
        // The waits of the other watches are longer, and their connections may have died at the same time.
        this.#config.restart();
        this.#zones.restart();
      },
    });
  }

  /** Watches the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#config.run(signal),
      this.#zones.run(signal),
      this.#servers.run(signal),
    ]);
  }

  /** Watches anew, since the running calls may wait on connections that died in an outage. */
  restartWatches(): void {
    this.#config.restart();
    this.#zones.restart();
    this.#servers.restart();
  }

  /** Gets whether this daemon reads the store itself rather than taking everything from a hub whose list of servers was confirmed lately. */
  #isReadingStore(): boolean {
    const { isHub, isPlanner } = this.#options;
    const untilMs = this.#confirmedAtMs + MAX_HUB_AGE_MS;
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
    const { directory, board } = this.#options;
    const revisionThere = board.getServersRevision(partner);
    const isBehind = relation === "hub" && directory.isListed &&
      revisionThere !== undefined && revisionThere < directory.revision;
    return {
      serversRevision: directory.revision,
      serversChangeRevision: directory.changeRevision,
      serversAgeMs: this.#servers.ageMs,
      servers: isBehind ? directory.getNotice(revisionThere) : undefined,
    };
  }

  /** Takes what a peer told. */
  applyNotice(notice: PeerNotice): void {
    const { board, loads, crashes, excludedZones } = this.#options;
    const { sender } = notice;
    board.applyNotice(notice);
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
      this.#observeLag(notice);
    } else {
      this.#behindSinceMs = undefined;
    }
  }

  /** A hub passes news of a loss on at once, since its members hear from no other daemon. */
  #applyLosses({ sender, lostGroups }: PeerNotice): void {
    const { groups, board, announce } = this.#options;
    const news = lostGroups.filter((key) =>
      groups.recordLoss(key, `told by ${sender.name}`)
    );
    if (news.length > 0 && board.listMembers().length > 0) {
      announce();
    }
  }

  #applyServers({ servers, serversAgeMs }: PeerNotice): void {
    if (servers !== undefined) {
      this.#options.directory.offerNotice(servers);
    }
    if (serversAgeMs !== undefined) {
      const confirmedAtMs = performance.now() - serversAgeMs;
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, confirmedAtMs);
    }
  }

  #observeLag(notice: PeerNotice): void {
    this.#behindSinceMs ??= performance.now();
    if (performance.now() - this.#behindSinceMs > BEHIND_MS) {
      this.#behindSinceMs = undefined;
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
    await this.#runOnce("config", async () => {
      const config = await clients.getClient(address).getConfig.query();
      if (config !== null) {
        applyConfig(config, name);
      }
    });
  }

  async #requestServers({ sender: { address } }: PeerNotice): Promise<void> {
    const { clients, directory } = this.#options;
    await this.#runOnce("servers", async () => {
      const notice = await clients.getClient(address).getServers.query();
      directory.offerNotice(notice);
    });
  }

  async #runOnce(what: string, fetch: () => Promise<void>): Promise<void> {
    if (this.#running.has(what)) {
      return;
    }
    this.#running.add(what);
    try {
      await fetch();
    } catch (error) {
      this.#options.logger.write("warn", "peer-fetch-failed", {
        what,
        message: getErrorMessage(error),
      });
    } finally {
      this.#running.delete(what);
    }
  }
}
