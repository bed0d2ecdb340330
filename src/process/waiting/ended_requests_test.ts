import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { countEndedRequests } from "./ended_requests.ts";
import { EngineQueues } from "./engine_queues.ts";

const LOAD = {
  peerLoad: 24,
  fallPerMs: 0.02,
  slots: 32,
  ageMs: 100,
  durationMs: 1_000,
};

describe("countEndedRequests", () => {
  it.each([
    ["the fall since the reports", {}, 2],
    ["nothing while others fill their slots", { fallPerMs: 0 }, 0],
    ["no more than have ended", { fallPerMs: 1, peerLoad: 10 }, 1],
    ["at most an eighth of the slots", { fallPerMs: 1, peerLoad: 320 }, 4],
  ])("counts %s", (_name, load, expected) => {
    expect(countEndedRequests({ ...LOAD, ...load }, 0)).toBe(expected);
  });
});

describe("EngineQueues", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("gives a group nothing beyond its slots for a second after a decline", () => {
    const queues = new EngineQueues();
    queues.recordDecline("s", "g/1", { isBeyond: false });
    expect(queues.takesMore("s", "g/1")).toBe(false);
    expect(queues.takesMore("s", "g/2")).toBe(true);
    vi.advanceTimersByTime(1_000);
    expect(queues.takesMore("s", "g/1")).toBe(true);
  });

  // Guards against an engine without a queue that declines requests every second.
  it("tries an engine that does not queue ever more rarely", () => {
    const queues = new EngineQueues();
    let declines = 0;
    for (let atMs = 0; atMs < 120_000; atMs += 100) {
      if (queues.takesMore("s", "g/1")) {
        declines++;
        queues.recordDecline("s", "g/1", { isBeyond: true });
      }
      vi.advanceTimersByTime(100);
    }
    expect(declines).toBeLessThan(10);
    queues.recordTaken("s");
    expect(queues.takesMore("s", "g/2")).toBe(true);
  });
});
