import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { ModelServing } from "../../version/routing_config.ts";
import {
  collectDomains,
  type FleetState,
  type PlannedServer,
} from "./fleet_state.ts";

/**
 * Assigns a model to each fabric domain, so that the part of the domains that each model gets comes close to its expected share, in the whole fleet and in each zone: the evacuation or loss of a zone then leaves groups of every model. Domains are counted rather than servers, since the servers of a new fleet register one after another.
 *
 * @param state - Servers as they are.
 */
export function assignDomains(
  state: FleetState,
): ReadonlyMap<string, ModelServing> {
  const domains = collectDomains(state.servers);
  const byDomain = new Map<string, ModelServing>();
  const getDeficit = (
    { name, expectedShare }: ModelServing,
    among: readonly ZonedDomain[],
  ) =>
    expectedShare * among.length -
    among.filter(({ domain }) => byDomain.get(domain)?.name === name).length;
  const order = listDomainsByZone(domains, !state.hasTraffic);
  // Domains that have begun with a model keep it, and the others fill what is missing. While a new fleet registers, the assignment of those that have not begun may still change.
  const isBegun = (domain: string) =>
    domains.get(domain)?.some(isLoadingOrLoaded) === true;
  for (const { domain } of order) {
    const current = isBegun(domain)
      ? state.assignments.get(domain) ?? getCurrentModel(state, domain)
      : undefined;
    const model = listFittingModels(state, domains.get(domain))
      .find(({ name }) => name === current);
    if (model !== undefined) {
      byDomain.set(domain, model);
    }
  }
  for (const { domain, zone } of order) {
    if (byDomain.has(domain)) {
      continue;
    }
    const inZone = order.filter((other) => other.zone === zone);
    const ranked = listFittingModels(state, domains.get(domain))
      .map((model) => {
        const deficit = getDeficit(model, order);
        return { model, deficit, total: deficit + getDeficit(model, inZone) };
      })
      .sort((a, b) => b.total - a.total || b.deficit - a.deficit);
    byDomain.set(domain, ranked[0].model);
  }
  const canTake = (domain: string, model: ModelServing) =>
    listFittingModels(state, domains.get(domain)).includes(model);
  const free = order.filter(({ domain }) => !isBegun(domain));
  replaceUnevenModels(byDomain, { order, free, canTake, getDeficit });
  return new Map([...byDomain].filter(([domain]) => domains.has(domain)));
}

/** Swaps the models of domains that have not begun while that brings zones closer to the expected shares; the shares of the whole fleet stay as they are. */
function replaceUnevenModels(
  byDomain: Map<string, ModelServing>,
  { order, free, canTake, getDeficit }: {
    order: readonly ZonedDomain[];
    /** Domains that have not begun. */
    free: readonly ZonedDomain[];
    /** Gets whether a domain can hold a group of a model. */
    canTake(domain: string, model: ModelServing): boolean;
    getDeficit(model: ModelServing, among: readonly ZonedDomain[]): number;
  },
): void {
  const getError = (zone: string) => {
    const inZone = order.filter((other) => other.zone === zone);
    return [...new Set(byDomain.values())].reduce(
      (sum, model) => sum + getDeficit(model, inZone) ** 2,
      0,
    );
  };
  const swap = (a: ZonedDomain, b: ZonedDomain) => {
    const model = byDomain.get(a.domain)!;
    byDomain.set(a.domain, byDomain.get(b.domain)!);
    byDomain.set(b.domain, model);
  };
  const canSwap = (a: ZonedDomain, b: ZonedDomain) => {
    const [ofA, ofB] = [byDomain.get(a.domain)!, byDomain.get(b.domain)!];
    return a.zone !== b.zone && ofA !== ofB &&
      canTake(a.domain, ofB) && canTake(b.domain, ofA);
  };
  for (const a of free) {
    for (const b of free) {
      if (canSwap(a, b)) {
        const before = getError(a.zone) + getError(b.zone);
        swap(a, b);
        if (getError(a.zone) + getError(b.zone) >= before) {
          swap(a, b);
        }
      }
    }
  }
}

function isLoadingOrLoaded(server: PlannedServer): boolean {
  return server.isLoading || server.lastModel !== undefined ||
    server.stagedModels.length > 0;
}

/** Lists the models of which a domain can hold a group. A new fleet registers bit by bit, so there the size of a domain says nothing. */
function listFittingModels(
  state: FleetState,
  servers: readonly PlannedServer[] = [],
): readonly ModelServing[] {
  const { models } = state.engine;
  const fitting = models.filter(({ groupSize }) => groupSize <= servers.length);
  return state.hasTraffic && fitting.length > 0 ? fitting : models;
}

/** Fabric domain with its zone. */
interface ZonedDomain {
  readonly domain: string;
  readonly zone: string;
}

/**
 * Orders the domains so that consecutive ones lie in different zones.
 *
 * @param domains - Servers by domain.
 * @param isGrowing - Whether further domains are about to register. Each zone then counts as large as the largest, with placeholders for what is not known yet; loads that have begun would otherwise fix an assignment that leaves a zone with one model.
 */
function listDomainsByZone(
  domains: ReadonlyMap<string, readonly PlannedServer[]>,
  isGrowing: boolean,
): ZonedDomain[] {
  const byZone = new Map<string, string[]>();
  for (const domain of getRendezvousOrder("domains", [...domains.keys()])) {
    const zone = domains.get(domain)![0].zone;
    byZone.set(zone, [...(byZone.get(zone) ?? []), domain]);
  }
  const zones = [...byZone].sort(([a], [b]) => a < b ? -1 : 1);
  const order: ZonedDomain[] = [];
  const largest = Math.max(0, ...zones.map(([, list]) => list.length));
  for (let i = 0; i < largest; i++) {
    for (const [zone, list] of zones) {
      if (list[i] !== undefined || isGrowing) {
        order.push({ domain: list[i] ?? `${zone}#${i}`, zone });
      }
    }
  }
  return order;
}

/** Gets the model that most servers of a domain hold, so that the assignment stays as it is. */
function getCurrentModel(
  state: FleetState,
  domain: string,
): string | undefined {
  const counts = new Map<string, number>();
  for (const server of state.servers) {
    const model = server.lastModel ?? server.stagedModels[0];
    if (server.domain === domain && model !== undefined) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}
