import type {
  BackendReport,
  BackendServer,
} from "../../src/shared/backend_server.ts";

/** Status report of an idle backend server that is a member of the group `g1`. */
export const MEMBER_REPORT: BackendReport = {
  startedAtMs: 1,
  membership: { groupName: "g1", generation: 1, rank: 0, state: "open" },
  loadedModels: ["m"],
  isBusy: false,
  runningRequests: 0,
  waitingRequests: 0,
  heldTokens: 0,
  slowness: 1,
};

/** Creates a backend server that belongs to no group. */
export function createBackendServer(
  server: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: "s1",
    startedAtMs: 1,
    entryVersion: 1,
    reportNumber: 0,
    service: "models",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 1,
    isDraining: false,
    coldUntilMs: 0,
    stagedModels: [],
    loadedModels: [],
    ...server,
  };
}
