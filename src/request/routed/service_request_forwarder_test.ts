import { Buffer } from "node:buffer";
import { describe, expect, it, vi } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { createRequestScope } from "../../../tests/support/routed_requests.ts";
import { BackendError } from "../../connection/backend_transport.ts";
import { CrashCounter } from "../../process/fleet/crash_counter.ts";
import { ServerLoads } from "../../process/fleet/server_loads.ts";
import { ServiceWaits } from "../../process/waiting/service_waits.ts";
import { RequestError } from "../../shared/errors.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { RouteKind } from "../../version/routing_config.ts";
import { ServiceRequestForwarder } from "./service_request_forwarder.ts";

const MAX_ATTEMPTS = 2;
/** Time until a late response, in milliseconds; more than half of the time of a request. */
const RESPONSE_DELAY_MS = 6_000;

describe("ServiceRequestForwarder", () => {
  describe("run", () => {
    /** Responds to the attempts in turn with the given statuses, late with the status 200, or resets the connection, and returns the caller's status and the number of attempts. */
    async function doTest(
      { kind, outcomes, hasBudget = true }: {
        kind: RouteKind;
        outcomes: readonly (number | "reset" | "late")[];
        hasBudget?: boolean;
      },
    ): Promise<{ status: number | undefined; attemptCount: number }> {
      let attemptCount = 0;
      let status: number | undefined;
      const servers = outcomes.map((_, i) =>
        createBackendServer({ id: `s${i}` })
      );
      const context = {
        serverLimits: {
          recordResponse: () => {},
          recordRequest: () => {},
          getWaitMs: () => 0,
        },
        serverStatements: { recordResponse: () => {}, getWaitMs: () => 0 },
        logger: new NullLogger(),
        settings: { zone: "z" },
        serverLoads: new ServerLoads(),
        coldLimits: { isBelowLimit: () => true, recordRequest: () => {} },
        crashes: new CrashCounter(),
        directory: { listServers: () => servers },
        getExcludedZones: () => new Set(),
        getRetryBudget: () => ({ tryAcquire: () => hasBudget }),
        transport: {
          isAccepting: () => Promise.resolve(true),
          send: async (_target: unknown, call: { signal: AbortSignal }) => {
            const outcome = outcomes[attemptCount++];
            if (outcome === "late") {
              await waitUntilAborted(call.signal, RESPONSE_DELAY_MS);
            }
            return outcome === "reset"
              ? Promise.reject(
                new BackendError("The connection was reset", {
                  kind: "reset",
                  verdict: "may-have-run",
                }),
              )
              : Promise.resolve({
                status: outcome === "late" ? 200 : outcome,
                headers: [],
                verdict: "ran",
                body: [Buffer.from("body")],
              });
          },
        },
      };
      const scope = createRequestScope({
        context,
        route: { kind, maxAttempts: MAX_ATTEMPTS },
        writer: {
          sendResponse: (responseStatus) => {
            status = responseStatus;
          },
        },
      });
      try {
        await new ServiceRequestForwarder(scope).run();
      } catch (error) {
        status = (error as RequestError).status;
      }
      return { status, attemptCount };
    }

    it.each(
      [
        ["forwards a response", [200, 200], 200, 1],
        ["retries after a server error", [500, 200, 200], 200, 2],
        ["stops at the route's attempt limit", [500, 500, 200], 500, 2],
        [
          "forwards an earlier server error after a connection reset",
          [500, "reset", 200],
          500,
          2,
        ],
        ["forwards a client error without a retry", [400, 200], 400, 1],
        ["forwards a gateway timeout without a retry", [504, 200], 504, 1],
        ["retries after a connection reset", ["reset", 200], 200, 2],
      ] as const,
    )(
      "%s (idempotent request)",
      async (_name, outcomes, status, attemptCount) => {
        expect(await doTest({ kind: "idempotent", outcomes }))
          .toEqual({ status, attemptCount });
      },
    );

    it.each(
      [
        ["a server error", [500, 200], 500],
        ["a connection reset", ["reset", 200], 502],
      ] as const,
    )(
      "never retries a request that is not idempotent after %s",
      async (_name, outcomes, status) => {
        expect(await doTest({ kind: "non-idempotent", outcomes }))
          .toEqual({ status, attemptCount: 1 });
      },
    );

    // Guards against callers that return before a slot is free, and against a setting that does not restore the constant time.
    it.each([
      ["the durations that were measured", true, 500],
      ["a constant", false, 200],
    ])("asks to return after a time from %s", async (_name, isMeasured, ms) => {
      const serviceWaits = new ServiceWaits();
      const scope = createRequestScope({
        context: {
          serverLimits: { getWaitMs: () => 0 },
          serverStatements: { getWaitMs: () => 0 },
          settings: { zone: "z" },
          serverLoads: new ServerLoads(),
          coldLimits: { isBelowLimit: () => false },
          crashes: new CrashCounter(),
          directory: {
            listServers: () => [createBackendServer({ slots: 1 })],
          },
          getExcludedZones: () => new Set(),
          serviceWaits: isMeasured ? serviceWaits : undefined,
        },
        route: { kind: "idempotent", maxAttempts: MAX_ATTEMPTS },
      });
      for (let i = 0; i < 10; i++) {
        serviceWaits.recordDuration(scope.service.name, 500);
      }
      const error = await new ServiceRequestForwarder(scope).run()
        .catch((error: unknown) => error);
      const { retryAfterMs } = error as RequestError;
      expect(retryAfterMs).toBeGreaterThanOrEqual(ms);
      expect(retryAfterMs).toBeLessThanOrEqual(isMeasured ? 3 * ms : ms);
    });

    // Guards against a statement that counts only in some kinds of response, or only when the body arrives, and against a fast error or a response that is cut that counts as the speed of the server.
    it.each([
      ["a success", 200, "ran", false],
      ["a server error", 500, "ran", false],
      ["a refusal", 503, "not-run", false],
      ["a misdirected request", 421, "not-run", false],
      ["a response that is cut", 200, "ran", true],
    ])(
      "records what a server states in %s, and its duration if it is a success",
      async (_name, status, verdict, isCut) => {
        const servers = [createBackendServer({ id: "s0" })];
        const recorded: unknown[] = [];
        const observedSuccesses: boolean[] = [];
        const response = {
          status,
          headers: [],
          verdict,
          isServerLeaving: true,
          pause: "none",
          body: {
            [Symbol.asyncIterator]: () => ({
              next: () =>
                isCut
                  ? Promise.reject(
                    new BackendError("The connection was reset", {
                      kind: "reset",
                      verdict: "may-have-run",
                    }),
                  )
                  : Promise.resolve({ done: true }),
            }),
          },
        };
        const scope = createRequestScope({
          context: {
            serverLimits: {
              recordResponse: () => {},
              recordRequest: () => {},
              getWaitMs: () => 0,
            },
            serverStatements: {
              recordResponse: (...args: unknown[]) => recorded.push(args),
              getWaitMs: () => 0,
            },
            logger: new NullLogger(),
            settings: { zone: "z" },
            serverLoads: new ServerLoads(),
            concurrency: {
              startCall: () => ({
                finish: (isSuccess: boolean) =>
                  observedSuccesses.push(isSuccess),
              }),
            },
            coldLimits: { isBelowLimit: () => true, recordRequest: () => {} },
            crashes: new CrashCounter(),
            directory: { listServers: () => servers },
            getExcludedZones: () => new Set(),
            getRetryBudget: () => ({ tryAcquire: () => false }),
            transport: {
              send: () => Promise.resolve(response),
              isAccepting: () => Promise.resolve(true),
            },
          },
          route: { kind: "idempotent", maxAttempts: MAX_ATTEMPTS },
          writer: { sendResponse: () => {} },
        });
        await new ServiceRequestForwarder(scope).run().catch(() => {});
        expect(recorded).toEqual([[servers[0], response]]);
        expect(observedSuccesses).toEqual([
          status === 200 && verdict === "ran" && !isCut,
        ]);
      },
    );

    // Guards against a request that fails although its server, which is only silent, would have answered in time.
    it.each([
      ["goes on when the retry budget is exhausted", false, 1],
      ["moves to another server when a retry is left", true, 2],
    ])(
      "%s after half of its time",
      async (_name, hasBudget, attemptCount) => {
        vi.useFakeTimers();
        try {
          const result = doTest({
            kind: "idempotent",
            outcomes: ["late", 200],
            hasBudget,
          });
          await vi.advanceTimersByTimeAsync(RESPONSE_DELAY_MS);
          expect(await result).toEqual({ status: 200, attemptCount });
        } finally {
          vi.useRealTimers();
        }
      },
    );

    it("forwards a server error when the retry budget is exhausted", async () => {
      const outcomes = [500, 200];
      const hasBudget = false;
      expect(await doTest({ kind: "idempotent", outcomes, hasBudget }))
        .toEqual({ status: 500, attemptCount: 1 });
    });
  });
});

/** Waits for a time, and fails if the signal aborts before its end. */
async function waitUntilAborted(
  signal: AbortSignal,
  timeoutMs: number,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(resolve, timeoutMs);
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      reject(
        new BackendError("The attempt was aborted", {
          kind: "aborted",
          verdict: "may-have-run",
        }),
      );
    });
  });
}
