import OpenAI, { APIError } from "openai";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  countPromptTokens,
  getExpectedTokens,
} from "../fakes/fake_completion.ts";
import {
  TEST_API_KEY,
  TEST_MODEL,
  TestDeployment,
  waitUntil,
} from "./support/test_deployment.ts";

describe("contract with the openai client", () => {
  let deployment: TestDeployment;
  let client: OpenAI;

  beforeAll(async () => {
    deployment = await TestDeployment.start({
      settings: {
        firstTokenTimeoutMs: 300,
        nextTokenTimeoutMs: 300,
        resumeTimeoutMs: 500,
      },
    });
    client = new OpenAI({
      baseURL: `http://${deployment.daemons[0].callerAddress}/v1`,
      apiKey: TEST_API_KEY,
      maxRetries: 0,
    });
  });

  afterAll(async () => {
    await deployment.dispose();
  });

  const messages = [{ role: "user" as const, content: "tokens=30 quote" }];
  const usage = {
    prompt_tokens: countPromptTokens(messages),
    completion_tokens: 30,
    total_tokens: countPromptTokens(messages) + 30,
  };

  // Guards against responses that the client cannot parse.
  it("returns a response as JSON", async () => {
    const response = await client.chat.completions.create({
      model: TEST_MODEL,
      messages,
    });
    expect(response.choices[0].message.content).toBe(
      getExpectedTokens(messages, 512).join(""),
    );
    expect(response.choices[0].finish_reason).toBe("stop");
    expect(response.usage).toEqual(usage);
  });

  // Guards against a stream whose token counts are missing or attached to the wrong event.
  it("sends the token counts in the last event of a stream", async () => {
    const stream = await client.chat.completions.create({
      model: TEST_MODEL,
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const chunks = [];
    for await (const chunk of stream) {
      chunks.push(chunk);
    }
    expect(chunks[0].choices[0].delta.role).toBe("assistant");
    expect(chunks.map((c) => c.choices[0]?.delta.content ?? "").join(""))
      .toBe(getExpectedTokens(messages, 512).join(""));
    expect(chunks.at(-1)!.choices).toEqual([]);
    expect(chunks.at(-1)!.usage).toEqual(usage);
    expect(chunks.at(-2)!.choices[0].finish_reason).toBe("stop");
  });

  // Guards against refusals that the client reports without status and error code.
  it("reports a refusal with its status and code", async () => {
    const refusal = client.chat.completions.create({ model: "none", messages });
    await expect(refusal).rejects.toMatchObject({
      status: 404,
      code: "unknown-model",
    });
  });

  // Guards against a truncated response that the client treats as complete.
  it("reports the failure of a stream that has started", async () => {
    const stream = await client.chat.completions.create({
      model: TEST_MODEL,
      messages: [{ role: "user", content: "tokens=2000 manual" }],
      max_tokens: 2_000,
      stream: true,
    });
    let tokens = 0;
    const readPromise = (async () => {
      for await (const chunk of stream) {
        tokens += chunk.choices.length;
      }
    })();
    readPromise.catch(() => undefined);
    await waitUntil(() => tokens > 0);
    deployment.engines.forEach((engine) => engine.faults.paused = true);
    await expect(readPromise).rejects.toBeInstanceOf(APIError);
    deployment.engines.forEach((engine) => engine.faults.paused = false);
  });
});
