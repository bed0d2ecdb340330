import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { GroupOrder } from "../../connection/group_order_client.ts";
import { ReconciledFleet } from "../../../tests/support/reconciled_fleet.ts";

/** Time within which groups are formed of servers that have loaded their model, in milliseconds. */
const FORMATION_MS = 2_000;
/** Time within which requests to a removed server have to end, in milliseconds. */
const DRAIN_NOTICE_MS = 2_000;
/** Time after the removal at which groups leave service, in milliseconds, and the step of the checks. */
const CLOSE_BY_MS = 1_000;
const STEP_MS = 50;

describe("groups with members whose entries are removed", () => {
  let fleet: ReconciledFleet;
  let orders: { serverId: string; action: GroupOrder["action"] }[];

  beforeEach(() => {
    vi.useFakeTimers();
    fleet = new ReconciledFleet();
    fleet.drainNoticeMs = DRAIN_NOTICE_MS;
    fleet.getOrderDelayMs = (serverId, { action }) => {
      orders.push({ serverId, action });
      return 0;
    };
    orders = [];
  });
  afterEach(() => {
    fleet.dispose();
    vi.useRealTimers();
  });

  const runFor = (durationMs: number) =>
    vi.advanceTimersByTimeAsync(durationMs);

  /** Forms groups of two servers, with requests in flight at each, and returns the ids of their members. */
  async function createGroups(serverCount: number): Promise<string[][]> {
    fleet.addServers(serverCount);
    fleet.startPlanner();
    await runFor(FORMATION_MS);
    const groups = fleet.listOpenGroups();
    groups.forEach(([id]) => fleet.changeServer(id, { isBusy: true }));
    orders.length = 0;
    return groups;
  }

  const countServing = () => fleet.groups.listAll().length;
  const listClosedIds = () =>
    orders.flatMap(({ serverId, action }) =>
      action === "close" ? [serverId] : []
    );

  // Guards against a partition between the servers and the store that takes groups out of service.
  it("keeps the groups in service, and orders nothing, while members are cut off for a moment", async () => {
    const groups = await createGroups(8);
    groups.forEach(([, id]) => fleet.changeServer(id, { isListed: false }));
    for (let timeMs = 0; timeMs < 400; timeMs += STEP_MS) {
      expect(countServing()).toBe(4);
      await runFor(STEP_MS);
    }
    groups.forEach(([, id]) => fleet.changeServer(id, { isListed: true }));
    await runFor(3_000);
    expect(countServing()).toBe(4);
    expect(orders).toEqual([]);
  });

  // Guards against a partition that lasts longer than the bound of a member about which nothing is known.
  it("keeps the groups in service while their members state that they are healthy", async () => {
    const groups = await createGroups(8);
    groups.forEach(([, id]) =>
      fleet.changeServer(id, { isListed: false, health: "healthy" })
    );
    for (let timeMs = 0; timeMs < 8_000; timeMs += STEP_MS) {
      expect(countServing()).toBe(4);
      await runFor(STEP_MS);
    }
    groups.forEach(([, id]) => fleet.changeServer(id, { isListed: true }));
    await runFor(3_000);
    expect(countServing()).toBe(4);
    expect(orders).toEqual([]);
  });

  // Guards against requests in flight that are cut off since the closing of the group began too late.
  it("closes a group at once whose member states that it leaves", async () => {
    const [[headId, leaverId]] = await createGroups(3);
    fleet.changeServer(leaverId, { isListed: false, health: "unhealthy" });
    await runFor(700);
    expect(listClosedIds()).toEqual([headId]);
    expect(countServing()).toBe(0);
    fleet.finishRequests(headId);
    await runFor(1_200);
    expect(fleet.interruptions).toEqual([]);
    expect(countServing()).toBe(1);
  });

  // Guards against streams that stand still since a server exits that never announced its stop.
  it("replaces the group of a server that exits after the drain notice time, without interrupting its requests", async () => {
    const [[headId, leaverId]] = await createGroups(3);
    fleet.changeServer(leaverId, { isListed: false });
    await runFor(CLOSE_BY_MS);
    expect(listClosedIds()).toEqual([headId]);
    expect(countServing()).toBe(0);
    await runFor(500);
    expect(orders.map(({ action }) => action)).toEqual(["close"]);
    fleet.finishRequests(headId);
    await runFor(DRAIN_NOTICE_MS - CLOSE_BY_MS - 500);
    expect(fleet.interruptions).toEqual([]);
    expect(countServing()).toBe(1);
    expect(fleet.listOpenGroups().flat()).not.toContain(leaverId);
    fleet.changeServer(leaverId, { condition: "ended" });
    await runFor(FORMATION_MS);
    expect(countServing()).toBe(1);
  });

  // Guards against a member that is ordered away since its group is closing and the missing member is only slow to respond.
  it("orders no member away while the head completes requests", async () => {
    const [[, leaverId]] = await createGroups(3);
    fleet.changeServer(leaverId, { isListed: false });
    await runFor(2 * DRAIN_NOTICE_MS);
    expect(fleet.interruptions).toEqual([]);
    expect(orders.map(({ action }) => action)).not.toContain("leave");
  });

  // Guards against a group that stands still for seconds since its missing member has exited.
  it("replaces the group of a server that exits early at once", async () => {
    const [[, leaverId]] = await createGroups(3);
    fleet.changeServer(leaverId, { isListed: false });
    await runFor(100);
    fleet.changeServer(leaverId, { condition: "ended" });
    await runFor(300);
    expect(fleet.groups.listLostKeys().length + countServing()).toBe(1);
    await runFor(700);
    expect(countServing()).toBe(1);
    expect(fleet.listOpenGroups().flat()).not.toContain(leaverId);
  });

  // Guards against requests to a removed server.
  it("takes a group out of service at once when its head is missing, also with another member", async () => {
    const [[headId, memberId], [otherHeadId]] = await createGroups(4);
    fleet.changeServer(headId, { isListed: false });
    expect(countServing()).toBe(1);
    fleet.changeServer(memberId, { isListed: false });
    fleet.changeServer(otherHeadId, { isListed: false });
    expect(countServing()).toBe(0);
  });

  // Guards against members that wait for a second since the planner takes the order to a head without an entry for a failed one.
  it("replaces the group of a missing head once its requests have ended", async () => {
    const [[headId, memberId]] = await createGroups(3);
    fleet.changeServer(headId, { isListed: false });
    await runFor(600);
    expect(listClosedIds()).toEqual([headId]);
    fleet.finishRequests(headId);
    await runFor(600);
    expect(fleet.listOpenGroups().flat()).toContain(memberId);
    expect(listClosedIds()).toEqual([headId]);
    expect(fleet.interruptions).toEqual([]);
  });

  // Guards against a group that nobody closes, since no planner polls its missing member.
  it.each([1_400, undefined])(
    "takes a group out of service when the planner's notice is %s ms old",
    async (plannerAgeMs) => {
      const [[, memberId]] = await createGroups(2);
      fleet.changeServer(memberId, { isListed: false });
      expect(countServing()).toBe(1);
      fleet.plannerAgeMs = plannerAgeMs;
      await runFor(STEP_MS);
      expect(countServing()).toBe(0);
      fleet.plannerAgeMs = 0;
      await runFor(STEP_MS);
      expect(countServing()).toBe(0);
    },
  );

  // Guards against requests that a new planner interrupts, since it knows neither the missing member nor the closing, or an entry that returns too late.
  it.each([true, false])(
    "interrupts no request when another planner takes over at any time, a new daemon: %s",
    async (isNew) => {
      for (let timeMs = 0; timeMs <= 1_500; timeMs += STEP_MS) {
        fleet.dispose();
        fleet = new ReconciledFleet();
        fleet.drainNoticeMs = DRAIN_NOTICE_MS;
        const [[headId, memberId]] = await createGroups(5);
        fleet.changeServer(memberId, { isListed: false });
        await runFor(timeMs);
        fleet.startPlanner({ isNew });
        await runFor(timeMs % 400);
        fleet.changeServer(memberId, { isListed: true });
        await runFor(FORMATION_MS);
        expect(fleet.interruptions, `${timeMs} ms`).toEqual([]);
        fleet.finishRequests(headId);
        await runFor(2 * FORMATION_MS);
        expect(fleet.interruptions, `${timeMs} ms`).toEqual([]);
        expect(countServing(), `${timeMs} ms`).toBe(2);
      }
    },
  );

  // Guards against a model that loses all its slots at once, and against groups that are not closed in time.
  it("closes many groups one share after another, and the rest at the bound", async () => {
    const groups = await createGroups(32);
    groups.slice(0, 8).forEach(([, id]) =>
      fleet.changeServer(id, { isListed: false })
    );
    await runFor(CLOSE_BY_MS / 2 - STEP_MS);
    expect(orders).toEqual([]);
    await runFor(CLOSE_BY_MS / 2 - STEP_MS);
    expect(listClosedIds().length).toBe(4);
    expect(countServing()).toBe(12);
    await runFor(400);
    expect(listClosedIds().length).toBe(8);
    expect(countServing()).toBe(8);
    expect(fleet.interruptions).toEqual([]);
  });

  // Guards against a change of the behaviour where the setting turns this off.
  it("takes a group out of service at once without a drain notice time", async () => {
    fleet.drainNoticeMs = undefined;
    const [[headId, memberId]] = await createGroups(2);
    fleet.changeServer(memberId, { isListed: false });
    expect(countServing()).toBe(0);
    await runFor(400);
    expect(listClosedIds()).toEqual([headId]);
  });
});
