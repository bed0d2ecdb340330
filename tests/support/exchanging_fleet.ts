import { BackendDirectory } from "../../src/process/fleet/backend_directory.ts";
import { ExcludedZones } from "../../src/process/fleet/excluded_zones.ts";
import {
  FleetSync,
  type FleetSyncOptions,
} from "../../src/process/fleet/fleet_sync.ts";
import type { NoticeState } from "../../src/process/fleet/notice_composer.ts";
import { PeerExchange } from "../../src/process/fleet/peer_exchange.ts";
import { PeerTable } from "../../src/process/fleet/peer_table.ts";
import type { BackendServer } from "../../src/shared/backend_server.ts";
import { NullLogger } from "../../src/shared/logger.ts";
import { createBackendServer } from "./backend_servers.ts";
import { MemoryNetwork } from "./memory_network.ts";
import { RefusingStore } from "./refusing_store.ts";

const SERVERS_KIND = "servers";

/** Daemon with the parts that keep its list of servers up to date. */
interface ExchangingDaemon {
  readonly name: string;
  readonly directory: BackendDirectory;
  readonly exchange: PeerExchange;
  stop(): void;
}

/** Options of a fleet. */
export interface ExchangingFleetOptions {
  readonly zones: readonly string[];
  readonly daemonsPerZone: number;
  readonly servers: number;
  readonly drainNoticeMs: number;
  /** Name of the daemon that is the planner. */
  readonly planner: string;
}

/** Daemons that read the list of servers from a store and exchange it over links in memory, on the clock of the test. */
export class ExchangingFleet {
  readonly store = new RefusingStore();
  readonly daemons: ExchangingDaemon[] = [];
  readonly #network = new MemoryNetwork();
  readonly #options: ExchangingFleetOptions;
  /** Times at which daemons have learned that a server drains, in milliseconds, by daemon and server. */
  readonly #noticedAtMs = new Map<string, Map<string, number>>();
  readonly #drainedAtMs = new Map<string, number>();

  constructor(options: ExchangingFleetOptions) {
    this.#options = options;
    for (let i = 0; i < options.servers; i++) {
      this.store.write(SERVERS_KIND, `s${i}`, { isDraining: false });
    }
    for (const zone of options.zones) {
      for (let i = 0; i < options.daemonsPerZone; i++) {
        this.#startDaemon(`${zone}-${i}`, zone);
      }
    }
  }

  /** Ends a daemon like a killed process. */
  stopDaemon(name: string): void {
    this.daemons.find((daemon) => daemon.name === name)?.stop();
  }

  /** Marks a server as draining in the store. */
  drainServer(id: string): void {
    this.#drainedAtMs.set(id, performance.now());
    this.store.write(SERVERS_KIND, id, { isDraining: true });
  }

  /** Gets the longest time until a daemon has learned that a server drains, in milliseconds; infinite if one has not. */
  getSlowestNoticeMs(daemonName: string): number {
    const noticed = this.#noticedAtMs.get(daemonName);
    return Math.max(
      ...[...this.#drainedAtMs].map(([id, drainedAtMs]) =>
        (noticed?.get(id) ?? Number.POSITIVE_INFINITY) - drainedAtMs
      ),
    );
  }

  dispose(): void {
    this.daemons.forEach((daemon) => daemon.stop());
  }

