import { describe, expect, it } from "vitest";
import {
  createServers,
  createState,
} from "../../../tests/support/planned_fleet.ts";
import { assignDomainModels } from "./domain_models.ts";
import type { PlannedServer } from "./fleet_state.ts";

describe("assignDomainModels", () => {
  function doTest(servers: PlannedServer[]): string[] {
    return [...assignDomainModels(createState(servers, false))]
      .map(([domain, { name }]) => `${domain}=${name}`).sort();
  }

  it("divides the domains by the expected shares of the models", () => {
    const domainModels = doTest(
      ["a0", "a1", "b0", "b1", "c0", "c1"].flatMap((d) => createServers(d, 10)),
    );
    expect(domainModels.filter((a) => a.endsWith("large"))).toHaveLength(3);
    expect(domainModels.filter((a) => a.endsWith("small"))).toHaveLength(3);
  });

  // Guards against a model whose domains all lie in one zone, so that the loss or evacuation of that zone leaves no group of it. The result must not depend on the order in which the domains of a new fleet register.
  it.each<[string, readonly (readonly string[])[]]>([
    ["all at once", [["a0", "a1", "b0", "b1", "c0", "c1"]]],
    ["in two batches", [["a0", "b0", "b1", "c0"], ["a1", "c1"]]],
    ["in three batches", [["a0", "b0", "c0"], ["a1", "b1"], ["c1"]]],
    ["in three batches of other names", [["a1", "b0", "c1"], ["a0", "b1"], [
      "c0",
    ]]],
    ["zone by zone", [["a0", "a1"], ["b0", "b1"], ["c0", "c1"]]],
    ["one by one", [["b0"], ["c0"], ["a0"], ["a1"], ["c1"], ["b1"]]],
  ])(
    "assigns both models in each zone when the domains register %s",
    (_name, batches) => {
      const servers: PlannedServer[] = [];
      let assignments: ReadonlyMap<string, string> = new Map();
      for (const batch of batches) {
        servers.push(...batch.flatMap((domain) => createServers(domain, 10)));
        const domainModels = assignDomainModels({
          ...createState([...servers], false),
          assignments,
        });
        assignments = new Map(
          [...domainModels].map(([d, { name }]) => [d, name]),
        );
        // The servers start loading at once, so that a later batch cannot change the assignment.
        servers.forEach((server, i) =>
          servers[i] = { ...server, isLoading: true }
        );
      }
      const zoneModels = [...assignments].map(([d, model]) => d[0] + model)
        .sort();
      expect(zoneModels).toEqual(
        ["a", "b", "c"].flatMap((zone) => [`${zone}large`, `${zone}small`]),
      );
    },
  );

  // Guards against an assignment that depends on how many servers of a new fleet have registered.
  it("keeps the assignment while further servers of the domains register", () => {
    const domains = ["a0", "a1", "b0", "b1", "c0", "c1"];
    const fewServers = domains.flatMap((d, i) => createServers(d, 1 + i));
    const allServers = domains.flatMap((d) => createServers(d, 10));
    expect(doTest(fewServers)).toEqual(doTest(allServers));
  });

  it("balances the domains that already have a model by assigning other models to the rest", () => {
    const servers = [
      ...createServers("a0", 10),
      ...createServers("a1", 10),
      ...createServers("b0", 10, { lastModel: "large" }),
      ...createServers("b1", 10, { lastModel: "large" }),
    ];
    expect(doTest(servers)).toEqual([
      "a0=small",
      "a1=small",
      "b0=large",
      "b1=large",
    ]);
  });

  it("assigns another model to a domain with too few servers for a group of its model", () => {
    const servers = createServers("a0", 3, { lastModel: "large" });
    const domainModels = assignDomainModels(createState(servers));
    expect(domainModels.get("a0")?.name).toBe("small");
  });

  // Guards against the load of another model on the servers that are left while the rest of a domain is away for seconds.
  it("keeps the retained model of a domain with too few servers", () => {
    const servers = createServers("a0", 3, { lastModel: "large" });
    const domainModels = assignDomainModels({
      ...createState(servers),
      assignments: new Map([["a0", "large"]]),
      retainedModels: new Map([["a0", "large"]]),
    });
    expect(domainModels.get("a0")?.name).toBe("large");
  });

  // Guards against returning servers that load another model, which takes many seconds, although they could serve at once.
  it("returns to the model whose weights the servers of a domain have", () => {
    const doReturnTest = (servers: PlannedServer[]) =>
      assignDomainModels({
        ...createState(servers),
        assignments: new Map([["a0", "small"]]),
      }).get("a0")?.name;
    const staged = createServers("a0", 4, { stagedModels: ["large"] });
    const loading = createServers("a0", 4, { isLoading: true });
    const ready = createServers("a0", 2, { lastModel: "small" });
    expect(doReturnTest([...staged, ...loading])).toBe("large");
    expect(doReturnTest([...staged, ...ready])).toBe("small");
    expect(doReturnTest([...staged.slice(1), ...loading])).toBe("small");
  });

  it("keeps the model that most servers of a domain have loaded", () => {
    const servers = createServers("a0", 10, { lastModel: "small" });
    expect(doTest(servers)).toEqual(["a0=small"]);
  });
});
