import { describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { ServedModel } from "../../version/routing_config.ts";
import { BackendDirectory } from "./backend_directory.ts";
import { GroupTable } from "./group_table.ts";

describe("GroupTable", () => {
  function createMember(
    group: string,
    rank: number,
    server: Partial<BackendServer> = {},
  ): BackendServer {
    return createBackendServer({
      id: `${group}-${rank}`,
      loadedModels: ["m"],
      membership: { groupName: group, generation: 1, rank, state: "open" },
      ...server,
    });
  }

  function doTest() {
    const logger = new NullLogger();
    const directory = new BackendDirectory({ logger });
    const table = new GroupTable({
      directory,
      logger,
      findModel: () => ({ groupSize: 2 }) as ServedModel,
    });
    let revision = 1;
    const change = (
      servers: readonly BackendServer[],
      removed: readonly string[] = [],
    ) =>
      directory.applyChange({
        changed: new Map(
          servers.map((server) => [
            server.id,
            { ...server, entryVersion: ++revision },
          ]),
        ),
        removed,
        revision: ++revision,
        changeRevision: revision,
        outageMs: 0,
        isSnapshot: false,
      });
    const listKeys = () =>
      table.listServingGroups("models", "m").map(({ key }) => key).sort();
    return { table, change, listKeys };
  }

  it("serves a group once all its members are listed", () => {
    const { change, listKeys } = doTest();
    change([createMember("g1", 0)]);
    expect(listKeys()).toEqual([]);
    change([createMember("g1", 1)]);
    expect(listKeys()).toEqual(["g1/1"]);
  });

  // Guards against a group that counts as complete although two entries name one process, which has one rank.
  it("serves no group in which two members have the same rank", () => {
    const { change, listKeys } = doTest();
    change([
      createMember("g1", 0),
      createMember("g1", 0, { id: "earlier entry" }),
    ]);
    expect(listKeys()).toEqual([]);
  });

  it("serves a suspected group again when its members respond, or nobody confirms the suspicion", () => {
    vi.useFakeTimers();
    const { table, change, listKeys } = doTest();
    change([createMember("g1", 0), createMember("g1", 1)]);
    expect(table.recordSuspicion("g1/1", "silent")).toBe(true);
    expect(table.recordSuspicion("g1/1", "silent")).toBe(false);
    expect(listKeys()).toEqual([]);
    table.confirmGroup("g1/1");
    expect(listKeys()).toEqual(["g1/1"]);
    table.recordSuspicion("g1/1", "reported by a peer");
    vi.advanceTimersByTime(900);
    table.removeExpiredSuspicions();
    expect(listKeys()).toEqual([]);
    vi.advanceTimersByTime(200);
    table.removeExpiredSuspicions();
    expect(listKeys()).toEqual(["g1/1"]);
    vi.useRealTimers();
  });

  // Guards against a group that gets no requests for another second after its server has gone on, since a peer's report arrives late.
  it("ignores a peer's suspicion that arrives after the members have responded", () => {
    vi.useFakeTimers();
    const { table, change, listKeys } = doTest();
    change([createMember("g1", 0), createMember("g1", 1)]);
    expect(table.recordReportedSuspicion("g1/1", "peer")).toBe(true);
    expect(listKeys()).toEqual([]);
    table.confirmGroup("g1/1");
    expect(listKeys()).toEqual(["g1/1"]);
    vi.advanceTimersByTime(900);
    expect(table.recordReportedSuspicion("g1/1", "peer")).toBe(false);
    expect(listKeys()).toEqual(["g1/1"]);
    vi.advanceTimersByTime(200);
    expect(table.recordReportedSuspicion("g1/1", "peer")).toBe(true);
    expect(listKeys()).toEqual([]);
    vi.useRealTimers();
  });

  it("stops serving a group when a member is removed, drains or joins another group", () => {
    const { change, listKeys } = doTest();
    const groups = ["g1", "g2", "g3", "g4"];
    change(groups.flatMap((g) => [createMember(g, 0), createMember(g, 1)]));
    change([
      createMember("g2", 1, { isDraining: true }),
      createMember("g4", 1, { id: "g3-1" }),
    ], ["g1-1"]);
    expect(listKeys()).toEqual([]);
    change([createMember("g3", 1)]);
    expect(listKeys()).toEqual(["g3/1", "g4/1"]);
  });

  it("leaves out groups with a member in an excluded zone", () => {
    const { table, change, listKeys } = doTest();
    change([createMember("g1", 0), createMember("g1", 1, { zone: "y" })]);
    table.setExcludedZones(new Set(["y"]));
    expect(listKeys()).toEqual([]);
    table.setExcludedZones(new Set());
    expect(listKeys()).toEqual(["g1/1"]);
  });

  it("records the loss of a group once, and forgets it when the group has no members left", () => {
    const { table, change, listKeys } = doTest();
    expect(table.recordLoss("g1/1", "test")).toBe(false);
    change([createMember("g1", 0), createMember("g1", 1)]);
    expect(table.recordLoss("g1/1", "test")).toBe(true);
    expect(table.recordLoss("g1/1", "test")).toBe(false);
    expect(listKeys()).toEqual([]);
    change([], ["g1-0", "g1-1"]);
    expect(table.listLostKeys()).toEqual([]);
  });
});
