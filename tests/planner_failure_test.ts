import { Left } from "purify-ts";
import { afterEach, describe, expect, it, vi } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import type { FakeEngine } from "../fakes/fake_engine.ts";
import { StoreUnavailableError } from "../src/connection/object_store.ts";
import type { Daemon } from "../src/process/daemon.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type DomainPlacement,
  getGroupMembers,
  type PlacedGroup,
} from "../src/version/placement.ts";
import {
  TEST_MODEL,
  TestDeployment,
  type TestDeploymentOptions,
  waitUntil,
} from "./support/test_deployment.ts";

/** Time after which a zone or VM that is taken out of service gets no new work, in milliseconds. */
const OUT_OF_SERVICE_LIMIT_MS = 5_000;

describe("planner", () => {
  let deployment: TestDeployment;

  afterEach(async () => {
    vi.restoreAllMocks();
    await deployment.dispose();
  });

  async function start(options: TestDeploymentOptions = {}): Promise<void> {
    deployment = await TestDeployment.start(options);
  }

  function getPlacement(zone: string): DomainPlacement {
    return deployment.platform.getObject("placement", `${zone}-rack-1`)!
      .value as DomainPlacement;
  }

  function getOnlyGroup(zone: string): PlacedGroup {
    const groups = Object.values(getPlacement(zone).groups);
    expect(groups.length).toBe(1);
    return groups[0];
  }

  function getMembers(zone: string): FakeEngine[] {
    const placement = getPlacement(zone);
    return getGroupMembers(placement, getOnlyGroup(zone).groupId)
      .map((name) => deployment.engines.find((e) => e.name === name)!);
  }

  function getZoneEngines(zone: string): FakeEngine[] {
    return deployment.engines.filter((e) => e.name.startsWith(zone));
  }

  function countStarted(engines: readonly FakeEngine[]): number {
    return engines.reduce((sum, e) => sum + e.startedRequests.length, 0);
  }

  function getLeaseHolder(zone: string): Daemon {
    const value = deployment.platform.getObject("lease", `planner-${zone}`)!
      .value as { holder: string };
    return deployment.daemons
      .find((d) => d.context.settings.name === value.holder)!;
  }

  async function waitForNewGeneration(
    zone: string,
    groupBefore: PlacedGroup,
    timeoutMs = 15_000,
  ): Promise<void> {
    // A daemon that is disconnected or stopped does not receive the new generation.
    await waitUntil(
      () =>
        deployment.daemons.some((daemon) =>
          daemon.context.groupDirectory.getServingGroups(TEST_MODEL).some((s) =>
            s.group.zone === zone && s.group.generation > groupBefore.generation
          )
        ),
      timeoutMs,
    );
  }

  /** Makes all store requests of a daemon fail, so that it keeps its lease without renewing it, as after a kill or a pause. */
  function assumeStoreUnreachable(daemon: Daemon): void {
    const { store } = daemon.context;
    vi.spyOn(store, "putObject").mockResolvedValue({
      outcome: "unknown",
      message: "The test has disconnected the daemon from the store",
    });
    const failure = Left(
      new StoreUnavailableError(
        "The test has disconnected the daemon from the store",
      ),
    );
    vi.spyOn(store, "getObject").mockResolvedValue(failure);
    vi.spyOn(store, "listObjects").mockResolvedValue(failure);
  }

  /** Sends requests until the signal aborts. Resolves to their HTTP statuses. */
  async function runLoad(
    daemon: Daemon,
    signal: AbortSignal,
  ): Promise<number[]> {
    const statuses: number[] = [];
    while (!signal.aborted) {
      const response = await deployment.requestChat(daemon, "tokens=2 gearbox");
      statuses.push(response.statusCode);
      await delay(20, signal);
    }
    return statuses;
  }

  const memberFailures = [
    {
      name: "crashes",
      fail: (engine: FakeEngine) => engine.crash(),
      isReplaced: false,
    },
    {
      name: "is paused",
      fail: (engine: FakeEngine) => {
        engine.faults.paused = true;
      },
      isReplaced: true,
    },
  ];
  for (const { name, fail, isReplaced } of memberFailures) {
    // Guards against a broken group that is not formed again, and against changes to healthy groups.
    it(`gives a group a new generation when a member ${name}`, async () => {
      await start({ enginesPerZone: 3 });
      const groupBefore = getOnlyGroup("zone-a");
      const otherGroup = getOnlyGroup("zone-b");
      const failedEngine = getMembers("zone-a")[1];
      fail(failedEngine);
      await waitForNewGeneration("zone-a", groupBefore);
      expect(getMembers("zone-a").includes(failedEngine)).toBe(!isReplaced);
      expect(getOnlyGroup("zone-b")).toEqual(otherGroup);
    });
  }

  // Guards against groups that are dissolved or duplicated while all VMs of their fabric domain are unreachable.
  it("serves again after all VMs of a fabric domain were unreachable", async () => {
    await start();
    const otherGroup = getOnlyGroup("zone-b");
    getZoneEngines("zone-a").forEach((e) => e.faults.paused = true);
    await waitUntil(
      () => getPlacement("zone-a").lostVms?.length === 2,
      15_000,
    );
    getZoneEngines("zone-a").forEach((e) => e.faults.paused = false);
    await deployment.waitUntilServing();
    await waitUntil(() => getPlacement("zone-a").lostVms?.length === 0);
    expect(getOnlyGroup("zone-b")).toEqual(otherGroup);
  });

  // Guards against a cold group that is formed again or counted as ready.
  it("keeps a group that turned cold", async () => {
    await start();
    const groupBefore = getOnlyGroup("zone-a");
    const { healthTable } = deployment.daemons[0].context;
    getMembers("zone-a").forEach((e) => e.turnCold());
    await waitUntil(() =>
      healthTable.getHealth(groupBefore.groupId)?.state === "cold"
    );
    await delay(500);
    expect(getOnlyGroup("zone-a")).toEqual(groupBefore);
  });

  // Guards against an order that is lost together with the planner that stored its placement.
  it("sends an order that a killed planner stored but did not send", async () => {
    await start({ enginesPerZone: 3 });
    const groupBefore = getOnlyGroup("zone-a");
    const holder = getLeaseHolder("zone-a");
    let hasCalledSendOrder = false;
    vi.spyOn(holder.context.engineClient, "sendOrder").mockImplementation(
      () => {
        hasCalledSendOrder = true;
        assumeStoreUnreachable(holder);
        return Promise.resolve("unknown");
      },
    );
    getMembers("zone-a")[1].crash();
    await waitUntil(() => hasCalledSendOrder);
    expect(Object.values(getPlacement("zone-a").groups)[0].phase)
      .toBe("loading");
    await holder.dispose();
    await waitForNewGeneration("zone-a", groupBefore);
    expect(getLeaseHolder("zone-a")).not.toBe(holder);
  });

  // Guards against orders from a lease holder whose lease another daemon has acquired.
  it("sends no order from a planner whose lease has expired", async () => {
    await start({ enginesPerZone: 3 });
    const groupBefore = getOnlyGroup("zone-a");
    const holder = getLeaseHolder("zone-a");
    assumeStoreUnreachable(holder);
    const sendOrder = vi.spyOn(holder.context.engineClient, "sendOrder");
    await waitUntil(() => getLeaseHolder("zone-a") !== holder, 10_000);
    getMembers("zone-a")[1].crash();
    await waitForNewGeneration("zone-a", groupBefore);
    expect(sendOrder).not.toHaveBeenCalled();
  });

  // Guards against conflicting orders on engines that accept orders of old generations.
  it("delays orders to engines that ignore fencing until earlier orders have timed out", async () => {
    await start({
      enginesPerZone: 3,
      engine: { honoursFencing: false },
      configure: (d) => d.models[0].honoursFencing = false,
    });
    const groupBefore = getOnlyGroup("zone-a");
    const holder = getLeaseHolder("zone-a");
    assumeStoreUnreachable(holder);
    await waitUntil(() => getLeaseHolder("zone-a") !== holder, 10_000);
    const acquiredAtMs = performance.now();
    const engines = getZoneEngines("zone-a");
    const countOrders = () => engines.reduce((n, e) => n + e.orders.length, 0);
    const ordersBefore = countOrders();
    getMembers("zone-a")[1].crash();
    await waitUntil(() => countOrders() > ordersBefore, 15_000);
    // Sum of the lease duration and the order timeout, less the time until the test notices the acquisition.
    expect(performance.now() - acquiredAtMs).toBeGreaterThan(2_900);
    await waitForNewGeneration("zone-a", groupBefore);
  });

  // Guards against new work in a zone that operators took out of service, and against a zone that stays out after it is brought back.
  it("sends no new work to a zone from when it is taken out until it is brought back", async () => {
    await start();
    const engines = getZoneEngines("zone-a");
    const stop = new AbortController();
    const load = runLoad(deployment.daemons[0], stop.signal);
    await delay(300);
    expect(countStarted(engines)).toBeGreaterThan(0);
    deployment.setConfig((d) => d.zones[0].takenOut = true);
    await delay(OUT_OF_SERVICE_LIMIT_MS);
    const startedBefore = countStarted(engines);
    await delay(1_000);
    expect(countStarted(engines)).toBe(startedBefore);
    deployment.setConfig((d) => d.zones[0].takenOut = false);
    await deployment.waitUntilServing();
    await waitUntil(() => countStarted(engines) > startedBefore);
    stop.abort();
    expect((await load).filter((status) => status !== 200)).toEqual([]);
  });

  // Guards against groups that are unloaded because of a change that is reverted within a second.
  it("keeps the groups of a zone that is brought back within a second", async () => {
    await start();
    const groupBefore = getOnlyGroup("zone-a");
    deployment.setConfig((d) => d.zones[0].takenOut = true);
    await waitUntil(() => getOnlyGroup("zone-a").phase === "draining");
    deployment.setConfig((d) => d.zones[0].takenOut = false);
    await deployment.waitUntilServing();
    expect(getOnlyGroup("zone-a")).toEqual(groupBefore);
  });

  // Guards against new work on a drained VM, and against streams that a drain interrupts.
  it("replaces the group of a drained VM without interrupting a stream", async () => {
    await start({
      enginesPerZone: 4,
      zones: ["zone-a"],
      configure: (d) => d.models[0].placements[0].count = 1,
    });
    const members = getMembers("zone-a");
    const groupBefore = getOnlyGroup("zone-a");
    const content = "tokens=450 long stream";
    const pendingResponse = deployment.requestChat(
      deployment.daemons[0],
      content,
    );
    await waitUntil(() => members[0].heldRequests === 1);
    deployment.setConfig((d) => d.drainedVms = [members[1].name]);
    const moveStreams = vi.spyOn(
      deployment.daemons[0].context.inFlightStreams,
      "moveStreamsFromGroup",
    );
    const body = JSON.parse((await pendingResponse).body);
    expect(body.choices[0].message.content).toBe(
      getExpectedTokens([{ role: "user", content }], 512).join(""),
    );
    // A stream is cancelled at its old group only after it was moved to another one.
    const moveEvents = deployment.daemons[0].context.timeline.getEvents()
      .filter((e) =>
        e.event === "stream-moved" && e.fields.from === groupBefore.groupId
      );
    expect(members[0].cancelledRequests).toEqual(
      moveEvents.map((e) => `${e.requestId}.1`),
    );
    await waitUntil(
      () => getPlacement("zone-a").groups[groupBefore.groupId] === undefined,
      15_000,
    );
    expect(moveStreams).toHaveBeenCalledWith(groupBefore.groupId);
    expect(getMembers("zone-a")).not.toContain(members[1]);
    await waitUntil(() => members[1].state === "empty");
    const startedBefore = countStarted(members);
    await deployment.waitUntilServing();
    const nextResponse = await deployment.requestChat(
      deployment.daemons[1],
      "tokens=2 next",
    );
    expect(nextResponse.statusCode).toBe(200);
    expect(countStarted(members)).toBe(startedBefore);
  });

  // Guards against a zone without a planner when no daemon in that zone is live.
  it("plans a zone without a live daemon of its own", async () => {
    await start({ daemons: 3, enginesPerZone: 3 });
    const groupBefore = getOnlyGroup("zone-b");
    const holder = getLeaseHolder("zone-b");
    assumeStoreUnreachable(holder);
    await holder.dispose();
    getMembers("zone-b")[1].crash();
    await waitUntil(() => getLeaseHolder("zone-b") !== holder, 15_000);
    await waitUntil(
      () => getOnlyGroup("zone-b").generation > groupBefore.generation,
      15_000,
    );
    expect(getLeaseHolder("zone-b").context.settings.zone).toBe("zone-a");
  });

  // Guards against groups that are formed twice because the store's response to a write was lost.
  it("forms each group once when responses of the store are lost", async () => {
    await start({ enginesPerZone: 3 });
    const groupBefore = getOnlyGroup("zone-a");
    deployment.platform.faults.dropAnswerNext = 6;
    getMembers("zone-a")[1].crash();
    await waitForNewGeneration("zone-a", groupBefore);
    expect(getMembers("zone-a").length).toBe(2);
  });
});
