import type { EngineProfile } from "../../version/routing_config.ts";

/** How soon a server can serve in a group of a model. */
export type Readiness = "warm" | "staged" | "empty";

/** Server as the planner sees it. */
export interface PlannedServer {
  readonly id: string;
  readonly domain: string;
  readonly zone: string;
  readonly stagedModels: readonly string[];
  /** Model of the server's last group since its start. */
  readonly lastModel?: string;
  /** Whether it may join another group now: it lives, stays, and its last group takes no requests any more. */
  readonly isFree: boolean;
  /** Whether it loads weights now. */
  readonly isLoading: boolean;
}

/** Everything that the plan depends on. */
export interface FleetState {
  readonly engine: EngineProfile;
  readonly servers: readonly PlannedServer[];
  /** Models that an earlier plan assigned to domains. */
  readonly assignments: ReadonlyMap<string, string>;
  /** Whether callers have sent requests. */
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
