import {
  createFleetPeerApp,
  FleetPeerClients,
} from "../connection/fleet_peer_router.ts";
import { HttpServer } from "../connection/http_server.ts";
import { RoutedRequestHandler } from "../request/routed/routed_request_handler.ts";
import { delay } from "../shared/delay.ts";
import { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import type { Logger } from "../shared/logger.ts";
import { RouteTable } from "../version/route_table.ts";
import type { RoutingConfig } from "../version/routing_config.ts";
import { BackendDirectory } from "./fleet/backend_directory.ts";
import { ColdLimits } from "./fleet/cold_limits.ts";
import { CrashCounter } from "./fleet/crash_counter.ts";
import { ExcludedZones } from "./fleet/excluded_zones.ts";
import { FleetSync } from "./fleet/fleet_sync.ts";
import { GroupAdmission } from "./fleet/group_admission.ts";
import { GroupFailureDetector } from "./fleet/group_failure_detector.ts";
import { GroupLoads } from "./fleet/group_loads.ts";
import { GroupTable } from "./fleet/group_table.ts";
import { MemberOrderExecutor } from "./fleet/member_order_executor.ts";
import { PeerTable } from "./fleet/peer_table.ts";
import { PeerExchange } from "./fleet/peer_exchange.ts";
import {
  type DaemonDescription,
  getOppositeRelation,
  type PeerNotice,
  type PeerRelation,
  type PlannerNotice,
} from "../connection/peer_notice.ts";
import { PlannerLeaseHolder } from "./fleet/planner_lease_holder.ts";
import { ServiceRetryBudget } from "./fleet/service_retry_budget.ts";
import { ReplicaReconciler } from "./fleet/replica_reconciler.ts";
import { ServerLoads } from "./fleet/server_loads.ts";
import { StreamAttempts } from "./fleet/stream_attempts.ts";
import type { Metrics } from "./metrics.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import type { RoutingContext } from "./routing_context.ts";
import type { RoutingSettings } from "./routing_settings.ts";

/** Kinds of the daemons' own objects in the store. */
const LEASE_KIND = "tarragontally-leases";
const DAEMON_KIND = "tarragontally-daemons";
/** Time in which a peer answers, in milliseconds. */
const PEER_TIMEOUT_MS = 1_000;
/** Time for which a daemon that is no hub leaves a lapsed lease to the hubs, in milliseconds: a take-over by one of them takes about as long. */
const MEMBER_CANDIDATE_DELAY_MS = 5_000;
/** Daemons among which budgets are split at least, so that a daemon that hears no other one keeps to a share. */
const MIN_SHARING_DAEMONS = 7;
/** Part of the grace time of a stop that is left for closing. */
const STOP_RESERVE_MS = 700;
const STOP_POLL_MS = 50;
/** Time in which the balancer learns that the daemon is not ready, in milliseconds. */
const BALANCER_LAG_MS = 2_500;
/** Time after which a stopping daemon takes no connection and no request any more, in milliseconds: what it took before has as long again, which is several times a usual answer. The balancer goes on sending callers while most daemons of a zone are away. */
const LISTEN_IN_STOP_MS = 4_500;

/** Options of a routing daemon. */
export interface RoutingDaemonOptions {
  readonly settings: RoutingSettings;
  readonly platform: PlatformAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Daemon that routes callers' requests to a fleet of backend servers and forms the groups of its models. */
export class RoutingDaemon {
  readonly #options: RoutingDaemonOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #directory: BackendDirectory;
  readonly #groups: GroupTable;
  readonly #context: RoutingContext;
  readonly #receiver: RoutedRequestHandler;
  readonly #caller: HttpServer;
  readonly #ready: HttpServer;
  readonly #peer: HttpServer;
  readonly #metrics: HttpServer;
  readonly #loads = new GroupLoads();
  readonly #crashes = new CrashCounter();
  readonly #board: PeerTable;
  readonly #excludedZones: ExcludedZones;
  readonly #sync: FleetSync;
  readonly #lease: PlannerLeaseHolder;
  readonly #exchange: PeerExchange;
  readonly #budgets = new Map<string, ServiceRetryBudget>();
  #routes: RouteTable | undefined;
  #isLeaving = false;
  #isClosing = false;

  constructor(options: RoutingDaemonOptions) {
    this.#options = options;
    const { logger, platform, settings, metrics } = options;
    this.#addGauges(metrics);
    this.#directory = new BackendDirectory({ logger });
    this.#groups = new GroupTable({
      directory: this.#directory,
      logger,
      findModel: (service, model) =>
        this.#routes?.findService(service)?.engine?.models.find(({ name }) =>
          name === model
        ),
    });
    this.#board = new PeerTable({ ownName: settings.name, logger });
    this.#excludedZones = new ExcludedZones({
      logger,
      onChange: (zones) => this.#groups.setExcludedZones(zones),
    });
    const clients = new FleetPeerClients({ timeoutMs: PEER_TIMEOUT_MS });
    this.#sync = this.#createSync(clients);
    this.#lease = this.#createLease();
    this.#exchange = this.#createExchange(clients);
    const attempts = new StreamAttempts();
    const coldLimits = new ColdLimits({
      overageFactor: settings.coldOverage,
      slackRequests: settings.coldSlack,
      getColdRate: (service) =>
        this.#routes?.findService(service)?.coldRequestsPerSecond ?? 0,
      minDaemons: MIN_SHARING_DAEMONS,
      ownName: settings.name,
      listPeerNames: () => this.#board.listPeerNames(),
    });
    this.#context = {
      settings,
      logger,
      metrics,
      lifeCycle: this.#lifeCycle,
      transport: platform.transport,
      directory: this.#directory,
      groups: this.#groups,
      admission: new GroupAdmission({
        groups: this.#groups,
        loads: this.#loads,
        coldLimits,
        zone: settings.zone,
        getStalenessMs: () => this.#exchange.getStalenessMs(),
      }),
      attempts,
      guard: new GroupFailureDetector({
        groups: this.#groups,
        attempts,
        orders: platform.orders,
        logger,
        announceLoss: () => this.#exchange.announce(),
      }),
      serverLoads: new ServerLoads(),
      coldLimits,
      crashes: this.#crashes,
      getRoutes: () => this.#routes,
      getExcludedZones: () => this.#excludedZones.getZones(),
      getRepeatBudget: (service) => this.#getRepeatBudget(service),
      isLeaving: () => this.#isLeaving,
      isClosing: () => this.#isClosing,
    };
    this.#receiver = new RoutedRequestHandler(this.#context);
    this.#caller = new HttpServer(platform.createIngress(this.#receiver));
    this.#ready = new HttpServer((req, res) => {
      const isReady = req.url === platform.readyPath && this.isReady();
      res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
      res.end();
    });
    this.#metrics = new HttpServer((_req, res) => {
      res.setHeader("content-type", "text/plain; version=0.0.4");
      res.end(metrics.render());
    });
    this.#peer = new HttpServer(createFleetPeerApp({
      handleNotice: (notice) => this.handleNotice(notice),
      getConfig: () => this.#routes?.config,
      getServers: () => this.#directory.getNotice(),
    }));
  }

  #addGauges(metrics: Metrics): void {
    metrics.addGauge({
      name: "serving_groups",
      help: "Groups that take requests",
      getValue: () => this.#groups.listAll().length,
    });
    metrics.addGauge({
      name: "waiting_requests",
      help: "Requests that wait for a place in a group",
      getValue: () => this.#context.admission.waiting,
    });
    metrics.addGauge({
      name: "config_version",
      help: "Version of the configuration in force",
      getValue: () => this.#routes?.version ?? 0,
    });
    metrics.addGauge({
      name: "peers",
      help: "Other daemons that were heard recently",
      getValue: () => this.#board.listPartnerNotices().length,
    });
  }

  /** Answers a peer that exchanges notices. */
  handleNotice(notice: PeerNotice): PeerNotice {
    this.#applyNotice(notice);
    return this.#createNotice(
      notice.sender.name,
      getOppositeRelation(notice.relation),
    );
  }

  #applyNotice(notice: PeerNotice): void {
    const { planner } = notice;
    if (planner !== undefined && planner.name !== this.#own.name) {
      this.#lease.observeTerm(planner.term, planner.name);
    }
    this.#sync.applyNotice(notice);
  }

  /** Gets whether the daemon can serve callers. */
  isReady(): boolean {
    return !this.#isLeaving && this.#routes !== undefined &&
      this.#directory.isPopulated;
  }

  /** Starts the listeners and the tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#caller.listen(settings.caller);
    this.#lifeCycle.add(this.#caller);
    await this.#ready.listen(settings.ready);
    this.#lifeCycle.add(this.#ready);
    await this.#peer.listen(settings.peer);
    this.#lifeCycle.add(this.#peer);
    await this.#metrics.listen(settings.metrics);
    this.#lifeCycle.add(this.#metrics);
    this.#startTask("sync", this.#sync);
    this.#startTask("peers", this.#exchange);
    this.#startTask("lease", this.#lease);
    this.#startTask("replicas", this.#createReplicaTask());
    this.#startTask("guard", this.#context.guard);
    logger.write("info", "daemon-started", {
      caller: this.#caller.address,
      ready: this.#ready.address,
    });
  }

  /** Stops in a planned way: the balancer turns away, and requests in flight end. */
  async stop(): Promise<void> {
    if (this.#isLeaving) {
      return;
    }
    this.#isLeaving = true;
    const { logger, settings } = this.#options;
    const startedAtMs = performance.now();
    const endMs = startedAtMs + settings.stopGraceMs - STOP_RESERVE_MS;
    logger.write("info", "stop-started", {});
    const released = this.#lease.release();
    await delay(BALANCER_LAG_MS);
    while (performance.now() < endMs && this.#receiver.inFlightCount > 0) {
      if (
        !this.#isClosing && performance.now() - startedAtMs > LISTEN_IN_STOP_MS
      ) {
        this.#isClosing = true;
        this.#caller.stopListening();
      }
      await delay(STOP_POLL_MS);
    }
    const cut = this.#receiver.inFlightCount;
    await released;
    await this.#lifeCycle.dispose();
    logger.write("info", "daemon-stopped", {
      cut,
      tookMs: Math.round(performance.now() - startedAtMs),
    });
  }

  #createSync(clients: FleetPeerClients): FleetSync {
    const { platform, logger } = this.#options;
    return new FleetSync({
      platform,
      logger,
      clients,
      directory: this.#directory,
      groups: this.#groups,
      loads: this.#loads,
      crashes: this.#crashes,
      excludedZones: this.#excludedZones,
      peerTable: this.#board,
      isPlanner: () => this.#lease.getTerm() !== undefined,
      isHub: () => this.#exchange.isHub,
      announce: () => this.#exchange.announce(),
      getConfigVersion: () => this.#routes?.version ?? 0,
      applyConfig: (config, source) => this.#applyConfig(config, source),
    });
  }

  #createLease(): PlannerLeaseHolder {
    const { platform, logger, settings } = this.#options;
    return new PlannerLeaseHolder({
      store: platform.store,
      kind: LEASE_KIND,
      name: settings.name,
      logger,
      areOrdersFenced: settings.areOrdersFenced,
      isHolderReported: () => this.#board.findPlanner() !== undefined,
      getCandidateDelayMs: () =>
        this.#exchange.isHub ? 0 : MEMBER_CANDIDATE_DELAY_MS,
      onStoreRecovered: () => this.#sync.restartWatches(),
    });
  }

  #createExchange(clients: FleetPeerClients): PeerExchange {
    const { platform, logger } = this.#options;
    return new PeerExchange({
      store: platform.store,
      kind: DAEMON_KIND,
      ownDaemon: this.#own,
      peerTable: this.#board,
      clients,
      logger,
      createNotice: (partner, relation) =>
        this.#createNotice(partner, relation),
      onNotice: (notice) => this.#applyNotice(notice),
      isUnderLoad: () =>
        this.#context.admission.waiting > 0 || this.#loads.hasWaitingPeer(),
    });
  }

  #createReplicaTask(): ReplicaReconciler {
    const { platform, logger } = this.#options;
    return new ReplicaReconciler({
      directory: this.#directory,
      groups: this.#groups,
      orders: new MemberOrderExecutor({
        directory: this.#directory,
        orders: platform.orders,
        lease: this.#lease,
        logger,
      }),
      lease: this.#lease,
      loads: this.#loads,
      logger,
      listEngineServices: () =>
        (this.#routes?.config.services ?? []).filter(({ engine }) =>
          engine !== undefined
        ),
      getExcludedZones: () => this.#excludedZones.getZones(),
    });
  }

  get #own(): DaemonDescription {
    const { name, peer, zone, processorCores } = this.#options.settings;
    return { name, address: `${peer.host}:${peer.port}`, zone, processorCores };
  }

  #createNotice(partner: string, relation: PeerRelation): PeerNotice {
    const { waiting } = this.#context.admission;
    return {
      sender: this.#own,
      relation,
      isLeaving: this.#isLeaving,
      planner: this.#findPlanner(),
      configVersion: this.#routes?.version ?? 0,
      excludedZones: this.#excludedZones.getNotice(),
      ...this.#sync.getServersNotice(partner, relation),
      ...this.#loads.getLoadNotice(partner, relation, waiting),
      lostGroups: this.#groups.listLostKeys(),
      crashes: this.#crashes.listRecentCrashes(),
      ...this.#board.getPeersNotice(partner, relation),
    };
  }

  #findPlanner(): PlannerNotice | undefined {
    const term = this.#lease.getTerm();
    return term === undefined
      ? this.#board.findPlanner()
      : { name: this.#own.name, term, ageMs: 0 };
  }

  #startTask(
    name: string,
    task: { run(signal: AbortSignal): Promise<void> },
  ): void {
    task.run(this.#lifeCycle.signal).catch((error: unknown) => {
      this.#options.logger.write("error", "task-failed", {
        task: name,
        message: error instanceof Error ? error.stack : String(error),
      });
    });
  }

  #applyConfig(config: RoutingConfig, source: string): void {
    const current = this.#routes?.version;
    if (current !== undefined && config.version <= current) {
      return;
    }
    this.#routes = new RouteTable(config);
    this.#caller.server.keepAliveTimeout = config.limits.idleTimeoutMs;
    this.#caller.server.headersTimeout = config.limits.headerTimeoutMs;
    this.#options.metrics.count("config_changes");
    this.#options.logger.write("info", "config-in-force", {
      version: config.version,
      before: current,
      source,
      routes: config.routes.length,
    });
    this.#groups.refresh();
  }

  #getRepeatBudget(service: string): ServiceRetryBudget {
    const { settings } = this.#options;
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new ServiceRetryBudget({
        ratio: settings.retryRatio,
        windowMs: settings.retryWindowMs,
        slack: settings.retrySlack,
        countDaemons: () =>
          Math.max(MIN_SHARING_DAEMONS, this.#board.countLiveDaemons()),
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
