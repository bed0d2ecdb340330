import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const HEAD_IDS = ["m0", "m1", "m2", "m3"];

describe("a refusal that a server sends a second time", () => {
  let deployment: PlatformDeployment;

  /** Starts a daemon whose streams may be resumed or not, with a group in each of two zones. */
  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  function setResumable(isResumable: boolean): void {
    const routes = createPlatformConfig(0).Routes.map((route) =>
      route.Kind === "streaming" ? { ...route, Resumable: isResumable } : route
    );
    deployment.writeConfig({ Routes: routes });
  }

  function listServers() {
    return HEAD_IDS.map((id) => deployment.fleet.get(id)!);
  }

  /** Sends a stream that each head refuses once for a short time, and returns the response and the number of its runs. */
  async function doTest(isResumable: boolean) {
    setResumable(isResumable);
    await waitUntil(() =>
      deployment.events.filter(({ event }) => event === "config-in-force")
        .length >= 2
    );
    listServers().forEach((server) => {
      server.retryAfter = "0.5";
      server.refusalsToRepeat = 1;
    });
    const runsBefore = deployment.runs.length;
    const responsePromise = deployment.callModel();
    await waitUntil(() =>
      listServers().some(({ refusedAtMs }) => refusedAtMs.length > 0)
    );
    listServers().forEach((server) => server.retryAfter = undefined);
    const response = await responsePromise;
    return { response, runs: deployment.runs.length - runsBefore };
  }

  // Guards against a stream that fails, and cannot be repeated, since a copy of the refusal of another request arrives on its connection.
  it("does not break another stream that may not be resumed", async () => {
    const { response } = await doTest(false);
    expect(response.isWhole).toBe(true);
    const responses: CallerResponse[] = [];
    for (let i = 0; i < 8; i++) {
      responses.push(await deployment.callModel());
    }
    expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
  });

  // Guards against a stream that runs twice: the second copy of a refusal is taken for the response to the repeated request, which has the same id, and the request is sent a third time.
  it.each([[false], [true]])(
    "is not taken for the response to the repeated request, resumable: %s",
    async (isResumable) => {
      const { response, runs } = await doTest(isResumable);
      expect(response.isWhole).toBe(true);
      expect(runs).toBe(1);
    },
  );
});
