import { type Either, Left, Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type GroupOrderClient,
  ReportTimeoutError,
} from "../../connection/group_order_client.ts";
import { MEMBER_REPORT } from "../../../tests/support/backend_servers.ts";
import { NullLogger } from "../../shared/logger.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import { GroupFailureDetector } from "./group_failure_detector.ts";
import type { GroupTable, ReplicaGroup } from "./group_table.ts";
import { StreamAttempts } from "./stream_attempts.ts";

const FAILURE = Left(new Error("The server did not respond in time"));

/** Time from the last event of a silent group until its streams may move, in milliseconds. */
const MAX_MOVE_DELAY_MS = 700;

/** Response to one status request: its outcome and its delay in milliseconds. */
type StatusResponse = readonly [
  outcome: Either<Error, BackendReport>,
  afterMs: number,
];

const HEAD = { id: "s1", address: "127.0.0.1:1" } as BackendServer;
const GROUP = {
  key: "g1/1",
  name: "g1",
  generation: 1,
  head: HEAD,
  members: [HEAD],
} as unknown as ReplicaGroup;

describe("GroupFailureDetector", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  describe("checkGroup", () => {
    async function doTest(responses: readonly StatusResponse[]) {
      const lostKeys: string[] = [];
      const remainingResponses = [...responses];
      const records: string[] = [];
      const attempts = new StreamAttempts();
      attempts.add({
        group: GROUP,
        startedAtMs: performance.now(),
        lastEventAtMs: undefined,
        abandon: () => records.push("abandoned"),
      });
      const detector = new GroupFailureDetector({
        groups: {
          onChange: () => {},
          confirmGroup: () => {},
          recordLoss: (key: string) => lostKeys.push(key),
          recordSuspicion: () => records.push("suspected"),
        } as unknown as GroupTable,
        attempts,
        orders: {
          getReport: async () => {
            const [outcome, afterMs] = remainingResponses.shift()!;
            await new Promise((resolve) => setTimeout(resolve, afterMs));
            return outcome;
          },
        } as unknown as GroupOrderClient,
        logger: new NullLogger(),
        announceLoss: () => {},
      });
      const startedAtMs = performance.now();
      const durationPromise = detector.checkGroup(GROUP, "test")
        .then(() => performance.now() - startedAtMs);
      await vi.runAllTimersAsync();
      return { lostKeys, records, tookMs: await durationPromise };
    }

    it.each<[string, readonly StatusResponse[], readonly string[]]>([
      ["the member responds", [[Right(MEMBER_REPORT), 5]], []],
      ["only the second request gets a response", [
        [FAILURE, 300],
        [Right(MEMBER_REPORT), 10],
      ], []],
      ["no request gets a response", [[FAILURE, 300], [FAILURE, 200]], [
        "g1/1",
      ]],
      ["the member is in no group", [
        [Right({ ...MEMBER_REPORT, membership: undefined }), 5],
      ], ["g1/1"]],
    ])(
      "records a loss only when no response confirms the membership: %s",
      async (_, responses, expected) => {
        expect((await doTest(responses)).lostKeys).toEqual(expected);
      },
    );

    /** Runs a detector whose member responds only in the given time, and returns what it recorded. */
    function createSilentMember(
      { silentMs, blockedMs = 0, hasConnected = true }: {
        silentMs: number;
        blockedMs?: number;
        hasConnected?: boolean;
      },
    ) {
      const records: string[] = [];
      const attempts = new StreamAttempts();
      attempts.add({
        group: GROUP,
        startedAtMs: performance.now(),
        lastEventAtMs: performance.now() + 1,
        abandon: () => records.push("abandoned"),
      });
      const startedAtMs = performance.now();
      let reportCount = 0;
      const detector = new GroupFailureDetector({
        groups: {
          onChange: () => {},
          isLost: () => records.includes("lost"),
          listLostKeys: () => [],
          recordLoss: () => records.push("lost"),
          recordSuspicion: () => records.push("suspected"),
          confirmGroup: () => records.push("responds"),
          removeExpiredSuspicions: () => {},
        } as unknown as GroupTable,
        attempts,
        orders: {
          getReport: async (_target: unknown, timeoutMs: number) => {
            reportCount++;
            const blockedUntilMs = performance.now() + blockedMs;
            while (performance.now() < blockedUntilMs) {
              // Blocks the event loop.
            }
            if (performance.now() - startedAtMs > silentMs) {
              return Right(MEMBER_REPORT);
            }
            await new Promise((resolve) => setTimeout(resolve, timeoutMs));
            return Left(
              new ReportTimeoutError("No response arrived", { hasConnected }),
            );
          },
        } as unknown as GroupOrderClient,
        logger: new NullLogger(),
        announceLoss: () => {},
      });
      return { detector, records, countReports: () => reportCount };
    }

    // Guards against streams that are cut, and groups that are taken apart, when a sound server is silent for a second.
    it.each([
      ["accepts connections", true],
      ["does not accept connections", false],
    ])(
      "suspects a group while a member, whose VM %s, is silent for a second",
      async (_, hasConnected) => {
        const { detector, records } = createSilentMember({
          silentMs: 1_000,
          hasConnected,
        });
        const controller = new AbortController();
        void detector.run(controller.signal);
        await vi.advanceTimersByTimeAsync(3_000);
        controller.abort();
        expect(records).toContain("suspected");
        expect(records).toContain("responds");
        expect(records).not.toContain("lost");
      },
    );

    // Callers abandon a stream after a pause of two seconds. A server's silence is no reason to end its streams, which move to another group long before.
    it.each([
      ["accepts connections", true, 2_000],
      ["does not accept connections", false, 1_500],
    ])(
      "records the loss of a group whose member stays silent and whose VM %s, after its streams may move",
      async (_, hasConnected, lossMs) => {
        const { detector, records } = createSilentMember({
          silentMs: Number.POSITIVE_INFINITY,
          hasConnected,
        });
        const controller = new AbortController();
        void detector.run(controller.signal);
        await vi.advanceTimersByTimeAsync(MAX_MOVE_DELAY_MS);
        expect(records).toContain("abandoned");
        expect(records).not.toContain("lost");
        await vi.advanceTimersByTimeAsync(lossMs - MAX_MOVE_DELAY_MS);
        controller.abort();
        expect(records).toContain("lost");
      },
    );

    // Guards against streams that are cut while their group closes as planned, because another request was declined there.
    it("lets the streams of a closing group complete", async () => {
      const { records, lostKeys } = await doTest([[
        Right({
          ...MEMBER_REPORT,
          membership: { ...MEMBER_REPORT.membership!, state: "closing" },
        }),
        5,
      ]]);
      expect(lostKeys).toEqual([]);
      expect(records).toEqual(["suspected"]);
    });

    // Guards against an overloaded daemon that takes its own delay for the silence of a server.
    it("ignores a missing response while the own event loop is late", async () => {
      vi.useRealTimers();
      const { detector, records } = createSilentMember({
        silentMs: Number.POSITIVE_INFINITY,
        blockedMs: 150,
      });
      await detector.checkGroup(GROUP, "test");
      expect(records).toEqual([]);
    });

    it("checks a group once for all callers", async () => {
      const { detector, countReports } = createSilentMember({
        silentMs: 0,
      });
      await vi.advanceTimersByTimeAsync(1);
      await Promise.all(
        Array.from({ length: 5 }, () => detector.checkGroup(GROUP, "test")),
      );
      expect(countReports()).toBe(1);
    });

    // Guards against a check that waits for the timeout of the first request, whose packet was lost, although the second request got a response.
    it("ends as soon as one request gets a response", async () => {
      const { tookMs } = await doTest([[FAILURE, 300], [
        Right(MEMBER_REPORT),
        10,
      ]]);
      expect(tookMs).toBeLessThan(150);
    });

    // Guards against streams that are cut because a sound server, which accepts a limited number of connections, reset that of one status request.
    it("repeats a status request whose connection was reset", async () => {
      const { lostKeys, records } = await doTest([
        [Left(new Error("read ECONNRESET")), 5],
        [Right(MEMBER_REPORT), 5],
      ]);
      expect(lostKeys).toEqual([]);
      expect(records).toEqual([]);
    });

    // Guards against streams that are cut during a planned stop of a member, which stops listening while the head completes them.
    it("lets the streams of a closing group complete whose member has stopped listening", async () => {
      expect(await checkClosingGroup({ silentMs: 0 })).toEqual([]);
    });

    // Guards against streams that stand still until their callers leave, because a member has ended before the head of its closing group has completed them.
    it("moves the silent streams of a closing group whose member has ended", async () => {
      expect(await checkClosingGroup({ silentMs: 700 }))
        .toEqual(["abandoned"]);
    });

    /** Checks a closing group whose other member refuses connections, and returns what happened to its stream. */
    async function checkClosingGroup(
      { silentMs }: { silentMs: number },
    ): Promise<string[]> {
      const records: string[] = [];
      const attempts = new StreamAttempts();
      const group = {
        ...GROUP,
        members: [HEAD, { id: "s2", address: "127.0.0.1:2" } as BackendServer],
      };
      attempts.add({
        group,
        startedAtMs: performance.now() - silentMs,
        lastEventAtMs: performance.now() - silentMs,
        abandon: () => records.push("abandoned"),
      });
      const detector = new GroupFailureDetector({
        groups: {
          onChange: () => {},
          recordLoss: () => records.push("lost"),
          recordSuspicion: () => {},
        } as unknown as GroupTable,
        attempts,
        orders: {
          getReport: ({ serverId }: { serverId: string }) =>
            Promise.resolve(
              serverId === HEAD.id
                ? Right({
                  ...MEMBER_REPORT,
                  membership: {
                    ...MEMBER_REPORT.membership!,
                    state: "closing",
                  },
                })
                : Left(new Error("connect ECONNREFUSED 127.0.0.1:2")),
            ),
        } as unknown as GroupOrderClient,
        logger: new NullLogger(),
        announceLoss: () => {},
      });
      await detector.checkGroup(group, "declined");
      return records;
    }

    // Guards against a response that is discarded although its group had sent all of it before it closed, because the caller reads slowly.
    it("moves the streams of a group that has closed", async () => {
      const { records } = await doTest([[
        Right({
          ...MEMBER_REPORT,
          membership: { ...MEMBER_REPORT.membership!, state: "ready" },
        }),
        5,
      ]]);
      expect(records).toEqual(["abandoned"]);
    });

    // Guards against a group that counts as lost after one missing response, because an earlier silence ended while it was closing.
    it("measures a silence from the last response of a closing group", async () => {
      const lostKeys: string[] = [];
      let state: "silent" | "closing" = "silent";
      const detector = new GroupFailureDetector({
        groups: {
          onChange: () => {},
          recordLoss: (key: string) => lostKeys.push(key),
          recordSuspicion: () => {},
        } as unknown as GroupTable,
        attempts: new StreamAttempts(),
        orders: {
          getReport: async (_target: unknown, timeoutMs: number) => {
            if (state === "closing") {
              return Right({
                ...MEMBER_REPORT,
                membership: { ...MEMBER_REPORT.membership!, state },
              });
            }
            await new Promise((resolve) => setTimeout(resolve, timeoutMs));
            return Left(
              new ReportTimeoutError("No response arrived", {
                hasConnected: true,
              }),
            );
          },
        } as unknown as GroupOrderClient,
        logger: new NullLogger(),
        announceLoss: () => {},
      });
      const check = async () => {
        const result = detector.checkGroup(GROUP, "test");
        await vi.advanceTimersByTimeAsync(500);
        await result;
      };
      await check();
      state = "closing";
      await check();
      state = "silent";
      await vi.advanceTimersByTimeAsync(1_000);
      await check();
      expect(lostKeys).toEqual([]);
    });
  });
});
