import { getGeneration } from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutingConfig } from "../../version/routing_config.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { CrashCounter } from "./crash_counter.ts";
import {
  decodeCrashes,
  decodeFingerprints,
  decodePartCrashes,
  decodePartSuccesses,
} from "./crash_notice_decoder.ts";
import type { ExcludedZones } from "./excluded_zones.ts";
import type { GroupLoads } from "./group_loads.ts";
import type { GroupTable } from "./group_table.ts";
import {
  getListWatchTimeoutMs,
  getMaxListAgeMs,
  type ListReaderRole,
} from "./list_age.ts";
import { ObjectWatcher, type WatchLimits } from "./object_watcher.ts";
import type { Partner, PeerTable } from "./peer_table.ts";
import type { PromptPartQuarantine } from "./prompt_part_quarantine.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerStatements } from "./server_statements.ts";
import type {
  BackendServerChanges,
  DaemonDescription,
  PeerDataRequest,
  PeerNotice,
  PeerRelation,
} from "../../connection/peer_notice.ts";

/** Delay between two calls of the watches on the configuration and the excluded zones, in milliseconds. It is short because a new configuration has to take effect soon. */
const CONFIG_BATCH_DELAY_MS = 50;
/** Delay between two calls of the planner's watch on the servers, in milliseconds. Server changes arrive in bursts and are batched, but an outdated list at the planner delays the formation of groups. */
const PLANNER_BATCH_DELAY_MS = 200;
/** Delay between two calls of the watch on the servers at the other daemons, in milliseconds. It may be longer, since they detect lost groups by their streams and the notices of peers. */
const SERVERS_BATCH_DELAY_MS = 350;
/** Share of the time in which a change of the configuration or of the excluded zones has to be known for which a watch waits, and share in which its response has to arrive. The rest remains for reading the change on another connection and announcing it. */
const NOTICE_SHARES = { wait: 0.3, response: 0.2 };
/** Interval between two checks whether this daemon has to read the store, in milliseconds. */
const READING_CHECK_INTERVAL_MS = 200;
/** Times after the start for which a daemon waits for the data of a peer before it reads the store itself, in milliseconds. They differ, so that few daemons read the store when a large fleet starts at once. */
const JOIN_TIMEOUTS_MS = { firstHub: 400, hub: 1_500, member: 3_000 };
/** Delay before a failed call to the store is retried, in milliseconds, at the first hub of a zone and the planner. */
const READER_RETRY_MS = 250;
/** Delay before a failed call to the store is retried, in milliseconds, at the other daemons. Without the longer delay, a large fleet would flood a store that is overloaded. */
const OTHER_RETRY_MS = 1_500;
/** Time for which a peer's list of servers may be newer before this daemon restarts its watches, in milliseconds. A shorter lag is normal, since changes are batched. */
const LAG_TOLERANCE_MS = 700;
/** Time after which data that a peer did not send is requested again, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1_000;

/** Components that the synchronisation reads and updates. */
export interface FleetSyncOptions {
  readonly platform: PlatformAdapter;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly loads: GroupLoads;
  readonly crashes: CrashCounter;
  readonly promptParts: PromptPartQuarantine;
  readonly serverLimits: ServerLimits;
  readonly serverStatements: ServerStatements;
  readonly excludedZones: ExcludedZones;
  readonly peerTable: PeerTable;
  readonly logger: Logger;
  /** Zone of this daemon. */
  readonly zone: string;
  /** Time within which every daemon has to know that a server drains, in milliseconds. */
  readonly drainNoticeMs: number;
  /** Time within which every daemon has to apply a new configuration, in milliseconds. */
  readonly configNoticeMs: number;
  /** Time within which every daemon has to know that a zone is excluded, in milliseconds. */
  readonly exclusionNoticeMs: number;
  /** Gets whether this daemon is the planner of the groups. */
  isPlanner(): boolean;
  isHub(): boolean;
  /** Gets whether this daemon is the first hub of its zone, which reads the store for the others. */
  isFirstHub(): boolean;
  /** Gets whether no other daemon is known, once the registered daemons have been read. */
  isAlone(): boolean;
  /** Sends the changes of the state to the partners at once. */
  announce(): void;
  /** Sends the changes of the state to the partners soon. */
  scheduleNotices(): void;
  /** Sends a notice to one partner. */
  sendNotice(partner: string, notice: PeerNotice): void;
  getConfig(): RoutingConfig | undefined;
  applyConfig(config: RoutingConfig, source: string): void;
  /** Called when the store has been restored from a copy, and so has lost the last changes. */
  onStoreRestored(): void;
}

