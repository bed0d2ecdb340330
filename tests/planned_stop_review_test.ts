import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";

/** Time after the start of a stop at which an idle daemon ends, in milliseconds. */
const IDLE_END_MS = 2_500;

describe("end of a planned stop", () => {
  let deployment: PlatformDeployment;

  afterEach(() => deployment.dispose());

  async function startDeployment(): Promise<void> {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
  }

  // Guards against a request that is sent to a server while an idle daemon waits for the release of its lease, and cut when the daemon ends.
  it("answers a request that arrives while the lease is released", async () => {
    await startDeployment();
    for (const server of deployment.fleet.values()) {
      server.responseMs = 1_000;
    }
    const runsBefore = deployment.runs.length;
    deployment.store.fault = "silent";
    const stopPromise = deployment.daemons[0].stop();
    await delay(IDLE_END_MS + 100);
    const response = await deployment.call(deployment.callerAddresses[0], {
      method: "GET",
      path: "/book/1",
    });
    deployment.store.fault = "none";
    await stopPromise;
    const runCount = deployment.runs.length - runsBefore;
    expect([[200, 1], [503, 0]]).toContainEqual([response.status, runCount]);
  });
});
