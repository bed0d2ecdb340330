import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
} from "./support/platform_deployment.ts";

/** Time that callers give a request, in milliseconds. */
const DEADLINE_MS = 3_000;
/** Time after its deadline at which a request has ended, in milliseconds. */
const DEADLINE_MARGIN_MS = 500;
/** Time between two requests to a daemon, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Time for which requests are sent before and after a silence, in milliseconds. */
const MARGIN_MS = 500;

interface TimedResponse extends CallerResponse {
  readonly requestId: string;
  readonly tookMs: number;
}

// Guards against requests that get neither the answer of their server, which is only silent, nor a true refusal.
describe("requests to a plain service whose servers are silent", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 2, models: 4 });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
  });
  afterEach(() => deployment.dispose());

  async function sendRequest(
    callerAddress: string,
    method: "GET" | "POST",
    requestId: string,
  ): Promise<TimedResponse> {
    const startedAtMs = performance.now();
    const response = await deployment.call(callerAddress, {
      method,
      path: method === "GET" ? "/look/1" : "/book/1",
      headers: {
        "Request-Id": requestId,
        "Deadline-Ms": String(DEADLINE_MS),
      },
    });
    return { ...response, requestId, tookMs: performance.now() - startedAtMs };
  }

  /** Sends requests while servers are silent, and returns the responses. */
  async function runRequests(
    serverIds: readonly string[],
    silenceMs: number,
  ): Promise<TimedResponse[]> {
    const responses: Promise<TimedResponse>[] = [];
    let isOver = false;
    const sendRequests = async () => {
      for (let i = 0; !isOver; i++) {
        deployment.callerAddresses.forEach((callerAddress, daemon) => {
          for (const method of ["GET", "POST"] as const) {
            const requestId = `${method}-${daemon}-${i}`;
            responses.push(sendRequest(callerAddress, method, requestId));
          }
        });
        await delay(REQUEST_INTERVAL_MS);
      }
    };
    const traffic = sendRequests();
    await delay(MARGIN_MS);
    await Promise.all(
      serverIds.map((id) => deployment.fleet.get(id)!.pause(silenceMs)),
    );
    await delay(MARGIN_MS);
    isOver = true;
    await traffic;
    return await Promise.all(responses);
  }

  function checkResponses(responses: readonly TimedResponse[]): void {
    const countRuns = (id: string) =>
      deployment.runs.filter(({ requestId }) => requestId === id).length;
    const failures = responses.filter(
      ({ status, isWhole, tookMs, requestId }) => {
        const isTrueRefusal = status === 503 && countRuns(requestId) === 0;
        return tookMs > DEADLINE_MS + DEADLINE_MARGIN_MS ||
          !(isWhole || isTrueRefusal);
      },
    );
    expect(
      failures.map(({ status, requestId, tookMs, body }) =>
        `${requestId} ${status} after ${Math.round(tookMs)} ms: ${body}`
      ),
    ).toEqual([]);
    const repeatedBookings = responses.filter(({ requestId }) =>
      requestId.startsWith("POST") && countRuns(requestId) > 1
    );
    expect(repeatedBookings).toEqual([]);
  }

  for (const silenceMs of [1_000, 1_500, 2_000]) {
    it(
      `end with an answer when one server is silent for ${silenceMs} ms`,
      async () => {
        checkResponses(await runRequests(["p0"], silenceMs));
      },
      30_000,
    );

    it(
      `end with an answer when both servers are silent for ${silenceMs} ms`,
      async () => {
        checkResponses(await runRequests(["p0", "p1"], silenceMs));
      },
      30_000,
    );

    it(
      `end with an answer when the only server is silent for ${silenceMs} ms`,
      async () => {
        deployment.store.deleteObject("servers", "p1");
        await delay(MARGIN_MS);
        checkResponses(await runRequests(["p0"], silenceMs));
      },
      30_000,
    );
  }
});
