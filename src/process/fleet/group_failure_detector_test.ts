import { type Either, Left, Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { GroupOrderClient } from "../../connection/group_order_client.ts";
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

/** Response to one status request: its outcome and its delay in milliseconds. */
type StatusResponse = readonly [
  outcome: Either<Error, BackendReport>,
  afterMs: number,
];

describe("GroupFailureDetector", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  describe("checkGroup", () => {
    async function doTest(responses: readonly StatusResponse[]) {
      const head = { id: "s1", address: "127.0.0.1:1" } as BackendServer;
      const group = {
        key: "g1/1",
        name: "g1",
        generation: 1,
        head,
        members: [head],
      } as unknown as ReplicaGroup;
      const lostKeys: string[] = [];
      const remainingResponses = [...responses];
      const detector = new GroupFailureDetector({
        groups: {
          onChange: () => {},
          recordLoss: (key: string) => lostKeys.push(key),
        } as unknown as GroupTable,
        attempts: new StreamAttempts(),
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
      const durationPromise = detector.checkGroup(group, "test")
        .then(() => performance.now() - startedAtMs);
      await vi.runAllTimersAsync();
      return { lostKeys, tookMs: await durationPromise };
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

    // Guards against a check that waits for the timeout of the first request, whose packet was lost, although the second request got a response.
    it("ends as soon as one request gets a response", async () => {
      const { tookMs } = await doTest([[FAILURE, 300], [
        Right(MEMBER_REPORT),
        10,
      ]]);
      expect(tookMs).toBeLessThan(150);
    });
  });
});
