import { describe, expect, it } from "vitest";
import { configSchema } from "../version/config_schema.ts";
import { chatRequestSchema } from "./chat_request_schema.ts";
import { getRequestFingerprint } from "./request_fingerprint.ts";

describe("getRequestFingerprint", () => {
  const document = configSchema.parse({
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    models: [{
      name: "model-1",
      groupSizeVms: 1,
      placements: [{ zones: ["zone-a"], count: 1 }],
      slotsPerGroup: 1,
      kvTokensPerGroup: 1,
    }],
    clientAccounts: [{ name: "a", apiKeySha256: ["0".repeat(64)] }],
  });
  const baseFields = {
    model: "model-1",
    messages: [{ role: "user", content: "crank" }],
  };

  function doTest(change: Record<string, unknown>): boolean {
    const model = document.models[0];
    const originalBody = chatRequestSchema.parse(baseFields);
    const retriedBody = chatRequestSchema.parse({ ...baseFields, ...change });
    return getRequestFingerprint(originalBody, model) ===
      getRequestFingerprint(retriedBody, model);
  }

  // Guards against a retry that avoids the quarantine by changing a parameter.
  it.each([
    { change: { stream: true } },
    { change: { max_tokens: 7 } },
    { change: { temperature: 1 } },
    { change: { user: "other" } },
    {
      change: {
        messages: [{
          role: "user",
          content: [{ type: "text", text: "crank" }],
        }],
      },
    },
  ])("stays the same for $change", ({ change }) => {
    expect(doTest(change)).toBe(true);
  });

  // Guards against quarantining harmless requests that share a fingerprint with one that crashes groups.
  it.each([
    { change: { messages: [{ role: "user", content: "crank 2" }] } },
    { change: { messages: [{ role: "system", content: "crank" }] } },
  ])("differs for $change", ({ change }) => {
    expect(doTest(change)).toBe(false);
  });
});
