import { Left, Right } from "purify-ts";
import { describe, expect, it } from "vitest";
import type {
  GroupOrder,
  GroupOrderClient,
  GroupOrderOutcome,
} from "../../connection/group_order_client.ts";
import {
  createBackendServer,
  MEMBER_REPORT,
} from "../../../tests/support/backend_servers.ts";
import { NullLogger } from "../../shared/logger.ts";
import { BackendDirectory } from "./backend_directory.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import { MemberOrderExecutor } from "./member_order_executor.ts";
import type { PlannerLeaseHolder } from "./planner_lease_holder.ts";

const SERVER = createBackendServer();
const REPORT: BackendReport = {
  ...MEMBER_REPORT,
  membership: { groupName: "g1", generation: 1, rank: 0, state: "ready" },
};

describe("MemberOrderExecutor", () => {
  describe("joinGroup", () => {
    async function doTest(
      outcome: GroupOrderOutcome,
      isAlive: boolean,
    ): Promise<{ isJoined: boolean; reportRequests: number }> {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      directory.applyChange({
        changed: new Map([["s1", SERVER]]),
        removed: [],
        revision: 1,
        changeRevision: 1,
        outageMs: 0,
        isSnapshot: false,
      });
      let reportRequests = 0;
      let isOrderSent = false;
      const executor = new MemberOrderExecutor({
        directory,
        orders: {
          sendOrder: () => {
            isOrderSent = true;
            return Promise.resolve(outcome);
          },
          getReport: () => {
            reportRequests++;
            const { membership, ...reportWithoutGroup } = REPORT;
            return Promise.resolve(
              isOrderSent && !isAlive
                ? Left(new Error("The server did not respond in time"))
                : Right(
                  isOrderSent
                    ? { ...reportWithoutGroup, membership }
                    : reportWithoutGroup,
                ),
            );
          },
        } as unknown as GroupOrderClient,
        lease: {
          getTerm: () => 1,
          drop: () => {},
        } as unknown as PlannerLeaseHolder,
        logger: new NullLogger(),
      });
      const isJoined = await executor.joinGroup(SERVER, {
        groupName: "g1",
        generation: 1,
        model: "m",
        members: ["s1"],
      }, { timeoutMs: 500 });
      return { isJoined, reportRequests };
    }

    // Guards against redundant status requests: each has a cost, and one to a dead server lasts its whole timeout.
    it("requests the state only once more after an order without a response", async () => {
      expect(await doTest("unknown", false))
        .toEqual({ isJoined: false, reportRequests: 2 });
    });

    it("succeeds when the server accepted an order without sending a response", async () => {
      expect(await doTest("unknown", true)).toEqual({
        isJoined: true,
        reportRequests: 2,
      });
    });

    it("requests the state after a refused order", async () => {
      expect(await doTest("unfit", true)).toEqual({
        isJoined: false,
        reportRequests: 2,
      });
    });
  });

  describe("joinGroup of a server whose entry is removed", () => {
    // Guards against a server that joins a group without leaving the one that its removed entry named, whose head may still serve.
    it("sends no join", async () => {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      const applyChange = (
        changed: Map<string, BackendServer>,
        removed: string[],
        revision: number,
      ) =>
        directory.applyChange({
          changed,
          removed,
          revision,
          changeRevision: revision,
          outageMs: 0,
          isSnapshot: false,
        });
      const server = { ...SERVER, membership: REPORT.membership };
      applyChange(new Map([["s1", server]]), [], 1);
      const actions: string[] = [];
      const executor = new MemberOrderExecutor({
        directory,
        orders: {
          sendOrder: (_target: unknown, { action }: GroupOrder) => {
            actions.push(action);
            return Promise.resolve("begun");
          },
          getReport: () => {
            applyChange(new Map(), ["s1"], 2);
            return Promise.resolve(Right(REPORT));
          },
        } as unknown as GroupOrderClient,
        lease: { getTerm: () => 1 } as unknown as PlannerLeaseHolder,
        logger: new NullLogger(),
      });
      const isJoined = await executor.joinGroup(server, {
        groupName: "g2",
        generation: 2,
        model: "m",
        members: ["s1"],
      }, { timeoutMs: 100 });
      expect({ isJoined, actions }).toEqual({ isJoined: false, actions: [] });
    });
  });

  describe("requestState", () => {
    // Guards against a group that is opened although one process stands for two of its members: a server that has restarted under another id at the same address.
    it("does not apply the state of another process at the address", async () => {
      const directory = new BackendDirectory({ logger: new NullLogger() });
      directory.applyChange({
        changed: new Map([["s1", { ...SERVER, startedAtMs: 1_000 }]]),
        removed: [],
        revision: 1,
        changeRevision: 1,
        outageMs: 0,
        isSnapshot: false,
      });
      const executor = new MemberOrderExecutor({
        directory,
        orders: {
          getReport: () =>
            Promise.resolve(Right({ ...REPORT, startedAtMs: 2_000 })),
        } as unknown as GroupOrderClient,
        lease: {} as PlannerLeaseHolder,
        logger: new NullLogger(),
      });
      const server = directory.findServer("s1")!;
      const state = await executor.requestState(server);
      expect(state.isLeft()).toBe(true);
      expect(directory.findServer("s1")).toEqual(server);
    });
  });
});
