import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import type {
  DutyCallOutcome,
  DutyFence,
  ServerCountOrder,
} from "../../connection/duty_client.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import { BackendDirectory } from "../fleet/backend_directory.ts";
import { GroupLoads } from "../fleet/group_loads.ts";
import { GroupTable } from "../fleet/group_table.ts";
import { Metrics } from "../metrics.ts";
import { createScalingPart, type ScalingPartOptions } from "./scaling_part.ts";

const SERVICE = {
  name: "models",
  engine: { slots: 24, models: [{ name: "m", groupSize: 4, loadMs: 12_000 }] },
  scaling: { minServers: 4, maxServers: 40, bootMs: 8_000 },
} as unknown as RoutedService;

/** Starts the task at a daemon with 3 zones of 2 domains with 3 groups of 4 servers each. */
function startTask(overrides: Partial<ScalingPartOptions> = {}) {
  const logger = { write: vi.fn() };
  const directory = new BackendDirectory({ logger });
  const groups = new GroupTable({
    directory,
    logger,
    findModel: () => SERVICE.engine!.models[0],
  });
  const changed = new Map(
    Array.from({ length: 72 }, (_, i) => {
      const group = Math.floor(i / 4);
      const server = createBackendServer({
        id: `s${i}`,
        zone: `z${group % 3}`,
        domain: `d${group % 6}`,
        loadedModels: ["m"],
        membership: {
          groupName: `g${group}-4`,
          generation: 1,
          rank: i % 4,
          state: "open",
        },
      });
      return [server.id, server] as const;
    }),
  );
  directory.applyChange({
    changed,
    removed: [],
    revision: 1,
    changeRevision: 1,
    outageMs: 0,
    isSnapshot: true,
  });
  const loads = new GroupLoads();
  loads.addRequest("g0-4/1");
  const state = {
    fence: { holder: "entry-1", token: 7 } as DutyFence | undefined,
    listAgeMs: 100,
    liveDaemons: 1,
    generation: 1,
  };
  const requestServers = vi.fn(
    (_order: ServerCountOrder, _fence: DutyFence): Promise<DutyCallOutcome> =>
      Promise.resolve("done"),
  );
  const recordFenced = vi.fn(() => {
    state.fence = undefined;
  });
  const part = createScalingPart({
    duties: {
      kinds: ["server-scaling"],
      callsPerSecond: 50,
      leaseMs: 3_000,
      usageWindowMs: 5_000,
      usageDueMs: 10_000,
    },
    client: { requestServers, reportUsage: vi.fn() },
    lease: { getFence: () => state.fence, recordFenced },
    logger,
    metrics: new Metrics(),
    directory,
    groups,
    loads,
    listServices: () => [SERVICE],
    countWaiting: () => 0,
    countLiveDaemons: () => state.liveDaemons,
    getListAgeMs: () => state.listAgeMs,
    getStoreGeneration: () => state.generation,
    getExcludedZones: () => new Set(),
    ...overrides,
  });
  const controller = new AbortController();
  part?.tasks.forEach((task) => void task.run(controller.signal));
  return { part, state, logger, requestServers, recordFenced };
}

describe("ScalingTask", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against orders without the fence, and against further orders before the first was carried out.
  it("orders one step with the fence of the lease, and logs it", async () => {
    const { requestServers, logger } = startTask();
    await vi.advanceTimersByTimeAsync(30_000);
    expect(requestServers.mock.calls).toEqual([[
      { service: "models", zone: "z0", count: 22 },
      { holder: "entry-1", token: 7 },
    ]]);
    expect(logger.write).toHaveBeenCalledWith(
      "info",
      "servers-ordered",
      expect.objectContaining({
        zone: "z0",
        count: 22,
        requests: 1,
        outcome: "done",
      }),
    );
  });

  // Guards against two holders that order, and against a removal on the state of an earlier holder's order.
  it("orders nothing without the lease, and after a takeover only once servers that were ordered have started", async () => {
    const { requestServers, state } = startTask();
    state.fence = undefined;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).not.toHaveBeenCalled();
    state.fence = { holder: "entry-1", token: 8 };
    await vi.advanceTimersByTimeAsync(7_500);
    expect(requestServers).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
  });

  // Guards against the use of a token that another holder has exceeded.
  it("reports a fenced call to the lease", async () => {
    const { requestServers, recordFenced } = startTask();
    requestServers.mockResolvedValue("fenced");
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
    expect(recordFenced).toHaveBeenCalledWith({ holder: "entry-1", token: 7 });
  });

  // Guards against calls that overlap while the API is slow, whose order of execution would be open.
  it("makes no further call before the last one has ended", async () => {
    const { requestServers } = startTask();
    requestServers.mockReturnValue(new Promise(() => {}));
    await vi.advanceTimersByTimeAsync(120_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
  });

  // Guards against a removal on a partial view.
  it("removes nothing while the list of servers is old or a daemon does not report", async () => {
    const { requestServers, state } = startTask();
    state.listAgeMs = 2_100;
    await vi.advanceTimersByTimeAsync(60_000);
    state.listAgeMs = 100;
    state.liveDaemons = 2;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).not.toHaveBeenCalled();
  });

  // Guards against a removal that the return of the zone needs, and against one within it.
  it("removes nothing while a zone is excluded", async () => {
    const zones = new Set(["z1"]);
    const { requestServers } = startTask({ getExcludedZones: () => zones });
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).not.toHaveBeenCalled();
    zones.clear();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
  });

  // Guards against a removal while a daemon that has reported is gone, whose requests are not known.
  it("removes nothing for a time after a daemon has stopped to report", async () => {
    const { part, requestServers, state } = startTask();
    const [section] = part!.sections;
    section.applyReport("entry-2", "equal", { daemons: 1, waiting: {} });
    state.liveDaemons = 2;
    await vi.advanceTimersByTimeAsync(15_000);
    section.removePartner("entry-2");
    state.liveDaemons = 1;
    await vi.advanceTimersByTimeAsync(48_000);
    expect(requestServers).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
  });

  // Guards against a removal on a list of servers that a restore of the store has set back.
  it("removes nothing for a time after a restore of the store", async () => {
    const { requestServers, state } = startTask();
    await vi.advanceTimersByTimeAsync(15_000);
    state.generation = 2;
    await vi.advanceTimersByTimeAsync(19_000);
    expect(requestServers).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(requestServers).toHaveBeenCalledTimes(1);
  });

  // Guards against the removal of servers that were provisioned for callers who have not begun yet.
  it("removes nothing before the first request", async () => {
    const { requestServers } = startTask({ loads: new GroupLoads() });
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).not.toHaveBeenCalled();
  });

  // Guards against orders for a deployment whose number of servers is fixed.
  it("is off without the duty, the calls or the lease, and orders nothing without limits of the service", async () => {
    expect(startTask({ duties: undefined }).part).toBeUndefined();
    expect(startTask({ client: undefined }).part).toBeUndefined();
    expect(startTask({ lease: undefined }).part).toBeUndefined();
    const { scaling: _, ...fixedService } = SERVICE;
    const { requestServers } = startTask({
      listServices: () => [fixedService],
    });
    await vi.advanceTimersByTimeAsync(60_000);
    expect(requestServers).not.toHaveBeenCalled();
  });
});
