import type { DutyClient, DutyFence } from "../../connection/duty_client.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { Metrics } from "../metrics.ts";
import type { BackgroundTask } from "../task_supervisor.ts";
import { SAMPLE_INTERVAL_MS } from "./demand_tracker.ts";
import { collectFleetView, type FleetSources } from "./fleet_view.ts";
import type { DecidedOrder } from "./scaling_decision.ts";
import {
  type ScaledService,
  type ScalingChoice,
  type ScalingView,
  ServiceScaler,
} from "./service_scaler.ts";
import { createWaitingKey, type WaitingSection } from "./waiting_section.ts";

/** Age of the list of servers above which it counts as outdated, in milliseconds; given in the requirements. */
const MAX_LIST_AGE_MS = 2_000;
/** Time for which a daemon that no longer reports counts as missing, in milliseconds. A replaced daemon gets another name, so that its place has to expire. */
const DAEMON_MEMORY_MS = 30_000;
/** Minimum time between two log lines about the reason for which no servers are removed, in milliseconds. */
const OBSTACLE_LOG_INTERVAL_MS = 10_000;

/** Components of a `ScalingTask`. */
export interface ScalingTaskOptions extends FleetSources {
  readonly client: DutyClient;
  readonly lease: DutyLease;
  readonly section: WaitingSection;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Lists the services of the configuration in force. */
  listServices(): readonly RoutedService[];
  /** Counts the requests of this daemon that wait for a slot of a model. */
  countWaiting(service: string, model: string): number;
  /** Counts the daemons that are neither lost nor leaving, with this one. */
  countLiveDaemons(): number;
  /** Gets the time since the store confirmed the list of servers, in milliseconds; undefined when it has not. */
  getListAgeMs(): number | undefined;
  /** Gets the generation of the store, which rises when it is restored from a copy. */
  getStoreGeneration(): number;
}

