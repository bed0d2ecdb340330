import type { ModelServing } from "../../version/routing_config.ts";
import { assignDomains } from "./domain_models.ts";
import {
  collectDomains,
  type FleetState,
  type PlannedServer,
  type Readiness,
} from "./fleet_state.ts";

/** Group to form. */
export interface GroupFormation {
  readonly model: string;
  readonly domain: string;
  /** Members; the first one becomes the head. */
  readonly members: readonly string[];
}

/** Server to prepare for a group of a model. */
export interface ServerPreparation {
  readonly serverId: string;
  readonly model: string;
  /** Whether the weights have to be loaded from the weight store. */
  readonly needsLoad: boolean;
  /** Whether the server is left over when all groups of its domain are formed. */
  readonly isSpare: boolean;
}

/** What to do next. */
export interface FleetPlan {
  /** Model of each domain. */
  readonly assignments: ReadonlyMap<string, string>;
  readonly formations: readonly GroupFormation[];
  readonly preparations: readonly ServerPreparation[];
}

/**
 * Plans the groups of one service. Each fabric domain serves one model, so that the survivors of a lost group form the next one with what they hold.
 *
 * @param state - Servers as they are.
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
  const models = assignDomains(state);
  const formations: GroupFormation[] = [];
  const preparations: ServerPreparation[] = [];
  for (const [domain, servers] of collectDomains(state.servers)) {
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
  model: ModelServing;
  servers: readonly PlannedServer[];
  formations: GroupFormation[];
  preparations: ServerPreparation[];
}): void {
  const { model } = domain;
  const free = domain.servers.filter(({ isFree }) => isFree);
  const usable = free.filter((server) =>
    getReadiness(server, model.name) !== "empty"
  ).sort((a, b) => compareReadiness(a, b, model.name));
  let next = 0;
  while (usable.length - next >= model.groupSize) {
    domain.formations.push({
      model: model.name,
      domain: domain.domain,
      members: usable.slice(next, next + model.groupSize).map(({ id }) => id),
    });
    next += model.groupSize;
  }
  const formed = new Set(usable.slice(0, next).map(({ id }) => id));
  // Places of groups that the prepared servers of the domain fill; the others become spares.
  let places = free.length - next - (free.length - next) % model.groupSize -
    (usable.length - next);
  for (const server of free) {
    const readiness = getReadiness(server, model.name);
    if (!formed.has(server.id) && readiness !== "warm") {
      domain.preparations.push({
        serverId: server.id,
        model: model.name,
        needsLoad: readiness === "empty",
        isSpare: readiness === "empty" && --places < 0,
      });
    }
  }
}

/** Gets how soon a server can serve in a group of a model. */
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
  const isWarm = (server: PlannedServer) =>
    getReadiness(server, model) === "warm" ? 0 : 1;
  return isWarm(a) - isWarm(b) || (a.id < b.id ? -1 : 1);
}

/** Loads in progress beyond those that the weight store serves at full speed, as a factor, before there is traffic: the place of a finished load is filled while the planner learns of its end. */
const IDLE_LOAD_FACTOR = 1.5;

/** Keeps as many loads as the weight store serves at full speed, taking the models in turn, and servers that complete a group before spare ones. */
function limitLoads(
  state: FleetState,
  preparations: readonly ServerPreparation[],
): ServerPreparation[] {
  const loading = state.servers.filter(({ isLoading }) => isLoading).length;
  const factor = state.hasTraffic ? 1 : IDLE_LOAD_FACTOR;
  let room = Math.floor(state.engine.concurrentLoads * factor) - loading;
  const loads = new Map<string, ServerPreparation[]>();
  const kept: ServerPreparation[] = [];
  const sorted = [...preparations].sort((a, b) =>
    Number(a.isSpare) - Number(b.isSpare)
  );
  for (const preparation of sorted) {
    if (preparation.needsLoad) {
      const list = loads.get(preparation.model) ?? [];
      list.push(preparation);
      loads.set(preparation.model, list);
    } else {
      kept.push(preparation);
    }
  }
  for (
    let i = 0;
    room > 0 && [...loads.values()].some((l) => l.length > i);
    i++
  ) {
    for (const list of loads.values()) {
      if (room > 0 && list[i] !== undefined) {
        kept.push(list[i]);
        room--;
      }
    }
  }
  return kept;
}
