import { describe, expect, it } from "vitest";
import { createRequestScope } from "../../../tests/support/routed_requests.ts";
import { BackendError } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { ReplicaGroup } from "../../process/fleet/group_table.ts";
import { StreamAttempts } from "../../process/fleet/stream_attempts.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { EngineProfile } from "../../version/routing_config.ts";
import { ModelStreamForwarder } from "./model_stream_forwarder.ts";

const MAX_ATTEMPTS = 2;

describe("ModelStreamForwarder", () => {
  describe("run", () => {
    /** Fails every attempt while it runs and returns the group heads that received the request, and the error. */
    async function doTest(
      {
        head,
        failure,
        maxCrashes = Number.POSITIVE_INFINITY,
        promptParts = [],
        isAccepting = false,
      }: {
        head: "listed" | "restarted" | "not listed";
        failure: "silent member" | "reset";
        /** Number of crashes after which the request is refused. */
        maxCrashes?: number;
        promptParts?: readonly string[];
        /** Whether the heads accept connections after the failure. */
        isAccepting?: boolean;
      },
    ): Promise<
      {
        headIds: string[];
        error: unknown;
        checkedParts: readonly string[];
        /** Whether the evidence ended each of the attempts. */
        areAborted: readonly boolean[];
      }
    > {
      let checkedParts: readonly string[] = [];
      const headIds: string[] = [];
      const areAborted: boolean[] = [];
      const attempts = new StreamAttempts();
      const createGroup = (number: number) => ({
        key: `g${number}/1`,
        name: `g${number}`,
        generation: 1,
        head: { id: `s${number}`, startedAtMs: 1 } as BackendServer,
        members: [],
      } as unknown as ReplicaGroup);
      const groups = [1, 2, 3, 4].map(createGroup);
      const context = {
        logger: new NullLogger(),
        metrics: { record: () => {}, count: () => {} },
        attempts,
        crashes: {
          isRefused: () => headIds.length >= maxCrashes,
          recordCrash: () => {},
          countCrashes: () => 0,
        },
        promptParts: {
          findRefusedPart: (parts: readonly string[]) => {
            checkedParts = parts;
          },
        },
        groupFailureDetector: { checkGroup: () => Promise.resolve() },
        directory: {
          findServer: (id: string) =>
            head === "not listed"
              ? undefined
              : { id, startedAtMs: head === "restarted" ? 2 : 1 },
        },
        admission: {
          acquire: (
            { permittedServers }: { permittedServers?: ReadonlySet<string> },
          ) => {
            const index = groups.findIndex(({ head }) =>
              permittedServers?.has(head.id) !== false
            );
            const [group] = index < 0 ? [] : groups.splice(index, 1);
            return group === undefined
              ? Promise.reject(new Error("No group is left"))
              : Promise.resolve({ group, release: () => {} });
          },
        },
        getRetryBudget: () => ({ tryAcquire: () => true }),
        transport: {
          isAccepting: () => Promise.resolve(isAccepting),
          send: (
            { serverId }: { serverId: string },
            { signal }: { signal: AbortSignal },
          ) => {
            headIds.push(serverId);
            const isReset = failure === "reset";
            if (!isReset) {
              const [[key]] = attempts.listByGroup();
              attempts.abandonGroup(key, "a member is silent");
              areAborted.push(signal.aborted);
            }
            return Promise.reject(
              new BackendError("The attempt failed", {
                kind: isReset ? "reset" : "aborted",
                verdict: "may-have-run",
              }),
            );
          },
        },
      };
      const scope = createRequestScope({
        context,
        route: {
          maxAttempts: MAX_ATTEMPTS,
          isResumable: true,
          latencyObjectiveMs: 100,
        },
      });
      const stream = new ModelStreamForwarder(scope, {
        engine: { models: [], slots: 1 } as unknown as EngineProfile,
        modelRequest: {
          model: "m",
          promptTokens: 1,
          maxOutputTokens: 1,
          promptParts: promptParts.map((id) => ({ id, tokens: 1 })),
        },
      });
      const error = await stream.run().catch((e: unknown) => e);
      return { headIds, error, checkedParts, areAborted };
    }

    // Guards against a stream that is cut because its server is silent for a moment. Whether the stream moves is tested with StreamMove.
    it("does not end an attempt for what is known of its group", async () => {
      const { areAborted } = await doTest({
        head: "listed",
        failure: "silent member",
      });
      expect(areAborted).toEqual([false, false]);
    });

    // Guards against a caller that is asked to return before any head takes a request.
    it("refuses a request without retry budget with the time until a head takes it", async () => {
      const response = {
        status: 503,
        verdict: "not-run",
        requestLimit: "unlimited",
        isServerLeaving: false,
        pause: 4_000,
        body: [],
      };
      const scope = createRequestScope({
        context: {
          logger: new NullLogger(),
          metrics: { record: () => {} },
          attempts: new StreamAttempts(),
          crashes: { isRefused: () => false },
          promptParts: { findRefusedPart: () => undefined },
          groupFailureDetector: { checkGroup: () => Promise.resolve() },
          serverLimits: { recordResponse: () => {} },
          serverStatements: { recordResponse: () => {} },
          admission: {
            acquire: () =>
              Promise.resolve({
                group: { key: "g1/1", head: { id: "s1" } },
                release: () => {},
              }),
            getRetryAfterMs: () => 4_321,
          },
          getRetryBudget: () => ({ tryAcquire: () => false }),
          transport: { send: () => Promise.resolve(response) },
        },
        route: { maxAttempts: MAX_ATTEMPTS },
      });
      const stream = new ModelStreamForwarder(scope, {
        engine: { models: [], slots: 1 } as unknown as EngineProfile,
        modelRequest: {
          model: "m",
          promptTokens: 1,
          maxOutputTokens: 1,
          promptParts: [],
        },
      });
      await expect(stream.run()).rejects.toMatchObject({
        status: 503,
        verdict: "not-run",
        retryAfterMs: 4_321,
      });
    });

    // Guards against a request that runs more often than its route allows because one group after another loses a member. An expired directory entry does not show that the head has ended: a head that cannot reach the store keeps running.
    it.each(
      [
        [{ head: "listed", failure: "silent member" }],
        [{ head: "listed", failure: "reset" }],
        [{ head: "not listed", failure: "silent member" }],
        [{ head: "not listed", failure: "reset", isAccepting: true }],
      ] as const,
    )("counts an attempt on a head that may still run: %o", async (options) => {
      const { headIds, error } = await doTest(options);
      expect(headIds).toEqual(["s1", "s2"]);
      expect(error).toBeInstanceOf(Error);
    });

    it.each(
      [
        [{ head: "restarted", failure: "silent member" }],
        [{ head: "restarted", failure: "reset" }],
        [{ head: "not listed", failure: "reset" }],
      ] as const,
    )("does not count an attempt on a head that has ended: %o", async (
      options,
    ) => {
      const { headIds, error } = await doTest(options);
      expect(headIds).toEqual(["s1", "s2", "s3", "s4"]);
      expect(error).toBeInstanceOf(Error);
    });

    // Guards against ids that fill the memory of all daemons, which store them.
    it("shortens the ids of prompt parts, and leaves out the last part", async () => {
      const { checkedParts } = await doTest({
        head: "listed",
        failure: "silent member",
        promptParts: ["x".repeat(16_000), "p", "last"],
      });
      expect(checkedParts).toEqual(["x".repeat(128), "p"]);
    });

    // Guards against a status that promises that the request has not run, after a group crashed while running it.
    it.each([
      [0, { status: 503, verdict: "not-run" }],
      [1, { status: 502, verdict: "may-have-run" }],
    ])(
      "refuses a request after %i crashes of its own with %j",
      async (maxCrashes, expected) => {
        const { error } = await doTest({
          head: "listed",
          failure: "reset",
          maxCrashes,
        });
        expect(error).toMatchObject({ code: "quarantined", ...expected });
      },
    );
  });
});
