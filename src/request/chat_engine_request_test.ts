import { describe, expect, it } from "vitest";
import { modelSchema } from "../version/config_schema.ts";
import {
  getKvTokens,
  getOutputTokens,
  getPromptTokens,
} from "./chat_engine_request.ts";
import { chatRequestSchema } from "./chat_request_schema.ts";

const MODEL = modelSchema.parse({
  name: "model-1",
  groupSizeVms: 4,
  placements: [{ zones: ["zone-a"], count: 1 }],
  contextTokens: 1_000,
  defaultOutputTokens: 100,
  slotsPerGroup: 8,
  kvTokensPerGroup: 10_000,
});

function createBody(content: string, maxTokens?: number) {
  return chatRequestSchema.parse({
    model: "model-1",
    messages: [{ role: "user", content }],
    max_tokens: maxTokens,
  });
}

describe("getPromptTokens", () => {
  // Guards against an estimate based on characters, which underestimates Japanese prompts by a factor of three and overfills the KV cache.
  it("counts one token for each Japanese character", () => {
    expect(getPromptTokens(createBody("梱包機の伝票"))).toBe(6);
  });

  it("counts three bytes of English as one token", () => {
    expect(getPromptTokens(createBody("gearbox"))).toBe(3);
  });
});

describe("getOutputTokens", () => {
  function doTest(maxTokens: number | undefined, expected: number) {
    const body = createBody("x".repeat(300), maxTokens);
    expect(getOutputTokens(body, MODEL)).toBe(expected);
  }

  it("uses the model's default", () => {
    doTest(undefined, 100);
  });

  it("uses the limit of the request", () => {
    doTest(500, 500);
  });

  // Guards against a request that is too large for every group and therefore waits until its deadline.
  it("limits the output to the rest of the context window", () => {
    doTest(100_000, 900);
  });
});

describe("getKvTokens", () => {
  it("adds prompt and output tokens", () => {
    expect(getKvTokens(createBody("x".repeat(300), 50), MODEL)).toBe(150);
  });
});
