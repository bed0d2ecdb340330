import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const POISON_PART = "deadbeef";
/** Part that the poison requests have in common with requests that run without a failure. */
const COMMON_PART = "5ca1ab1e";
/** Number of requests with the poison part; each has a path and a last part of its own. */
const POISON_REQUESTS = 12;
/** Number of servers that the poison part may crash before its requests are refused everywhere. */
const MAX_CRASHES = 5;
/** Number of requests with the poison part that may reach a server after `MAX_CRASHES`. */
const MAX_LATE_REQUESTS = 3;

/** Number of requests that run at the same time when their servers fail. */
const SIMULTANEOUS_REQUESTS = 24;
/** Time after which daemons that suspect a part refuse its requests, in milliseconds. */
const JUDGEMENT_MS = 3_000;

describe("a prompt part that crashes servers", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  async function startDeployment(daemons: number): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons, models: 24 });
    await deployment.waitUntilServing();
    await deployment.waitUntilLinked();
    deployment.fleet.forEach((server) => server.crashingPart = POISON_PART);
    return deployment;
  }

  /** Sends a request with the prompt parts, at a path that no other request has. */
  function callDaemon(
    deployment: PlatformDeployment,
    callerAddress: string,
    parts: readonly string[],
  ): Promise<CallerResponse> {
    return deployment.callModel(callerAddress, {
      path: `/model/${parts.join("-")}`,
      headers: {
        "Prompt-Prefix": parts.map((id) => `${id}:40`).join(","),
      },
    });
  }

  function callWithParts(
    deployment: PlatformDeployment,
    number: number,
    parts: readonly string[],
  ): Promise<CallerResponse> {
    const { callerAddresses } = deployment;
    return callDaemon(
      deployment,
      callerAddresses[number % callerAddresses.length],
      [...parts, `a${number}`],
    );
  }

  function countCrashes({ fleet }: PlatformDeployment): number {
    return [...fleet.values()].reduce((sum, s) => sum + s.requestCrashes, 0);
  }

  function countPoisonRuns({ runs }: PlatformDeployment): number {
    return runs.filter(({ promptParts }) => promptParts.includes(POISON_PART))
      .length;
  }

  /** Sends requests with the poison part in turn with requests that share their other parts, and returns the responses to the latter. */
  async function sendMixedRequests(
    deployment: PlatformDeployment,
  ): Promise<CallerResponse[]> {
    const responses: CallerResponse[] = [];
    for (let i = 0; i < POISON_REQUESTS; i++) {
      await callWithParts(deployment, i, [COMMON_PART, POISON_PART]);
      responses.push(await callWithParts(deployment, i, [COMMON_PART]));
    }
    return responses;
  }

  it(
    "stops reaching servers although no two of its requests are alike",
    async () => {
      const deployment = await startDeployment(3);
      const responses = await sendMixedRequests(deployment);
      expect(countCrashes(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      expect(countPoisonRuns(deployment))
        .toBeLessThanOrEqual(MAX_CRASHES + MAX_LATE_REQUESTS);
      expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
    },
    60_000,
  );

  // The first event of such a response cleared the part of all earlier crashes, and a crash after it was no suspicion.
  it(
    "stops reaching servers that crash after the first piece of their responses",
    async () => {
      const deployment = await startDeployment(3);
      deployment.fleet.forEach((server) => server.eventsBeforeCrash = 1);
      const responses = await sendMixedRequests(deployment);
      expect(countCrashes(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      expect(countPoisonRuns(deployment))
        .toBeLessThanOrEqual(MAX_CRASHES + MAX_LATE_REQUESTS);
      expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
    },
    60_000,
  );

  // All streams of a part may lose their servers at once, just after they began; nothing else runs that could clear the part.
  it("is not suspected because its servers failed together", async () => {
    const deployment = await startDeployment(3);
    for (const callerAddress of deployment.callerAddresses) {
      await callDaemon(deployment, callerAddress, [COMMON_PART, "known"]);
    }
    const runsBefore = deployment.runs.length;
    const calls = Array.from(
      { length: SIMULTANEOUS_REQUESTS },
      (_, i) => callWithParts(deployment, i, [COMMON_PART]),
    );
    await waitUntil(() =>
      deployment.runs.length >= runsBefore + SIMULTANEOUS_REQUESTS
    );
    const headIds = new Set(
      deployment.runs.slice(runsBefore).map(({ serverId }) => serverId),
    );
    expect(headIds.size).toBeGreaterThanOrEqual(MAX_CRASHES);
    await Promise.all(
      [...headIds].map((id) => deployment.fleet.get(id)!.restart()),
    );
    await Promise.all(calls);
    await delay(JUDGEMENT_MS);
    await deployment.waitUntilServing();
    const responses = await Promise.all(
      deployment.callerAddresses.map((callerAddress) =>
        callDaemon(deployment, callerAddress, [COMMON_PART, "next"])
      ),
    );
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200]);
  }, 60_000);

  it("stays refused by a daemon that starts later", async () => {
    const deployment = await startDeployment(2);
    await sendMixedRequests(deployment);
    await deployment.startDaemon("entry-late");
    const lateAddress = deployment.callerAddresses.at(-1)!;
    await waitUntil(async () =>
      (await deployment.callModel(lateAddress)).isWhole
    );
    const runsBefore = countPoisonRuns(deployment);
    for (let i = 0; i < POISON_REQUESTS; i++) {
      await callDaemon(deployment, lateAddress, [
        COMMON_PART,
        POISON_PART,
        `b${i}`,
      ]);
    }
    expect(countPoisonRuns(deployment)).toBe(runsBefore);
    const response = await callDaemon(deployment, lateAddress, [
      COMMON_PART,
      "c1",
    ]);
    expect(response.isWhole).toBe(true);
  }, 60_000);
});
