import type { RoutedService } from "../../src/version/routing_config.ts";

export const SERVICE_NAME = "models";

/** Times that servers take for their orders, in milliseconds. */
export const MODEL_TIMES_MS = {
  rejoin: 200,
  warm: 500,
  load: 2_000,
  open: 300,
};

/** Model that the configuration has. */
export interface ExploredModel {
  readonly name: string;
  /** Number of servers of a group. */
  readonly groupSize: number;
}

/** Models between which the configuration changes. The first one is that at the start. */
export const MODELS: readonly ExploredModel[] = [
  { name: "m", groupSize: 2 },
  { name: "m", groupSize: 3 },
  { name: "m2", groupSize: 2 },
];

/** Creates the configuration of the service whose groups are explored. */
export function createService(model: ExploredModel): RoutedService {
  return {
    name: SERVICE_NAME,
    healthPath: "/health",
    maxConnections: 100,
    coldRequestsPerSecond: 0,
    engine: {
      slots: 4,
      maxTokens: 10_000,
      stepMs: 20,
      stepPerRequestMs: 1,
      promptTokensPerSecond: 10_000,
      stepsPerBatch: 4,
      loadsPerSecond: 4,
      concurrentLoads: 4,
      openMs: MODEL_TIMES_MS.open,
      reportLagMs: 100,
      models: [{
        ...model,
        expectedShare: 1,
        stepFactor: 1,
        loadMs: MODEL_TIMES_MS.load,
        warmMs: MODEL_TIMES_MS.warm,
      }],
    },
  };
}
