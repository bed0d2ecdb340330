import { HttpServer } from "../connection/http_server.ts";
import { RoutedReceiver } from "../request/routed/routed_receiver.ts";
import { delay } from "../shared/delay.ts";
import { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import type { Logger } from "../shared/logger.ts";
import { RouteTable } from "../version/route_table.ts";
import type { RoutingConfig } from "../version/routing_config.ts";
import { BackendDirectory } from "./fleet/backend_directory.ts";
import type { BackendServer } from "./fleet/backend_server.ts";
import { GroupAdmission } from "./fleet/group_admission.ts";
import { GroupGuard } from "./fleet/group_guard.ts";
import { GroupLoads } from "./fleet/group_loads.ts";
import { GroupTable } from "./fleet/group_table.ts";
import { KindWatch } from "./fleet/kind_watch.ts";
import { PlannerLeaseHolder } from "./fleet/planner_lease_holder.ts";
import { RepeatBudget } from "./fleet/repeat_budget.ts";
import { ReplicaTask } from "./fleet/replica_task.ts";
import { ServerLoads } from "./fleet/server_loads.ts";
import { StreamAttempts } from "./fleet/stream_attempts.ts";
import type { Metrics } from "./metrics.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import type { RoutingContext } from "./routing_context.ts";
import type { RoutingSettings } from "./routing_settings.ts";

/** Kind of the daemons' own objects in the store. */
const OWN_KIND = "tarragontally";
/** Pauses between two calls of a watch, in milliseconds: a configuration has to be in force soon, while changes of servers come in bunches. */
const CONFIG_GATHER_MS = 50;
const SERVERS_GATHER_MS = 200;
/** Daemons among which budgets are split before the others are known. */
const ASSUMED_DAEMONS = 8;
/** Part of the grace time of a stop that is left for closing. */
const STOP_RESERVE_MS = 700;
const STOP_POLL_MS = 50;
/** Time in which the balancer learns that the daemon is not ready, in milliseconds. */
const BALANCER_LAG_MS = 3_000;

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
  readonly #caller: HttpServer;
  readonly #ready: HttpServer;
  readonly #budgets = new Map<string, RepeatBudget>();
  #routes: RouteTable | undefined;
  #excludedZones: ReadonlySet<string> = new Set();
  #isLeaving = false;

  constructor(options: RoutingDaemonOptions) {
    this.#options = options;
    const { logger, platform, settings, metrics } = options;
    this.#directory = new BackendDirectory({ logger });
    this.#groups = new GroupTable({
      directory: this.#directory,
      logger,
      findModel: (service, model) =>
        this.#routes?.findService(service)?.engine?.models.find(({ name }) =>
          name === model
        ),
    });
    const loads = new GroupLoads();
    const attempts = new StreamAttempts();
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
        loads,
        zone: settings.zone,
      }),
      attempts,
      guard: new GroupGuard({
        groups: this.#groups,
        attempts,
        orders: platform.orders,
        logger,
      }),
      serverLoads: new ServerLoads(),
      getRoutes: () => this.#routes,
      getExcludedZones: () => this.#excludedZones,
      getRepeatBudget: (service) => this.#getRepeatBudget(service),
      isLeaving: () => this.#isLeaving,
    };
    this.#caller = new HttpServer(
      platform.createIngress(new RoutedReceiver(this.#context)),
    );
    this.#ready = new HttpServer((req, res) => {
      const isReady = req.url === platform.readyPath && this.isReady();
      res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
      res.end();
    });
  }

  /** Gets whether the daemon can serve callers. */
  isReady(): boolean {
    return !this.#isLeaving && this.#routes !== undefined &&
      this.#directory.isListed;
  }

  /** Starts the listeners and the tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#caller.listen(settings.caller);
    this.#lifeCycle.add(this.#caller);
    await this.#ready.listen(settings.ready);
    this.#lifeCycle.add(this.#ready);
    this.#startWatches();
    this.#startPlanner();
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
    await delay(BALANCER_LAG_MS);
    this.#caller.stopListening();
    while (performance.now() < endMs && this.#inFlight > 0) {
      await delay(STOP_POLL_MS);
    }
    await this.#lifeCycle.dispose();
    logger.write("info", "daemon-stopped", {
      cut: this.#inFlight,
      tookMs: Math.round(performance.now() - startedAtMs),
    });
  }

  get #inFlight(): number {
    return this.#context.attempts.listByGroup().length;
  }

  #startWatches(): void {
    const { platform, logger } = this.#options;
    const { store, kinds } = platform;
    this.#startTask(
      "config-watch",
      new KindWatch<RoutingConfig>({
        store,
        logger,
        kind: kinds.config,
        gatherMs: CONFIG_GATHER_MS,
        keepsLastGood: true,
        decode: ({ value }) => platform.decodeConfig(value),
        onChange: ({ changed }) =>
          changed.forEach((config) => this.#applyConfig(config)),
      }),
    );
    this.#startTask(
      "zone-watch",
      new KindWatch<true>({
        store,
        logger,
        kind: kinds.excludedZones,
        gatherMs: CONFIG_GATHER_MS,
        keepsLastGood: true,
        decode: () => true,
        onChange: ({ changed, removed }) => {
          const zones = new Set([...this.#excludedZones, ...changed.keys()]);
          removed.forEach((zone) => zones.delete(zone));
          this.#applyExcludedZones(zones);
        },
      }),
    );
    this.#startTask(
      "server-watch",
      new KindWatch<BackendServer>({
        store,
        logger,
        kind: kinds.servers,
        gatherMs: SERVERS_GATHER_MS,
        keepsLastGood: false,
        decode: ({ name, value }) => platform.decodeServer(name, value),
        onChange: (change) => this.#directory.applyChange(change),
      }),
    );
  }

  #startPlanner(): void {
    const { platform, logger, settings } = this.#options;
    const lease = new PlannerLeaseHolder({
      store: platform.store,
      kind: OWN_KIND,
      name: settings.name,
      logger,
    });
    this.#startTask("lease", lease);
    this.#startTask(
      "replicas",
      new ReplicaTask({
        directory: this.#directory,
        groups: this.#groups,
        orders: platform.orders,
        lease,
        logger,
        listEngineServices: () =>
          (this.#routes?.config.services ?? []).filter(({ engine }) =>
            engine !== undefined
          ),
        getExcludedZones: () => this.#excludedZones,
      }),
    );
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

  #applyConfig(config: RoutingConfig): void {
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
      routes: config.routes.length,
    });
    this.#groups.refresh();
  }

  #applyExcludedZones(zones: ReadonlySet<string>): void {
    this.#excludedZones = zones;
    this.#options.logger.write("info", "zones-excluded", {
      zones: [...zones].join(","),
    });
    this.#groups.setExcludedZones(zones);
  }

  #getRepeatBudget(service: string): RepeatBudget {
    const { settings } = this.#options;
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RepeatBudget({
        ratio: settings.retryRatio,
        windowMs: settings.retryWindowMs,
        slack: settings.retrySlack,
        countDaemons: () => ASSUMED_DAEMONS,
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
