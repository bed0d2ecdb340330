import type { ServedModel } from "../../version/routing_config.ts";
import { assignDomainModels } from "./domain_models.ts";
import {
  collectServersByDomain,
  type FleetState,
  type PlannedServer,
  type Readiness,
} from "./fleet_state.ts";

/** Group to be formed. */
export interface GroupFormation {
  readonly model: string;
  readonly domain: string;
  /** Ids of the members; the first one becomes the head. */
  readonly members: readonly string[];
}

/** Server that is to load a model in advance, so that it can join a group of the model sooner. */
export interface ServerPreparation {
  readonly serverId: string;
  readonly model: string;
  /** Whether the weights have to be loaded from the weight store. */
  readonly needsLoad: boolean;
  /** Whether the server exceeds the number that the complete groups of its domain need. */
  readonly isSpare: boolean;
}

/** Model assignment of the domains, and the next orders. */
export interface FleetPlan {
  /** Model of each fabric domain. */
  readonly assignments: ReadonlyMap<string, string>;
  readonly formations: readonly GroupFormation[];
  readonly preparations: readonly ServerPreparation[];
}

/**
 * Plans the groups of one service. Each fabric domain serves one model, so that the survivors of a lost group can form another group without loading a different model.
 *
 * @param state - Current state of the service's servers.
 * @example
 * ```ts
 * const { formations } = planFleet({
 *   engine,
 *   servers,
 *   assignments: new Map(),
 *   hasTraffic: true,
 * });
 * ```
 */
export function planFleet(state: FleetState): FleetPlan {
  const models = assignDomainModels(state);
  const formations: GroupFormation[] = [];
  const preparations: ServerPreparation[] = [];
  for (const [domain, servers] of collectServersByDomain(state.servers)) {
    const model = models.get(domain);
    if (model !== undefined) {
      planDomain({ domain, model, servers, formations, preparations });
    }
  }
  const assignments = new Map(
    [...models].map(([domain, { name }]) => [domain, name]),
  );
  return {
    assignments,
    formations,
    preparations: limitLoads(state, preparations),
  };
}

function planDomain(domain: {
  domain: string;
  model: ServedModel;
  servers: readonly PlannedServer[];
  formations: GroupFormation[];
  preparations: ServerPreparation[];
}): void {
  const { model } = domain;
  const freeServers = domain.servers.filter(({ isFree }) => isFree);
  const preparedServers = freeServers.filter((server) =>
    getReadiness(server, model.name) !== "empty"
  ).sort((a, b) => compareReadiness(a, b, model.name));
  let formedCount = 0;
  while (preparedServers.length - formedCount >= model.groupSize) {
    domain.formations.push({
      model: model.name,
      domain: domain.domain,
      members: preparedServers.slice(formedCount, formedCount + model.groupSize)
        .map(({ id }) => id),
    });
    formedCount += model.groupSize;
  }
  const formedIds = new Set(
    preparedServers.slice(0, formedCount).map(({ id }) => id),
  );
  // Number of servers that still have to load the model to complete as many groups as the free servers allow; further ones become spares.
  let missingMembers = freeServers.length - formedCount -
    (freeServers.length - formedCount) % model.groupSize -
    (preparedServers.length - formedCount);
  for (const server of freeServers) {
    const readiness = getReadiness(server, model.name);
    if (!formedIds.has(server.id) && readiness !== "warm") {
      domain.preparations.push({
        serverId: server.id,
        model: model.name,
        needsLoad: readiness === "empty",
        isSpare: readiness === "empty" && --missingMembers < 0,
      });
    }
  }
}

/** Gets the readiness of a server for a group of a model. */
export function getReadiness(server: PlannedServer, model: string): Readiness {
  if (server.lastModel === model) {
    return "warm";
  }
  return server.stagedModels.includes(model) ? "staged" : "empty";
}

function compareReadiness(
  a: PlannedServer,
  b: PlannedServer,
  model: string,
): number {
  const getWarmRank = (server: PlannedServer) =>
    getReadiness(server, model) === "warm" ? 0 : 1;
  return getWarmRank(a) - getWarmRank(b) || (a.id < b.id ? -1 : 1);
}

/** Multiple of `concurrentLoads`, the number of loads that the weight store serves at full speed, that may be in progress before there is traffic. The extra loads keep the weight store busy until the planner learns that a load has ended. */
const PRE_TRAFFIC_LOAD_FACTOR = 1.5;

/** Limits the preparations that load weights to the number that the weight store serves at full speed. Chooses the loads of the models in round-robin order, with servers that complete a group before spares. */
function limitLoads(
  state: FleetState,
  preparations: readonly ServerPreparation[],
): ServerPreparation[] {
  const loadingCount =
    state.servers.filter(({ isLoading }) => isLoading).length;
  const factor = state.hasTraffic ? 1 : PRE_TRAFFIC_LOAD_FACTOR;
  let remainingLoads = Math.floor(state.engine.concurrentLoads * factor) -
    loadingCount;
  const loadsByModel = new Map<string, ServerPreparation[]>();
  const selectedPreparations: ServerPreparation[] = [];
  const sortedPreparations = [...preparations].sort((a, b) =>
    Number(a.isSpare) - Number(b.isSpare)
  );
  for (const preparation of sortedPreparations) {
    if (preparation.needsLoad) {
      const list = loadsByModel.get(preparation.model) ?? [];
      list.push(preparation);
      loadsByModel.set(preparation.model, list);
    } else {
      selectedPreparations.push(preparation);
    }
  }
  for (
    let i = 0;
    remainingLoads > 0 && [...loadsByModel.values()].some((l) => l.length > i);
    i++
  ) {
    for (const list of loadsByModel.values()) {
      if (remainingLoads > 0 && list[i] !== undefined) {
        selectedPreparations.push(list[i]);
        remainingLoads--;
      }
    }
  }
  return selectedPreparations;
}
