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

  it("splits the domains by the expected shares and spreads each model over the zones", () => {
    const assigned = doTest(
      ["a0", "a1", "b0", "b1", "c0", "c1"].flatMap((d) => createServers(d, 10)),
    );
    expect(assigned.filter((a) => a.endsWith("large"))).toHaveLength(3);
    expect(assigned.filter((a) => a.endsWith("small"))).toHaveLength(3);
  });

  // Guards against a model that an evacuation or the loss of one zone takes away, in the order in which the domains of a new fleet become known.
  it.each<[string, readonly (readonly string[])[]]>([
    ["all at once", [["a0", "a1", "b0", "b1", "c0", "c1"]]],
    ["in two bunches", [["a0", "b0", "b1", "c0"], ["a1", "c1"]]],
    ["in three bunches", [["a0", "b0", "c0"], ["a1", "b1"], ["c1"]]],
    ["in three bunches of other names", [["a1", "b0", "c1"], ["a0", "b1"], [
      "c0",
    ]]],
    ["zone by zone", [["a0", "a1"], ["b0", "b1"], ["c0", "c1"]]],
    ["one by one", [["b0"], ["c0"], ["a0"], ["a1"], ["c1"], ["b1"]]],
  ])(
    "gives each zone both models when domains become known %s",
    (_name, bunches) => {
      const servers: PlannedServer[] = [];
      let assignments: ReadonlyMap<string, string> = new Map();
      for (const bunch of bunches) {
        servers.push(...bunch.flatMap((domain) => createServers(domain, 10)));
        const assigned = assignDomainModels({
          ...createState([...servers], false),
          assignments,
        });
        assignments = new Map([...assigned].map(([d, { name }]) => [d, name]));
        // Loads begin at once, so that a later bunch cannot change the assignment.
        servers.forEach((server, i) =>
          servers[i] = { ...server, isLoading: true }
        );
      }
      const inZones = [...assignments].map(([d, model]) => d[0] + model).sort();
      expect(inZones).toEqual(
        ["a", "b", "c"].flatMap((zone) => [`${zone}large`, `${zone}small`]),
      );
    },
  );

  // Servers of a new fleet register one after another; the assignment must not depend on how many have.
  it("does not change while further servers of the domains register", () => {
    const domains = ["a0", "a1", "b0", "b1", "c0", "c1"];
    const few = domains.flatMap((d, i) => createServers(d, 1 + i));
    const all = domains.flatMap((d) => createServers(d, 10));
    expect(doTest(few)).toEqual(doTest(all));
  });

  it("fills what the domains that have a model leave missing", () => {
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

  it("gives a domain that has shrunk below the size of its model another one", () => {
    const servers = createServers("a0", 3, { lastModel: "large" });
    const assigned = assignDomainModels(createState(servers));
    expect(assigned.get("a0")?.name).toBe("small");
  });

  it("keeps the model that most servers of a domain hold", () => {
    const servers = createServers("a0", 10, { lastModel: "small" });
    expect(doTest(servers)).toEqual(["a0=small"]);
  });
});
