import type { ScalingLimits } from "../../version/routing_config.ts";
import { type DomainServers, getExpectedGroups } from "./usable_groups.ts";

/** Servers of a domain beyond those of its groups, so that a group that loses a server can be formed again at once. */
const SPARES_PER_DOMAIN = 1;
/** Groups of each model in different domains, so that the loss of a domain leaves one. */
const MIN_DOMAINS_PER_MODEL = 2;

/** What a model needs. */
export interface ModelNeed {
  readonly model: string;
  readonly groupSize: number;
  /** Requests for which slots are needed in the whole fleet. */
  readonly requests: number;
  /** Requests for which slots are needed also after the loss of any zone. */
  readonly requestsWithoutZone: number;
}

/** Input of the search for the number of servers of each zone. */
export interface NeedOptions {
  readonly domains: readonly DomainServers[];
  readonly needs: readonly ModelNeed[];
  /** Requests that a group runs concurrently. */
  readonly slots: number;
  readonly limits: ScalingLimits;
  /**
   * - `keep`: zones with fewer servers than the number stay as they are.
   * - `grow`: zones with more servers than the number stay as they are.
   */
  readonly direction: "keep" | "grow";
  /** Number of servers that zones will have once the ordered ones serve, where it is higher than now. */
  readonly coming?: ReadonlyMap<string, number>;
}

/**
 * Finds the smallest number of servers in each zone for which all models have the groups that they need.
 *
 * @returns The number, which is `maxServers` when no number within the limits suffices.
 * @example
 * ```ts
 * findServersPerZone({ domains, needs, slots: 24, limits, direction: "keep" });
 * ```
 */
export function findServersPerZone(options: NeedOptions): number {
  const { minServers, maxServers } = options.limits;
  const needs = options.needs.map((need) => limitToZones(need, options));
  // More servers never form fewer groups in expectation, so the range can be halved.
  let [lowest, highest] = [minServers, maxServers];
  while (lowest < highest) {
    const target = Math.floor((lowest + highest) / 2);
    if (hasGroups({ ...options, needs }, target, SPARES_PER_DOMAIN)) {
      highest = target;
    } else {
      lowest = target + 1;
    }
  }
  return highest;
}

/** Gets whether the present servers, and those that are coming, form the groups that all models need. Spares count as usable. */
export function hasEnoughServers(
  options: Omit<NeedOptions, "direction" | "limits">,
): boolean {
  return hasGroups({ ...options, direction: "grow" }, 0, 0);
}

/** Leaves out the need after the loss of a zone for a model that one zone alone serves with the largest number of servers, since no number meets it. */
function limitToZones(need: ModelNeed, options: NeedOptions): ModelNeed {
  const { maxServers } = options.limits;
  const groups = countGroupsByZone(
    { ...options, direction: "grow" },
    need,
    maxServers,
    SPARES_PER_DOMAIN,
  );
  return isMetWithoutZone(need, options.slots, groups)
    ? need
    : { ...need, requestsWithoutZone: 0 };
}

function hasGroups(
  options: Omit<NeedOptions, "limits">,
  target: number,
  spares: number,
): boolean {
  return options.needs.every((need) => {
    const groups = countGroupsByZone(options, need, target, spares);
    const { total, hosts, domains } = groups;
    return total >= Math.ceil(need.requests / options.slots) &&
      hosts >= Math.min(MIN_DOMAINS_PER_MODEL, domains) &&
      isMetWithoutZone(need, options.slots, groups);
  });
}

function isMetWithoutZone(
  need: ModelNeed,
  slots: number,
  { total, byZone }: GroupCounts,
): boolean {
  return [...byZone.values()].every((groups) =>
    total - groups >= need.requestsWithoutZone / slots
  );
}

/** Groups of one model in expectation. */
interface GroupCounts {
  readonly total: number;
  readonly byZone: ReadonlyMap<string, number>;
  /** Number of domains that host a group, in expectation. */
  readonly hosts: number;
  /** Number of domains that the model is assigned to. */
  readonly domains: number;
}

function countGroupsByZone(
  { domains, direction, coming }: Pick<
    NeedOptions,
    "domains" | "direction" | "coming"
  >,
  { model, groupSize }: ModelNeed,
  target: number,
  spares: number,
): GroupCounts {
  const byZone = new Map<string, number>();
  let [total, hosts, domainCount] = [0, 0, 0];
  for (const { zone, model: domainModel, count } of domains) {
    const zoneCounts = domains.filter((other) => other.zone === zone)
      .map((other) => other.count);
    const zoneCount = zoneCounts.reduce((sum, n) => sum + n, 0);
    const zoneTarget = direction === "keep"
      ? Math.min(target, zoneCount)
      : Math.max(target, zoneCount, coming?.get(zone) ?? 0);
    const groups = domainModel !== model ? 0 : getExpectedGroups(
      { count, zoneCount, zoneDomains: zoneCounts.length },
      zoneTarget,
      { groupSize, spares },
    );
    byZone.set(zone, (byZone.get(zone) ?? 0) + groups);
    total += groups;
    hosts += Math.min(1, groups);
    domainCount += domainModel === model ? 1 : 0;
  }
  return { total, byZone, hosts, domains: domainCount };
}
