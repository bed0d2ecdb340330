import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Number of requests that are reset; more than the crashes after which a request, or a part of its prompt, is refused. */
const RESET_REQUESTS = 8;
/** Time in which a daemon judges the parts of a prompt, in milliseconds. */
const JUDGEMENT_MS = 3_000;
const SHARED_PART = "5ca1ab1e";

// Guards against sound requests that are refused for a minute, because servers that reset connections above their limit were taken for crashed.
describe("sound model servers that reset connections", () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 12 });
    await deployment.waitUntilServing();
  });
  afterEach(() => deployment.dispose());

  it.each([
    ["streams", 0],
    ["streams and status requests", Number.POSITIVE_INFINITY],
  ])("do not make a request suspected when they reset %s", async (
    _,
    reportsToReset,
  ) => {
    const servers = [...deployment.fleet.values()];
    servers.forEach((server) => {
      server.responsesToLose = Number.POSITIVE_INFINITY;
      server.reportsToReset = reportsToReset;
    });
    const callModel = (lastPart: string) =>
      deployment.callModel(undefined, {
        headers: { "Prompt-Prefix": `${SHARED_PART}:40,${lastPart}:40` },
      });
    for (let i = 0; i < RESET_REQUESTS; i++) {
      expect((await callModel(`a${i}`)).isWhole).toBe(false);
    }
    servers.forEach((server) => {
      server.responsesToLose = 0;
      server.reportsToReset = 0;
    });
    await delay(JUDGEMENT_MS);
    await waitUntil(async () => (await deployment.callModel()).isWhole);
    expect((await callModel("next")).isWhole).toBe(true);
    expect(
      deployment.events.filter(({ event }) =>
        event === "crash-recorded" || event === "prompt-part-refused"
      ),
    ).toEqual([]);
  }, 40_000);
});
