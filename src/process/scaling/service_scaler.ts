import type { RoutedService } from "../../version/routing_config.ts";
import { DemandTracker, HISTORY_MS } from "./demand_tracker.ts";
import type { FleetView } from "./fleet_view.ts";
import {
  findScaleInObstacle,
  type ScaleInObstacle,
} from "./scale_in_conditions.ts";
import {
  BOOT_TIMEOUT_FACTOR,
  decideAdditions,
  type DecidedOrder,
  decideRemoval,
  getKeptServers,
  MAX_STEP,
  type ScalingState,
  type ZoneServers,
} from "./scaling_decision.ts";
import { ServerOrders } from "./server_orders.ts";

/** Time before a removal within which no request may have waited, in milliseconds. */
const WAITING_WINDOW_MS = 3_000;
/** Least time over which demand counts as lasting, in milliseconds; a single sample is no evidence. */
const MIN_LASTING_MS = 3_000;
/** Least time for which the demand has to be low before servers are removed, in milliseconds, for services whose servers start at once. */
const MIN_LOW_DEMAND_MS = 10_000;

/** Service whose number of servers may be ordered. */
export type ScaledService =
  & RoutedService
  & Required<Pick<RoutedService, "engine" | "scaling">>;

/** View of a service at one time, with what concerns the whole daemon. */
export interface ScalingView extends FleetView {
  /** Whether all daemons have reported, and the list of servers is up to date. */
  readonly isComplete: boolean;
  readonly excludedZones: number;
  /** Groups whose loss or suspicion is recorded. */
  readonly lostGroups: number;
  /** Time since this daemon acquired the duty, in milliseconds. */
  readonly dutyMs: number;
}

/** Result of one decision. */
export interface ScalingChoice {
  /** Order to send now. */
  readonly order: DecidedOrder | undefined;
  /** Servers to keep in each zone. */
  readonly kept: number;
  /** Reason for which no servers are removed; undefined when they may be. */
  readonly obstacle: ScaleInObstacle | undefined;
}

/** Follows the demand for one service, and chooses the next order for its servers. */
export class ServiceScaler {
  readonly tracker = new DemandTracker();
  readonly orders = new ServerOrders();

  /** Records the state, at every daemon once a second. */
  observe(view: FleetView & Pick<ScalingView, "isComplete">): void {
    this.tracker.addSample(view);
    view.servers.forEach((count, zone) =>
      this.orders.observeCount(zone, count)
    );
  }

  /** Chooses the next order: additions first, then orders to be repeated, then one removal. */
  choose(service: ScaledService, view: ScalingView): ScalingChoice {
    const state = this.#describeState(service, view);
    const kept = getKeptServers(state);
    const obstacle = this.#findObstacle(service, view, state);
    const candidates = [
      ...decideAdditions(state),
      ...this.#listRepeats(view, obstacle),
    ];
    const removal = obstacle === undefined
      ? decideRemoval(state, kept)
      : undefined;
    if (candidates.length === 0 && removal !== undefined) {
      candidates.push(removal);
    }
    const order = candidates.find(({ zone }) => this.orders.takesOrder(zone));
    return { order, kept, obstacle };
  }

  /** Lists the orders to be repeated. One that would remove servers is repeated only while servers may be removed. */
  #listRepeats(
    { servers }: ScalingView,
    obstacle: ScaleInObstacle | undefined,
  ): DecidedOrder[] {
    const isAllowed = obstacle === undefined || obstacle === "order-pending" ||
      obstacle === "settling";
    return this.orders.listRepeats()
      .filter(({ zone, count }) =>
        isAllowed || count >= (servers.get(zone) ?? 0)
      )
      .map((order) => ({ ...order, reason: "repeat" }));
  }

  #describeState(service: ScaledService, view: ScalingView): ScalingState {
    const { engine, scaling } = service;
    const { bootMs } = scaling;
    const lastingMs = Math.max(MIN_LASTING_MS, bootMs);
    const windowMs = getLowDemandMs(service);
    const zones = [...view.servers].map(([zone, count]): ZoneServers => ({
      zone,
      count,
      recentPeak: this.tracker.getServerPeak(zone, HISTORY_MS),
      ordered: this.orders.getCount(zone),
      orderAgeMs: this.orders.getAgeMs(zone),
      isReached: this.orders.isReached(zone),
    }));
    return {
      limits: scaling,
      slots: engine.slots,
      demands: engine.models.map(({ name, groupSize }) => ({
        model: name,
        groupSize,
        lasting: this.tracker.getLastingRequests(name, lastingMs),
        lastingPeak: this.tracker.getLastingPeak(name, windowMs, lastingMs),
        peak: this.tracker.getPeak(name, windowMs),
      })),
      domains: view.domains,
      zones,
      hasLostServers: this.#countMissing(view, bootMs) > 0,
    };
  }

  /** Counts the servers that the zone which lacks most has fewer than within the last `windowMs`, apart from those whose removal was ordered. */
  #countMissing({ servers }: ScalingView, windowMs: number): number {
    const missing = this.tracker.listZones(windowMs).map((zone) =>
      Math.min(
        this.tracker.getServerPeak(zone, windowMs),
        this.orders.getCount(zone) ?? Number.POSITIVE_INFINITY,
      ) - (servers.get(zone) ?? 0)
    );
    return Math.max(0, ...missing);
  }

  #findObstacle(
    service: ScaledService,
    view: ScalingView,
    { zones, hasLostServers }: ScalingState,
  ): ScaleInObstacle | undefined {
    const { engine, scaling } = service;
    const isStarting = view.dutyMs < scaling.bootMs;
    const isOrderPending = isStarting ||
      zones.some((zone) =>
        this.orders.isUncertain(zone.zone) ||
        (!zone.isReached &&
          zone.orderAgeMs <= scaling.bootMs * BOOT_TIMEOUT_FACTOR)
      );
    return findScaleInObstacle({
      ...view,
      isCovered: view.isComplete &&
        this.tracker.isCovered(getLowDemandMs(service)),
      // Missing servers may be cut off from the store and still run; a count below the present one would remove as many in addition.
      hasLostServers: hasLostServers ||
        this.#countMissing(view, HISTORY_MS) > MAX_STEP,
      groupSizes: new Map(
        engine.models.map(({ name, groupSize }) => [name, groupSize]),
      ),
      waitingRequests: this.tracker.getWaitingPeak(WAITING_WINDOW_MS),
      isOrderPending,
      settledMs: Math.min(
        view.dutyMs,
        ...zones.map(({ orderAgeMs }) => orderAgeMs),
      ),
    });
  }
}

/** Gets the time for which the demand has to be low before servers are removed, in milliseconds: as long as it takes until a server that is ordered again serves. */
function getLowDemandMs({ scaling, engine }: ScaledService): number {
  const loadsMs = engine.models.map(({ loadMs }) => loadMs);
  return Math.max(MIN_LOW_DEMAND_MS, scaling.bootMs + Math.max(0, ...loadsMs));
}
