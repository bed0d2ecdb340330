import { describe, expect, it } from "vitest";
import { chooseTarget, RouteTable } from "./route_table.ts";
import type { Route, RoutingConfig } from "./routing_config.ts";

function createRoute(route: Partial<Route>): Route {
  return {
    name: "r",
    host: "app.example",
    pathPrefix: "/",
    kind: "idempotent",
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
    targets: [{ service: "s", weight: 1 }],
    ...route,
  };
}

function createTable(config: Partial<RoutingConfig>): RouteTable {
  return new RouteTable({
    version: 1,
    routes: [],
    services: [],
    accounts: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...config,
  });
}

describe("RouteTable", () => {
  describe("findRoute", () => {
    function findRouteName(host: string, path: string): string | undefined {
      return createTable({
        routes: [
          createRoute({ name: "all" }),
          createRoute({ name: "jobs", pathPrefix: "/jobs/" }),
          createRoute({ name: "old", pathPrefix: "/jobs/old/" }),
          createRoute({ name: "other", host: "other.example" }),
        ],
      }).findRoute(host, path)?.name;
    }

    it.each([
      ["app.example", "/jobs/old/7", "old"],
      ["app.example", "/jobs/7", "jobs"],
      ["app.example", "/jobs", "all"],
      ["app.example", "/jobsx/1", "all"],
      ["app.example", "/x?p=/jobs/old/", "all"],
      ["APP.example:8080", "/jobs/7?full=1", "jobs"],
      ["other.example", "/jobs/7", "other"],
      ["unknown.example", "/jobs/7", undefined],
    ])("finds for the URL %s%s the route %s", (host, path, expected) => {
      expect(findRouteName(host, path)).toBe(expected);
    });
  });

  describe("isKeyRequired", () => {
    const ACCOUNTS = [{ name: "a", keys: ["k1"] }];

    it.each([
      ["no accounts", { accounts: [], isKeyRequired: true }, true],
      ["no accounts and no need for a key", {
        accounts: [],
        isKeyRequired: false,
      }, false],
      ["an earlier version's accounts", { accounts: ACCOUNTS }, true],
      ["an earlier version without accounts", { accounts: [] }, false],
    ])("tells for a configuration with %s", (_name, config, expected) => {
      expect(createTable(config).isKeyRequired).toBe(expected);
    });
  });

  describe("findAccount", () => {
    it("finds the account of each key", () => {
      const table = createTable({
        accounts: [{ name: "a", keys: ["k1", "k2"] }, {
          name: "b",
          keys: ["k3"],
        }],
      });
      expect(table.findAccount("k2")?.name).toBe("a");
      expect(table.findAccount("k3")?.name).toBe("b");
      expect(table.findAccount("k4")).toBeUndefined();
    });
  });
});

describe("chooseTarget", () => {
  function chooseService(draw: number): string | undefined {
    return chooseTarget(
      createRoute({
        targets: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, {
          service: "c",
          weight: 0,
        }],
      }),
      draw,
    );
  }

  it.each([[0, "a"], [0.89, "a"], [0.91, "b"], [0.999_999, "b"]])(
    "chooses for the random number %d the service %s",
    (draw, expected) => {
      expect(chooseService(draw)).toBe(expected);
    },
  );
});
