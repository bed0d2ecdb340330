import { afterEach, describe, expect, it } from "vitest";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

const EXPECTED_STREAM = Array.from(
  { length: 20 },
  (_, i) => `id: ${i + 1}\ndata: ${i + 1}\n\n`,
).join("");

/** Time within which a group whose member stays silent counts as lost, in milliseconds. */
const LOSS_TIMEOUT_MS = 3_000;
/** Time for which callers of the model route wait for an event: eight pause objectives. */
const CALLER_WAIT_MS = 2_400;
/** Time after that in which a caller that waits no longer has closed its connection, in milliseconds. */
const CALLER_CLOSE_MS = 500;
/** Time between two events of the stream that is broken off, in milliseconds; the last one may have arrived so long before the crash. */
const EVENT_INTERVAL_MS = 60;
/** Time between two checks of a silent group, in milliseconds. */
const CHECK_INTERVAL_MS = 300;

describe("platform path", () => {
  const deployments: PlatformDeployment[] = [];

  afterEach(async () => {
    for (const deployment of deployments.splice(0)) {
      await deployment.dispose();
    }
  });

  /** Sends a model request, and returns its response and its run after some events have been sent. */
  async function startStream(deployment: PlatformDeployment) {
    const { runs } = deployment;
    const runsBefore = runs.length;
    const pendingResponse = deployment.callModel();
    await waitUntil(() => runs.length > runsBefore);
    await delay(300);
    return { pendingResponse, headId: runs.at(-1)!.serverId };
  }

  async function startDeployment(
    options: { daemons?: number; models?: number; eventMs?: number } = {},
  ): Promise<PlatformDeployment> {
    const deployment = new PlatformDeployment();
    deployments.push(deployment);
    await deployment.start({ daemons: 1, models: 8, ...options });
    await deployment.waitUntilServing();
    return deployment;
  }

  it("forms complete groups and streams a complete response with its headers", async () => {
    const deployment = await startDeployment();
    const response = await deployment.callModel();
    expect(response.body).toBe(EXPECTED_STREAM);
    expect(response.headers["response-signature"]).toBeDefined();
    expect(deployment.runs.every(({ isWhole }) => isWhole)).toBe(true);
    expect(
      deployment.runs.every(({ tenant, key }) =>
        tenant === "account-1" && key === undefined
      ),
    ).toBe(true);
  });

  it("continues a stream on another group without a missing or repeated event when a member crashes", async () => {
    const deployment = await startDeployment({ eventMs: 60 });
    const { fleet } = deployment;
    const { pendingResponse, headId } = await startStream(deployment);
    const otherMember = fleet.get(headId)!.group!.members.find((id) =>
      id !== headId
    );
    fleet.get(otherMember!)!.crash();
    const response = await pendingResponse;
    expect(response.body).toBe(EXPECTED_STREAM);
    expect(response.isWhole).toBe(true);
    const countEvents = (name: string) =>
      deployment.events.filter(({ event }) => event === name).length;
    expect(countEvents("group-suspected")).toBeGreaterThan(0);
    // The member stays silent, so that the group is lost in the end.
    await waitUntil(() => countEvents("group-lost") > 0, LOSS_TIMEOUT_MS);
  });

  // Guards against a stream that never ends, or ends with the text of an error, because the group that was to continue it answers with an error.
  it("breaks off a stream that no group can continue", async () => {
    const deployment = await startDeployment({ eventMs: EVENT_INTERVAL_MS });
    const { fleet } = deployment;
    const { pendingResponse, headId } = await startStream(deployment);
    fleet.forEach((server) => server.requestsToFail = 1);
    fleet.get(headId)!.crash();
    const endedAtMs = pendingResponse.then(() => performance.now());
    const crashedAtMs = performance.now();
    const response = await pendingResponse;
    const durationMs = await endedAtMs - crashedAtMs;
    expect(durationMs).toBeGreaterThan(CALLER_WAIT_MS - EVENT_INTERVAL_MS);
    expect(durationMs)
      .toBeLessThan(CALLER_WAIT_MS + CALLER_CLOSE_MS + CHECK_INTERVAL_MS);
    expect(response.status).toBe(200);
    expect(response.isWhole).toBe(false);
    expect(response.body).not.toBe("");
    expect(EXPECTED_STREAM.startsWith(response.body)).toBe(true);
  });

  it("forms one group from the remaining servers of two lost groups", async () => {
    const deployment = await startDeployment();
    const { fleet, store } = deployment;
    const zoneServers = [...fleet].filter(([id]) => /^m[0246]$/.test(id));
    const heads = zoneServers.filter(([, s]) => s.group?.rank === 0);
    expect(heads).toHaveLength(2);
    for (const [id, head] of heads) {
      head.crash();
      store.deleteObject("servers", id);
    }
    const remainingServers = zoneServers.filter(([, s]) => !s.hasCrashed).map((
      [, s],
    ) => s);
    await waitUntil(() =>
      remainingServers.every((s) =>
        s.group?.Name === remainingServers[0].group?.Name &&
        s.group !== undefined
      ) && remainingServers.some((s) => s.group?.State === "open")
    );
    expect(new Set(remainingServers.map((s) => s.group!.rank)).size).toBe(2);
  });

  // Guards against a planner that chooses the same crashed server repeatedly although other spare servers are available.
  it("forms a group without a crashed spare server", async () => {
    const deployment = await startDeployment();
    const { fleet, store } = deployment;
    const spareServer = await deployment.addServer({
      id: "a0",
      service: "models",
      zone: "z1",
      domain: "z1-d0",
    });
    await waitUntil(() => spareServer.group?.State === "ready");
    spareServer.crash();
    const zoneServers = [...fleet].filter(([id]) => /^m[0246]$/.test(id));
    for (
      const [id, head] of zoneServers.filter(([, s]) => s.group?.rank === 0)
    ) {
      head.crash();
      store.deleteObject("servers", id);
    }
    const remainingServers = zoneServers.filter(([, s]) => !s.hasCrashed).map((
      [, s],
    ) => s);
    await waitUntil(
      () =>
        remainingServers.every((s) =>
          s.group?.Name === remainingServers[0].group?.Name &&
          s.group !== undefined
        ) && remainingServers.some((s) => s.group?.State === "open"),
      8_000,
    );
  });

  it("never repeats a booking whose response was lost", async () => {
    const deployment = await startDeployment();
    const { fleet, runs } = deployment;
    fleet.get("p0")!.responsesToLose = 1;
    fleet.get("p1")!.responsesToLose = 1;
    const runsBefore = runs.length;
    const response = await deployment.call(deployment.callerAddresses[0], {
      method: "POST",
      path: "/book/1",
    });
    expect(response.status).toBe(502);
    expect(runs.length - runsBefore).toBe(1);
  });

  it("repeats a lookup whose response was lost", async () => {
    const deployment = await startDeployment();
    deployment.fleet.get("p0")!.responsesToLose = 1;
    const responses = [];
    for (let i = 0; i < 4; i++) {
      responses.push(
        await deployment.call(deployment.callerAddresses[0], {
          method: "GET",
          path: "/look/1",
        }),
      );
    }
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
  });

  it.each([
    ["an unknown route", "/none/1", {}, 404],
    ["an unknown key", "/look/1", { Credential: "key-9" }, 401],
  ])("refuses %s", async (_name, path, headers, status) => {
    const deployment = await startDeployment();
    const response = await deployment.call(deployment.callerAddresses[0], {
      method: "GET",
      path,
      headers,
    });
    expect(response.status).toBe(status);
  });

  it("puts a configuration into force on all daemons", async () => {
    const deployment = await startDeployment({ daemons: 2 });
    deployment.writeConfig({ Tenants: [{ Name: "a", ApiKeys: ["key-2"] }] });
    for (const callerAddress of deployment.callerAddresses) {
      await waitUntil(async () => {
        const call = { method: "GET", path: "/look/1" };
        return (await deployment.call(callerAddress, call)).status === 401;
      }, 2_000);
    }
  });

  it("sends nothing to a zone that is out of service and uses it again afterwards", async () => {
    const deployment = await startDeployment();
    const { store, runs } = deployment;
    store.putObject("evacuations", "z1", {});
    await delay(500);
    const runsBefore = runs.length;
    for (let i = 0; i < 6; i++) {
      await deployment.callModel();
    }
    const zone1Runs = runs.slice(runsBefore).filter(({ serverId }) =>
      /^m[0246]$/.test(serverId)
    );
    expect(zone1Runs).toEqual([]);
    store.deleteObject("evacuations", "z1");
    await waitUntil(async () => {
      await deployment.callModel();
      return /^m[0246]$/.test(runs.at(-1)!.serverId);
    });
  });

  it(
    "applies a change after an outage in which the store did not respond to watches",
    async () => {
      const deployment = await startDeployment();
      const { store } = deployment;
      store.fault = "silent";
      await delay(3_000);
      store.fault = "none";
      store.putObject("evacuations", "z1", {});
      const isZoneExcluded = () =>
        deployment.events.some(({ event }) => event === "zones-excluded");
      await waitUntil(isZoneExcluded, 5_000);
    },
    30_000,
  );

  it("stops gracefully without aborting a stream", async () => {
    const deployment = await startDeployment({ eventMs: 60 });
    const pendingResponse = deployment.callModel();
    await delay(200);
    const stopPromise = deployment.daemons[0].stop();
    expect((await pendingResponse).body).toBe(EXPECTED_STREAM);
    await stopPromise;
    const stoppedEvent = deployment.events.find(({ event }) =>
      event === "daemon-stopped"
    );
    expect(stoppedEvent?.fields.cut).toBe(0);
  }, 30_000);
});
