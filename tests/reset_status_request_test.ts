import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 100;

// Servers reset connections beyond their maximum. A status request that met this counted as proof that the server had ended, and all streams of its group were cut.
describe("a sound server that resets a connection", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 2, eventMs: EVENT_MS });
    await deployment.addServer({
      id: "m2",
      service: "models",
      zone: "z1",
      domain: "z1-d0",
      eventMs: EVENT_MS,
    });
    const { Routes } = createPlatformConfig(1);
    deployment.writeConfig({
      Routes: Routes.map((route) => ({ ...route, Resumable: false })),
    });
    await deployment.waitUntilServing();
  });
  afterEach(() => deployment.dispose());

  it("keeps the other streams of its group", async () => {
    const { runs, fleet } = deployment;
    const runsBefore = runs.length;
    const stream = deployment.callModel();
    await waitUntil(() => runs.length > runsBefore);
    await delay(3 * EVENT_MS);
    const head = fleet.get(runs.at(-1)!.serverId)!;
    head.responsesToLose = 1;
    head.reportsToReset = 1;
    const cutStream = deployment.callModel();
    expect((await cutStream).isWhole).toBe(false);
    const { status, isWhole } = await stream;
    expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
  });
});
