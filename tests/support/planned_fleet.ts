import type {
  FleetState,
  PlannedServer,
} from "../../src/process/fleet/fleet_state.ts";
import type { EngineProfile } from "../../src/version/routing_config.ts";

/** Engine profile with a large and a small model, each with half of the expected traffic. */
export const ENGINE: EngineProfile = {
  slots: 12,
  maxTokens: 1_000_000,
  stepMs: 8,
  stepPerRequestMs: 0.1,
  promptTokensPerSecond: 45_000,
  stepsPerBatch: 5,
  loadsPerSecond: 5,
  concurrentLoads: 7,
  openMs: 300,
  reportLagMs: 200,
  models: [
    {
      name: "large",
      groupSize: 4,
      expectedShare: 0.5,
      stepFactor: 1,
      loadMs: 16_000,
      warmMs: 1_600,
    },
    {
      name: "small",
      groupSize: 2,
      expectedShare: 0.5,
      stepFactor: 0.6,
      loadMs: 12_000,
      warmMs: 1_100,
    },
  ],
};

/** Creates the servers of a fabric domain. The first letter of the domain's name is the zone. */
export function createServers(
  domain: string,
  count: number,
  server: Partial<PlannedServer> = {},
): PlannedServer[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `${domain}-${i}`,
    domain,
    zone: domain.slice(0, 1),
    stagedModels: [],
    isFree: true,
    isLoading: false,
    ...server,
  }));
}

/** Creates the state of a fleet without earlier assignments. */
export function createState(
  servers: PlannedServer[],
  hasTraffic = true,
): FleetState {
  return { engine: ENGINE, servers, hasTraffic, assignments: new Map() };
}
