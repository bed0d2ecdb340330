import { Buffer } from "node:buffer";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { HttpBackendTransport } from "../platform/http_backend_transport.ts";
import { ModelServerClient } from "../platform/model_server_client.ts";
import { PlatformStore } from "../platform/platform_store.ts";
import { HttpEngineClient } from "../src/connection/http_engine_client.ts";
import { ServiceClient } from "../src/connection/service_client.ts";
import { Metrics } from "../src/process/metrics.ts";
import { PlatformDeployment } from "./support/platform_deployment.ts";
import {
  CHAT_REQUEST,
  createServiceAttempt,
  RawServers,
} from "./support/raw_servers.ts";

const CALL_TIMEOUT_MS = 2_000;
/** Codes in a status line that end no HTTP exchange. Node.js rejects all that have not three digits. */
const INVALID_STATUSES = [
  "000",
  "001",
  "099",
  "600",
  "777",
  "999",
  "20",
  "2000",
  "abc",
];

describe("a status that is none", () => {
  const servers = new RawServers();

  afterEach(() => servers.dispose());

  function startServer(status: string): Promise<string> {
    return servers.start((socket) =>
      socket.on("data", () =>
        socket.write(
          `HTTP/1.1 ${status} Error\r\nRequest-Id: r1\r\n` +
            "Response-Signature: s1\r\nNot-Executed: 1\r\n" +
            "Content-Length: 2\r\n\r\n{}",
        ))
    );
  }

  // Guards against a caller that gets the status 000 of a server in trouble as an answer, and against the belief that its request has not run.
  describe.each(INVALID_STATUSES)("%s", (status) => {
    it("is no response to a request", async () => {
      const address = await startServer(status);
      const response = servers.addClient(new HttpBackendTransport()).send(
        { serverId: "i-1", address },
        {
          requestId: "r1",
          method: "GET",
          path: "/",
          headers: [["Host", "app.example"]],
          body: Buffer.alloc(0),
          timeBudgetMs: CALL_TIMEOUT_MS,
          usesDedicatedConnection: true,
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        },
      );
      await expect(response).rejects.toMatchObject({
        kind: "invalid",
        verdict: "may-have-run",
      });
    });

    it.each([true, false])(
      "is no response to a service call, repeatable: %s",
      async (isRepeatable) => {
        const address = await startServer(status);
        const response = servers.addClient(new ServiceClient()).send(
          createServiceAttempt({
            address,
            timeoutMs: CALL_TIMEOUT_MS,
            isRepeatable,
          }),
        );
        await expect(response).rejects.toMatchObject({ isSent: true });
      },
    );

    it("is no refusal of a chat request", async () => {
      const address = await startServer(status);
      const event = servers.addClient(new HttpEngineClient()).streamChat(
        address,
        CHAT_REQUEST,
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      ).next();
      await expect(event).rejects.toMatchObject({
        kind: "lost",
        verdict: "may-have-run",
      });
    });

    it("tells nothing about an order, a state or the health of a server", async () => {
      const target = { serverId: "i-1", address: await startServer(status) };
      const client = servers.addClient(
        new ModelServerClient({ metrics: new Metrics() }),
      );
      const order = {
        action: "open",
        groupName: "g1",
        generation: 1,
      } as const;
      expect(await client.sendOrder(target, order, 1)).toBe("unknown");
      expect((await client.getReport(target, CALL_TIMEOUT_MS)).isLeft())
        .toBe(true);
      expect(await client.getHealth(target, "/health", CALL_TIMEOUT_MS))
        .toBe("unknown");
    });

    it("tells nothing about an object of the store", async () => {
      const store = servers.addClient(
        new PlatformStore({
          address: await startServer(status),
          metrics: new Metrics(),
        }),
      );
      const object = { kind: "k", name: "n", value: {}, expectedVersion: 1 };
      expect((await store.getObject("k", "n")).isLeft()).toBe(true);
      expect((await store.listSnapshot("k")).isLeft()).toBe(true);
      expect(await store.putObject(object)).toMatchObject({
        outcome: "unknown",
      });
      expect(await store.deleteObject(object)).toMatchObject({
        outcome: "unknown",
      });
    });
  });
});

describe("a server that answers with a status that is none", () => {
  const deployment = new PlatformDeployment();

  beforeAll(async () => {
    await deployment.start({ daemons: 1, models: 4 });
    await deployment.waitUntilServing();
  });
  afterAll(() => deployment.dispose());

  /** Sends a request that the servers answer once with the status, and returns the response and the number of its runs. */
  async function doTest(status: string, path: string) {
    const ids = path.startsWith("/model/") ? ["m0", "m1", "m2", "m3"] : ["p0"];
    const fleet = [...deployment.fleet.entries()];
    fleet.forEach(([id, server]) => {
      server.invalidStatus = status;
      server.requestsToSpoil = ids.includes(id) ? 1 : 0;
    });
    const runsBefore = deployment.runs.length;
    const response = path.startsWith("/model/")
      ? await deployment.callModel(undefined, { path })
      : await deployment.call(deployment.callerAddresses[0], {
        method: "POST",
        path,
      });
    return { response, runs: deployment.runs.length - runsBefore };
  }

  it.each(["000", "099", "600", "999"])(
    "leaves a call that may not be repeated undecided: %s",
    async (status) => {
      const results = [
        await doTest(status, "/book/1"),
        await doTest(status, "/book/2"),
      ];
      for (const { response, runs } of results) {
        expect(runs).toBe(1);
        expect([200, 502]).toContain(response.status);
        expect(response.headers["response-signature"] === undefined)
          .toBe(response.status === 502);
      }
    },
  );

  it.each(["000", "099", "600", "999"])(
    "is replaced for a call that may be repeated: %s",
    async (status) => {
      const { response } = await doTest(status, "/look/1");
      expect(response.isWhole).toBe(true);
    },
  );

  it.each(["000", "099", "600", "999"])(
    "gives no stream to a caller: %s",
    async (status) => {
      const { response } = await doTest(status, "/model/1");
      expect([200, 502]).toContain(response.status);
      expect(response.headers["response-signature"] === undefined)
        .toBe(response.status === 502);
    },
  );
});
