import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { ServedModel } from "../../version/routing_config.ts";
import {
  collectServersByDomain,
  type FleetState,
  type PlannedServer,
} from "./fleet_state.ts";

/**
 * Assigns a model to each fabric domain, so that each model's fraction of the domains is close to its expected share, in the whole fleet and in each zone. The evacuation or loss of a zone then leaves groups of every model. Domains are counted rather than servers, since the servers of a new fleet register one after another.
 *
 * @param state - Current state of the fleet.
 * @returns Model of each domain; empty when the engine has no models.
 */
export function assignDomainModels(
  state: FleetState,
): ReadonlyMap<string, ServedModel> {
  if (state.engine.models.length === 0) {
    return new Map();
  }
  const serversByDomain = collectServersByDomain(state.servers);
  const modelsByDomain = new Map<string, ServedModel>();
  // Number of domains that a model lacks to reach its expected share of the given domains.
  const getDeficit = (
    { name, expectedShare }: ServedModel,
    domains: readonly ZonedDomain[],
  ) =>
    expectedShare * domains.length -
    domains.filter(({ domain }) => modelsByDomain.get(domain)?.name === name)
      .length;
  const zonedDomains = listDomainsAcrossZones(
    serversByDomain,
    !state.hasTraffic,
  );
  // Domains that have started to load a model keep it, and the other domains are assigned by the remaining deficits. While a new fleet registers, the assignment of the other domains may still change.
  const hasStartedLoading = (domain: string) =>
    serversByDomain.get(domain)?.some(isLoadingOrLoaded) === true;
  for (const { domain } of zonedDomains) {
    const servers = serversByDomain.get(domain) ?? [];
    const currentModel = hasStartedLoading(domain)
      ? findReadyModel(state, domain, servers) ??
        state.assignments.get(domain) ?? getCurrentModel(state, domain)
      : undefined;
    const model = findRetainedModel(state, domain) ??
      listFittingModels(state, servers)
        .find(({ name }) => name === currentModel);
    if (model !== undefined) {
      modelsByDomain.set(domain, model);
    }
  }
  for (const { domain, zone } of zonedDomains) {
    if (modelsByDomain.has(domain)) {
      continue;
    }
    const zoneDomains = zonedDomains.filter((other) => other.zone === zone);
    const rankedModels = listFittingModels(state, serversByDomain.get(domain))
      .map((model) => {
        const deficit = getDeficit(model, zonedDomains);
        return {
          model,
          deficit,
          total: deficit + getDeficit(model, zoneDomains),
        };
      })
      .sort((a, b) => b.total - a.total || b.deficit - a.deficit);
    modelsByDomain.set(domain, rankedModels[0].model);
  }
  const canHostGroup = (domain: string, model: ServedModel) =>
    listFittingModels(state, serversByDomain.get(domain)).includes(model);
  const unstartedDomains = zonedDomains.filter(({ domain }) =>
    !hasStartedLoading(domain)
  );
  swapModelsBetweenZones(modelsByDomain, {
    zonedDomains,
    unstartedDomains,
    canHostGroup,
    getDeficit,
  });
  return new Map(
    [...modelsByDomain].filter(([domain]) => serversByDomain.has(domain)),
  );
}

