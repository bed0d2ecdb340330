import type { DomainServers } from "./usable_groups.ts";

/** State on which the removal of servers depends. */
export interface ScaleInState {
  /** Whether complete samples cover the time over which the demand has to be low. */
  readonly isCovered: boolean;
  readonly excludedZones: number;
  /** Groups whose loss or suspicion is recorded. */
  readonly lostGroups: number;
  readonly drainingServers: number;
  readonly hasLostServers: boolean;
  /** Domains with the servers that take part in groups. */
  readonly domains: readonly DomainServers[];
  /** Groups that accept requests, by domain. */
  readonly servingGroups: ReadonlyMap<string, number>;
  readonly groupSizes: ReadonlyMap<string, number>;
  /** Highest number of waiting requests of the last moments. */
  readonly waitingRequests: number;
  /** Whether an order is not carried out yet, or may still be replaced by a late one. */
  readonly isOrderPending: boolean;
  /** Time since the last order or the begin of the duty, in milliseconds. */
  readonly settledMs: number;
}

/** Time after an order, or the begin of the duty, before servers are removed, in milliseconds. A group that has to be formed again serves after about 2 s. */
const SETTLE_MS = 3_000;

/** Reason for which no server is removed now. */
export type ScaleInObstacle =
  | "view-incomplete"
  | "zone-excluded"
  | "groups-lost"
  | "servers-lost"
  | "servers-draining"
  | "groups-forming"
  | "requests-waiting"
  | "order-pending"
  | "settling";

/**
 * Finds the reason for which no server may be removed now. Each removal breaks up a group, so it has to wait until the fleet has recovered from the last one and from any other loss, and until all of the state is known.
 *
 * @returns The first reason, or undefined when servers may be removed.
 * @example
 * ```ts
 * findScaleInObstacle({ ...state, excludedZones: 1 }); // "zone-excluded"
 * ```
 */
export function findScaleInObstacle(
  state: ScaleInState,
): ScaleInObstacle | undefined {
  const obstacles: readonly (readonly [ScaleInObstacle, boolean])[] = [
    ["view-incomplete", !state.isCovered],
    ["zone-excluded", state.excludedZones > 0],
    ["groups-lost", state.lostGroups > 0],
    ["servers-draining", state.drainingServers > 0],
    ["servers-lost", state.hasLostServers],
    ["groups-forming", !hasAllGroups(state)],
    ["requests-waiting", state.waitingRequests > 0],
    ["order-pending", state.isOrderPending],
    ["settling", state.settledMs < SETTLE_MS],
  ];
  return obstacles.find(([, applies]) => applies)?.[0];
}

/** Gets whether each domain has as many serving groups as its servers allow. */
function hasAllGroups(
  { domains, servingGroups, groupSizes }: ScaleInState,
): boolean {
  return domains.every(({ domain, model, count }) => {
    const groupSize = groupSizes.get(model ?? "");
    return groupSize !== undefined &&
      (servingGroups.get(domain) ?? 0) >= Math.floor(count / groupSize);
  });
}