/** Versions of the data that this daemon has sent to a partner. */
interface SentVersions {
  configVersion: number;
  serversRevision: number;
}

/** Keeps the configuration, the excluded zones and the list of backend servers of this daemon up to date, from the store and from peers that have newer data. */
export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #configWatch: ObjectWatcher<RoutingConfig>;
  readonly #zonesWatch: ObjectWatcher<true>;
  readonly #serversWatch: ObjectWatcher<BackendServer>;
  readonly #excludedZoneNames = new Set<string>();
  /** Monotonic time of the last request for each kind of data, in milliseconds. */
  readonly #requestedAtMs = new Map<PeerDataRequest, number>();
  readonly #sentVersions = new Map<string, SentVersions>();
  readonly #createdAtMs = performance.now();
  /** Pending wait of the watches until this daemon has to read the store. */
  #readingWait: Promise<void> | undefined;
  /** Monotonic time at which the store last confirmed the list of servers to a partner, in milliseconds. */
  #partnersConfirmedAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which the store had confirmed the list of servers when this daemon last received a confirmation, in milliseconds. */
  #listConfirmedAtMs = Number.NEGATIVE_INFINITY;
  /** Newer list of a partner that this daemon waits for: the revision of its last change, and the monotonic time at which this daemon heard of it, in milliseconds. */
  #lag: { readonly sinceMs: number; readonly revision: number } | undefined;
  /** Last revision that the store or a peer has stated; 0 before the first one. */
  #knownRevision = 0;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    const { platform, logger, directory } = options;
    const { store, kinds } = platform;
    const getRetryDelayMs = () =>
      this.#isReader() ? READER_RETRY_MS : OTHER_RETRY_MS;
    this.#configWatch = new ObjectWatcher<RoutingConfig>({
      store,
      logger,
      kind: kinds.config,
      getBatchDelayMs: () => CONFIG_BATCH_DELAY_MS,
      getRetryDelayMs,
      getWatchLimits: () => getNoticeWatchLimits(options.configNoticeMs),
      waitUntilNeeded: (signal) => this.#waitUntilReading(signal),
      keepsLastValid: true,
      decode: ({ value }) => platform.decodeConfig(value),
      onChange: ({ changed, revision }) => {
        this.#observeRevision(revision, "store");
        changed.forEach((config) => options.applyConfig(config, "store"));
      },
    });
    this.#zonesWatch = new ObjectWatcher<true>({
      store,
      logger,
      kind: kinds.excludedZones,
      getBatchDelayMs: () => CONFIG_BATCH_DELAY_MS,
      getRetryDelayMs,
      getWatchLimits: () => getNoticeWatchLimits(options.exclusionNoticeMs),
      waitUntilNeeded: (signal) => this.#waitUntilReading(signal),
      keepsLastValid: true,
      decode: () => true,
      onChange: ({ changed, removed, revision, isSnapshot }) => {
        this.#observeRevision(revision, "store");
        if (isSnapshot) {
          this.#excludedZoneNames.clear();
        }
        [...changed.keys()].forEach((zone) =>
          this.#excludedZoneNames.add(zone)
        );
        removed.forEach((zone) => this.#excludedZoneNames.delete(zone));
        const zones = [...this.#excludedZoneNames];
        this.#applyExcludedZones({ revision, zones }, "store");
      },
    });
    this.#serversWatch = new ObjectWatcher<BackendServer>({
      store,
      logger,
      kind: kinds.servers,
      getBatchDelayMs: () =>
        options.isPlanner() ? PLANNER_BATCH_DELAY_MS : SERVERS_BATCH_DELAY_MS,
      getRetryDelayMs,
      getWatchLimits: () => ({
        timeoutMs: getListWatchTimeoutMs(options.drainNoticeMs),
      }),
      waitUntilNeeded: (signal) => this.#waitUntilReading(signal),
      keepsLastValid: false,
      decode: ({ name, value, version }) =>
        platform.decodeServer(name, value, version),
      onChange: (change) => {
        this.#observeRevision(change.revision, "store");
        directory.applyChange(change);
      },
      onConfirm: () => {
        this.#recordListConfirmation();
        options.scheduleNotices();
      },
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

  /** Gets the generation of the store's state that this daemon knows; it rises when the store is restored from a copy. */
  get storeGeneration(): number {
    return getGeneration(this.#knownRevision);
  }

  /** Notices a restore of the store by a revision of a later generation. */
  #observeRevision(revision: number, source: string): void {
    const before = this.storeGeneration;
    const isRestored = this.#knownRevision > 0 &&
      getGeneration(revision) > before;
    this.#knownRevision = Math.max(this.#knownRevision, revision);
    if (isRestored) {
      this.#options.logger.write("warn", "store-restored", {
        generation: this.storeGeneration,
        before,
        source,
      });
      this.restartWatches();
      this.#options.onStoreRestored();
    }
  }

  /** Gets whether other daemons depend on this daemon's reading of the store. */
  #isReader(): boolean {
    return this.#options.isPlanner() || this.#options.isFirstHub();
  }

  /** Gets whether this daemon reads the store itself: the planner does always, the others when no partner has confirmed their list of servers recently. */
  #isReadingStore(): boolean {
    if (this.#options.isPlanner()) {
      return true;
    }
    const isJoining =
      performance.now() - this.#createdAtMs < this.#getJoinTimeoutMs();
    if (isJoining && !this.#options.isAlone()) {
      return false;
    }
    return this.#getListAgeMs() > this.#getMaxListAgeMs();
  }

  #getJoinTimeoutMs(): number {
    const { isFirstHub, isHub } = this.#options;
    if (isFirstHub()) {
      return JOIN_TIMEOUTS_MS.firstHub;
    }
    return isHub() ? JOIN_TIMEOUTS_MS.hub : JOIN_TIMEOUTS_MS.member;
  }

  /** Waits until this daemon has to read the store, or the signal aborts. The watches share one wait. */
  #waitUntilReading(signal: AbortSignal): Promise<void> {
    if (this.#isReadingStore()) {
      return Promise.resolve();
    }
    this.#readingWait ??= this.#waitForReading(signal);
    return this.#readingWait;
  }

  async #waitForReading(signal: AbortSignal): Promise<void> {
    while (
      !this.#isReadingStore() && await delay(READING_CHECK_INTERVAL_MS, signal)
    ) {
      // Waits for the next check.
    }
    this.#readingWait = undefined;
  }

  #getMaxListAgeMs(): number {
    return getMaxListAgeMs(
      this.#getListReaderRole(),
      this.#options.drainNoticeMs,
    );
  }

  #getListReaderRole(): ListReaderRole {
    const { isFirstHub, isHub, peerTable } = this.#options;
    if (isFirstHub()) {
      return "first-hub";
    }
    const hasHub = !isHub() &&
      peerTable.listPartners().some(({ relation }) => relation === "hub");
    return hasHub ? "member" : "hub";
  }

  /** Gets the time since the store last confirmed the list of servers, to this daemon or to a partner, in milliseconds. */
  #getListAgeMs(): number {
    const ownAgeMs = this.#serversWatch.ageMs ?? Number.POSITIVE_INFINITY;
    return Math.min(ownAgeMs, performance.now() - this.#partnersConfirmedAtMs);
  }

  /** Records the time at which the store confirmed the list of a partner whose list is not newer than that of this daemon. */
  #recordConfirmation(partnerName: string): void {
    const partner = this.#options.peerTable.findPartner(partnerName);
    if (partner !== undefined && this.#hasConfirmedList(partner)) {
      this.#partnersConfirmedAtMs = Math.max(
        this.#partnersConfirmedAtMs,
        partner.serversConfirmedAtMs,
      );
      this.#recordListConfirmation();
    }
  }

  #recordListConfirmation(): void {
    this.#listConfirmedAtMs = performance.now() - this.#getListAgeMs();
  }

  /** Gets the monotonic time at which the store had last confirmed the list of servers, in milliseconds. While a change of the list is applied, it is the time before that change. */
  get listConfirmedAtMs(): number {
    return this.#listConfirmedAtMs;
  }

  /** Gets whether the store's confirmation of a partner's list holds for the list of this daemon, too. A list of another generation of the store says nothing about this one. */
  #hasConfirmedList({ relation, serversRevision }: Partner): boolean {
    const { revision } = this.#options.directory;
    return relation !== "member" && serversRevision !== undefined &&
      serversRevision <= revision &&
      getGeneration(serversRevision) === getGeneration(revision);
  }

  /**
   * Gets the age of the list of servers for notices. Hubs tell each other only what the store told them directly, so that two daemons do not confirm each other's old list; members get the age that counts at their hub.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReportedListAgeMs(relation: PeerRelation): number | undefined {
    if (relation !== "hub") {
      return this.#serversWatch.ageMs;
    }
    const ageMs = this.#getListAgeMs();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  /** Creates a notice with the data that a partner lacks, if this daemon is its source: its hub, the planner, or the first hub of the zone while it reads the store. */
  createDataNotice(partnerName: string): PeerNotice | undefined {
    const { directory, peerTable } = this.#options;
    const partner = peerTable.findPartner(partnerName);
    if (partner?.serversRevision === undefined || !this.#isSource(partner)) {
      return undefined;
    }
    const sent = this.#getSentVersions(partnerName);
    const sinceRevision = Math.max(
      partner.serversRevision,
      sent.serversRevision,
    );
    const isBehind = sinceRevision < directory.changeRevision ||
      (sinceRevision === 0 && directory.revision > 0);
    const servers = isBehind
      ? this.#createServersNotice(partnerName, sinceRevision)
      : undefined;
    const config = this.#findNewerConfig(partner, sent);
    if (servers === undefined && config === undefined) {
      return undefined;
    }
    sent.serversRevision = servers?.revision ?? sent.serversRevision;
    sent.configVersion = config?.version ?? sent.configVersion;
    return { servers, config };
  }

  /** Creates a notice with the changes of the list of servers, or with the whole list if the changes do not suffice. */
  #createServersNotice(
    partnerName: string,
    sinceRevision: number,
  ): BackendServerChanges {
    const { directory, logger } = this.#options;
    const notice = directory.getNotice(sinceRevision);
    if (notice.sinceRevision < sinceRevision) {
      logger.write("info", "whole-list-sent", {
        peer: partnerName,
        peerRevision: sinceRevision,
        revision: notice.revision,
        servers: notice.servers.length,
      });
    }
    return notice;
  }

  #isSource({ relation, description }: Partner): boolean {
    if (relation !== "equal") {
      return relation === "member";
    }
    const { isFirstHub, isPlanner, zone } = this.#options;
    return isPlanner() ||
      (description.zone === zone && isFirstHub() && this.#isReadingStore());
  }

  #findNewerConfig(
    partner: Partner,
    sent: SentVersions,
  ): RoutingConfig | undefined {
    const config = this.#options.getConfig();
    const knownVersion = Math.max(partner.configVersion, sent.configVersion);
    return config !== undefined && config.version > knownVersion
      ? config
      : undefined;
  }

  #getSentVersions(partnerName: string): SentVersions {
    const sent = this.#sentVersions.get(partnerName) ??
      { configVersion: 0, serversRevision: 0 };
    this.#sentVersions.set(partnerName, sent);
    return sent;
  }

  /** Forgets what a partner was sent, since its link has closed. */
  removePartner(partnerName: string): void {
    this.#sentVersions.delete(partnerName);
    this.#options.loads.removePeer(partnerName);
  }

  /** Applies the notice of a partner, and requests the data that this daemon lacks. */
  applyNotice(
    { name }: DaemonDescription,
    relation: PeerRelation,
    notice: PeerNotice,
  ): void {
    const {
      loads,
      crashes,
      directory,
      promptParts,
      serverLimits,
      serverStatements,
    } = this.#options;
    loads.applyPeerLoad(name, relation, notice);
    this.#applyLosses(name, notice.lostGroups ?? []);
    this.#applySuspicions(name, notice.suspectedGroups ?? []);
    decodeCrashes(notice.crashes).forEach((crash) =>
      crashes.applyNotice(crash)
    );
    decodeFingerprints(notice.completedSuspects).forEach((fingerprint) =>
      crashes.recordSuccess(fingerprint)
    );
    decodePartCrashes(notice.partCrashes).forEach((crash) =>
      promptParts.applyCrash(crash)
    );
    decodePartSuccesses(notice.partSuccesses).forEach((success) =>
      promptParts.applySuccess(success)
    );
    notice.serverLimits?.forEach((limit) =>
      serverLimits.applyNotice(limit, relation)
    );
    this.#observeRevision(
      Math.max(
        notice.serversRevision ?? 0,
        notice.servers?.revision ?? 0,
        notice.excludedZones?.revision ?? 0,
      ),
      name,
    );
    notice.leavingServers?.forEach((server) =>
      serverStatements.applyNotice(server, relation)
    );
    if (notice.excludedZones !== undefined) {
      this.#applyExcludedZones(notice.excludedZones, name);
    }
    if (notice.servers !== undefined) {
      directory.offerNotice(notice.servers, name);
    }
    const isListNews = notice.serversRevision !== undefined ||
      notice.servers !== undefined;
    if (relation !== "member" && isListNews) {
      // The members of this daemon wait for the changes and the confirmation of their list.
      this.#options.scheduleNotices();
    }
    if (notice.config !== undefined) {
      this.#options.applyConfig(notice.config, name);
    }
    if (notice.request !== undefined) {
      this.#answerRequest(name, notice.request);
    }
    this.#recordConfirmation(name);
    this.#checkConfig(name, relation, notice);
    if (notice.serversChangeRevision !== undefined) {
      this.#checkLag(name, notice.serversChangeRevision);
    }
  }

  #applyExcludedZones(
    notice: { revision: number; zones: readonly string[] },
    source: string,
  ): void {
    if (this.#options.excludedZones.applyNotice(notice, source)) {
      this.#options.announce();
    }
  }

  /** Records the lost groups that a peer reported, and relays new losses at once. */
  #applyLosses(name: string, lostGroups: readonly string[]): void {
    const { groups, announce } = this.#options;
    const newLosses = lostGroups.filter((key) =>
      groups.recordLoss(key, `reported by ${name}`)
    );
    if (newLosses.length > 0) {
      announce();
    }
  }

  /** Records the suspected groups that a peer reported, and relays new suspicions at once. The streams at these groups go on. */
  #applySuspicions(name: string, suspectedGroups: readonly string[]): void {
    const { groups, announce } = this.#options;
    const newSuspicions = suspectedGroups.filter((key) =>
      groups.recordReportedSuspicion(key, name)
    );
    if (newSuspicions.length > 0) {
      announce();
    }
  }

  /** Requests the configuration of a partner that has a newer one. A hub sends its members a new configuration right after the notice of its version. */
  #checkConfig(
    name: string,
    relation: PeerRelation,
    notice: PeerNotice,
  ): void {
    const { peerTable, getConfig } = this.#options;
    const partnerVersion = peerTable.findPartner(name)?.configVersion ?? 0;
    const isOnItsWay = relation === "hub" && notice.configVersion !== undefined;
    if (partnerVersion > (getConfig()?.version ?? 0) && !isOnItsWay) {
      this.#requestData(name, "config");
    }
  }

  /** Requests the list of a partner that has a newer one: at once if the store does not confirm the list of this daemon at present, otherwise if the newer list does not arrive soon. */
  #checkLag(name: string, changeRevision: number): void {
    const { directory, logger } = this.#options;
    if (
      this.#lag !== undefined && this.#lag.revision <= directory.changeRevision
    ) {
      this.#lag = undefined;
    }
    if (changeRevision <= directory.changeRevision) {
      return;
    }
    this.#lag ??= { sinceMs: performance.now(), revision: changeRevision };
    if (this.#getListAgeMs() > this.#getMaxListAgeMs()) {
      this.#requestData(name, "servers");
    }
    if (performance.now() - this.#lag.sinceMs > LAG_TOLERANCE_MS) {
      this.#lag = undefined;
      logger.write("info", "list-behind", {
        peer: name,
        revision: directory.changeRevision,
        peerRevision: changeRevision,
      });
      this.restartWatches();
      this.#requestData(name, "servers");
    }
  }

  #requestData(name: string, data: PeerDataRequest): void {
    const requestedAtMs = this.#requestedAtMs.get(data) ??
      Number.NEGATIVE_INFINITY;
    if (performance.now() - requestedAtMs > REQUEST_TIMEOUT_MS) {
      this.#requestedAtMs.set(data, performance.now());
      this.#options.sendNotice(name, { request: data });
    }
  }

  #answerRequest(name: string, data: PeerDataRequest): void {
    const { peerTable, sendNotice, getConfig } = this.#options;
    if (data === "config") {
      sendNotice(name, { config: getConfig() });
    } else {
      const revision = peerTable.findPartner(name)?.serversRevision ?? 0;
      sendNotice(name, { servers: this.#createServersNotice(name, revision) });
    }
  }
}

/** Gets the limits of a watch on objects whose changes every daemon has to know within the given time, in milliseconds. */
function getNoticeWatchLimits(noticeMs: number): WatchLimits {
  return {
    timeoutMs: Math.round(noticeMs * NOTICE_SHARES.wait),
    responseTimeoutMs: Math.round(noticeMs * NOTICE_SHARES.response),
  };
}