/** Swaps the models of pairs of domains in different zones that have not started loading, if the swap reduces the total imbalance of the two zones. The shares in the whole fleet stay unchanged. */
function swapModelsBetweenZones(
  modelsByDomain: Map<string, ServedModel>,
  {
    zonedDomains,
    unstartedDomains,
    canHostGroup,
    getDeficit,
  }: {
    zonedDomains: readonly ZonedDomain[];
    /** Domains that have not started to load a model. */
    unstartedDomains: readonly ZonedDomain[];
    /** Gets whether a domain has enough servers for a group of a model. */
    canHostGroup(domain: string, model: ServedModel): boolean;
    getDeficit(model: ServedModel, domains: readonly ZonedDomain[]): number;
  },
): void {
  // Sum of the squared deficits of all models in a zone.
  const getImbalance = (zone: string) => {
    const zoneDomains = zonedDomains.filter((other) => other.zone === zone);
    return [...new Set(modelsByDomain.values())].reduce(
      (sum, model) => sum + getDeficit(model, zoneDomains) ** 2,
      0,
    );
  };
  const swap = (a: ZonedDomain, b: ZonedDomain) => {
    const model = modelsByDomain.get(a.domain)!;
    modelsByDomain.set(a.domain, modelsByDomain.get(b.domain)!);
    modelsByDomain.set(b.domain, model);
  };
  const canSwap = (a: ZonedDomain, b: ZonedDomain) => {
    const [modelA, modelB] = [
      modelsByDomain.get(a.domain)!,
      modelsByDomain.get(b.domain)!,
    ];
    return a.zone !== b.zone && modelA !== modelB &&
      canHostGroup(a.domain, modelB) && canHostGroup(b.domain, modelA);
  };
  for (const a of unstartedDomains) {
    for (const b of unstartedDomains) {
      if (canSwap(a, b)) {
        const previousImbalance = getImbalance(a.zone) + getImbalance(b.zone);
        swap(a, b);
        if (getImbalance(a.zone) + getImbalance(b.zone) >= previousImbalance) {
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

/** Finds the model that a domain keeps although it has too few servers for a group. */
function findRetainedModel(
  { engine, retainedModels }: FleetState,
  domain: string,
): ServedModel | undefined {
  const name = retainedModels?.get(domain);
  return engine.models.find((model) => model.name === name);
}

/** Finds the model for which enough servers of a domain have the weights, if the domain was assigned another one for which they have not. Servers that return after the domain was assigned another model serve at once with the weights that they have. */
function findReadyModel(
  { engine, assignments }: FleetState,
  domain: string,
  servers: readonly PlannedServer[],
): string | undefined {
  const isReady = ({ name, groupSize }: ServedModel) =>
    servers.filter((server) => hasWeights(server, name)).length >= groupSize;
  const assigned = engine.models.find(({ name }) =>
    name === assignments.get(domain)
  );
  return assigned === undefined || isReady(assigned)
    ? undefined
    : engine.models.find(isReady)?.name;
}

function hasWeights(
  { lastModel, stagedModels }: PlannedServer,
  model: string,
): boolean {
  return lastModel === model || stagedModels.includes(model);
}

/** Lists the models for whose groups a domain has enough servers. Lists all models before there is traffic, since the servers of a new fleet register one after another, and when no model fits. */
function listFittingModels(
  state: FleetState,
  servers: readonly PlannedServer[] = [],
): readonly ServedModel[] {
  const { models } = state.engine;
  const fittingModels = models.filter(({ groupSize }) =>
    groupSize <= servers.length
  );
  return state.hasTraffic && fittingModels.length > 0 ? fittingModels : models;
}

/** Fabric domain with its zone. */
interface ZonedDomain {
  readonly domain: string;
  readonly zone: string;
}

/**
 * Lists the domains in round-robin order over the zones.
 *
 * @param serversByDomain - Servers by domain.
 * @param isGrowing - Whether further domains may still register. Each zone then gets placeholders up to the number of domains in the largest zone. Without these, loads that have started could fix an assignment that leaves a zone with a single model.
 */
function listDomainsAcrossZones(
  serversByDomain: ReadonlyMap<string, readonly PlannedServer[]>,
  isGrowing: boolean,
): ZonedDomain[] {
  const domainsByZone = new Map<string, string[]>();
  for (
    const domain of getRendezvousOrder("domains", [...serversByDomain.keys()])
  ) {
    const zone = serversByDomain.get(domain)![0].zone;
    domainsByZone.set(zone, [...(domainsByZone.get(zone) ?? []), domain]);
  }
  const zones = [...domainsByZone].sort(([a], [b]) => a < b ? -1 : 1);
  const orderedDomains: ZonedDomain[] = [];
  const largestZoneSize = Math.max(0, ...zones.map(([, list]) => list.length));
  for (let i = 0; i < largestZoneSize; i++) {
    for (const [zone, list] of zones) {
      if (list[i] !== undefined || isGrowing) {
        orderedDomains.push({ domain: list[i] ?? `${zone}#${i}`, zone });
      }
    }
  }
  return orderedDomains;
}

/** Gets the model that most servers of a domain have loaded or staged, so that the domain keeps it. */
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
