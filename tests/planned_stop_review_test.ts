import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  createClientHeaders,
  createPlatformConfig,
} from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";

/** Time after the start of a stop at which an idle daemon ends, in milliseconds. */
const IDLE_END_MS = 2_500;
/** Size of a response that does not fit into the send buffer of a connection, in bytes. */
const LARGE_RESPONSE_BYTES = 4_000_000;

describe("end of a planned stop", () => {
  let deployment: PlatformDeployment;

  afterEach(() => deployment.dispose());

  async function startDeployment(): Promise<void> {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
  }

  function openRequest(options: {
    path: string;
    method?: string;
    headers?: Record<string, string>;
  }) {
    const [host, port] = deployment.callerAddresses[0].split(":");
    return request({
      host,
      port,
      agent: false,
      ...options,
      headers: {
        ...createClientHeaders("r-review", "key-1", 6_000),
        ...options.headers,
      },
    });
  }

  // Guards against a request that is sent to a server while an idle daemon waits for the release of its lease, and cut when the daemon ends.
  it("answers a request that arrives while the lease is released", async () => {
    await startDeployment();
    for (const server of deployment.fleet.values()) {
      server.responseMs = 1_000;
    }
    const runsBefore = deployment.runs.length;
    deployment.store.fault = "silent";
    const stopPromise = deployment.daemons[0].stop();
    await delay(IDLE_END_MS + 100);
    const response = await deployment.call(deployment.callerAddresses[0], {
      method: "GET",
      path: "/book/1",
    });
    deployment.store.fault = "none";
    await stopPromise;
    const runCount = deployment.runs.length - runsBefore;
    expect([[200, 1], [503, 0]]).toContainEqual([response.status, runCount]);
  });

  // Guards against a response that is truncated because the daemon ends while a slow caller still reads it.
  it("finishes a response that the caller reads slowly", async () => {
    await startDeployment();
    const backend = createServer((req, res) => {
      res.writeHead(200, {
        "request-id": String(req.headers["request-id"]),
        "response-signature": "f0",
        "content-length": LARGE_RESPONSE_BYTES,
      });
      res.end(Buffer.alloc(LARGE_RESPONSE_BYTES));
    });
    backend.listen(0, "127.0.0.1");
    await once(backend, "listening");
    const { port } = backend.address() as AddressInfo;
    deployment.store.putObject("servers", "f0", {
      Service: "files",
      Address: `127.0.0.1:${port}`,
      Zone: "z1",
      Version: "v1",
      Slots: 4,
      State: "ready",
      ColdLeftMs: 0,
      born: Date.now(),
    });
    const { Routes, Services } = createPlatformConfig(0);
    deployment.writeConfig({
      Routes: [...Routes, {
        ...Routes[2],
        Name: "file",
        PathPrefix: "/file/",
        Service: "files",
      }],
      Services: [...Services, { Name: "files", HealthPath: "/health" }],
    });
    await waitUntil(async () =>
      (await deployment.call(deployment.callerAddresses[0], {
        method: "GET",
        path: "/file/1",
      })).isWhole
    );
    const stopPromise = deployment.daemons[0].stop();
    const req = openRequest({ path: "/file/2" }).end();
    const [res] = await once(req, "response") as [IncomingMessage];
    res.pause();
    await delay(IDLE_END_MS + 500);
    let receivedBytes = 0;
    res.on("data", (chunk: Buffer) => receivedBytes += chunk.length);
    res.on("error", () => undefined);
    const closePromise = new Promise((resolve) => res.on("close", resolve));
    res.resume();
    await closePromise;
    await stopPromise;
    backend.close();
    expect(receivedBytes).toBe(LARGE_RESPONSE_BYTES);
  });

  // Guards against a connection that closes without an answer while the daemon reads the body of its request.
  it("answers a request whose body arrives when an idle daemon ends", async () => {
    await startDeployment();
    const stopPromise = deployment.daemons[0].stop();
    await delay(IDLE_END_MS - 200);
    const req = openRequest({
      method: "POST",
      path: "/book/1",
      headers: { "content-length": "4" },
    });
    const statusPromise = new Promise<number | undefined>((resolve) => {
      req.on("response", (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.on("error", () => resolve(undefined));
    });
    req.write("bo");
    await delay(500);
    req.end("dy");
    const status = await statusPromise;
    await stopPromise;
    expect([200, 503]).toContain(status);
  });

  // Guards against a request that is held although it can no longer be sent: it was declined, waits for another group and may outlast the stop.
  it("refuses a declined request that waits when the load balancer has noticed the stop", async () => {
    await startDeployment();
    const stopPromise = deployment.daemons[0].stop();
    await delay(IDLE_END_MS - 300);
    for (const server of deployment.fleet.values()) {
      // Keeps the planner from opening a group again.
      server.ordersToDelay = 100;
      if (server.group !== undefined) {
        server.group.State = "ready";
      }
    }
    const sentAtMs = performance.now();
    const response = await deployment.callModel();
    const tookMs = performance.now() - sentAtMs;
    await stopPromise;
    const attempts = deployment.events.filter(({ event }) =>
      event === "attempt-ended"
    );
    expect(new Set(attempts.map(({ fields }) => fields.outcome))).toEqual(
      new Set(["declined"]),
    );
    expect(response.status).toBe(503);
    expect(tookMs).toBeLessThan(800);
  });
});
