import { afterEach, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
} from "./support/platform_deployment.ts";

const DAEMONS = 3;
/** Requests per second that a server states. */
const LIMIT = 2;
/** Time from the first statement until the limit has to hold, in milliseconds. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
/** Number of requests that a server may get in each window: one and a half times what it states, and five. */
const MAX_REQUESTS = 1.5 * LIMIT * WINDOW_MS / 1_000 + 5;
/** Interval between two requests of the load, in milliseconds. */
const SEND_INTERVAL_MS = 40;
const LOAD_MS = 9_000;

describe("a server that states a request limit", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  async function startDeployment(): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons: DAEMONS, models: 8, eventMs: 10 });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    return deployment;
  }

  function listHeads(deployment: PlatformDeployment): FakeBackendServer[] {
    return [...deployment.fleet.values()].filter(({ group }) =>
      group?.rank === 0 && group.State === "open"
    );
  }

  /** Sends requests to all daemons in turn, and returns the responses. */
  async function sendLoad(
    deployment: PlatformDeployment,
    send: (callerAddress: string) => Promise<CallerResponse>,
  ): Promise<CallerResponse[]> {
    const responses: Promise<CallerResponse>[] = [];
    const { callerAddresses } = deployment;
    for (let i = 0; i * SEND_INTERVAL_MS < LOAD_MS; i++) {
      responses.push(send(callerAddresses[i % callerAddresses.length]));
      await delay(SEND_INTERVAL_MS);
    }
    return await Promise.all(responses);
  }

  /** Counts the most requests that a server began to run within a window after the limit has to hold. */
  function countMostRequests(
    { runs }: PlatformDeployment,
    serverId: string,
    statedAtMs: number,
  ): number {
    const times = runs.filter((run) =>
      run.serverId === serverId && run.atMs > statedAtMs + CONTACT_MS
    ).map(({ atMs }) => atMs);
    return Math.max(
      0,
      ...times.map((startMs) =>
        times.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
          .length
      ),
    );
  }

  it(
    "gets no more than the limit from all daemons while other groups serve",
    async () => {
      const deployment = await startDeployment();
      const [head] = listHeads(deployment);
      head.requestLimit = LIMIT;
      const statedAtMs = Date.now();
      const responses = await sendLoad(
        deployment,
        (address) => deployment.callModel(address),
      );
      const headId = [...deployment.fleet].find(([, s]) => s === head)![0];
      const requests = countMostRequests(deployment, headId, statedAtMs);
      expect(requests).toBeLessThanOrEqual(MAX_REQUESTS);
      expect(requests).toBeGreaterThan(0);
      expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
    },
    60_000,
  );

  it("gets no more than the limit for calls of a plain service", async () => {
    const deployment = await startDeployment();
    deployment.fleet.get("p0")!.requestLimit = LIMIT;
    const statedAtMs = Date.now();
    const responses = await sendLoad(
      deployment,
      (address) => deployment.call(address, { method: "GET", path: "/look/1" }),
    );
    const requests = countMostRequests(deployment, "p0", statedAtMs);
    expect(requests).toBeLessThanOrEqual(MAX_REQUESTS);
    expect(requests).toBeGreaterThan(0);
    expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
  }, 60_000);

  it("is used as before when it no longer states the limit", async () => {
    const deployment = await startDeployment();
    const [head] = listHeads(deployment);
    head.requestLimit = LIMIT;
    await sendLoad(deployment, (address) => deployment.callModel(address));
    head.requestLimit = undefined;
    const withdrawnAtMs = Date.now();
    await sendLoad(deployment, (address) => deployment.callModel(address));
    const headId = [...deployment.fleet].find(([, s]) => s === head)![0];
    const requests = countMostRequests(deployment, headId, withdrawnAtMs);
    expect(requests).toBeGreaterThan(MAX_REQUESTS);
  }, 90_000);
});