/** Follows the demand at every daemon, and orders servers while this daemon holds the duty. At most one call is made in each second, and the next one only after its end. */
export class ScalingTask implements BackgroundTask {
  readonly #options: ScalingTaskOptions;
  readonly #scalers = new Map<string, ServiceScaler>();
  /** Times at which numbers of daemons have reported, in milliseconds. */
  #daemonCounts: { readonly atMs: number; readonly count: number }[] = [];
  #storeGeneration = 0;
  #fence: DutyFence | undefined;
  #dutySinceMs = Number.POSITIVE_INFINITY;
  #isCalling = false;
  #kept = 0;
  #loggedObstacle: string | undefined;
  #obstacleLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ScalingTaskOptions) {
    this.#options = options;
  }

  /** Gets the servers to keep in each zone as of the last decision, the most of any service; 0 while another daemon holds the duty. */
  get keptServers(): number {
    return this.#kept;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(SAMPLE_INTERVAL_MS, signal)) {
      this.#runOnce();
    }
  }

  #runOnce(): void {
    const { section } = this.#options;
    const services = this.#listScaledServices();
    section.setOwn(this.#collectWaiting(services));
    const report = section.getTotal();
    const isComplete = this.#isViewComplete(report.daemons);
    const fence = this.#options.lease.getFence();
    this.#applyFence(fence);
    this.#kept = 0;
    for (const service of services) {
      const scaler = this.#getScaler(service.name);
      const view = {
        ...collectFleetView(service, this.#options, report),
        isComplete,
      };
      scaler.observe(view);
      if (fence !== undefined) {
        this.#decide(service, scaler, {
          ...view,
          excludedZones: this.#options.getExcludedZones().size,
          lostGroups: this.#options.groups.listLostKeys().length +
            this.#options.groups.listSuspectedKeys().length,
          dutyMs: performance.now() - this.#dutySinceMs,
        });
      }
    }
  }

  #listScaledServices(): ScaledService[] {
    return this.#options.listServices().filter((
      service,
    ): service is ScaledService =>
      service.engine !== undefined && service.scaling !== undefined
    );
  }

  #collectWaiting(services: readonly ScaledService[]): Map<string, number> {
    const waiting = new Map<string, number>();
    for (const { name, engine } of services) {
      for (const model of engine.models) {
        const count = this.#options.countWaiting(name, model.name);
        if (count > 0) {
          waiting.set(createWaitingKey(name, model.name), count);
        }
      }
    }
    return waiting;
  }

  /** Gets whether callers have begun, the list of servers is up to date, the store was not restored, and as many daemons have reported as are alive and have recently reported. */
  #isViewComplete(daemons: number): boolean {
    const nowMs = performance.now();
    this.#daemonCounts = this.#daemonCounts.filter(({ atMs }) =>
      nowMs - atMs < DAEMON_MEMORY_MS
    );
    const isConsistent = daemons === this.#options.countLiveDaemons();
    if (isConsistent) {
      // While a daemon moves to another hub, a higher number may be reported for a moment, which is no daemon that has gone.
      this.#daemonCounts.push({ atMs: nowMs, count: daemons });
    }
    const generation = this.#options.getStoreGeneration();
    const isRestored = generation !== this.#storeGeneration;
    this.#storeGeneration = generation;
    const listAgeMs = this.#options.getListAgeMs();
    return !isRestored && this.#options.loads.hasTraffic() &&
      listAgeMs !== undefined &&
      listAgeMs <= MAX_LIST_AGE_MS &&
      isConsistent &&
      this.#daemonCounts.every(({ count }) => count <= daemons);
  }

  /** Forgets the orders when the fence has changed, as another holder may have made others. */
  #applyFence(fence: DutyFence | undefined): void {
    if (
      fence?.token !== this.#fence?.token ||
      fence?.holder !== this.#fence?.holder
    ) {
      this.#scalers.forEach(({ orders }) => orders.clear());
      this.#dutySinceMs = performance.now();
    }
    this.#fence = fence;
  }

  #getScaler(service: string): ServiceScaler {
    let scaler = this.#scalers.get(service);
    if (scaler === undefined) {
      scaler = new ServiceScaler();
      this.#scalers.set(service, scaler);
    }
    return scaler;
  }

  #decide(
    service: ScaledService,
    scaler: ServiceScaler,
    view: ScalingView,
  ): void {
    const choice = scaler.choose(service, view);
    this.#kept = Math.max(this.#kept, choice.kept);
    this.#recordObstacle(service.name, choice);
    if (choice.order !== undefined && !this.#isCalling) {
      this.#isCalling = true;
      this.#sendOrder(service, { scaler, view, choice, order: choice.order })
        .catch((error: unknown) =>
          this.#options.logger.write("error", "server-order-failed", {
            service: service.name,
            message: getErrorMessage(error),
          })
        )
        .finally(() => {
          this.#isCalling = false;
        });
    }
  }

  async #sendOrder(
    service: ScaledService,
    { scaler, view, choice, order }: {
      scaler: ServiceScaler;
      view: ScalingView;
      choice: ScalingChoice;
      order: DecidedOrder;
    },
  ): Promise<void> {
    const { client, lease, logger, metrics } = this.#options;
    const fence = this.#fence!;
    const { zone, count, reason } = order;
    const listAgeMs = this.#options.getListAgeMs();
    const startedAtMs = performance.now();
    const outcome = await client.requestServers(
      { service: service.name, zone, count },
      fence,
    );
    if (outcome === "fenced") {
      lease.recordFenced(fence);
    }
    if (fence.token === this.#fence?.token) {
      scaler.orders.recordOutcome(order, outcome);
    }
    metrics.count("server_orders", { label: outcome });
    logger.write("info", "servers-ordered", {
      service: service.name,
      zone,
      count,
      servers: view.servers.get(zone),
      kept: choice.kept,
      reason,
      requests: [...view.requests.values()].reduce((sum, n) => sum + n, 0),
      waiting: view.waiting,
      isViewComplete: view.isComplete,
      listAgeMs,
      token: fence.token,
      outcome,
      tookMs: Math.round(performance.now() - startedAtMs),
    });
  }

  #recordObstacle(
    service: string,
    { obstacle, kept }: ScalingChoice,
  ): void {
    const nowMs = performance.now();
    if (
      obstacle !== this.#loggedObstacle &&
      nowMs - this.#obstacleLoggedAtMs >= OBSTACLE_LOG_INTERVAL_MS
    ) {
      this.#loggedObstacle = obstacle;
      this.#obstacleLoggedAtMs = nowMs;
      this.#options.logger.write("info", "scale-in-obstacle", {
        service,
        obstacle: obstacle ?? "none",
        kept,
      });
    }
  }
}
