import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Number of daemons in the zone; `HUBS` of them are hubs, which read the store for the others. */
const DAEMONS = 14;
const HUBS = 2;
/** Time limit for a change to be in force on every daemon, in milliseconds. */
const CHANGE_TIMEOUT_MS = 3_000;

describe("platform hubs", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  /** Starts the daemons and waits until only the hubs read the store, and the planner if it is not a hub. */
  async function startDeployment(): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons: DAEMONS, models: 8 });
    await deployment.waitUntilServing();
    const { store } = deployment;
    await waitUntil(() =>
      store.countWatches("config") <= HUBS + 1 &&
      store.countWatches("servers") <= HUBS + 1
    );
    return deployment;
  }

  function countInForce(deployment: PlatformDeployment, version: number) {
    return deployment.events.filter(({ event, fields }) =>
      event === "config-in-force" && fields.version === version
    ).length;
  }

  it(
    "puts a configuration into force on members that do not read the store",
    async () => {
      const deployment = await startDeployment();
      deployment.writeConfig({});
      await waitUntil(
        () => countInForce(deployment, 2) === DAEMONS,
        CHANGE_TIMEOUT_MS,
      );
      expect(deployment.store.countWatches("config"))
        .toBeLessThanOrEqual(HUBS + 1);
    },
    60_000,
  );

  it("keeps members up to date while both hubs stop", async () => {
    const deployment = await startDeployment();
    const stopPromises = deployment.daemons.slice(0, HUBS).map((d) => d.stop());
    await delay(500);
    deployment.writeConfig({});
    deployment.store.putObject("evacuations", "z2", {});
    await waitUntil(
      () => countInForce(deployment, 2) >= DAEMONS - HUBS,
      CHANGE_TIMEOUT_MS,
    );
    await Promise.all(stopPromises);
    deployment.writeConfig({});
    await waitUntil(
      () => countInForce(deployment, 3) >= DAEMONS - HUBS,
      CHANGE_TIMEOUT_MS,
    );
    const exclusionEvents = deployment.events.filter(({ event }) =>
      event === "zones-excluded"
    );
    expect(exclusionEvents.length).toBeGreaterThanOrEqual(DAEMONS - HUBS);
  }, 60_000);

  it(
    "lets members serve a group that was formed after they stopped reading the store",
    async () => {
      const deployment = await startDeployment();
      for (const [id, server] of deployment.fleet) {
        if (/^m[0246]$/.test(id)) {
          server.crash();
          deployment.store.deleteObject("servers", id);
        }
      }
      for (let i = 8; i < 16; i += 2) {
        const id = `m${i}`;
        await deployment.addServer({
          id,
          service: "models",
          zone: "z1",
          domain: "z1-d1",
        });
      }
      deployment.store.putObject("evacuations", "z2", {});
      const isNewServer = (id: string) => /^m(8|10|12|14)$/.test(id);
      for (const callerAddress of deployment.callerAddresses) {
        await waitUntil(async () => {
          const { isWhole } = await deployment.callModel(callerAddress);
          return isWhole && isNewServer(deployment.runs.at(-1)!.serverId);
        });
      }
    },
    60_000,
  );
});
