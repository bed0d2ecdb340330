import { Left } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createModelService,
  ReconciledFleet,
} from "../../../tests/support/reconciled_fleet.ts";

/** Time within which groups are formed of servers that have loaded their model, in milliseconds. */
const FORMATION_MS = 2_000;
/** Time for which requests in flight go on, in milliseconds. */
const REQUEST_MS = 3_000;

describe("ReplicaReconciler", () => {
  let fleet: ReconciledFleet;

  beforeEach(() => {
    vi.useFakeTimers();
    fleet = new ReconciledFleet();
  });
  afterEach(() => {
    fleet.dispose();
    vi.useRealTimers();
  });

  async function runFor(durationMs: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(durationMs);
  }

  /** Starts a planner, and waits until the servers have formed groups. */
  async function createGroups(): Promise<void> {
    fleet.startPlanner();
    await runFor(FORMATION_MS);
  }

  /** Assumes requests in flight at all groups, and returns the ids of the heads. */
  function assumeBusyGroups(): string[] {
    const headIds = fleet.listOpenGroups().map(([headId]) => headId);
    headIds.forEach((id) => fleet.changeServer(id, { isBusy: true }));
    return headIds;
  }

  function listGroupSizes(service?: string): number[] {
    return fleet.listOpenGroups(service).map(({ length }) => length);
  }

  describe("run with a planner that takes over", () => {
    // Guards against members that leave a group whose size the new planner takes from the new configuration.
    it("lets the groups of an earlier size finish their requests after the size was raised", async () => {
      fleet.addServers(4);
      await createGroups();
      expect(listGroupSizes()).toEqual([2, 2]);
      const headIds = assumeBusyGroups();
      fleet.services = [createModelService({ groupSize: 4 })];
      fleet.startPlanner();
      await runFor(REQUEST_MS);
      expect(fleet.interruptions).toEqual([]);
      headIds.forEach((id) => fleet.finishRequests(id));
      await runFor(FORMATION_MS);
      expect(listGroupSizes()).toEqual([4]);
    });

    // Guards against a group that has lost members and counts as complete by the new size.
    it("replaces a group of an earlier size whose remaining members are as many as the new size", async () => {
      fleet.addServers(4);
      fleet.services = [createModelService({ groupSize: 4 })];
      await createGroups();
      const [[, ...others]] = fleet.listOpenGroups();
      fleet.services = [createModelService({ groupSize: 2 })];
      others.slice(1).forEach((id) =>
        fleet.changeServer(id, { condition: "ended", isListed: false })
      );
      fleet.startPlanner();
      expect(fleet.groups.listAll()).toEqual([]);
      await runFor(FORMATION_MS);
      expect(listGroupSizes()).toEqual([2]);
      expect(fleet.groups.listAll().length).toBe(1);
    });
  });

  describe("run with a planner that takes over at any time", () => {
    /** Interval between the times at which the planner is replaced, in milliseconds. */
    const STEP_MS = 20;
    /** Time after which a change that is taken back ends, in milliseconds. */
    const RETURN_MS = 200;
    /** Longest time after which it is replaced, in milliseconds. It exceeds that of a formation. */
    const MAX_TIME_MS = 600;
    /** Time within which the groups are formed after the requests have ended, in milliseconds. It exceeds the pauses after a failed order. */
    const SETTLE_MS = 8_000;

    const changes: Record<string, () => void> = {
      "the configuration stays": () => {},
      "the size is raised": () => {
        fleet.services = [createModelService({ groupSize: 4 })];
      },
      "the size is lowered": () => {
        fleet.services = [createModelService({ groupSize: 1 })];
      },
      "the model is replaced": () => {
        fleet.services = [createModelService({ model: "n" })];
      },
      "the model is removed and added again": () => {
        fleet.services = [createModelService({ model: "n" })];
        setTimeout(() => fleet.services = [createModelService()], RETURN_MS);
      },
      "the service is removed and added again": () => {
        const { services } = fleet;
        fleet.services = [];
        setTimeout(() => fleet.services = services, RETURN_MS);
      },
      "the zone is taken out for a moment": () => {
        fleet.excludedZones.add("z1");
        setTimeout(() => fleet.excludedZones.clear(), RETURN_MS);
      },
    };
    const starts: Record<string, () => Promise<void>> = {
      "while groups are formed": async () => {
        fleet.startPlanner();
        await runFor(250);
      },
      "while groups are closed": async () => {
        await createGroups();
        assumeBusyGroups();
        fleet.services = [createModelService({ groupSize: 4 })];
      },
      "while a member leaves the list": async () => {
        await createGroups();
        assumeBusyGroups();
        const [[, memberId]] = fleet.listOpenGroups();
        fleet.changeServer(memberId, { isListed: false });
      },
      "while a member drains": async () => {
        await createGroups();
        assumeBusyGroups();
        const [[, memberId]] = fleet.listOpenGroups();
        fleet.changeServer(memberId, { isDraining: true });
      },
    };

    // Guards against requests in flight that a new planner interrupts, since it does not know what the earlier one has begun.
    for (const [start, assumeStart] of Object.entries(starts)) {
      it.each(Object.keys(changes))(
        `interrupts no request ${start} and %s`,
        async (change) => {
          for (let timeMs = 0; timeMs <= MAX_TIME_MS; timeMs += STEP_MS) {
            fleet.dispose();
            fleet = new ReconciledFleet();
            fleet.addServers(5);
            await assumeStart();
            await runFor(timeMs);
            changes[change]();
            fleet.startPlanner();
            await runFor(REQUEST_MS);
            expect(fleet.interruptions, `${timeMs} ms`).toEqual([]);
            fleet.servers.forEach(({ id }) => fleet.finishRequests(id));
            await runFor(SETTLE_MS);
            expect(fleet.interruptions, `${timeMs} ms`).toEqual([]);
            const memberIds = fleet.listOpenGroups().flat();
            expect(new Set(memberIds).size).toBe(memberIds.length);
            const [{ engine }] = fleet.services;
            const { groupSize } = engine!.models[0];
            const availableCount = [...fleet.servers.values()].filter((
              { isListed, isDraining },
            ) => isListed && !isDraining).length;
            expect(listGroupSizes(), `${timeMs} ms`).toEqual(
              Array.from(
                { length: Math.floor(availableCount / groupSize) },
                () => groupSize,
              ),
            );
          }
        },
        30_000,
      );
    }
  });

  describe("run with a list that is out of date", () => {
    /** Time of a response of a busy server, in milliseconds. */
    const SLOW_RESPONSE_MS = 200;

    // Guards against members that leave a group whose head still closes, since an entry from before the opening says that it is ready.
    it("waits until the head itself has confirmed that it is closed", async () => {
      fleet.addServers(2);
      await createGroups();
      const [headId] = assumeBusyGroups();
      fleet.services = [createModelService({ groupSize: 1 })];
      await runFor(REQUEST_MS);
      fleet.changeServer(headId, { responseMs: SLOW_RESPONSE_MS });
      fleet.assumeOutdatedEntry(headId, "ready");
      await runFor(REQUEST_MS);
      expect(fleet.interruptions).toEqual([]);
      fleet.finishRequests(headId);
      await runFor(FORMATION_MS);
      expect(listGroupSizes()).toEqual([1, 1]);
    });
  });

  describe("run with an engine that has no models", () => {
    // Guards against an error that ends the planning of all services until the daemon restarts.
    it("keeps the servers for the models that are added later", async () => {
      const service = createModelService();
      fleet.services = [{
        ...service,
        engine: { ...service.engine!, models: [] },
      }];
      fleet.addServers(2);
      await createGroups();
      fleet.services = [service];
      await runFor(FORMATION_MS);
      expect(listGroupSizes()).toEqual([2]);
    });
  });

  describe("run after a leave without a response", () => {
    /** Time after which the leaves are carried out, in milliseconds. */
    const LATE_MS = 4_000;

    // Guards against a member that leaves an open group, since the group was opened again before a leave was carried out.
    it("does not open the group of the member again", async () => {
      fleet.addServers(2);
      await createGroups();
      let leaveCount = 0;
      fleet.getOrderDelayMs = (_serverId, { action }) =>
        action === "leave" && ++leaveCount <= 2 ? LATE_MS : 0;
      fleet.services = [createModelService({ model: "n" })];
      await vi.waitUntil(() => leaveCount === 2, { timeout: FORMATION_MS });
      fleet.services = [createModelService()];
      await runFor(FORMATION_MS);
      assumeBusyGroups();
      await runFor(LATE_MS);
      expect(fleet.interruptions).toEqual([]);
      expect(listGroupSizes()).toEqual([2]);
    });
  });

  describe("run after a leave without a response to a group that is complete again", () => {
    /** Time after which the leave is carried out, in milliseconds. */
    const LATE_MS = 8_000;
    /** Time after which a silent server counts as ended and the others get orders, in milliseconds. */
    const SILENCE_MS = 3_000;

    // Guards against requests that go on being sent to a group whose member is about to leave.
    it("closes the group", async () => {
      fleet.addServers(3);
      await createGroups();
      const [[headId, memberId]] = fleet.listOpenGroups();
      let leaveCount = 0;
      fleet.getOrderDelayMs = (serverId, { action }) =>
        serverId === headId && action === "leave" && ++leaveCount === 1
          ? LATE_MS
          : 0;
      fleet.changeServer(memberId, { condition: "silent", isListed: false });
      await runFor(SILENCE_MS);
      expect(leaveCount).toBe(1);
      fleet.changeServer(memberId, { condition: "running", isListed: true });
      await runFor(FORMATION_MS);
      assumeBusyGroups();
      await runFor(LATE_MS);
      expect(fleet.interruptions).toEqual([]);
      expect(listGroupSizes()).toEqual([2]);
    });
  });

  describe("run with two services that have engines", () => {
    beforeEach(() => {
      fleet.services = [
        createModelService(),
        createModelService({ name: "others" }),
      ];
    });

    // Guards against a number of fabric domains that changes with each service that is planned, and so never settles.
    it("forms groups of servers that have loaded nothing yet", async () => {
      fleet.addServers(2, { model: undefined });
      for (const domain of ["d1", "d2"]) {
        fleet.addServers(2, { service: "others", domain, model: undefined });
      }
      await createGroups();
      expect(listGroupSizes("models")).toEqual([2]);
      expect(listGroupSizes("others")).toEqual([2, 2]);
    });

    // Guards against a plan for one service that restarts the waiting times of the groups of the other one.
    it.each(["models", "others"])(
      "replaces a group of %s that has lost a member",
      async (service) => {
        fleet.addServers(3);
        fleet.addServers(3, { service: "others", domain: "d1" });
        await createGroups();
        const [[, memberId]] = fleet.listOpenGroups(service);
        fleet.changeServer(memberId, { condition: "ended", isListed: false });
        await runFor(FORMATION_MS);
        expect(fleet.listOpenGroups(service).flat()).not.toContain(memberId);
        expect(listGroupSizes(service)).toEqual([2]);
      },
    );

    // Guards against a plan for one service that forgets which groups of the other one may not be opened.
    it("forms the groups again that an earlier planner has not opened", async () => {
      fleet.addServers(2);
      fleet.addServers(2, { service: "others", domain: "d1" });
      fleet.startPlanner();
      await vi.waitUntil(
        () =>
          [...fleet.servers.values()].every(({ group }) =>
            group?.state === "ready"
          ),
        { interval: 1, timeout: FORMATION_MS },
      );
      fleet.startPlanner();
      await runFor(FORMATION_MS);
      expect(listGroupSizes("models")).toEqual([2]);
      expect(listGroupSizes("others")).toEqual([2]);
    });
  });

  describe("run while a member is not in the list of servers", () => {
    /** Time within which the other members are in a new group, in milliseconds. */
    const REPLACEMENT_MS = 1_000;
    /** Time for which a silent server does not count as ended, in milliseconds. */
    const SILENCE_MS = 2_000;
    /** Time for which a sound server may be silent, in milliseconds. */
    const SHORT_SILENCE_MS = 1_200;

    beforeEach(async () => {
      fleet.addServers(3);
      await createGroups();
    });

    // Guards against requests in flight that stand still since the other members leave the group of a server that goes on.
    it.each([["member", 1], ["head", 0]])(
      "lets the requests of a group finish whose %s goes on",
      async (_, rank) => {
        const [headId] = assumeBusyGroups();
        const missingId = fleet.listOpenGroups()[0][rank];
        fleet.changeServer(missingId, { isListed: false });
        await runFor(REQUEST_MS);
        expect(fleet.interruptions).toEqual([]);
        expect(fleet.servers.get(headId)!.group?.state).toBe("closing");
        fleet.finishRequests(headId);
        await runFor(FORMATION_MS);
        expect(fleet.interruptions).toEqual([]);
        expect(listGroupSizes()).toEqual([2]);
        expect(fleet.listOpenGroups().flat()).not.toContain(missingId);
      },
    );

    // Guards against a member that leaves while the head serves, because the last entry of the head is from before the group was opened.
    it.each([["member", 1], ["head", 0]])(
      "asks a head whose last entry is out of date, while the %s is not listed",
      async (_, rank) => {
        const [headId] = assumeBusyGroups();
        const missingId = fleet.listOpenGroups()[0][rank];
        await runFor(FORMATION_MS);
        fleet.assumeOutdatedEntry(headId, "ready");
        // Without a change of the server, which would publish its entry.
        fleet.servers.get(headId)!.condition = "silent";
        fleet.changeServer(missingId, { isListed: false });
        fleet.startPlanner({ isNew: false });
        await runFor(SHORT_SILENCE_MS);
        fleet.servers.get(headId)!.condition = "running";
        await runFor(REQUEST_MS);
        expect(fleet.interruptions).toEqual([]);
      },
    );

    it.each([["member", 1], ["head", 0]])(
      "replaces a group whose %s has ended",
      async (_, rank) => {
        const missingId = fleet.listOpenGroups()[0][rank];
        fleet.changeServer(missingId, { condition: "ended", isListed: false });
        await runFor(REPLACEMENT_MS);
        expect(fleet.groups.listAll().length).toBe(1);
        expect(fleet.groups.listAll()[0].members.map(({ id }) => id))
          .not.toContain(missingId);
      },
    );

    // Guards against a group that waits for ever for a server that has drained and ended.
    it("replaces a group whose member had drained and has ended", async () => {
      const [[, missingId]] = fleet.listOpenGroups();
      fleet.excludedZones.add("z1");
      fleet.changeServer(missingId, { isDraining: true });
      await runFor(REPLACEMENT_MS);
      fleet.changeServer(missingId, { condition: "ended", isListed: false });
      fleet.excludedZones.clear();
      await runFor(REPLACEMENT_MS);
      expect(fleet.groups.listAll().length).toBe(1);
    });

    it("replaces a group whose member has left it", async () => {
      const [[, missingId]] = fleet.listOpenGroups();
      fleet.changeServer(missingId, { group: undefined, isListed: false });
      await runFor(REPLACEMENT_MS);
      expect(fleet.groups.listAll().length).toBe(1);
    });

    it("replaces a group whose member has started again", async () => {
      const [[, memberId]] = fleet.listOpenGroups();
      fleet.changeServer(memberId, { group: undefined });
      await runFor(REPLACEMENT_MS);
      expect(fleet.groups.listAll().length).toBe(1);
    });

    it("replaces a group whose member stays silent", async () => {
      const [[, missingId]] = fleet.listOpenGroups();
      fleet.changeServer(missingId, { condition: "silent", isListed: false });
      await runFor(SILENCE_MS + REPLACEMENT_MS);
      expect(fleet.groups.listAll().length).toBe(1);
    });

    // Guards against a lost group whose members leave while the head still finishes its requests.
    it("lets the requests of a lost group finish whose member goes on", async () => {
      const [headId] = assumeBusyGroups();
      const [[, missingId]] = fleet.listOpenGroups();
      fleet.groups.recordLoss(fleet.groups.listAll()[0].key, "test");
      fleet.changeServer(missingId, { isListed: false });
      await runFor(REQUEST_MS);
      expect(fleet.interruptions).toEqual([]);
      fleet.finishRequests(headId);
      await runFor(FORMATION_MS);
      expect(listGroupSizes()).toEqual([2]);
    });

    // Guards against requests in flight that stand still, because a missing member that may go on counts as ended before the head has been closed.
    it.each([["member", 1], ["head", 0]])(
      "lets the requests of a group finish whose %s does not respond to the planner",
      async (_, rank) => {
        assumeBusyGroups();
        const missingId = fleet.listOpenGroups()[0][rank];
        fleet.changeServer(missingId, { condition: "silent", isListed: false });
        await runFor(SILENCE_MS + REPLACEMENT_MS);
        expect(fleet.interruptions).toEqual([]);
      },
    );

    it.each([["member", 1], ["head", 0]])(
      "lets the requests of a group finish whose %s has only stopped listening",
      async (_, rank) => {
        assumeBusyGroups();
        const missingId = fleet.listOpenGroups()[0][rank];
        const getReport = fleet.getReport.bind(fleet);
        vi.spyOn(fleet, "getReport").mockImplementation((target) =>
          target.serverId === missingId
            ? Promise.resolve(Left(new Error("connect ECONNREFUSED")))
            : getReport(target)
        );
        fleet.changeServer(missingId, { isListed: false });
        await runFor(REQUEST_MS);
        expect(fleet.interruptions).toEqual([]);
      },
    );

    it("lets the requests of a group finish whose head the new planner has never known", async () => {
      const [headId] = assumeBusyGroups();
      fleet.changeServer(headId, { isListed: false });
      fleet.startPlanner({ isNew: true });
      await runFor(REQUEST_MS);
      expect(fleet.interruptions).toEqual([]);
    });
  });
});
