import type { ScalingLimits } from "../../version/routing_config.ts";
import {
  findServersPerZone,
  hasEnoughServers,
  type ModelNeed,
} from "./server_need.ts";
import type { ZoneOrder } from "./server_orders.ts";
import type { DomainServers } from "./usable_groups.ts";

/** Multiple of the lasting demand for which slots are kept. Callers give up a stream after 2 s, and a new server serves after 10 s or more, so the servers that are there have to carry a doubling. */
export const KEPT_HEADROOM = 2;
/** Multiple of the lasting demand below which servers are added. It covers the loss of one of three zones (1.5) with a margin; the distance to `KEPT_HEADROOM` absorbs the random spread of removed servers over the domains, which would cause alternating orders otherwise. */
const LEAST_HEADROOM = 1.6;
/** Multiple of the lasting demand below which servers are added at once also after servers were lost. Below it requests wait for slots, as the groups are not evenly full. */
const URGENT_HEADROOM = 1.2;
/** Multiple of the highest demand of the last moments that is kept, which covers waves of 20% around a mean together with the headroom. */
const PEAK_MARGIN = 1.1;
/** Largest number of servers that one order removes. In a trial, the removal of 17 servers of a zone at once broke up nearly all of its groups. */
export const MAX_STEP = 2;
/** Multiple of `bootMs` after which servers that were ordered no longer count as starting. */
export const BOOT_TIMEOUT_FACTOR = 2;

/** Demand for one model. */
export interface ModelDemand {
  readonly model: string;
  readonly groupSize: number;
  /** Requests that the demand did not fall below for `bootMs` up to now. */
  readonly lasting: number;
  /** Peak of the lasting demand over the last moments. */
  readonly lastingPeak: number;
  /** Highest demand of the last moments. */
  readonly peak: number;
}

/** Servers of a zone, and what was ordered for it. */
export interface ZoneServers {
  readonly zone: string;
  /** Servers that are registered and not draining. */
  readonly count: number;
  /** Highest number of servers in the last minutes. */
  readonly recentPeak: number;
  /** Number that this holder has last ordered; undefined without an order. */
  readonly ordered: number | undefined;
  /** Time since that order in milliseconds. */
  readonly orderAgeMs: number;
  /** Whether the zone has had the ordered number of servers since that order. */
  readonly isReached: boolean;
}

/** Input of a decision on the servers of one service. */
export interface ScalingState {
  readonly limits: ScalingLimits;
  readonly slots: number;
  readonly demands: readonly ModelDemand[];
  /** Domains of the zones that take requests. */
  readonly domains: readonly DomainServers[];
  /** Zones that take requests. */
  readonly zones: readonly ZoneServers[];
  /** Whether a zone has fewer servers than at some time within the last `bootMs`. */
  readonly hasLostServers: boolean;
}

/** Reason for an order. */
export type OrderReason = "demand" | "urgent" | "surplus" | "repeat";

/** Number of servers to order for a zone. */
export interface DecidedOrder extends ZoneOrder {
  readonly reason: OrderReason;
}

/**
 * Decides which zones get more servers.
 *
 * The pattern it handles is a demand that grows and stays: the lasting demand does not contain a burst that ends before a new server would serve. Lost servers that return within `bootMs`, such as those cut off from the store, cause no order unless the rest hardly carries the demand. All missing servers are ordered at once. A count is never below one that the zone had recently, since the platform may still run servers that this daemon does not see, and a lower count would remove some.
 *
 * @returns Orders with the largest addition first.
 * @example
 * ```ts
 * decideAdditions(state); // [{ zone: "zone-a", count: 48, reason: "demand" }]
 * ```
 */
