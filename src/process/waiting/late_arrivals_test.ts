import { describe, expect, it } from "vitest";
import { chooseLatencyDeadlineMs } from "./late_arrivals.ts";

const LATE = { hasStarted: false, latencyDeadlineMs: 900 };

describe("chooseLatencyDeadlineMs", () => {
  it("lets a share of the late arrivals take part for a time", () => {
    expect(chooseLatencyDeadlineMs(LATE, 1_000, 0.3)).toBe(1_250);
    expect(chooseLatencyDeadlineMs(LATE, 1_000, 0.7)).toBe(900);
  });

  // Guards against callers that gain from returning too early or from being refused.
  it.each([
    ["on time", { latencyDeadlineMs: 1_100 }],
    ["returning", { isReturning: true }],
    ["returning too early", { latencyDeadlineMs: Number.NEGATIVE_INFINITY }],
    ["started", { hasStarted: true }],
  ])("keeps the time of a request that is %s", (_name, request) => {
    const changed = { ...LATE, ...request };
    expect(chooseLatencyDeadlineMs(changed, 1_000, 0))
      .toBe(changed.latencyDeadlineMs);
  });
});
