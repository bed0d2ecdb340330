import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { NullLogger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import { ColdLimits } from "./cold_limits.ts";
import {
  GroupAdmission,
  type GroupAdmissionRequest,
} from "./group_admission.ts";
import { GroupLoads } from "./group_loads.ts";
import { GroupTable } from "./group_table.ts";
import { ServerStatements } from "./server_statements.ts";

const SLOTS = 2;
const LEAVING = { isServerLeaving: true, pause: "none" } as const;
/** Requests per second that a cold head may receive. */
const COLD_RATE = 1;

describe("GroupAdmission", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createHead(id: string): BackendServer {
    return createBackendServer({
      id,
      slots: SLOTS,
      loadedModels: ["m"],
      membership: { groupName: id, generation: 1, rank: 0, state: "open" },
    });
  }

  function doTest(heads: readonly string[], coldForMs = 0) {
    const logger = new NullLogger();
    const directory = new BackendDirectory({ logger });
    const loads = new GroupLoads();
    const groups = new GroupTable({
      directory,
      logger,
      findModel: () => ({
        name: "m",
        groupSize: 1,
        expectedShare: 1,
        stepFactor: 1,
        loadMs: 1,
        warmMs: 1,
      }),
    });
    const coldLimits = new ColdLimits({
      overageFactor: 1,
      slackRequests: 0,
      getColdRate: () => COLD_RATE,
      minDaemons: 1,
      ownName: "entry-1",
      listPeerNames: () => [],
    });
    const statements = new ServerStatements({ directory, logger });
    const admission = new GroupAdmission({
      groups,
      loads,
      sendLimits: [coldLimits],
      statements,
      zone: "z",
      ownName: "entry-1",
      getStalenessMs: () => 0,
    });
    directory.applyChange({
      changed: new Map(heads.map((id) => [
        id,
        {
          ...createHead(id),
          coldUntilMs: performance.now() + coldForMs,
        },
      ])),
      removed: [],
      revision: 1,
      changeRevision: 1,
      outageMs: 0,
      isSnapshot: false,
    });
    const addHead = (id: string) =>
      directory.applyChange({
        changed: new Map([[id, { ...createHead(id), entryVersion: 2 }]]),
        removed: [],
        revision: 2,
        changeRevision: 2,
        outageMs: 0,
        isSnapshot: false,
      });
    return { admission, loads, groups, statements, addHead };
  }

  function createPause(pause: number) {
    return { isServerLeaving: false, pause };
  }

  function createRequest(
    request: Partial<GroupAdmissionRequest> = {},
  ): GroupAdmissionRequest {
    return {
      service: "models",
      model: "m",
      priority: 0,
      excludedGroups: new Set(),
      hasStarted: false,
      slots: SLOTS,
      latencyDeadlineMs: performance.now() + 200,
      waitDeadlineMs: performance.now() + 1_000,
      signal: new AbortController().signal,
      ...request,
    };
  }

  describe("acquire", () => {
    it("distributes requests by load, including the load that peers reported", async () => {
      const { admission, loads } = doTest(["g1", "g2"]);
      loads.applyPeerLoad("peer", "equal", { loads: [["g1/1", 2]] });
      const grants = [
        await admission.acquire(createRequest()),
        await admission.acquire(createRequest()),
      ];
      expect(grants.map(({ group }) => group.key)).toEqual(["g2/1", "g2/1"]);
    });

    // Guards against daemons of a large fleet that use every group: each connection is then idle for so long that the server closes it.
    it("uses few groups while these have no more requests than the others", async () => {
      const heads = Array.from({ length: 20 }, (_, i) => `g${i}`);
      const { admission } = doTest(heads);
      const keys = new Set<string>();
      for (let i = 0; i < 100; i++) {
        const grant = await admission.acquire(createRequest());
        keys.add(grant.group.key);
        grant.release();
      }
      expect(keys.size).toBeLessThanOrEqual(4);
    });

    // Guards against a setting that does not restore the wait until the deadline and the constant time to return.
    it("refuses a request at its deadline when waits are not estimated", async () => {
      const { admission } = doTest(["g1"]);
      for (let i = 0; i < SLOTS; i++) {
        await admission.acquire(createRequest());
      }
      const settled = vi.fn();
      const errors = Array.from(
        { length: 50 },
        () =>
          admission.acquire(createRequest()).catch((error: unknown) => {
            settled();
            return error;
          }),
      );
      await vi.advanceTimersByTimeAsync(990);
      expect(settled).not.toHaveBeenCalled();
      await vi.advanceTimersByTimeAsync(20);
      expect(await Promise.all(errors)).toEqual(
        errors.map(() => expect.objectContaining({ retryAfterMs: 500 })),
      );
    });

    it("uses all groups once the preferred ones are full", async () => {
      const heads = Array.from({ length: 20 }, (_, i) => `g${i}`);
      const { admission } = doTest(heads);
      const keys = new Set<string>();
      for (let i = 0; i < 20 * SLOTS; i++) {
        keys.add((await admission.acquire(createRequest())).group.key);
      }
      expect(keys.size).toBe(20);
    });

    it("grants a released slot to a waiting request", async () => {
      const { admission } = doTest(["g1"]);
      const grants = await Promise.all([
        admission.acquire(createRequest()),
        admission.acquire(createRequest()),
      ]);
      const waitingGrant = admission.acquire(createRequest());
      expect(admission.waitingCount).toBe(1);
      grants[0].release();
      expect((await waitingGrant).group.key).toBe("g1/1");
    });

    it("rejects a request with the verdict not-run when no slot is free in time", async () => {
      const { admission } = doTest([]);
      const rejection = expect(admission.acquire(createRequest())).rejects
        .toMatchObject({ status: 503, verdict: "not-run" });
      await vi.advanceTimersByTimeAsync(1_000);
      await rejection;
    });

    // Guards against overloading a zone that returns with cold servers: all requests that waited for it would be sent there at once.
    it("limits the requests to a cold head and grants the others later", async () => {
      const { admission } = doTest(["g1"], 1_500);
      await admission.acquire(createRequest());
      const secondGrant = admission.acquire(createRequest({
        waitDeadlineMs: performance.now() + 5_000,
      }));
      expect(admission.waitingCount).toBe(1);
      await vi.advanceTimersByTimeAsync(900);
      expect(admission.waitingCount).toBe(1);
      await vi.advanceTimersByTimeAsync(300);
      expect((await secondGrant).group.key).toBe("g1/1");
    });

    // Guards against a leaving or pausing head whose group still gets requests.
    it("sends no request to a group whose head leaves or pauses", async () => {
      const { admission, groups, statements } = doTest(["g1", "g2", "g3"]);
      const [first, second] = groups.listAll();
      statements.recordResponse(first.head, LEAVING);
      statements.recordResponse(second.head, createPause(1_000));
      const grants = [
        await admission.acquire(createRequest()),
        await admission.acquire(createRequest()),
      ];
      expect(grants.map(({ group }) => group.key)).toEqual(["g3/1", "g3/1"]);
    });

    // Guards against a request that waits in vain although no head takes it before its deadline.
    it("refuses at once with the earliest end of the pauses", async () => {
      const { admission, groups, statements } = doTest(["g1", "g2", "g3"]);
      const pauses = [LEAVING, createPause(8_000), createPause(4_000)];
      groups.listAll().forEach(({ head }, i) =>
        statements.recordResponse(head, pauses[i])
      );
      const error = await admission.acquire(createRequest()).catch((e) => e);
      expect(error).toMatchObject({ status: 503, verdict: "not-run" });
      expect(error.retryAfterMs).toBeGreaterThanOrEqual(4_000);
      expect(error.retryAfterMs).toBeLessThanOrEqual(6_000);
    });

    // Guards against a request that goes on waiting when the last head that could serve it leaves.
    it("ends the wait when the last head leaves", async () => {
      const { admission, groups, statements } = doTest(["g1"]);
      await admission.acquire(createRequest());
      await admission.acquire(createRequest());
      const rejection = expect(admission.acquire(createRequest())).rejects
        .toMatchObject({ status: 503, verdict: "not-run" });
      statements.recordResponse(groups.listAll()[0].head, LEAVING);
      await rejection;
      expect(admission.waitingCount).toBe(0);
    });

    // Guards against a stream that is broken off although a group forms before its deadline.
    it("lets a request whose response has begun wait for a new group when the last head leaves", async () => {
      const { admission, groups, statements, addHead } = doTest(["g1"]);
      statements.recordResponse(groups.listAll()[0].head, LEAVING);
      const grant = admission.acquire(createRequest({ hasStarted: true }));
      expect(admission.waitingCount).toBe(1);
      addHead("g2");
      expect((await grant).group.key).toBe("g2/1");
    });

    // Guards against a service that is starved because its heads pause by turns.
    it("grants a waiting request to the head whose pause ends first", async () => {
      const { admission, groups, statements } = doTest(["g1", "g2"]);
      const [first, second] = groups.listAll();
      statements.recordResponse(first.head, createPause(300));
      statements.recordResponse(second.head, createPause(900));
      const grant = admission.acquire(createRequest());
      await vi.advanceTimersByTimeAsync(200);
      expect(admission.waitingCount).toBe(1);
      await vi.advanceTimersByTimeAsync(200);
      expect((await grant).group.key).toBe(first.key);
    });

    it("does not choose an excluded group", async () => {
      const { admission } = doTest(["g1", "g2"]);
      const excludedGroups = new Set(["g1/1"]);
      const grant = await admission.acquire(createRequest({ excludedGroups }));
      expect(grant.group.key).toBe("g2/1");
    });

    // Guards against first-come-first-served order in a burst that exceeds the slots: it would serve only requests that are already late.
    it("serves a request that can be on time before a late one", async () => {
      const { admission } = doTest(["g1"]);
      const grants = await Promise.all([
        admission.acquire(createRequest()),
        admission.acquire(createRequest()),
      ]);
      const servedOrder: string[] = [];
      const lateRequest = admission.acquire(createRequest())
        .then(() => servedOrder.push("late"));
      await vi.advanceTimersByTimeAsync(300);
      const onTimeRequest = admission.acquire(createRequest())
        .then(() => servedOrder.push("on time"));
      grants[0].release();
      await onTimeRequest;
      grants[1].release();
      await lateRequest;
      expect(servedOrder).toEqual(["on time", "late"]);
    });

    // Guards against first-come-first-served order among the requests that can be on time: in a lasting overload each gets its slot when its time has almost run out.
    it("grants slots in a lasting overload while there is time left", async () => {
      const { admission } = doTest(["g1"]);
      const remainingTimesMs: number[] = [];
      const runRequest = async () => {
        const latencyDeadlineMs = performance.now() + 200;
        const grant = await admission.acquire(
          createRequest({ latencyDeadlineMs }),
        );
        remainingTimesMs.push(latencyDeadlineMs - performance.now());
        setTimeout(() => grant.release(), 100);
      };
      const requests: Promise<void>[] = [];
      for (let i = 0; i < 100; i++) {
        requests.push(runRequest().catch(() => {}));
        await vi.advanceTimersByTimeAsync(25);
      }
      await vi.advanceTimersByTimeAsync(2_000);
      await Promise.all(requests);
      const earlyCount = remainingTimesMs.filter((ms) => ms >= 100).length;
      expect(earlyCount / remainingTimesMs.length).toBeGreaterThan(0.5);
    });

    it("serves the request of higher priority first", async () => {
      const { admission } = doTest(["g1"]);
      const grants = await Promise.all([
        admission.acquire(createRequest()),
        admission.acquire(createRequest()),
      ]);
      const servedPriorities: number[] = [];
      const all = [2, 1].map((priority) =>
        admission.acquire(createRequest({ priority }))
          .then(() => servedPriorities.push(priority))
      );
      grants.forEach((grant) => grant.release());
      await Promise.all(all);
      expect(servedPriorities).toEqual([1, 2]);
    });
  });
});
