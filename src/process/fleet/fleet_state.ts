import type { EngineProfile } from "../../version/routing_config.ts";

/**
 * Readiness of a server to join a group of a model.
 *
 * - `warm`: the model is the last one that the server loaded since its start.
 * - `staged`: the weights are on the server's host.
 * - `empty`: the weights have to be loaded from the weight store.
 */
export type Readiness = "warm" | "staged" | "empty";

/** State of a backend server that planning depends on. */
export interface PlannedServer {
  readonly id: string;
  readonly domain: string;
  readonly zone: string;
  readonly stagedModels: readonly string[];
  /** Model of the server's last group since its start. */
  readonly lastModel?: string;
  /** Whether the server can join another group now: it is alive, is not draining, and its last group accepts no more requests. */
  readonly isFree: boolean;
  /** Whether the server is loading weights. */
  readonly isLoading: boolean;
}

/** Input of the planning of one service. */
export interface FleetState {
  readonly engine: EngineProfile;
  readonly servers: readonly PlannedServer[];
  /** Model that an earlier plan assigned to each fabric domain. */
  readonly assignments: ReadonlyMap<string, string>;
  /** Models of the domains that keep theirs although they have too few servers for a group of it, by domain; defaults to none. */
  readonly retainedModels?: ReadonlyMap<string, string>;
  /** Whether callers have sent any requests. */
  readonly hasTraffic: boolean;
}

/** Collects the servers of each fabric domain. */
export function collectServersByDomain(
  servers: readonly PlannedServer[],
): Map<string, PlannedServer[]> {
  const domains = new Map<string, PlannedServer[]>();
  for (const server of servers) {
    domains.set(server.domain, [...(domains.get(server.domain) ?? []), server]);
  }
  return domains;
}
