import { type Either, Left, Right } from "purify-ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createBackendServer,
  MEMBER_REPORT,
} from "../../../tests/support/backend_servers.ts";
import { ReportTimeoutError } from "../../connection/group_order_client.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import { LoopDelayMeter } from "./loop_delay_meter.ts";
import type { MemberOrderExecutor } from "./member_order_executor.ts";
import { OtherProcessError } from "./other_process_error.ts";
import { SurvivorProber } from "./survivor_prober.ts";

const SERVER = createBackendServer();
const GROUP_KEY = "g1/1";
/** Time after which a probe without a response ends, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Interval between two questions to the prober, in milliseconds. */
const PLAN_INTERVAL_MS = 50;

const RESPONSE = Right(MEMBER_REPORT);
const NO_RESPONSE = Left(
  new ReportTimeoutError("No response", { hasConnected: true }),
);
const REFUSAL = Left(new Error("The connection was refused"));

describe("SurvivorProber", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
    vi.restoreAllMocks();
  });

  function createProber(
    getResponse: () => Either<Error, BackendReport>,
  ): { prober: SurvivorProber; countProbes(): number } {
    let probeCount = 0;
    const orders = {
      requestState: async () => {
        probeCount++;
        const response = getResponse();
        const isSilent = response.isLeft() &&
          response.extract() instanceof ReportTimeoutError;
        await new Promise((resolve) =>
          setTimeout(resolve, isSilent ? REPORT_TIMEOUT_MS : 1)
        );
        return response;
      },
    } as unknown as MemberOrderExecutor;
    return {
      prober: new SurvivorProber({ orders }),
      countProbes: () => probeCount,
    };
  }

  describe("getState", () => {
    /** Gets the state of a member after it has been asked for repeatedly. */
    async function doTest(
      prober: SurvivorProber,
      durationMs: number,
      options: {
        server?: BackendServer;
        isLost?: boolean;
        mustRepeat?: boolean;
        isRemoved?: boolean;
      } = {},
    ) {
      const getState = () =>
        prober.getState(GROUP_KEY, options.server ?? SERVER, {
          isLost: options.isLost ?? true,
          mustRepeat: options.mustRepeat ?? true,
          isRemoved: options.isRemoved,
        });
      for (let passedMs = 0; passedMs < durationMs;) {
        getState();
        await vi.advanceTimersByTimeAsync(PLAN_INTERVAL_MS);
        passedMs += PLAN_INTERVAL_MS;
      }
      return getState();
    }

    it("is known after the first response", async () => {
      const { prober } = createProber(() => RESPONSE);
      expect(await doTest(prober, 100)).toBe("alive");
    });

    it("shows the end of a process at once", async () => {
      const { prober } = createProber(() => REFUSAL);
      expect(await doTest(prober, 100)).toBe("ended");
    });

    // Guards against groups of sound servers that are taken apart for a silence of a second or two.
    // Guards against members that join another group while a draining head, which no longer listens, completes its streams.
    it("does not take a draining member that refuses connections for ended", async () => {
      const { prober } = createProber(() => REFUSAL);
      const server = { ...SERVER, isDraining: true };
      expect(await doTest(prober, 3_000, { server })).toBe("unknown");
    });

    // Guards against members that join another group while a removed server, which has only stopped listening, completes its streams.
    it("does not take a removed member that refuses connections for ended", async () => {
      const { prober } = createProber(() => REFUSAL);
      expect(await doTest(prober, 3_000, { isRemoved: true })).toBe("refused");
    });

    // Guards against a group that waits for a member whose end was known before its entry was removed.
    it("keeps the end of a process that was known before the removal", async () => {
      const { prober } = createProber(() => REFUSAL);
      await doTest(prober, 100);
      expect(await doTest(prober, 3_000, { isRemoved: true })).toBe("ended");
    });

    it("shows the end of a removed member whose address another process uses", async () => {
      const { prober } = createProber(() =>
        Left(new OtherProcessError(SERVER.id))
      );
      expect(await doTest(prober, 100, { isRemoved: true })).toBe("ended");
    });

    it("does not count a member as silent within two seconds", async () => {
      const { prober } = createProber(() => NO_RESPONSE);
      expect(await doTest(prober, 1_950)).toBe("unknown");
      expect(await doTest(prober, 650)).toBe("silent");
    });

    it("starts the time of a silence again with each response", async () => {
      let response: Either<Error, BackendReport> = NO_RESPONSE;
      const { prober } = createProber(() => response);
      await doTest(prober, 1_500);
      response = RESPONSE;
      expect(await doTest(prober, 600)).toBe("alive");
      response = NO_RESPONSE;
      // A member that has responded is probed again after a second.
      expect(await doTest(prober, 2_500)).not.toBe("silent");
    });

    it("counts the silence from the suspicion of the group on", async () => {
      const { prober } = createProber(() => NO_RESPONSE);
      await doTest(prober, 1_500, { isLost: false });
      expect(await doTest(prober, 1_100)).toBe("silent");
    });

    it("asks again after the loss of a group whose member responded before", async () => {
      let response: Either<Error, BackendReport> = RESPONSE;
      const { prober, countProbes } = createProber(() => response);
      expect(await doTest(prober, 3_000, { isLost: false, mustRepeat: false }))
        .toBe("alive");
      expect(countProbes()).toBe(1);
      response = NO_RESPONSE;
      expect(await doTest(prober, 100)).toBe("unknown");
      expect(countProbes()).toBe(2);
    });

    // Guards against a daemon that takes sound groups apart because its own event loop was blocked.
    it("does not count a missing response while the event loop is late", async () => {
      vi.spyOn(LoopDelayMeter.prototype, "stop").mockReturnValue(100);
      const { prober } = createProber(() => NO_RESPONSE);
      expect(await doTest(prober, 4_000)).toBe("unknown");
    });
  });
});
