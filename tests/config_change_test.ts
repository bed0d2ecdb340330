import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { createPlatformConfig } from "../fakes/platform_documents.ts";
import { delay } from "../src/shared/delay.ts";
import {
  PlatformDeployment,
  waitUntil,
} from "./support/platform_deployment.ts";
import { RawCaller } from "./support/raw_caller.ts";

/** Time between two events of a stream, in milliseconds; a stream takes 20 times as long. */
const EVENT_MS = 60;
/** Time that a plain service takes for a response, in milliseconds. */
const RESPONSE_MS = 800;
/** Number of concurrent model requests, which exceeds the places of the two groups. */
const WAITING_REQUESTS = 24;
const BODY_LENGTH = 10;
const KEPT_CONNECTIONS = 8;
/** Longest pause of a caller on a kept connection, in milliseconds. */
const MAX_PAUSE_MS = 150;
const LIMIT_CHANGES = 80;
const LIMIT_CHANGE_INTERVAL_MS = 60;

type PlatformConfig = ReturnType<typeof createPlatformConfig>;

/** Changes of the configuration that concern requests in flight. */
const CHANGES: {
  name: string;
  change: (config: PlatformConfig) => Record<string, unknown>;
}[] = [
  { name: "the routes are removed", change: () => ({ Routes: [] }) },
  {
    name: "the routes are removed and the services too",
    change: () => ({ Routes: [], Services: [] }),
  },
  {
    name: "the routes move to the other service",
    change: ({ Routes }) => ({
      Routes: Routes.map((route) => ({
        ...route,
        Service: route.Service === "app" ? "models" : "app",
      })),
    }),
  },
  {
    name: "the model is replaced by another one",
    change: ({ Services: [models, ...others] }) => ({
      Services: [{
        ...models,
        Engine: {
          ...models.Engine,
          Models: models.Engine?.Models.map((model) => ({
            ...model,
            Name: "m2",
          })),
        },
      }, ...others],
    }),
  },
  {
    name: "the groups of the model become larger",
    change: ({ Services: [models, ...others] }) => ({
      Services: [{
        ...models,
        Engine: {
          ...models.Engine,
          Models: models.Engine?.Models.map((model) => ({
            ...model,
            size: 4,
          })),
        },
      }, ...others],
    }),
  },
  {
    // Guards against a planner that ends with an error and leaves the models without groups after the next change.
    name: "all models are removed",
    change: ({ Services: [models, ...others] }) => ({
      Services: [
        { ...models, Engine: { ...models.Engine, Models: [] } },
        ...others,
      ],
    }),
  },
  { name: "the account is removed", change: () => ({ Tenants: [] }) },
  {
    name: "the key of the account changes",
    change: ({ Tenants }) => ({
      Tenants: Tenants.map((tenant) => ({ ...tenant, ApiKeys: ["key-2"] })),
    }),
  },
  {
    name: "the time-outs are lowered below the age of the request",
    change: ({ Routes }) => ({
      Routes: Routes.map((route) => ({ ...route, TimeoutMs: 200 })),
    }),
  },
  {
    name: "all limits are lowered",
    change: () => ({
      Limits: {
        MaxHeaderBytes: 1_024,
        MaxBodyBytes: 1,
        HeaderTimeoutMs: 100,
        IdleTimeoutMs: 100,
      },
    }),
  },
];

