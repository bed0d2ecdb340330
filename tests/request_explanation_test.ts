import got from "got";
import { afterEach, describe, expect, it } from "vitest";
import { renderExplanation } from "../src/console/request_explanation.ts";
import type { Daemon } from "../src/process/daemon.ts";
import { CallerStream } from "./support/caller_stream.ts";
import { TestDeployment, waitUntil } from "./support/test_deployment.ts";

describe("renderExplanation", () => {
  let deployment: TestDeployment;

  afterEach(async () => {
    await deployment.dispose();
  });

  /** Gets the sentences that explain a request, with durations, ids and addresses replaced by fixed words. */
  function getSentences(daemon: Daemon, requestId: string): string[] {
    const events = daemon.context.timeline.getEvents({ requestId });
    return renderExplanation(events).map(({ sentence }) =>
      sentence.replace(/\d+ ms/, "T ms").replace(
        /after \d+ tokens/,
        "after N tokens",
      )
        .replace(/group \S+?(?=[, ])/, "group G").replace(
          /generation \d+/,
          "generation 1",
        )
        .replace(/failed: .*/, "failed.").replace(
          /(?:\d+\.){3}\d+:\d+/,
          "ADDRESS",
        )
        .replace(/bookings-[0-9a-f]+/, "bookings-HASH")
    );
  }

  // Guards against an explanation that omits the groups that a request was sent to or the reason for an attempt.
  it("explains a chat that was resumed on another group", async () => {
    deployment = await TestDeployment.start({
      settings: { resumeTimeoutMs: 5_000 },
    });
    const [daemon] = deployment.daemons;
    const stream = CallerStream.open(daemon, { content: "tokens=60 gearbox" });
    await waitUntil(() => stream.receivedContent !== "");
    const [inFlightStream] = daemon.context.inFlightStreams.getStreams();
    const { requestId } = inFlightStream;
    deployment.getLeader(inFlightStream.groupId!).crash();
    await stream.waitUntilEnded();
    expect(stream.error).toBeUndefined();
    const sentences = getSentences(daemon, requestId);
    expect(sentences).toEqual([
      "The request of client account account-1 for test-model was received.",
      "Attempt 1 was sent to group G, generation 1, after N tokens.",
      "Attempt 1 on group G failed.",
      "Attempt 2 was sent to group G, generation 1, after N tokens.",
      "The request ended after T ms with 60 tokens.",
    ]);
    const { metrics } = daemon.context;
    expect(metrics.getCount("chat_requests")).toBe(1);
    expect(metrics.getCount("resumes")).toBe(1);
    expect(metrics.getCount("tokens")).toBe(60);
    expect(metrics.getQuantileMs("time_to_first_token", 0.5)).toBeGreaterThan(
      0,
    );
    await waitUntil(() => metrics.getCount("group_losses") > 0);
    const events = daemon.context.timeline.getEvents().map((e) => e.event);
    expect(events).toContain("group-lost");
    expect(events).toContain("config-applied");
  });

  // Guards against an explanation that does not say whether a booking was sent.
  it("explains a claimed booking and its retry", async () => {
    deployment = await TestDeployment.start();
    const [daemon] = deployment.daemons;
    const call = { key: "visit-1", body: "{}" };
    const firstResponse = await deployment.callService(daemon, "/visits", call);
    const secondResponse = await deployment.callService(
      daemon,
      "/visits",
      call,
    );
    expect([firstResponse.statusCode, secondResponse.statusCode]).toEqual([
      200,
      200,
    ]);
    const receivedSentence =
      "The request of client account account-1 for bookings was received.";
    const finishedSentence = "The request ended after T ms.";
    expect(getSentences(daemon, String(firstResponse.headers["x-request-id"])))
      .toEqual([
        receivedSentence,
        "The claim bookings-HASH was created for the call.",
        "The call was sent to the backend server at ADDRESS.",
        finishedSentence,
      ]);
    expect(getSentences(daemon, String(secondResponse.headers["x-request-id"])))
      .toEqual([
        receivedSentence,
        "A claim for the idempotency key already existed; its state is stored.",
        finishedSentence,
      ]);
    const { metrics } = daemon.context;
    expect(metrics.getCount("service_requests")).toBe(2);
    expect(metrics.getCount("claims", "granted")).toBe(1);
    expect(metrics.getCount("store_writes")).toBeGreaterThan(0);
    const page = await got(`http://${daemon.operatorAddress}/metrics`).text();
    expect(page).toContain("tarragontally_config_version 1\n");
    expect(page).toContain('tarragontally_claims_total{kind="stored"} 1\n');
  });

  // Guards against a refusal that is neither recorded in the timeline nor counted.
  it("explains a refused request and counts it by its code", async () => {
    deployment = await TestDeployment.start();
    const [daemon] = deployment.daemons;
    const response = await deployment.requestChat(daemon, "late", {
      headers: { "x-deadline-ms": "0" },
    });
    expect(response.statusCode).toBe(400);
    const requestId = String(response.headers["x-request-id"]);
    expect(getSentences(daemon, requestId)).toEqual([
      "The request was refused with bad-request, verdict not-run: The header x-deadline-ms is not a whole number from 1 to 3600000.",
    ]);
    const { metrics } = daemon.context;
    expect(metrics.getCount("refusals", "bad-request")).toBe(1);
  });
});
