import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { getExpectedTokens } from "../fakes/fake_completion.ts";
import type { FakeEngine } from "../fakes/fake_engine.ts";
import type { ChatStream } from "../src/request/chat_stream.ts";
import { CallerStream } from "./support/caller_stream.ts";
import { TestDeployment, waitUntil } from "./support/test_deployment.ts";

const CONTENT = "tokens=60 gearbox";

function getExpectedText(content: string): string {
  return getExpectedTokens([{ role: "user", content }], 250_000).join("");
}

describe("complete responses", () => {
  let deployment: TestDeployment;

  beforeEach(async () => {
    deployment = await TestDeployment.start({
      settings: {
        firstTokenTimeoutMs: 1_500,
        nextTokenTimeoutMs: 1_000,
        resumeTimeoutMs: 5_000,
      },
    });
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  function getStreamGroupId(): string {
    return deployment.daemons[0].context.inFlightStreams.getStreams()[0]
      .groupId!;
  }

  function getStreamLeader(): FakeEngine {
    return deployment.getLeader(getStreamGroupId());
  }

  function getNonLeader(): FakeEngine {
    const leader = getStreamLeader();
    return deployment.engines.find((e) =>
      e !== leader && e.name.startsWith(leader.name.slice(0, 6))
    )!;
  }

  // Guards against responses with missing, repeated or mixed-up text when the group fails while it generates them.
  it.each([
    { name: "leader crashes", fail: () => getStreamLeader().crash() },
    { name: "member crashes", fail: () => getNonLeader().crash() },
    {
      name: "leader pauses",
      fail: () => getStreamLeader().faults.paused = true,
    },
    {
      name: "leader is a straggler",
      fail: () => getStreamLeader().faults.slowdown = 1_000,
    },
    {
      name: "duplicate tokens",
      fail: () => getStreamLeader().faults.tokenFault = "duplicate",
    },
    {
      name: "missing token",
      fail: () => getStreamLeader().faults.tokenFault = "gap",
    },
    {
      name: "tokens out of order",
      fail: () => getStreamLeader().faults.tokenFault = "swap",
    },
  ])("returns the complete response when: $name", async ({ fail }) => {
    const stream = CallerStream.open(deployment.daemons[0], {
      content: CONTENT,
    });
    await waitUntil(() => stream.receivedContent !== "");
    fail();
    await stream.waitUntilEnded();
    expect(stream.receivedContent).toBe(getExpectedText(CONTENT));
    expect(stream.error).toBeUndefined();
    expect(stream.text.endsWith("data: [DONE]\n\n")).toBe(true);
  });

  // Guards against a stream that is truncated or repeated when its zone is taken out of service.
  it("moves the streams of a zone to other groups without changing their text", async () => {
    const content = "tokens=200 quiet hours";
    const stream = CallerStream.open(deployment.daemons[0], { content });
    await waitUntil(() => stream.receivedContent !== "");
    const leader = getStreamLeader();
    const { inFlightStreams } = deployment.daemons[0].context;
    const { zone } = inFlightStreams.getStreams()[0];
    inFlightStreams.moveStreamsFromZone(zone!);
    await waitUntil(() => leader.heldRequests === 0, 500);
    await stream.waitUntilEnded();
    expect(stream.receivedContent).toBe(getExpectedText(content));
  });

  // Guards against a caller that waits beyond its deadline for a stuck engine, and against a `not-run` verdict for a request that ran.
  it("ends an accepted stream with an error event at its deadline", async () => {
    const stream = CallerStream.open(deployment.daemons[0], {
      content: CONTENT,
    });
    await waitUntil(() => stream.receivedContent !== "");
    deployment.engines.forEach((engine) => engine.faults.paused = true);
    await stream.waitUntilEnded();
    expect(stream.status).toBe(200);
    expect(stream.error?.verdict).toBe("may-have-run");
    expect(stream.text).not.toContain("[DONE]");
  });

  // Guards against a truncated JSON response that is sent as a complete one.
  it("sends a JSON response completely or not at all", async () => {
    deployment.engines.forEach((engine) => engine.faults.slowdown = 20);
    const response = await deployment.requestChat(
      deployment.daemons[0],
      CONTENT,
      { headers: { "x-deadline-ms": "300" } },
    );
    expect(response.statusCode).toBe(504);
    expect(JSON.parse(response.body).error).toMatchObject({
      code: "deadline-exceeded",
      verdict: "may-have-run",
    });
    await waitUntil(() => deployment.engines.every((e) => !e.heldRequests));
  });

  // Guards against an engine that goes on generating after the caller has disconnected.
  it("cancels the request at the engine when the caller disconnects", async () => {
    const content = "tokens=5000 gone";
    const stream = CallerStream.open(deployment.daemons[0], { content });
    await waitUntil(() => stream.receivedContent !== "");
    const leader = getStreamLeader();
    stream.close();
    await waitUntil(() => leader.heldRequests === 0, 1_000);
    const { inFlightStreams } = deployment.daemons[0].context;
    await waitUntil(() => inFlightStreams.getStreams().length === 0, 1_000);
  });
});

describe("slow readers", () => {
  const MAX_STREAM_HELD_BYTES = 65_536;
  const MAX_HELD_BYTES = 260_000;
  let deployment: TestDeployment;

  beforeEach(async () => {
    deployment = await TestDeployment.start({
      engine: {
        tokensPerInterval: 500,
        tokenIntervalMs: 2,
        maxTokens: 1_000_000,
      },
      configure: (document) => document.models[0].coldSlots = 2,
      settings: {
        stalledCallerMs: 1_500,
        maxStreamHeldBytes: MAX_STREAM_HELD_BYTES,
        maxHeldBytes: MAX_HELD_BYTES,
      },
    });
  });

  afterEach(async () => {
    await deployment.dispose();
  });

  // Guards against memory and engine slots held for callers that never read.
  it("parks and closes the streams of callers that never read, and releases their memory", async () => {
    const { heldBytes, inFlightStreams } = deployment.daemons[0].context;
    const streams = Array.from(
      { length: 3 },
      (_, index) =>
        CallerStream.open(deployment.daemons[0], {
          content: `tokens=200000 slow ${index}`,
          reads: false,
        }),
    );
    await waitUntil(() => heldBytes.getHeldBytes().streams === 3);
    await waitUntil(() => inFlightStreams.getStreams().length === 0, 15_000);
    const heldUsage = heldBytes.getHeldBytes();
    expect(heldUsage.processBytes).toBe(0);
    expect(heldUsage.streams).toBe(0);
    expect(heldUsage.parked).toBeGreaterThan(0);
    expect(heldUsage.peakProcessBytes).toBeLessThanOrEqual(MAX_HELD_BYTES);
    // The stream leaves the table before the cancellation arrives at the engine.
    await waitUntil(
      () => deployment.engines.every((e) => e.heldRequests === 0),
      1_000,
    );
    streams.forEach((stream) => stream.close());
  });

  // Guards against a response with missing or repeated text after its stream was parked.
  it("resumes a parked stream when its caller reads again", async () => {
    const content = "tokens=150000 patient";
    const { heldBytes, inFlightStreams } = deployment.daemons[0].context;
    const stream = CallerStream.open(deployment.daemons[0], {
      content,
      reads: false,
      maxTokens: 200_000,
    });
    await waitUntil(() =>
      heldBytes.getHeldBytes().processBytes > MAX_STREAM_HELD_BYTES
    );
    (inFlightStreams.getStreams()[0] as ChatStream).park();
    await waitUntil(() => deployment.engines.every((e) => !e.heldRequests));
    stream.resume();
    await stream.waitUntilEnded();
    expect(stream.receivedContent).toBe(getExpectedText(content));
  });
});
