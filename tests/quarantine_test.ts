import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import { OperatorClient } from "../src/cli/operator_client.ts";
import { chatRequestSchema } from "../src/request/chat_request_schema.ts";
import { getRequestFingerprint } from "../src/request/request_fingerprint.ts";
import { delay } from "../src/shared/delay.ts";
import { CallerStream } from "./support/caller_stream.ts";
import { TestDeployment, waitUntil } from "./support/test_deployment.ts";

const MARKER = "crash-marker";
/** Delay of the second daemon's loss report, in milliseconds. Shorter than the time that the first daemon waits for the reports of others. */
const REPORT_DELAY_MS = 200;
const CRASH_CONTENT = `tokens=40 ${MARKER}`;

describe("quarantine", () => {
  let deployment: TestDeployment;

  beforeEach(async () => {
    deployment = await TestDeployment.start({
      daemons: 3,
      enginesPerZone: 4,
      engine: { tokenIntervalMs: 10, coldRequests: 16 },
      configure: (document) => document.models[0].coldSlots = 8,
      settings: { resumeTimeoutMs: 5_000 },
    });
    deployment.engines.forEach((e) => e.faults.crashMarker = MARKER);
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  function countCrashes(): number {
    return deployment.engines.reduce((sum, e) => sum + e.crashes, 0);
  }

  // Guards against a request that crashes one group after another because it is retried.
  it("lets a crash request crash at most two groups over all daemons", async () => {
    for (let round = 0; round < 2; round++) {
      for (const daemon of deployment.daemons) {
        const response = await deployment.requestChat(daemon, CRASH_CONTENT);
        expect(response.statusCode).not.toBe(200);
        // The verdict is `not-run` only if the request was refused before its first attempt.
        expect(JSON.parse(response.body).error.verdict).toBe(
          round === 0 && daemon === deployment.daemons[0]
            ? "may-have-run"
            : "not-run",
        );
      }
    }
    expect(countCrashes()).toBe(2);
    const lastResponse = await deployment.requestChat(
      deployment.daemons[2],
      CRASH_CONTENT,
    );
    expect(JSON.parse(lastResponse.body).error).toMatchObject({
      code: "quarantined",
      verdict: "not-run",
    });
  });

  // Guards against a message that crashes one group after another because no two of the conversations with it are alike.
  it(
    "lets a message that many conversations share crash at most five groups",
    async () => {
      for (let i = 0; i < 8; i++) {
        await deployment.requestChat(
          deployment.daemons[i % deployment.daemons.length],
          `tokens=40 question ${i}`,
          { systemMessage: MARKER },
        );
      }
      expect(countCrashes()).toBeLessThanOrEqual(5);
    },
    60_000,
  );

  // Guards against a daemon that does not learn of a message that crashes groups, and against conversations that are refused because of another one.
  it(
    "refuses a message that crashes groups on all daemons, and no other",
    async () => {
      const request = (index: number, systemMessage: string) =>
        deployment.requestChat(
          deployment.daemons[index],
          `tokens=5 question ${Math.random()}`,
          { systemMessage },
        );
      await request(0, MARKER);
      await request(1, MARKER);
      expect(countCrashes()).toBe(3);
      const newDaemon = await deployment.startDaemon();
      await waitUntil(
        () =>
          [...deployment.daemons, newDaemon].every((d) =>
            d.context.promptParts.getState().crashes.length === 3
          ),
        2_000,
      );
      for (const index of deployment.daemons.keys()) {
        const { error } = JSON.parse((await request(index, MARKER)).body);
        expect(error).toMatchObject({
          code: "quarantined",
          verdict: "not-run",
        });
        const response = await request(index, "another message");
        expect(response.statusCode, response.body).toBe(200);
      }
      expect(countCrashes()).toBe(3);
    },
    60_000,
  );

  // Guards against requests that are refused or interrupted because they ran on the same group as a crash request.
  it("completes the other requests of a crashed group", async () => {
    const contents = [1, 2, 3, 4, 5, 6].map((i) => `tokens=60 innocent ${i}`);
    const streams = contents.map((content) =>
      CallerStream.open(deployment.daemons[0], { content })
    );
    await waitUntil(() => streams.every((s) => s.receivedContent !== ""));
    await deployment.requestChat(deployment.daemons[1], CRASH_CONTENT);
    await Promise.all(streams.map((stream) => stream.waitUntilEnded()));
    for (const [index, stream] of streams.entries()) {
      const messages = [{ role: "user" as const, content: contents[index] }];
      expect(stream.error).toBeUndefined();
      expect(stream.receivedContent).toBe(
        getExpectedTokens(messages, 999).join(""),
      );
    }
    const { quarantine } = deployment.daemons[0].context;
    await waitUntil(() => quarantine.getQuarantined().length === 1);
    expect(countCrashes()).toBe(2);
  });

  // Guards against a harmless request that is quarantined because the daemon that ran the crash request on the same groups reports their losses later.
  it("waits for the reports of the other daemons", async () => {
    const [firstDaemon, secondDaemon] = deployment.daemons;
    const content = "tokens=5 innocent late report";
    const [model] =
      firstDaemon.context.configHolder.getCurrentOrThrow().document
        .models;
    const harmlessFingerprint = getRequestFingerprint(
      chatRequestSchema.parse({
        model: model.name,
        messages: [{ role: "user", content }],
      }),
      model,
    );
    const crashFingerprint = "f".repeat(32);
    const firstLoss = { lossId: "lost-1@1/a", alone: false };
    firstDaemon.context.quarantine.recordLoss({
      ...firstLoss,
      fingerprints: [harmlessFingerprint],
    });
    secondDaemon.context.quarantine.recordLoss({
      ...firstLoss,
      fingerprints: [crashFingerprint],
    });
    await waitUntil(() =>
      deployment.daemons.every((d) =>
        [harmlessFingerprint, crashFingerprint].every((f) =>
          d.context.quarantine.isSuspect(f)
        )
      )
    );
    const secondLoss = { lossId: "lost-2@1/b", alone: true };
    firstDaemon.context.quarantine.recordLoss({
      ...secondLoss,
      fingerprints: [harmlessFingerprint],
    });
    const pendingResponse = deployment.requestChat(firstDaemon, content);
    await delay(REPORT_DELAY_MS);
    secondDaemon.context.quarantine.recordLoss({
      ...secondLoss,
      fingerprints: [crashFingerprint],
    });
    const response = await pendingResponse;
    expect(response.statusCode, response.body).toBe(200);
    for (const daemon of deployment.daemons) {
      expect(daemon.context.quarantine.getQuarantined()).toEqual([]);
    }
  });

  // Guards against a quarantine that is not shared with the other daemons, or that is lost when a daemon restarts.
  it("shares an entry with all daemons and the store, and clears it on all daemons", async () => {
    await deployment.requestChat(deployment.daemons[0], CRASH_CONTENT);
    const getLists = () => deployment.daemons.map((d) => d.context.quarantine);
    await waitUntil(
      () => getLists().every((list) => list.getQuarantined().length === 1),
      2_000,
    );
    await waitUntil(() =>
      deployment.platform.getObject("quarantine", "main") !== undefined
    );
    const newDaemon = await deployment.startDaemon();
    await waitUntil(
      () => newDaemon.context.quarantine.getQuarantined().length === 1,
      2_000,
    );
    const client = new OperatorClient({
      url: `http://${newDaemon.operatorAddress}`,
    });
    // The fingerprint is read from the store. The lost groups arrive later, from the peers.
    await waitUntil(
      async () => (await client.getQuarantine())[0].groups.length === 2,
      2_000,
    );
    const [entry] = await client.getQuarantine();
    expect(await client.clearQuarantine(entry.fingerprint)).toBe(1);
    await waitUntil(
      () => getLists().every((list) => list.getQuarantined().length === 0),
      2_000,
    );
  });
});

describe("suspects", () => {
  // Guards against a crash request that cannot be told apart from the requests that are retried together with it.
  it("run alone after a loss, so that the second loss identifies the crash request", async () => {
    const deployment = await TestDeployment.start({
      zones: ["zone-a", "zone-b", "zone-c"],
      daemons: 1,
      engine: { tokenIntervalMs: 5, coldRequests: 16 },
      configure: (document) => document.models[0].coldSlots = 8,
      settings: { resumeTimeoutMs: 15_000 },
    });
    const [daemon] = deployment.daemons;
    const takeOut = async (zones: readonly string[]) => {
      const version = deployment.setConfig((document) =>
        document.zones.forEach((z) => z.takenOut = zones.includes(z.name))
      );
      await waitUntil(() =>
        daemon.context.configHolder.getVersion() === version
      );
    };
    const countCrashes = () =>
      deployment.engines.reduce((sum, e) => sum + e.crashes, 0);
    try {
      deployment.engines.forEach((e) => e.faults.crashMarker = MARKER);
      await takeOut(["zone-b", "zone-c"]);
      const contents = [1, 2, 3, 4].map((i) => `tokens=150 innocent ${i}`);
      const streams = contents.map((content) =>
        CallerStream.open(daemon, { content })
      );
      await waitUntil(() => streams.every((s) => s.receivedContent !== ""));
      const crashRequest = deployment.requestChat(daemon, CRASH_CONTENT);
      await waitUntil(() => countCrashes() === 1);
      await takeOut(["zone-c"]);
      await waitUntil(() => countCrashes() === 2, 15_000);
      await takeOut([]);
      const refusal = JSON.parse((await crashRequest).body).error;
      await Promise.all(streams.map((stream) => stream.waitUntilEnded()));
      expect(refusal).toMatchObject({
        code: "quarantined",
        verdict: "may-have-run",
      });
      for (const [index, stream] of streams.entries()) {
        const messages = [{ role: "user" as const, content: contents[index] }];
        expect(stream.receivedContent).toBe(
          getExpectedTokens(messages, 999).join(""),
        );
      }
      expect(countCrashes()).toBe(2);
      const quarantinedRequests = daemon.context.quarantine.getQuarantined();
      expect(quarantinedRequests.length).toBe(1);
    } finally {
      await deployment.dispose();
    }
  });
});
