import { afterEach, describe, expect, it } from "vitest";
import { PlatformDeployment } from "./support/platform_deployment.ts";

const DAEMONS = 5;
/** Time limit for the links between all daemons, in milliseconds; far below the interval at which daemons list the registrations again. */
const LINK_TIMEOUT_MS = 10_000;
/** Time before a registration takes effect, in milliseconds; longer than the daemons take to start. */
const WRITE_DELAY_MS = 400;

describe("daemons that start at the same time", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  // Guards against daemons that list the registrations before the others have registered, and find them only with the next list.
  it("are all linked with one another", async () => {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons: 0, models: 0 });
    deployment.store.writeDelayMs = WRITE_DELAY_MS;
    await Promise.all(
      Array.from(
        { length: DAEMONS },
        (_, i) => deployment.startDaemon(`entry-${i}`),
      ),
    );
    await deployment.waitUntilLinked(LINK_TIMEOUT_MS);
    expect(deployment.countLinks()).toBe(DAEMONS * (DAEMONS - 1));
  }, 30_000);
});
