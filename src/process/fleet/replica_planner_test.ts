import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  createServers,
  createState,
  ENGINE,
} from "../../../tests/support/planned_fleet.ts";
import type { PlannedServer } from "./fleet_state.ts";
import { planFleet } from "./replica_planner.ts";

describe("planFleet", () => {
  it("forms groups of servers that have the model, warm ones first", () => {
    const servers = [
      ...createServers("a0", 3, { stagedModels: ["large"] }),
      ...createServers("a0", 3, { lastModel: "large" })
        .map((server) => ({ ...server, id: `warm-${server.id}` })),
    ];
    const { formations } = planFleet(createState(servers));
    expect(formations).toHaveLength(1);
    expect(
      formations[0].members.slice(0, 3).every((id) => id.startsWith("warm")),
    ).toBe(true);
  });

  it("limits loads to what the weight store serves, with servers that complete a group before spares", () => {
    const servers = createServers("a0", 6, { stagedModels: [] });
    const { preparations } = planFleet(createState(servers));
    expect(preparations.filter(({ needsLoad }) => needsLoad)).toHaveLength(6);
    expect(preparations.map(({ isSpare }) => isSpare).sort()).toEqual(
      [false, false, false, false, true, true],
    );
    const largeFleet = ["a0", "b0", "c0"].flatMap((d) => createServers(d, 10));
    expect(planFleet(createState(largeFleet)).preparations).toHaveLength(7);
    expect(planFleet(createState(largeFleet, false)).preparations).toHaveLength(
      10,
    );
  });

  it("plans no formation or preparation for servers that are not free", () => {
    const servers = createServers("a0", 10, {
      lastModel: "large",
      isFree: false,
    });
    expect(planFleet(createState(servers))).toMatchObject({
      formations: [],
      preparations: [],
    });
  });

  const serverArbitrary = fc.record({
    domain: fc.constantFrom("a0", "a1", "b0"),
    heldModel: fc.constantFrom(undefined, "large", "small"),
    isStaged: fc.boolean(),
    isFree: fc.boolean(),
    isLoading: fc.boolean(),
  });

  it("uses no server twice, forms only complete groups within one domain and keeps the load limit", () => {
    fc.assert(
      fc.property(
        fc.array(serverArbitrary, { maxLength: 40 }),
        (samples) => {
          const servers = samples.map((server, i): PlannedServer => ({
            id: `s${i}`,
            domain: server.domain,
            zone: server.domain.slice(0, 1),
            stagedModels: server.isStaged && server.heldModel !== undefined
              ? [server.heldModel]
              : [],
            lastModel: server.isStaged ? undefined : server.heldModel,
            isFree: server.isFree,
            isLoading: server.isLoading,
          }));
          const { formations, preparations } = planFleet(createState(servers));
          const plannedIds = [
            ...formations.flatMap(({ members }) => members),
            ...preparations.map(({ serverId }) => serverId),
          ];
          expect(new Set(plannedIds).size).toBe(plannedIds.length);
          const byId = new Map(servers.map((server) => [server.id, server]));
          expect(plannedIds.every((id) => byId.get(id)!.isFree)).toBe(true);
          for (const { model, domain, members } of formations) {
            const size = ENGINE.models.find(({ name }) => name === model)!
              .groupSize;
            expect(members).toHaveLength(size);
            expect(members.every((id) => byId.get(id)!.domain === domain))
              .toBe(true);
          }
          const loading = servers.filter(({ isLoading }) => isLoading).length;
          const loads = preparations.filter(({ needsLoad }) => needsLoad);
          expect(loads.length).toBeLessThanOrEqual(Math.max(0, 7 - loading));
        },
      ),
    );
  });
});
