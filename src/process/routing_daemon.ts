import { WebSocketLinkTransport } from "../connection/peer_link.ts";
import { HttpServer } from "../connection/http_server.ts";
import { handleExplanation } from "../request/routed/explanation_endpoint.ts";
import { RouteExplainer } from "../request/routed/route_explainer.ts";
import { RoutedRequestHandler } from "../request/routed/routed_request_handler.ts";
import { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import type { Logger } from "../shared/logger.ts";
import { RouteTable } from "../version/route_table.ts";
import type { RoutingConfig } from "../version/routing_config.ts";
import {
  type ConcurrencyPart,
  createConcurrencyPart,
} from "./concurrency/concurrency_part.ts";
import { getServerKey } from "./concurrency/learned_concurrency.ts";
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
import type {
  DaemonDescription,
  PeerNotice,
  PeerRelation,
  PlannerNotice,
} from "../connection/peer_notice.ts";
import { NoticeSections } from "./notices/notice_sections.ts";
import type { NoticeState } from "./fleet/notice_composer.ts";
import { PromptPartQuarantine } from "./fleet/prompt_part_quarantine.ts";
import { PlannerLeaseHolder } from "./fleet/planner_lease_holder.ts";
import { ServiceRetryBudget } from "./fleet/service_retry_budget.ts";
import { ReplicaReconciler } from "./fleet/replica_reconciler.ts";
import { ServerLimits } from "./fleet/server_limits.ts";
import { ServerStatements } from "./fleet/server_statements.ts";
import { ServerLoads } from "./fleet/server_loads.ts";
import { StreamAttempts } from "./fleet/stream_attempts.ts";
import type { Metrics } from "./metrics.ts";
import { createDutyParts, type DutyParts } from "./duty_parts.ts";
import { PlannedStop } from "./planned_stop.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import type { RoutingPart } from "./routing_parts.ts";
import type { RoutingContext } from "./routing_context.ts";
import { addRoutingGauges } from "./routing_gauges.ts";
import type { RoutingSettings } from "./routing_settings.ts";
import { type BackgroundTask, TaskSupervisor } from "./task_supervisor.ts";
import { ConfirmedGroups } from "./registration/confirmed_groups.ts";
import type { MissingMembers } from "./registration/missing_members.ts";
import {
  createMissingMembers,
  createRegistrationPart,
} from "./registration/registration_part.ts";
import type { UsageRecorder } from "./usage/usage_part.ts";
import {
  createTakeoverPart,
  type TakeoverPart,
} from "./takeover/takeover_part.ts";
import { createWaitingPart, type WaitingPart } from "./waiting/waiting_part.ts";
import { UnansweredEndRecorder } from "./unanswered_end_recorder.ts";

/** Kinds of the store objects that daemons write. */
const LEASE_KIND = "tarragontally-leases";
const DAEMON_KIND = "tarragontally-daemons";
/** Time for which a hub that is not the first one of its zone waits before it tries to acquire an expired lease, in milliseconds. */
const HUB_CANDIDATE_DELAY_MS = 1_500;
/** Time for which a daemon that is not a hub waits before it tries to acquire an expired lease, in milliseconds. It is about the duration of a takeover by a hub, so that the hubs try first. */
const MEMBER_CANDIDATE_DELAY_MS = 5_000;
/** Minimum number of daemons among which budgets are divided. Without it, a daemon that receives no messages from its peers would use the whole budget. */
const MIN_SHARING_DAEMONS = 7;
/** Header size up to which the HTTP parser passes on requests of callers, in bytes. It exceeds the usual limits of the configuration, which are checked for each request, since the limit of the parser cannot change while a connection is open. */
const MAX_PARSED_HEADER_BYTES = 262_144;
/** Options of a routing daemon. */
export interface RoutingDaemonOptions {
  readonly settings: RoutingSettings;
  readonly platform: PlatformAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Daemon that routes callers' requests to a fleet of backend servers and, while it is the planner, assigns the servers to groups. */
export class RoutingDaemon {
  readonly #options: RoutingDaemonOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #directory: BackendDirectory;
  readonly #confirmedGroups = new ConfirmedGroups({
    onChange: () => this.#peerExchange.scheduleNotices(),
  });
  /** Undefined when a missing entry takes a group out of service. */
  readonly #missingMembers: MissingMembers | undefined;
  readonly #groups: GroupTable;
  readonly #memberOrders: MemberOrderExecutor;
  readonly #context: RoutingContext;
  readonly #requestHandler: RoutedRequestHandler;
  readonly #callerServer: HttpServer;
  readonly #readinessServer: HttpServer;
  readonly #peerServer: HttpServer;
  readonly #metricsServer: HttpServer;
  readonly #groupLoads = new GroupLoads();
  readonly #crashCounter = new CrashCounter();
  readonly #promptParts: PromptPartQuarantine;
  readonly #serverLimits: ServerLimits;
  readonly #serverStatements: ServerStatements;
  readonly #linkTransport = new WebSocketLinkTransport();
  readonly #peerTable: PeerTable;
  readonly #excludedZones: ExcludedZones;
  readonly #fleetSync: FleetSync;
  readonly #takeover: TakeoverPart;
  readonly #leaseHolder: PlannerLeaseHolder;
  readonly #peerExchange: PeerExchange;
  readonly #plannedStop: PlannedStop;
  readonly #sections: NoticeSections;
  readonly #concurrency: ConcurrencyPart | undefined;
  readonly #waiting: WaitingPart | undefined;
  readonly #parts: readonly RoutingPart[];
  #usageRecorder: UsageRecorder | undefined;
  readonly #retryBudgets = new Map<string, ServiceRetryBudget>();
  #routes: RouteTable | undefined;
  #stopPromise: Promise<void> | undefined;

  constructor(options: RoutingDaemonOptions) {
    this.#options = options;
    const { logger, platform, settings, metrics } = options;
    addRoutingGauges(metrics, {
      countServingGroups: () => this.#groups.listAll().length,
      countWaitingRequests: () => this.#context.admission.waitingCount,
      countLimitedServers: () => this.#serverLimits.limitedCount,
      countLeavingServers: () => this.#serverStatements.leavingCount,
      countPausedServers: () => this.#serverStatements.pausedCount,
      getServerList: () => this.#directory,
      getConfigVersion: () => this.#routes?.version ?? 0,
      getStoreGeneration: () => this.#fleetSync.storeGeneration,
      countPeers: () => this.#peerTable.listPartners().length,
    });
    this.#sections = new NoticeSections({ logger });
    this.#plannedStop = new PlannedStop({
      graceMs: settings.stopGraceMs,
      logger,
    });
    this.#directory = new BackendDirectory({ logger });
    this.#missingMembers = createMissingMembers({
      settings,
      confirmedGroups: this.#confirmedGroups,
      logger,
      getPlannerAgeMs: () => this.#findPlanner()?.ageMs,
      getListConfirmedAtMs: () => this.#fleetSync.listConfirmedAtMs,
    });
    this.#groups = new GroupTable({
      directory: this.#directory,
      logger,
      findModel: (service, model) =>
        this.#routes?.findService(service)?.engine?.models.find(({ name }) =>
          name === model
        ),
      missingMembers: this.#missingMembers,
    });
    this.#serverStatements = new ServerStatements({
      directory: this.#directory,
      logger,
    });
    this.#peerTable = new PeerTable({ ownName: settings.name, logger });
    this.#excludedZones = new ExcludedZones({
      logger,
      onChange: (zones) => this.#groups.setExcludedZones(zones),
    });
    this.#promptParts = new PromptPartQuarantine({
      logger,
      onChange: () => this.#peerExchange.announce(),
    });
    this.#serverLimits = new ServerLimits({
      logger,
      minDaemons: MIN_SHARING_DAEMONS,
      ownDaemon: this.#ownDaemon,
      listPeers: () => this.#peerTable.listLivePeers(),
      getPeersVersion: () => this.#peerTable.getLiveVersion(),
      onChange: () => this.#peerExchange.scheduleNotices(),
    });
    this.#fleetSync = this.#createFleetSync();
    this.#takeover = this.#createTakeoverPart();
    this.#leaseHolder = this.#createLeaseHolder();
    this.#peerExchange = this.#createPeerExchange();
    this.#memberOrders = new MemberOrderExecutor({
      directory: this.#directory,
      orders: platform.orders,
      lease: this.#leaseHolder,
      getHealthPath: (service) =>
        this.#routes?.findService(service)?.healthPath,
      logger,
    });
    this.#serverStatements.onChange(() => this.#peerExchange.scheduleNotices());
    this.#groupLoads.onReportChange(() => this.#peerExchange.scheduleNotices());
    this.#concurrency = settings.learnedConcurrency === false
      ? undefined
      : createConcurrencyPart({
        logger,
        getLoad: (groupKey) => this.#groupLoads.getLoad(groupKey),
        onReportChange: () => this.#peerExchange.scheduleNotices(),
      });
    const concurrency = this.#concurrency?.concurrency;
    this.#waiting = createWaitingPart(settings, {
      logger,
      metrics,
      groups: this.#groups,
      loads: this.#groupLoads,
    });
    const attempts = new StreamAttempts();
    const coldLimits = new ColdLimits({
      overageFactor: settings.coldOverage,
      slackRequests: settings.coldSlack,
      getColdRate: (service) =>
        this.#routes?.findService(service)?.coldRequestsPerSecond ?? 0,
      minDaemons: MIN_SHARING_DAEMONS,
      ownName: settings.name,
      listPeerNames: () => this.#peerTable.listPeerNames(),
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
        loads: this.#groupLoads,
        sendLimits: [coldLimits, this.#serverLimits],
        statements: this.#serverStatements,
        zone: settings.zone,
        ownName: settings.name,
        getStalenessMs: () => this.#peerExchange.getStalenessMs(),
        findEstimate: (groupKey) => concurrency?.getEstimate(groupKey),
        waits: this.#waiting?.estimates,
      }),
      attempts,
      groupFailureDetector: new GroupFailureDetector({
        groups: this.#groups,
        attempts,
        orders: platform.orders,
        logger,
        announceLoss: () => this.#peerExchange.announce(),
      }),
      serverLoads: new ServerLoads({
        findEstimate: (server) =>
          concurrency?.getEstimate(getServerKey(server)),
      }),
      concurrency,
      coldLimits,
      serverLimits: this.#serverLimits,
      serverStatements: this.#serverStatements,
      crashes: this.#crashCounter,
      promptParts: this.#promptParts,
      getRoutes: () => this.#routes,
      getExcludedZones: () => this.#excludedZones.getZones(),
      getRetryBudget: (service) => this.#getRetryBudget(service),
      getUsageRecorder: () => this.#usageRecorder,
      plannedStop: this.#plannedStop,
      refusals: this.#waiting?.refusals,
      serviceWaits: this.#waiting?.services,
    };
    concurrency?.onChange(() => this.#context.admission.admitWaiting());
    this.#requestHandler = new RoutedRequestHandler(this.#context);
    this.#callerServer = new HttpServer(
      platform.createIngress(
        this.#requestHandler,
        new UnansweredEndRecorder({
          logger,
          metrics,
          requests: this.#plannedStop,
        }),
      ),
      { maxHeaderBytes: MAX_PARSED_HEADER_BYTES, isUnusedTimeIdle: true },
    );
    this.#readinessServer = new HttpServer((req, res) => {
      const isReady = req.url === platform.readyPath && this.isReady();
      res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
      res.end();
    });
    const explainer = new RouteExplainer(this.#context);
    this.#metricsServer = new HttpServer((req, res) => {
      if (handleExplanation(explainer, req, res)) {
        return;
      }
      res.setHeader("content-type", "text/plain; version=0.0.4");
      res.end(metrics.render());
    });
    this.#peerServer = new HttpServer(
      (_req, res) => {
        res.writeHead(404, { "content-length": 0 });
        res.end();
      },
      // Daemons without a link watch the lease holder through an unused connection.
      { isUnusedTimeIdle: true },
    );
    this.#linkTransport.listen(this.#peerServer.server);
    this.#parts = this.#createParts();
  }

  /** Creates the parts that the settings switch on. */
  #createParts(): RoutingPart[] {
    const dutyParts = this.#createDutyParts();
    this.#usageRecorder = dutyParts.usageRecorder;
    const registrationPart = this.#missingMembers === undefined
      ? undefined
      : createRegistrationPart({
        missingMembers: this.#missingMembers,
        confirmedGroups: this.#confirmedGroups,
        groups: this.#groups,
        orders: this.#memberOrders,
        isPlanner: () => this.#leaseHolder.getTerm() !== undefined,
        announceLoss: () => this.#peerExchange.announce(),
      });
    const parts = [
      registrationPart,
      this.#takeover,
      this.#concurrency,
      this.#waiting,
      ...dutyParts.parts,
    ].filter((part) => part !== undefined);
    for (const part of parts) {
      part.sections.forEach((section) => this.#sections.add(section));
      part.addGauges(this.#options.metrics);
    }
    return parts;
  }

  #createDutyParts(): DutyParts {
    const { platform, settings, logger, metrics } = this.#options;
    return createDutyParts({
      name: settings.name,
      settings: settings.duties,
      client: platform.duties,
      lease: this.#leaseHolder,
      store: platform.store,
      logger,
      metrics,
      directory: this.#directory,
      groups: this.#groups,
      loads: this.#groupLoads,
      listServices: () => this.#routes?.config.services ?? [],
      countWaiting: (service, model) =>
        this.#context.admission.countWaiting(service, model),
      countLiveDaemons: () => this.#peerTable.listLivePeers().length + 1,
      getListAgeMs: () => this.#fleetSync.getReportedListAgeMs("hub"),
      getStoreGeneration: () => this.#fleetSync.storeGeneration,
      getExcludedZones: () => this.#excludedZones.getZones(),
      scheduleNotices: () => this.#peerExchange.scheduleNotices(),
      announce: () => this.#peerExchange.announce(),
    });
  }

  #applyNotice(
    partner: DaemonDescription,
    relation: PeerRelation,
    notice: PeerNotice,
  ): void {
    const { planner } = notice;
    if (planner !== undefined && planner.name !== this.#ownDaemon.name) {
      this.#leaseHolder.observeTerm(planner.term, planner.name);
    }
    this.#fleetSync.applyNotice(partner, relation, notice);
    this.#sections.applyReports(
      partner.name,
      relation,
      notice.sections ?? {},
    );
  }

  /** Gets whether the daemon is ready to serve callers: it has a configuration and a list of backend servers, and no planned stop has begun. */
  isReady(): boolean {
    return !this.#plannedStop.isLeaving && this.#routes !== undefined &&
      this.#directory.isPopulated;
  }

  /** Starts the listeners and the background tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#callerServer.listen(settings.caller);
    this.#lifeCycle.add(this.#callerServer);
    await this.#readinessServer.listen(settings.ready);
    this.#lifeCycle.add(this.#readinessServer);
    await this.#peerServer.listen(settings.peer);
    this.#lifeCycle.add(this.#peerServer);
    this.#lifeCycle.add(this.#linkTransport);
    this.#lifeCycle.add(this.#peerExchange);
    await this.#metricsServer.listen(settings.metrics);
    this.#lifeCycle.add(this.#metricsServer);
    this.#startTask("sync", this.#fleetSync);
    this.#startTask("peers", this.#peerExchange);
    this.#startTask("lease", this.#leaseHolder);
    this.#startTask("replicas", this.#createReplicaReconciler());
    this.#startTask("guard", this.#context.groupFailureDetector);
    for (const { tasks } of this.#parts) {
      tasks.forEach((task, name) => this.#startTask(name, task));
    }
    logger.write("info", "daemon-started", {
      caller: this.#callerServer.address,
      ready: this.#readinessServer.address,
    });
  }

  /** Stops gracefully: reports not ready, so that the load balancer stops sending callers, and waits until the requests in flight have ended or the grace period is over. */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stopOnce();
    return this.#stopPromise;
  }

  async #stopOnce(): Promise<void> {
    const stopRun = this.#plannedStop.run(() =>
      this.#callerServer.stopListening()
    );
    this.#peerExchange.announce();
    const leaseRelease = this.#leaseHolder.release();
    await stopRun;
    const endFields = this.#plannedStop.describeEnd();
    await leaseRelease;
    await this.#lifeCycle.dispose();
    this.#options.logger.write("info", "daemon-stopped", endFields);
  }

  #createFleetSync(): FleetSync {
    const { platform, logger, settings } = this.#options;
    return new FleetSync({
      platform,
      logger,
      zone: settings.zone,
      drainNoticeMs: settings.drainNoticeMs,
      configNoticeMs: settings.configNoticeMs,
      exclusionNoticeMs: settings.exclusionNoticeMs,
      directory: this.#directory,
      groups: this.#groups,
      loads: this.#groupLoads,
      crashes: this.#crashCounter,
      promptParts: this.#promptParts,
      serverLimits: this.#serverLimits,
      serverStatements: this.#serverStatements,
      excludedZones: this.#excludedZones,
      peerTable: this.#peerTable,
      isPlanner: () => this.#leaseHolder.getTerm() !== undefined,
      isFirstHub: () => this.#peerExchange.isFirstHub,
      isHub: () => this.#peerExchange.isHub,
      isAlone: () => this.#peerExchange.isAlone,
      announce: () => this.#peerExchange.announce(),
      scheduleNotices: () => this.#peerExchange.scheduleNotices(),
      sendNotice: (partner, notice) =>
        this.#peerExchange.sendNotice(partner, notice),
      getConfig: () => this.#routes?.config,
      applyConfig: (config, source) => this.#applyConfig(config, source),
      onStoreRestored: () => this.#peerExchange.scheduleRegistration(),
    });
  }

  #createLeaseHolder(): PlannerLeaseHolder {
    const { platform, logger, settings } = this.#options;
    return new PlannerLeaseHolder({
      store: platform.store,
      kind: LEASE_KIND,
      name: settings.name,
      logger,
      areOrdersFenced: settings.areOrdersFenced,
      isHolderReported: () => this.#peerTable.findPlanner() !== undefined,
      getCandidateDelayMs: () => this.#getCandidateDelayMs(),
      onStoreRecovered: () => this.#fleetSync.restartWatches(),
      takeover: this.#takeover.takeover,
    });
  }

  #createTakeoverPart(): TakeoverPart {
    const { logger, settings, metrics } = this.#options;
    return createTakeoverPart({
      ownDaemon: this.#ownDaemon,
      areOrdersFenced: settings.areOrdersFenced,
      leaseMs: settings.duties?.leaseMs,
      peerTable: this.#peerTable,
      logger,
      metrics,
      announce: () => this.#peerExchange.announce(),
      onReport: () => this.#leaseHolder.wake(),
    });
  }

  #getCandidateDelayMs(): number {
    if (this.#peerExchange.isFirstHub) {
      return 0;
    }
    return this.#peerExchange.isHub
      ? HUB_CANDIDATE_DELAY_MS
      : MEMBER_CANDIDATE_DELAY_MS;
  }

  #createPeerExchange(): PeerExchange {
    const { platform, logger } = this.#options;
    return new PeerExchange({
      store: platform.store,
      kind: DAEMON_KIND,
      ownDaemon: this.#ownDaemon,
      peerTable: this.#peerTable,
      transport: this.#linkTransport,
      logger,
      describeState: (relation) => this.#describeState(relation),
      createDataNotice: (partner) => this.#fleetSync.createDataNotice(partner),
      onNotice: (partner, relation, notice) =>
        this.#applyNotice(partner, relation, notice),
      onReportSent: (number, loads) =>
        this.#groupLoads.recordSentLoads(number, loads),
      onPartnerLost: (name) => {
        this.#fleetSync.removePartner(name);
        this.#sections.removePartner(name);
      },
      onPartnerLinked: (name) => this.#takeover.handleLink(name),
      onPartnerEnded: (partner) =>
        void this.#takeover.detector.checkPartner(partner),
    });
  }

  #createReplicaReconciler(): ReplicaReconciler {
    const { logger } = this.#options;
    return new ReplicaReconciler({
      directory: this.#directory,
      groups: this.#groups,
      orders: this.#memberOrders,
      missingMembers: this.#missingMembers,
      lease: this.#leaseHolder,
      loads: this.#groupLoads,
      logger,
      listEngineServices: () =>
        (this.#routes?.config.services ?? []).filter(({ engine }) =>
          engine !== undefined
        ),
      getExcludedZones: () => this.#excludedZones.getZones(),
    });
  }

  get #ownDaemon(): DaemonDescription {
    const { name, peer, zone, processorCores } = this.#options.settings;
    return { name, address: `${peer.host}:${peer.port}`, zone, processorCores };
  }

  #describeState(relation: PeerRelation): NoticeState {
    return {
      isLeaving: this.#plannedStop.isLeaving,
      planner: this.#findPlanner(),
      configVersion: this.#routes?.version ?? 0,
      excludedZones: this.#excludedZones.getNotice(),
      serversRevision: this.#directory.revision,
      serversChangeRevision: this.#directory.changeRevision,
      serversAgeMs: this.#fleetSync.getReportedListAgeMs(relation),
      loads: this.#groupLoads.getReport(relation),
      lostGroups: this.#groups.listLostKeys(),
      suspectedGroups: this.#groups.listSuspectedKeys(),
      crashes: this.#crashCounter.getReport(),
      completedSuspects: this.#crashCounter.listRecentCompletions(),
      promptParts: this.#promptParts.getReport(),
      serverLimits: this.#serverLimits.getReport(relation),
      leavingServers: this.#serverStatements.getReport(relation),
      peers: this.#peerTable.getReport(relation),
      sections: this.#sections.getReports(relation),
    };
  }

  #findPlanner(): PlannerNotice | undefined {
    const term = this.#leaseHolder.getTerm();
    return term === undefined
      ? this.#peerTable.findPlanner()
      : { name: this.#ownDaemon.name, term, ageMs: 0 };
  }

  #startTask(name: string, task: BackgroundTask): void {
    const supervisor = new TaskSupervisor({
      name,
      task,
      logger: this.#options.logger,
    });
    void supervisor.run(this.#lifeCycle.signal);
  }

  #applyConfig(config: RoutingConfig, source: string): void {
    const currentVersion = this.#routes?.version;
    if (currentVersion !== undefined && config.version <= currentVersion) {
      return;
    }
    this.#routes = new RouteTable(config);
    this.#callerServer.setLimits(config.limits);
    this.#options.metrics.count("config_changes");
    this.#options.logger.write("info", "config-in-force", {
      version: config.version,
      before: currentVersion,
      source,
      routes: config.routes.length,
      accounts: config.accounts.length,
      isKeyRequired: this.#routes.isKeyRequired,
    });
    this.#groups.refresh();
    this.#peerExchange.announce();
  }

  #getRetryBudget(service: string): ServiceRetryBudget {
    const { settings } = this.#options;
    let budget = this.#retryBudgets.get(service);
    if (budget === undefined) {
      budget = new ServiceRetryBudget({
        ratio: settings.retryRatio,
        windowMs: settings.retryWindowMs,
        slack: settings.retrySlack,
        countDaemons: () =>
          Math.max(MIN_SHARING_DAEMONS, this.#peerTable.countLiveDaemons()),
      });
      this.#retryBudgets.set(service, budget);
    }
    return budget;
  }
}
