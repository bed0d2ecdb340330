import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { createBackendServer } from "../../../tests/support/backend_servers.ts";
import { createRequestScope } from "../../../tests/support/routed_requests.ts";
import { BackendError } from "../../connection/backend_transport.ts";
import { ServerLoads } from "../../process/fleet/server_loads.ts";
import { RequestError } from "../../shared/errors.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { RouteKind } from "../../version/routing_config.ts";
import { ServiceRequestForwarder } from "./service_request_forwarder.ts";

const MAX_ATTEMPTS = 2;

describe("ServiceRequestForwarder", () => {
  describe("run", () => {
    /** Lets servers answer with the statuses in turn, a reset for "reset", and gets what the caller sees. */
    async function doTest(
      { kind, answers, hasBudget = true }: {
        kind: RouteKind;
        answers: readonly (number | "reset")[];
        hasBudget?: boolean;
      },
    ): Promise<{ status: number | undefined; sent: number }> {
      let sent = 0;
      let status: number | undefined;
      const servers = answers.map((_, i) =>
        createBackendServer({ id: `s${i}` })
      );
      const context = {
        logger: new NullLogger(),
        settings: { zone: "z" },
        serverLoads: new ServerLoads(),
        coldLimits: { isOpen: () => true, record: () => {} },
        directory: { listServers: () => servers },
        getExcludedZones: () => new Set(),
        getRepeatBudget: () => ({ tryAcquire: () => hasBudget }),
        transport: {
          send: () => {
            const answer = answers[sent++];
            return answer === "reset"
              ? Promise.reject(
                new BackendError("The connection was reset", {
                  kind: "reset",
                  verdict: "may-have-run",
                }),
              )
              : Promise.resolve({
                status: answer,
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
          sendResponse: (given) => {
            status = given;
          },
        },
      });
      try {
        await new ServiceRequestForwarder(scope).run();
      } catch (error) {
        status = (error as RequestError).status;
      }
      return { status, sent };
    }

    it.each(
      [
        ["passes an answer on", [200, 200], 200, 1],
        ["sends once more what a server failed", [500, 200, 200], 200, 2],
        ["keeps to the attempts of the route", [500, 500, 200], 500, 2],
        ["passes a failure on rather than none", [500, "reset", 200], 500, 2],
        ["leaves a refusal of the request as it is", [400, 200], 400, 1],
        ["does not repeat what ran out of time", [504, 200], 504, 1],
        ["sends once more what was reset", ["reset", 200], 200, 2],
      ] as const,
    )("%s, if idempotent", async (_name, answers, status, sent) => {
      expect(await doTest({ kind: "idempotent", answers }))
        .toEqual({ status, sent });
    });

    it.each(
      [
        ["a failure", [500, 200], 500],
        ["a reset", ["reset", 200], 502],
      ] as const,
    )(
      "never repeats a call that is not idempotent after %s",
      async (_name, answers, status) => {
        expect(await doTest({ kind: "non-idempotent", answers }))
          .toEqual({ status, sent: 1 });
      },
    );

    it("passes a failure on when the budget of repeats is used up", async () => {
      const answers = [500, 200];
      const hasBudget = false;
      expect(await doTest({ kind: "idempotent", answers, hasBudget }))
        .toEqual({ status: 500, sent: 1 });
    });
  });
});