describe("a change of the configuration", () => {
  let deployment: PlatformDeployment;

  beforeAll(async () => {
    deployment = new PlatformDeployment();
    await deployment.start({ daemons: 1, models: 4, eventMs: EVENT_MS });
    for (const server of deployment.fleet.values()) {
      server.responseMs = RESPONSE_MS;
    }
    await deployment.waitUntilServing();
  });
  afterEach(async () => {
    await applyChange(() => ({}));
    await deployment.waitUntilServing();
  });
  afterAll(() => deployment.dispose());

  /** Changes the configuration, and waits until it is in force. */
  async function applyChange(
    change: (config: PlatformConfig) => Record<string, unknown>,
  ): Promise<void> {
    const { events } = deployment;
    const countChanges = () =>
      events.filter(({ event }) => event === "config-in-force").length;
    const changesBefore = countChanges();
    deployment.writeConfig(change(createPlatformConfig(1)));
    await waitUntil(() => countChanges() > changesBefore);
  }

  function callService(path: string) {
    return deployment.call(deployment.callerAddresses[0], {
      method: "POST",
      path,
    });
  }

  for (const { name, change } of CHANGES) {
    // Guards against requests that are cut, or refused although a server runs them.
    it(`lets requests in flight complete when ${name}`, async () => {
      const runsBefore = deployment.runs.length;
      const pendingResponses = [
        deployment.callModel(),
        callService("/book/1"),
        callService("/look/1"),
      ];
      await waitUntil(() => deployment.runs.length >= runsBefore + 3);
      await delay(2 * EVENT_MS);
      await applyChange(change);
      const responses = await Promise.all(pendingResponses);
      expect(responses.map(({ status, isWhole }) => ({ status, isWhole })))
        .toEqual(Array(3).fill({ status: 200, isWhole: true }));
    });

    // Guards against requests that wait in vain for a place in a service that the configuration no longer has.
    it(`answers requests that wait for a place when ${name}`, async () => {
      const startedAtMs = performance.now();
      const runsBefore = deployment.runs.length;
      const countRequests = () =>
        deployment.metrics[0].getCount("chat_requests");
      const requestsBefore = countRequests();
      // More than the slots of the two groups.
      const responses = Array.from(
        { length: WAITING_REQUESTS },
        () =>
          deployment.callModel(undefined, {
            headers: { "Deadline-Ms": "4000" },
          }),
      );
      // A request that is read after the change is answered according to it, with 404 if its route is gone.
      await waitUntil(() =>
        countRequests() >= requestsBefore + WAITING_REQUESTS
      );
      await applyChange(change);
      expect(deployment.runs.length - runsBefore).toBeLessThan(
        WAITING_REQUESTS,
      );
      const statuses = (await Promise.all(responses)).map((response) =>
        response.isWhole || response.status === 503
      );
      expect(statuses).toEqual(Array(WAITING_REQUESTS).fill(true));
      expect(performance.now() - startedAtMs).toBeLessThan(4_500);
    });
  }

  /** Sends the head of a request and a part of its body. */
  async function startBody(
    options: { part: string; headers?: string },
  ): Promise<RawCaller> {
    const caller = await RawCaller.open(deployment.callerAddresses[0]);
    caller.write(`${createHead(options.headers)}${options.part}`);
    return caller;
  }

  /** Creates the head of a request whose body has the length `BODY_LENGTH`. */
  function createHead(headers = ""): string {
    return [
      "POST /book/1 HTTP/1.1",
      "host: app.example",
      "request-id: raw-1",
      "credential: key-1",
      `content-length: ${BODY_LENGTH}`,
      `${headers}\r\n`,
    ].join("\r\n");
  }

  it("keeps to the limits of its arrival for a request whose body arrives slowly", async () => {
    const caller = await startBody({ part: "01234" });
    await delay(200);
    await applyChange(() => ({
      Limits: {
        MaxHeaderBytes: 1_024,
        MaxBodyBytes: 1,
        HeaderTimeoutMs: 100,
        IdleTimeoutMs: 100,
      },
    }));
    await delay(1_500);
    caller.write("56789");
    await caller.waitFor("done by", 2_000);
    caller.dispose();
  });

  // Guards against an idle connection that is closed after the limit that was in force when it became idle.
  it("keeps idle connections for a limit that it raises", async () => {
    const limits = { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_096 };
    await applyChange(() => ({
      Limits: { ...limits, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 100 },
    }));
    const caller = await startBody({ part: "0123456789" });
    await caller.waitFor("done by", 2_000);
    await applyChange(() => ({}));
    await delay(2_000);
    expect(caller.isClosed).toBe(false);
    caller.dispose();
  });

  // Guards against a limit of the headers that stays in force after its change.
  it("puts the limit of the headers into force on open connections", async () => {
    const setHeaderLimit = (MaxHeaderBytes: number) =>
      applyChange(({ Limits }) => ({ Limits: { ...Limits, MaxHeaderBytes } }));
    // Adds a header that is not forwarded, since the stand-ins of the servers have a limit of their own.
    const sendHeaders = async (caller: RawCaller, size: number) => {
      caller.takeReceived();
      caller.write(
        `${createHead(`te: ${"x".repeat(size)}\r\n`)}0123456789`,
      );
      await waitUntil(() => caller.received.includes("\r\n\r\n"), 3_000);
      return Number(caller.received.split(" ")[1]);
    };
    const caller = await startBody({ part: "0123456789" });
    await caller.waitFor("done by", 2_000);
    await setHeaderLimit(65_536);
    expect(await sendHeaders(caller, 40_000)).toBe(200);
    await setHeaderLimit(2_048);
    expect(await sendHeaders(caller, 1_000)).toBe(200);
    expect(await sendHeaders(caller, 3_000)).toBe(431);
    caller.dispose();
  });

  // Guards against a change of the limits that closes a kept connection, or loses or refuses its requests.
  it(
    "answers all requests on kept connections while the limits change",
    async () => {
      const { events, metrics: [metrics] } = deployment;
      const runsBefore = deployment.runs.length;
      const eventsBefore = events.length;
      let isChanging = true;
      const countRequests = async (): Promise<number> => {
        const caller = await RawCaller.open(deployment.callerAddresses[0]);
        let requests = 0;
        while (isChanging) {
          caller.takeReceived();
          caller.write(`${createHead()}01234`);
          await delay(Math.random() * MAX_PAUSE_MS);
          caller.write("56789");
          await caller.waitFor("done by", 3_000);
          expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
          requests++;
          await delay(Math.random() * MAX_PAUSE_MS);
        }
        expect(caller.isClosed).toBe(false);
        caller.dispose();
        return requests;
      };
      deployment.fleet.forEach((server) => server.responseMs = MAX_PAUSE_MS);
      const counts = Array.from({ length: KEPT_CONNECTIONS }, countRequests);
      for (let i = 0; i < LIMIT_CHANGES; i++) {
        deployment.writeConfig({
          Limits: {
            MaxHeaderBytes: [16_384, 1_024, 300_000][i % 3],
            MaxBodyBytes: [4_096, BODY_LENGTH][i % 2],
            HeaderTimeoutMs: [3_000, 400][i % 2],
            IdleTimeoutMs: [15_000, 2 * MAX_PAUSE_MS, 3_000, 1_000][i % 4],
          },
        });
        await delay(LIMIT_CHANGE_INTERVAL_MS);
      }
      isChanging = false;
      const requests = (await Promise.all(counts)).reduce((a, b) => a + b, 0);
      deployment.fleet.forEach((server) => server.responseMs = RESPONSE_MS);
      expect(deployment.runs.length - runsBefore).toBe(requests);
      expect(
        events.slice(eventsBefore).filter(({ event }) =>
          event === "request-unanswered"
        ),
      ).toEqual([]);
      expect(metrics.getCount("config_changes")).toBeGreaterThan(
        LIMIT_CHANGES / 2,
      );
    },
    30_000,
  );

  it("answers a caller that expects to be told to continue", async () => {
    const caller = await startBody({
      part: "",
      headers: "expect: 100-continue\r\n",
    });
    await caller.waitFor("HTTP/1.1 100 Continue", 2_000);
    await applyChange(() => ({}));
    caller.write("0123456789");
    await caller.waitFor("done by", 2_000);
    caller.dispose();
  });
});
