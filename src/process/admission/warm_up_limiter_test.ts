import { describe, expect, it } from "vitest";
import { configSchema } from "../../version/config_schema.ts";
import type { ReceivedGroupHealth } from "../group_health.ts";
import { WarmUpLimiter } from "./warm_up_limiter.ts";

const MODEL = configSchema.parse({
  schemaVersion: 1,
  zones: [{ name: "zone-a", region: "region-1" }],
  models: [{
    name: "model-1",
    groupSizeVms: 1,
    placements: [{ zones: ["zone-a"], count: 1 }],
    slotsPerGroup: 16,
    kvTokensPerGroup: 1_000,
    warmAfterRequests: 32,
  }],
  clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
}).models[0];

function createHealth(
  health: Partial<ReceivedGroupHealth> = {},
): ReceivedGroupHealth {
  return {
    groupId: "group-1",
    generation: 1,
    state: "ready",
    bootId: "boot-1",
    observer: "entry-1",
    sequence: 1,
    ageMs: 0,
    observedAtMs: 0,
    runningRequests: 0,
    heldTokens: 0,
    maxTokens: 1_000,
    tokenIntervalMs: 10,
    ...health,
  };
}

describe("WarmUpLimiter", () => {
  const context = {
    model: MODEL,
    isFirstHome: true,
    accountedRequests: 0,
  };

  // Guards against full load on an engine that has just restarted or is no longer warm (I3).
  it.each([
    ["changed boot id", { bootId: "boot-2" }],
    ["changed generation", { generation: 2 }],
    ["longer token interval", { tokenIntervalMs: 40 }],
    ["reported cold state", { state: "cold" as const }],
  ])("is cold at once after a %s", (_name, change) => {
    const limiter = new WarmUpLimiter();
    limiter.observeHealth(createHealth(), context);
    limiter.observeHealth(createHealth(), context);
    expect(limiter.getSlotLimit("group-1", MODEL)).toBe(16);
    limiter.observeHealth(createHealth(change), context);
    expect(limiter.getSlotLimit("group-1", MODEL)).toBe(MODEL.coldSlots);
  });

  // Guards against a slot limit that grows with requests that started before the group turned cold.
  it("raises the limit with finished requests that started while the group was cold", () => {
    const limiter = new WarmUpLimiter();
    limiter.observeHealth(createHealth({ state: "cold" }), context);
    limiter.recordFinishedRequests("group-1", { count: 8, startedAtMs: 0 });
    expect(limiter.getSlotLimit("group-1", MODEL)).toBe(1);
    limiter.recordFinishedRequests("group-1", {
      count: 8,
      startedAtMs: performance.now(),
    });
    expect(limiter.getSlotLimit("group-1", MODEL)).toBe(4);
    limiter.observeHealth(createHealth(), context);
    expect(limiter.getSlotLimit("group-1", MODEL)).toBe(16);
  });

  // Guards against a first home that uses the full limit of a cold group although requests that other daemons sent while it was warm still run there.
  it.each<[string, number, number, boolean, number]>([
    ["a request of another daemon", 1, 0, true, 0],
    ["a request of its own", 1, 1, true, 1],
    ["a request of its own and of another daemon", 2, 1, true, 0],
    ["a request, on a daemon that is not the first home", 1, 0, false, 1],
  ])(
    "takes %s into account",
    (_name, runningRequests, accountedRequests, isFirstHome, slots) => {
      const limiter = new WarmUpLimiter();
      limiter.observeHealth(createHealth(), context);
      limiter.observeHealth(
        createHealth({ state: "cold", runningRequests, observedAtMs: 100 }),
        { model: MODEL, isFirstHome, accountedRequests },
      );
      expect(limiter.getSlotLimit("group-1", MODEL)).toBe(slots);
      limiter.observeHealth(
        createHealth({ state: "cold", observedAtMs: 200 }),
        context,
      );
      expect(limiter.getSlotLimit("group-1", MODEL)).toBe(1);
    },
  );
});