  #startDaemon(name: string, zone: string): void {
    const logger = new NullLogger();
    const lifeCycle = new AbortController();
    const store = this.store.createClient(name);
    const address = `${name}:1`;
    const ownDaemon = { name, address, zone, processorCores: 1 };
    const directory = new BackendDirectory({ logger });
    const peerTable = new PeerTable({ ownName: name, logger });
    const excludedZones = new ExcludedZones({ logger, onChange: () => {} });
    const isPlanner = () => this.#options.planner === name;
    const exchange: PeerExchange = new PeerExchange({
      store,
      kind: "daemons",
      ownDaemon,
      peerTable,
      transport: this.#network.createTransport(address),
      logger,
      describeState: (relation): NoticeState => ({
        ...EMPTY_STATE,
        planner: isPlanner()
          ? { name, term: 1, ageMs: 0 }
          : peerTable.findPlanner(),
        excludedZones: excludedZones.getNotice(),
        serversRevision: directory.revision,
        serversChangeRevision: directory.changeRevision,
        serversAgeMs: sync.getReportedListAgeMs(relation),
        peers: peerTable.getReport(relation),
      }),
      createDataNotice: (partner) => sync.createDataNotice(partner),
      onNotice: (partner, relation, notice) =>
        sync.applyNotice(partner, relation, notice),
      onReportSent: () => {},
      onPartnerLost: (partner) => sync.removePartner(partner),
      onPartnerLinked: () => {},
      onPartnerEnded: () => {},
    });
    const sync: FleetSync = new FleetSync({
      ...IGNORING_PARTS,
      platform: {
        store,
        kinds: {
          config: "config",
          servers: SERVERS_KIND,
          excludedZones: "zones",
        },
        decodeServer: decodeEntry,
      } as unknown as FleetSyncOptions["platform"],
      directory,
      excludedZones,
      peerTable,
      logger,
      zone,
      drainNoticeMs: this.#options.drainNoticeMs,
      configNoticeMs: this.#options.drainNoticeMs,
      exclusionNoticeMs: this.#options.drainNoticeMs,
      isPlanner,
      isHub: () => exchange.isHub,
      isFirstHub: () => exchange.isFirstHub,
      isAlone: () => exchange.isAlone,
      announce: () => exchange.announce(),
      scheduleNotices: () => exchange.scheduleNotices(),
      sendNotice: (partner, notice) => exchange.sendNotice(partner, notice),
      getConfig: () => undefined,
      applyConfig: () => {},
      onStoreRestored: () => {},
    });
    directory.onChange(() => this.#recordDrains(name, directory));
    this.daemons.push({
      name,
      directory,
      exchange,
      stop: () => {
        this.#network.remove(address);
        lifeCycle.abort();
        exchange.dispose();
      },
    });
    void exchange.run(lifeCycle.signal);
    void sync.run(lifeCycle.signal);
  }

  #recordDrains(daemonName: string, directory: BackendDirectory): void {
    const noticed = this.#noticedAtMs.get(daemonName) ?? new Map();
    this.#noticedAtMs.set(daemonName, noticed);
    for (const id of this.#drainedAtMs.keys()) {
      if (directory.findServer(id)?.isDraining && !noticed.has(id)) {
        noticed.set(id, performance.now());
      }
    }
  }
}

const EMPTY_STATE: Omit<
  NoticeState,
  | "planner"
  | "excludedZones"
  | "serversRevision"
  | "serversChangeRevision"
  | "serversAgeMs"
  | "peers"
> = {
  isLeaving: false,
  configVersion: 0,
  loads: new Map(),
  lostGroups: [],
  suspectedGroups: [],
  crashes: [],
  completedSuspects: [],
  promptParts: { crashes: [], successes: [] },
  serverLimits: [],
  leavingServers: [],
  sections: new Map(),
};

/** Parts of a daemon that have nothing to do with the list of servers. */
const IGNORING_PARTS = {
  groups: {},
  loads: { applyPeerLoad: () => {}, removePeer: () => {} },
  crashes: { applyNotice: () => {}, recordSuccess: () => {} },
  promptParts: { applyCrash: () => {}, applySuccess: () => {} },
  serverLimits: { applyNotice: () => {} },
  serverStatements: { applyNotice: () => {} },
} as unknown as FleetSyncOptions;

function decodeEntry(
  id: string,
  value: unknown,
  entryVersion: number,
): BackendServer {
  return createBackendServer({
    id,
    entryVersion,
    ...value as { isDraining: boolean },
  });
}
