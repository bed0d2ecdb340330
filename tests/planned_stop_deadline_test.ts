import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

/** Time after the start of a stop at which the load balancer has noticed it, but the daemon still accepts requests, in milliseconds. */
const LATE_IN_STOP_MS = 3_000;
/** Time in which a server of these tests would respond, in milliseconds; longer than the rest of the stop. */
const SLOW_RESPONSE_MS = 6_000;
const EVENTS_PER_STREAM = 20;

describe("deadlines in a planned stop", () => {
  let deployment: PlatformDeployment;

  afterEach(() => deployment.dispose());

  /** Starts one daemon whose servers all respond slowly once it serves. */
  async function startSlowDeployment(): Promise<void> {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
    for (const server of deployment.fleet.values()) {
      server.eventMs = SLOW_RESPONSE_MS / EVENTS_PER_STREAM;
      server.responseMs = SLOW_RESPONSE_MS;
    }
  }

  function callBooking(deadlineMs: number) {
    return deployment.call(deployment.callerAddresses[0], {
      method: "GET",
      path: "/book/1",
      headers: { "Deadline-Ms": String(deadlineMs) },
    });
  }

  // Guards against a request that is accepted late in a planned stop and cut at its end, since its deadline lies after it.
  it("refuses a late request that may outlast the stop", async () => {
    await startSlowDeployment();
    const { daemons, runs } = deployment;
    const runsBefore = runs.length;
    const stopPromise = daemons[0].stop();
    // Keeps the stop going until the late requests arrive.
    const earlyResponse = callBooking(SLOW_RESPONSE_MS);
    await delay(LATE_IN_STOP_MS);
    const lateResponses = await Promise.all([
      deployment.callModel(),
      callBooking(SLOW_RESPONSE_MS),
    ]);
    await Promise.all([stopPromise, earlyResponse]);
    expect(lateResponses.map(({ status }) => status)).toEqual([503, 503]);
    expect(runs.length).toBe(runsBefore + 1);
  });

  // Guards against a connection that closes without an answer while the server of the request is still at work.
  it("answers a request that still runs at the end of the stop", async () => {
    await startSlowDeployment();
    const [daemon] = deployment.daemons;
    const stopPromise = daemon.stop();
    await delay(2_000);
    const response = await callBooking(SLOW_RESPONSE_MS);
    await stopPromise;
    expect(response.status).toBe(502);
    expect(JSON.parse(response.body)).toMatchObject({
      code: "shutting-down",
      verdict: "may-have-run",
    });
  });
});