export function decideAdditions(state: ScalingState): DecidedOrder[] {
  const { demands, limits, hasLostServers, zones } = state;
  if (demands.every(({ lasting }) => lasting === 0)) {
    return [];
  }
  const coming = collectComingServers(state);
  const hasHeadroom = (factor: number) =>
    hasEnoughServers({
      ...state,
      coming,
      needs: demands.map((demand) => createLastingNeed(demand, factor)),
    });
  const isUrgent = !hasHeadroom(URGENT_HEADROOM);
  if (!isUrgent && (hasLostServers || hasHeadroom(LEAST_HEADROOM))) {
    return [];
  }
  const target = findServersPerZone({
    ...state,
    needs: demands.map((demand) => createLastingNeed(demand, KEPT_HEADROOM)),
    direction: "grow",
  });
  return zones.filter(({ count }) => count < target)
    .sort((a, b) => a.count - b.count || compareNames(a.zone, b.zone))
    .map((zone) => ({
      zone: zone.zone,
      count: Math.min(
        limits.maxServers,
        Math.max(target, zone.ordered ?? zone.recentPeak),
      ),
      reason: isUrgent ? "urgent" as const : "demand" as const,
    }))
    .filter(({ zone, count }) =>
      isNewOrder(zones.find((other) => other.zone === zone)!, count, limits)
    );
}

/**
 * Gets the smallest number of servers in each zone that keeps the groups of all models.
 *
 * The pattern it handles is a demand that stays low, with waves and short bursts: the number follows from the highest lasting demand with headroom, and from the highest demand.
 */
export function getKeptServers(state: ScalingState): number {
  return findServersPerZone({
    ...state,
    needs: state.demands.map(createKeptNeed),
    direction: "keep",
  });
}

/**
 * Decides which zone gets fewer servers, in a step so small that the groups of the zone can be formed again before the next one. Steps alternate between the zones, as the one with the most servers is next.
 *
 * @param state - Current state.
 * @param kept - Number of servers to keep in each zone.
 * @returns The order, or undefined when no zone has a surplus.
 */
export function decideRemoval(
  { zones, limits }: ScalingState,
  kept: number,
): DecidedOrder | undefined {
  const surplus = ({ count }: ZoneServers) => count - kept;
  const orders = zones.filter((zone) => surplus(zone) > 0)
    .sort((a, b) => surplus(b) - surplus(a) || compareNames(a.zone, b.zone))
    .map((zone) => ({
      zone: zone.zone,
      count: Math.max(
        limits.minServers,
        zone.count - Math.min(MAX_STEP, surplus(zone)),
      ),
      reason: "surplus" as const,
    }));
  return orders.find(({ zone, count }) => {
    const servers = zones.find((other) => other.zone === zone)!;
    return count < servers.count && count !== servers.ordered;
  });
}

/** Gets whether an order for more servers differs from the last one, or servers have been lost for long since the last one was carried out. */
function isNewOrder(
  { ordered, orderAgeMs, isReached }: ZoneServers,
  target: number,
  { bootMs }: ScalingLimits,
): boolean {
  return target !== ordered ||
    (isReached && orderAgeMs > bootMs * BOOT_TIMEOUT_FACTOR);
}

/** Collects the numbers of the orders whose servers are still starting, by zone. */
function collectComingServers(
  { zones, limits }: ScalingState,
): Map<string, number> {
  return new Map(
    zones.flatMap(({ zone, ordered, orderAgeMs, isReached }) =>
      ordered !== undefined && !isReached &&
        orderAgeMs <= limits.bootMs * BOOT_TIMEOUT_FACTOR
        ? [[zone, ordered] as const]
        : []
    ),
  );
}

function createLastingNeed(
  { model, groupSize, lasting }: ModelDemand,
  factor: number,
): ModelNeed {
  return {
    model,
    groupSize,
    requests: lasting * factor,
    requestsWithoutZone: 0,
  };
}

function createKeptNeed(
  { model, groupSize, lastingPeak, peak }: ModelDemand,
): ModelNeed {
  return {
    model,
    groupSize,
    requests: Math.max(lastingPeak * KEPT_HEADROOM, peak * PEAK_MARGIN),
    requestsWithoutZone: lastingPeak * PEAK_MARGIN,
  };
}

function compareNames(a: string, b: string): number {
  return a < b ? -1 : 1;
}
