import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 60;

// Guards against a stream that is cut although its server goes on, because its group was never tried again and no other one was left.
describe("a sound server that resets the connection of a stream", () => {
  let deployment: PlatformDeployment;

  beforeAll(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 2, eventMs: EVENT_MS });
    await addServer("m2");
  });
  afterAll(() => deployment.dispose());

  async function addServer(id: string): Promise<void> {
    await deployment.addServer({
      id,
      service: "models",
      zone: "z1",
      domain: "z1-d0",
      eventMs: EVENT_MS,
    });
  }

  /** Resets the connection of a stream after three events, and returns the response and the ids of its events. */
  async function doTest() {
    const { runs, fleet } = deployment;
    await deployment.waitUntilServing();
    const runsBefore = runs.length;
    const call = deployment.callModel();
    await waitUntil(() => runs.length > runsBefore);
    await delay(3 * EVENT_MS);
    fleet.get(runs.at(-1)!.serverId)!.abortStreams();
    const { status, isWhole, body } = await call;
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    return { status, isWhole, ids };
  }

  const WHOLE_RESPONSE = {
    status: 200,
    isWhole: true,
    ids: Array.from({ length: 20 }, (_, i) => i + 1),
  };

  it("continues it when no other group serves the model", async () => {
    expect(await doTest()).toEqual(WHOLE_RESPONSE);
  }, 15_000);

  it("continues it when the route permits no second server", async () => {
    await addServer("m4");
    await addServer("m6");
    deployment.writeConfig({
      Routes: createPlatformConfig(1).Routes.map((route) => ({
        ...route,
        MaxAttempts: 1,
      })),
    });
    await waitUntil(() =>
      [...deployment.fleet.values()].filter(({ group }) =>
        group?.rank === 0 && group.State === "open"
      ).length === 2
    );
    await waitUntil(() =>
      deployment.events.some(({ event, fields }) =>
        event === "config-in-force" && fields.version === 2
      )
    );
    expect(await doTest()).toEqual(WHOLE_RESPONSE);
  }, 30_000);
});
