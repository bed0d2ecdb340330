import type { BackendServer } from "../../shared/backend_server.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import type { BackendDirectory } from "../fleet/backend_directory.ts";
import type { GroupLoads } from "../fleet/group_loads.ts";
import { getMembershipKey, type GroupTable } from "../fleet/group_table.ts";
import type { DomainServers } from "./usable_groups.ts";
import { createWaitingKey, type WaitingReport } from "./waiting_section.ts";

/** Sources of a view of the servers of one service. */
export interface FleetSources {
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly loads: GroupLoads;
  getExcludedZones(): ReadonlySet<string>;
}

/** Servers, groups and requests of one service, as this daemon knows them. */
export interface FleetView {
  /** Domains with the servers that are registered and not draining, in the zones that take requests. */
  readonly domains: readonly DomainServers[];
  /** Servers that are registered and not draining, by zone that takes requests. */
  readonly servers: ReadonlyMap<string, number>;
  readonly drainingServers: number;
  /** Groups that accept requests, by domain. */
  readonly servingGroups: ReadonlyMap<string, number>;
  /** Requests that run or wait, by model. */
  readonly requests: ReadonlyMap<string, number>;
  /** Requests of all models that wait. */
  readonly waiting: number;
}

/**
 * Collects the view of the servers of a service.
 *
 * @param service - Service with an engine.
 * @param sources - State of this daemon.
 * @param report - Waiting requests of all daemons.
 */
export function collectFleetView(
  service: RoutedService,
  sources: FleetSources,
  report: WaitingReport,
): FleetView {
  const { directory, groups, loads } = sources;
  const excludedZones = sources.getExcludedZones();
  const servers = directory.listServers(service.name);
  const usableServers = servers.filter(({ isDraining, zone, domain }) =>
    !isDraining && domain !== undefined && !excludedZones.has(zone)
  );
  const serversByZone = new Map<string, number>();
  usableServers.forEach(({ zone }) => addTo(serversByZone, zone, 1));
  const servingGroups = new Map<string, number>();
  for (const { service: name, head } of groups.listAll()) {
    if (name === service.name && head.domain !== undefined) {
      addTo(servingGroups, head.domain, 1);
    }
  }
  const requests = new Map<string, number>();
  // The heads include those of groups that take no more requests, whose requests are still running.
  for (const head of servers) {
    const key = getMembershipKey(head);
    if (key !== undefined && head.membership?.rank === 0) {
      addTo(requests, head.loadedModels[0] ?? "", loads.getLoad(key));
    }
  }
  let waiting = 0;
  for (const { name } of service.engine?.models ?? []) {
    const count = report.waiting[createWaitingKey(service.name, name)] ?? 0;
    addTo(requests, name, count);
    waiting += count;
  }
  return {
    domains: collectDomains(usableServers),
    servers: serversByZone,
    drainingServers: servers.filter(({ isDraining }) => isDraining).length,
    servingGroups,
    requests,
    waiting,
  };
}

function collectDomains(servers: readonly BackendServer[]): DomainServers[] {
  const serversByDomain = new Map<string, BackendServer[]>();
  for (const server of servers) {
    const others = serversByDomain.get(server.domain!);
    if (others === undefined) {
      serversByDomain.set(server.domain!, [server]);
    } else {
      others.push(server);
    }
  }
  return [...serversByDomain].map(([domain, members]) => ({
    domain,
    zone: members[0].zone,
    model: getMostLoadedModel(members),
    count: members.length,
  }));
}

/** Gets the model that most servers of a domain have loaded or staged, which is the one that the planner keeps for the domain. */
function getMostLoadedModel(
  servers: readonly BackendServer[],
): string | undefined {
  const counts = new Map<string, number>();
  for (const { loadedModels, stagedModels } of servers) {
    const model = loadedModels[0] ?? stagedModels[0];
    if (model !== undefined) {
      addTo(counts, model, 1);
    }
  }
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}

function addTo(counts: Map<string, number>, key: string, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}
