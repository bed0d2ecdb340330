import { afterEach, describe, expect, it } from "vitest";
import type { FakeBackendServer } from "../fakes/fake_backend_server.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type CallerResponse,
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time from an answer of a leaving server after which it must get no request, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time from a refusal after which a pausing server may get at most `MAX_PAUSE_REQUESTS`, in milliseconds. */
const PAUSE_MARGIN_MS = 500;
const MAX_PAUSE_REQUESTS = 2;
/** Pause that a head states, in milliseconds. */
const PAUSE_MS = 2_500;
const SEND_INTERVAL_MS = 20;
/** Time in which an answer of a server reaches its daemon, and a notice the other daemons, in milliseconds. */
const SPREAD_MS = 200;
const EVENT_MS = 60;
/** Time for which each of two servers accepts calls in turn, before both refuse for as long, in milliseconds. */
const TURN_MS = 400;
const MAX_CALLER_ATTEMPTS = 6;
/** Time from a refused request to the answer, above which it counts as having waited, in milliseconds. */
const AT_ONCE_MS = 300;

describe("statements of servers in their answers", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  /** Starts daemons in the zone `z1`, which prefer the group of that zone, with a group in each of two zones. */
  async function startDeployment(daemons = 1): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons, models: 4, eventMs: EVENT_MS });
    await deployment.waitUntilServing();
    await waitUntil(() => listHeadIds(deployment).length === 2);
    await deployment.waitUntilLinked();
    return deployment;
  }

  /** Lists the ids of the heads that are open, the one in the daemons' zone first. */
  function listHeadIds({ fleet }: PlatformDeployment): string[] {
    return ["m0", "m2", "m1", "m3"].filter((id) => {
      const group = fleet.get(id)?.group;
      return group?.rank === 0 && group.State === "open";
    });
  }

  function getServer(
    { fleet }: PlatformDeployment,
    id: string,
  ): FakeBackendServer {
    return fleet.get(id)!;
  }

  function countRuns(
    { runs }: PlatformDeployment,
    serverId: string,
    sinceMs: number,
  ): number {
    return runs.filter((run) =>
      run.serverId === serverId && run.atMs >= sinceMs
    ).length;
  }

  /** Sends requests one after the other, each at its time, and returns the responses. */
  async function sendLoad(
    durationMs: number,
    send: () => Promise<CallerResponse>,
  ): Promise<CallerResponse[]> {
    const responses: Promise<CallerResponse>[] = [];
    for (let ms = 0; ms < durationMs; ms += SEND_INTERVAL_MS) {
      responses.push(send());
      await delay(SEND_INTERVAL_MS);
    }
    return await Promise.all(responses);
  }

  function callService(
    deployment: PlatformDeployment,
  ): Promise<CallerResponse> {
    const [address] = deployment.callerAddresses;
    return deployment.call(address, { method: "GET", path: "/look/1" });
  }

  describe("Server-Leaving", () => {
    // Guards against calls to a plain server that leaves while the store does not say so.
    it(
      "ends the calls to a plain server within the drain notice time",
      async () => {
        const deployment = await startDeployment();
        getServer(deployment, "p0").isLeaving = true;
        const statedAtMs = Date.now();
        const responses = await sendLoad(
          DRAIN_MS + 1_000,
          () => callService(deployment),
        );
        expect(countRuns(deployment, "p0", statedAtMs)).toBeGreaterThan(0);
        expect(countRuns(deployment, "p0", statedAtMs + DRAIN_MS)).toBe(0);
        expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
      },
      30_000,
    );

    // Guards against requests to a group whose head leaves while the store does not say so.
    it(
      "ends the requests to a group within the drain notice time",
      async () => {
        const deployment = await startDeployment();
        const [headId] = listHeadIds(deployment);
        getServer(deployment, headId).isLeaving = true;
        const statedAtMs = Date.now();
        const responses: CallerResponse[] = [];
        while (Date.now() < statedAtMs + DRAIN_MS + 1_500) {
          responses.push(await deployment.callModel());
        }
        expect(countRuns(deployment, headId, statedAtMs)).toBeGreaterThan(0);
        expect(countRuns(deployment, headId, statedAtMs + DRAIN_MS)).toBe(0);
        expect(responses.filter(({ isWhole }) => !isWhole)).toEqual([]);
      },
      30_000,
    );

    // Guards against a statement that counts only when the stream that brought it ends, and against a stream that is cut because its server leaves.
    it("counts while the stream that states it goes on", async () => {
      const deployment = await startDeployment();
      const [headId] = listHeadIds(deployment);
      getServer(deployment, headId).isLeaving = true;
      let hasEnded = false;
      const stream = deployment.callModel().finally(() => hasEnded = true);
      await delay(EVENT_MS + SPREAD_MS);
      const laterAtMs = Date.now();
      const later = deployment.callModel();
      await delay(SPREAD_MS);
      expect(hasEnded).toBe(false);
      expect(countRuns(deployment, headId, laterAtMs)).toBe(0);
      expect((await stream).isWhole && (await later).isWhole).toBe(true);
    }, 30_000);

    // Guards against a request that was accepted before the answer and is sent to the leaving server when a slot becomes free.
    it(
      "holds for requests that wait in the daemon across the answer",
      async () => {
        const deployment = await startDeployment();
        const [headId] = listHeadIds(deployment);
        const sentAtMs = Date.now();
        getServer(deployment, headId).isLeaving = true;
        const responses = Array.from(
          { length: 12 },
          () => deployment.callModel(),
        );
        expect((await Promise.all(responses)).filter(({ isWhole }) => !isWhole))
          .toEqual([]);
        const afterMs = sentAtMs + EVENT_MS + SPREAD_MS;
        expect(countRuns(deployment, headId, sentAtMs)).toBe(4);
        expect(countRuns(deployment, headId, afterMs)).toBe(0);
      },
      30_000,
    );

    // Guards against daemons that each send a request to a leaving server before they know of it.
    it("reaches the other daemons", async () => {
      const deployment = await startDeployment(3);
      const [headId] = listHeadIds(deployment);
      getServer(deployment, headId).isLeaving = true;
      const responses = [deployment.callModel()];
      await delay(EVENT_MS + 2 * SPREAD_MS);
      const spreadAtMs = Date.now();
      for (const address of deployment.callerAddresses) {
        responses.push(deployment.callModel(address));
      }
      await Promise.all(responses);
      expect(countRuns(deployment, headId, spreadAtMs)).toBe(0);
    }, 30_000);

    // Guards against a statement that takes effect, or reaches the other daemons, only through the store.
    it("counts while the store is silent", async () => {
      const deployment = await startDeployment(2);
      const [headId] = listHeadIds(deployment);
      deployment.store.fault = "silent";
      const leavingIds = ["p0", headId];
      leavingIds.forEach((id) => getServer(deployment, id).isLeaving = true);
      await sendLoad(500, () => callService(deployment));
      const model = deployment.callModel();
      await delay(EVENT_MS + 2 * SPREAD_MS);
      const statedAtMs = Date.now();
      const responses: Promise<CallerResponse>[] = [model];
      for (const address of deployment.callerAddresses) {
        responses.push(deployment.callModel(address));
        responses.push(
          deployment.call(address, { method: "GET", path: "/look/1" }),
        );
      }
      expect((await Promise.all(responses)).every(({ isWhole }) => isWhole))
        .toBe(true);
      expect(leavingIds.map((id) => countRuns(deployment, id, statedAtMs)))
        .toEqual([0, 0]);
    }, 30_000);

    // Guards against a statement that outlives the process that made it.
    it("does not bind a new process of the same server", async () => {
      const deployment = await startDeployment();
      const server = getServer(deployment, "p0");
      server.isLeaving = true;
      await sendLoad(500, () => callService(deployment));
      const leftAtMs = Date.now();
      await sendLoad(500, () => callService(deployment));
      expect(countRuns(deployment, "p0", leftAtMs)).toBe(0);
      await server.restart();
      await waitUntil(async () => {
        await callService(deployment);
        return countRuns(deployment, "p0", leftAtMs) > 0;
      });
    }, 30_000);
  });

  describe("Retry-After", () => {
    // Guards against requests to a group whose head has asked for a pause.
    it(
      "keeps requests from a group in the time that its head states",
      async () => {
        const deployment = await startDeployment();
        const [headId] = listHeadIds(deployment);
        const head = getServer(deployment, headId);
        head.retryAfter = String(PAUSE_MS / 1_000);
        const responses = await sendLoad(2_000, () => deployment.callModel());
        const [statedAtMs] = head.refusedAtMs;
        const requests = head.refusedAtMs.filter((atMs) =>
          atMs > statedAtMs + PAUSE_MARGIN_MS && atMs < statedAtMs + PAUSE_MS
        );
        expect(requests.length).toBeLessThanOrEqual(MAX_PAUSE_REQUESTS);
        const refusals = responses.filter(({ isWhole }) => !isWhole);
        expect(refusals.map(({ status }) => status)).toEqual(
          refusals.map(() => 503),
        );
      },
      30_000,
    );

    // Guards against a request that waits in vain for a group other than the one that has declined it.
    it(
      "sends a declined request again when the first pause of the heads ends",
      async () => {
        const deployment = await startDeployment();
        const heads = listHeadIds(deployment).map((id) =>
          getServer(deployment, id)
        );
        heads.forEach((head) => head.retryAfter = "0.4");
        const response = deployment.callModel();
        await waitUntil(() => heads.every((h) => h.refusedAtMs.length > 0));
        heads.forEach((head) => head.retryAfter = undefined);
        expect((await response).isWhole).toBe(true);
      },
      30_000,
    );

    // Guards against a model request that waits although no head takes it in time.
    it(
      "refuses a model request at once while all heads pause for longer than it may wait",
      async () => {
        const deployment = await startDeployment();
        listHeadIds(deployment).forEach((id) =>
          getServer(deployment, id).retryAfter = "5"
        );
        await deployment.callModel();
        const sentAtMs = performance.now();
        const { status, headers } = await deployment.callModel();
        expect(performance.now() - sentAtMs).toBeLessThan(AT_ONCE_MS);
        expect(status).toBe(503);
        expect(Number(headers["retry-after"])).toBeGreaterThan(4);
      },
      30_000,
    );

    // Guards against calls that wait, fail or come back too early while every server of their service pauses.
    it(
      "refuses calls at once with the earliest end while all servers pause",
      async () => {
        const deployment = await startDeployment();
        const servers = ["p0", "p1"].map((id) => getServer(deployment, id));
        servers[0].retryAfter = "9";
        servers[1].retryAfter = "3.5";
        await callService(deployment);
        const startedAtMs = Date.now();
        const responses = await sendLoad(2_000, async () => {
          const sentAtMs = performance.now();
          const response = await callService(deployment);
          expect(performance.now() - sentAtMs).toBeLessThan(AT_ONCE_MS);
          return response;
        });
        const requests = servers.flatMap(({ refusedAtMs }) =>
          refusedAtMs.filter((atMs) => atMs > startedAtMs + PAUSE_MARGIN_MS)
        );
        expect(requests.length).toBeLessThanOrEqual(MAX_PAUSE_REQUESTS);
        expect(responses.every(({ status }) => status === 503)).toBe(true);
        const waits = responses.map(({ headers }) =>
          Number(headers["retry-after"])
        );
        expect(Math.min(...waits)).toBeGreaterThan(1);
        expect(Math.max(...waits)).toBeLessThan(9);
        expect(new Set(waits).size).toBeGreaterThan(waits.length / 2);
      },
      30_000,
    );

    // Guards against callers that are never served, or sent back too often, while the servers of their service pause by turns.
    it(
      "serves all calls whose callers return when they are told to",
      async () => {
        const deployment = await startDeployment();
        const servers = ["p0", "p1"].map((id) => getServer(deployment, id));
        const startedAtMs = performance.now();
        const timer = setInterval(() => {
          const turn = Math.floor((performance.now() - startedAtMs) / TURN_MS);
          servers.forEach((server, i) =>
            server.retryAfter = turn % 3 === i ? undefined : "0.3"
          );
        }, 10);
        const attempts: number[] = [];
        await sendLoad(2_000, async () => {
          for (let attempt = 1;; attempt++) {
            const response = await callService(deployment);
            if (response.status === 200 || attempt > MAX_CALLER_ATTEMPTS) {
              attempts.push(attempt);
              return response;
            }
            await delay(Number(response.headers["retry-after"]) * 1_000);
          }
        });
        clearInterval(timer);
        expect(Math.max(...attempts)).toBeLessThanOrEqual(MAX_CALLER_ATTEMPTS);
      },
      30_000,
    );

    // Guards against a server that stays unused after its pause.
    it(
      "sends requests to a server again once its pause has ended",
      async () => {
        const deployment = await startDeployment();
        const servers = ["p0", "p1"].map((id) => getServer(deployment, id));
        servers.forEach((server) => server.retryAfter = "1");
        expect((await callService(deployment)).status).toBe(503);
        servers.forEach((server) => server.retryAfter = undefined);
        expect((await callService(deployment)).status).toBe(503);
        await delay(1_100);
        expect((await callService(deployment)).status).toBe(200);
      },
      30_000,
    );
  });
});
