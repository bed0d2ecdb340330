import { describe, expect, it } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { ServerLoads } from "../../process/fleet/server_loads.ts";
import { RouteTable } from "../../version/route_table.ts";
import type { RoutingConfig } from "../../version/routing_config.ts";
import { type ExplainedContext, RouteExplainer } from "./route_explainer.ts";

const CONFIG = {
  version: 7,
  routes: [
    {
      name: "look",
      host: "app.example",
      pathPrefix: "/look/",
      kind: "idempotent",
      timeoutMs: 1_000,
      latencyObjectiveMs: 100,
      priority: 2,
      maxAttempts: 2,
      isPublic: false,
      isResumable: false,
      targets: [{ service: "app", weight: 3 }, { service: "gone", weight: 1 }],
    },
    {
      name: "note",
      host: "app.example",
      pathPrefix: "/note/",
      kind: "stream",
      timeoutMs: 6_000,
      latencyObjectiveMs: 300,
      priority: 1,
      maxAttempts: 2,
      isPublic: true,
      isResumable: true,
      targets: [{ service: "models", weight: 1 }],
    },
  ],
  services: [
    { name: "app" },
    { name: "models", engine: { slots: 4 } },
  ],
  accounts: [{ name: "account-1", keys: ["key-1"], priority: 5 }],
} as unknown as RoutingConfig;

const SERVERS = [
  createBackendServer({ id: "p0", service: "app", zone: "z1" }),
  createBackendServer({ id: "p1", service: "app", zone: "z2" }),
  createBackendServer({ id: "p2", service: "app", isDraining: true }),
];

function createExplainer(context: Partial<ExplainedContext> = {}) {
  return new RouteExplainer({
    settings: { name: "entry-1", zone: "z1" },
    directory: {
      listServers: (service: string) =>
        SERVERS.filter((server) => server.service === service),
    },
    serverLoads: new ServerLoads(),
    coldLimits: { isBelowLimit: () => true },
    serverLimits: { getWaitMs: () => 0 },
    serverStatements: { getWaitMs: () => 0 },
    plannedStop: { isLeaving: false },
    getRoutes: () => new RouteTable(CONFIG),
    getExcludedZones: () => new Set(),
    ...context,
  } as unknown as ExplainedContext);
}

describe("RouteExplainer", () => {
  const query = { host: "app.example", path: "/look/7", account: "account-1" };

  it("names route, account priority and the servers with their obstacles", () => {
    const { route, priority, refusal, targets } = createExplainer()
      .describeRoute(
        query,
      );
    expect(route?.name).toBe("look");
    expect(priority).toBe(5);
    expect(refusal).toBeUndefined();
    expect(targets.map(({ service, share, isAdmittedNow }) => ({
      service,
      share,
      isAdmittedNow,
    }))).toEqual([
      { service: "app", share: 0.75, isAdmittedNow: true },
      { service: "gone", share: 0.25, isAdmittedNow: false },
    ]);
    expect(targets[0].candidates).toMatchObject([
      { id: "p0", share: 1, obstacles: [] },
      { id: "p1", share: 0, obstacles: [] },
      { id: "p2", share: 0, obstacles: ["it drains"] },
    ]);
  });

  // Guards against an explanation that contradicts what the daemon does with the request.
  it.each<[string, Partial<ExplainedContext>, object]>([
    ["stopping", { plannedStop: { isLeaving: true } as never }, {}],
    ["configuration", { getRoutes: () => undefined }, {}],
    ["No route", {}, { path: "/other/" }],
    ["API key", {}, { account: undefined }],
  ])("says why a request is refused: %s", (reason, context, change) => {
    const explanation = createExplainer(context).describeRoute({
      ...query,
      ...change,
    });
    expect(explanation.refusal).toContain(reason);
  });

  it("names the limits that keep requests from a server", () => {
    const { targets } = createExplainer({
      serverStatements: {
        getWaitMs: ({ id }: { id: string }) =>
          id === "p0" ? Number.POSITIVE_INFINITY : 0,
      } as never,
      serverLimits: {
        getWaitMs: ({ id }: { id: string }) => id === "p1" ? 40.2 : 0,
      } as never,
    }).describeRoute(query);
    expect(targets[0].isAdmittedNow).toBe(false);
    expect(targets[0].candidates.slice(0, 2)).toMatchObject([
      { id: "p0", obstacles: ["it states that it leaves"] },
      {
        id: "p1",
        obstacles: ["it limits its request rate for another 41 ms"],
      },
    ]);
  });

  it("lists the groups of a model, and why others take no requests", () => {
    const heads = ["open", "closing"].map((state, index) =>
      createBackendServer({
        id: `h${index}`,
        service: "models",
        loadedModels: ["m"],
        membership: {
          groupName: `g${index}`,
          generation: 1,
          rank: 0,
          state: state as "open" | "closing",
        },
      })
    );
    const { targets } = createExplainer({
      directory: { listServers: () => heads } as never,
      groups: {
        isServing: (key: string) => key === "g0/1",
        isLost: () => false,
        listSuspectedKeys: () => [],
      } as never,
      admission: {
        waitingCount: 3,
        getRetryAfterMs: () => 500,
        describeCandidates: () => [{
          group: { key: "g0/1", head: heads[0] },
          load: 4,
          slots: 4,
          penalty: 3,
          share: 0,
        }],
      } as never,
    }).describeRoute({ host: "app.example", path: "/note/1", model: "m" });
    expect(targets).toMatchObject([{
      service: "models",
      isAdmittedNow: false,
      waitingRequests: 3,
      retryAfterMs: 500,
      candidates: [
        { id: "g0/1", load: 4, obstacles: ["no free slot"] },
        { id: "g1/1", obstacles: ["its head is closing"] },
      ],
    }]);
  });
});
