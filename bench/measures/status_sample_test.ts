import { describe, expect, it } from "vitest";
import type { LoadResult } from "../load/load_result.ts";
import { createPhaseSummaries } from "./phase_summary.ts";
import { formatGain } from "./report_tables.ts";
import {
  createStatusSample,
  getDowntime,
  getStrandedVmSeconds,
  type StatusSample,
} from "./status_sample.ts";

function createSamples(groups: readonly number[]): StatusSample[] {
  return groups.map((completeGroups, index) => ({
    atMs: index * 1_000,
    completeGroups,
    strandedVms: (4 - completeGroups) * 4,
  }));
}

describe("createStatusSample", () => {
  it("counts only serving complete groups and only live backend VMs", () => {
    const vms = Array.from({ length: 9 }, (_, index) => ({
      name: `vm-${index}`,
      role: index === 0 ? "entry" : "backend",
      state: index === 1 ? "leaving" : "live",
    }));
    const groups = [
      { phase: "serving", health: "ready" },
      { phase: "serving", health: "incomplete" },
      { phase: "loading", health: "cold" },
      { phase: "serving", health: "unknown" },
    ].map((group) => ({ ...group, leader: "vm-2" }));
    const sample = createStatusSample({ vms, groups }, {
      atMs: 5,
      groupSizeVms: 4,
    });
    expect(sample).toEqual({ atMs: 5, completeGroups: 1, strandedVms: 3 });
  });
});

describe("getDowntime", () => {
  function doTest(
    groups: readonly number[],
    loss: { atMs: number; untilMs?: number },
    expected: { durationMs: number; restored: boolean; observed: boolean },
  ) {
    const samples = createSamples(groups);
    expect(getDowntime(samples, { ...loss, wantedGroups: 4 })).toEqual(
      expected,
    );
  }

  it("includes the time until the loss is detected in the downtime", () => {
    doTest([4, 4, 4, 3, 3, 4], { atMs: 500 }, {
      durationMs: 4_500,
      restored: true,
      observed: true,
    });
  });

  it("does not attribute a decrease after the next loss to this loss", () => {
    doTest([4, 4, 4, 4, 3, 4], { atMs: 500, untilMs: 3_500 }, {
      durationMs: 0,
      restored: true,
      observed: false,
    });
  });

  it("returns the time until the last sample when the groups are not restored", () => {
    doTest([4, 3, 3, 3], { atMs: 500 }, {
      durationMs: 2_500,
      restored: false,
      observed: true,
    });
  });
});

describe("getStrandedVmSeconds", () => {
  it("weights each sample by the time until the next one", () => {
    expect(getStrandedVmSeconds(createSamples([4, 3, 2, 4]))).toBe(12);
  });

  it("subtracts the exempt VMs from each sample, but not below zero", () => {
    expect(getStrandedVmSeconds(createSamples([4, 3, 2, 4]), 5)).toBe(3);
  });
});

describe("createPhaseSummaries", () => {
  it("assigns a request to the phase in which it started", () => {
    const results = [0, 999, 1_000].map((startedAtMs): LoadResult => ({
      id: String(startedAtMs),
      kind: "chat",
      startedAtMs,
      outcome: startedAtMs === 999 ? "cut" : "whole",
      durationMs: 5_000,
      gapsMs: [],
    }));
    const summaries = createPhaseSummaries(results, [
      { name: "before", fromMs: 0, toMs: 1_000 },
      { name: "after", fromMs: 1_000, toMs: 2_000 },
    ]);
    expect(summaries.map((s) => s.summary.requests)).toEqual([2, 1]);
    expect(summaries[0].summary.outcomes.cut).toBe(1);
    expect(summaries[0].summary.wholeShare).toBe(0.5);
  });
});

describe("formatGain", () => {
  it("divides the baseline's cost by the policy's and describes zero and missing costs in words", () => {
    expect(formatGain(2, 5)).toBe("2.50");
    expect(formatGain(0, 5)).toBe("policy 0");
    expect(formatGain(0, 0)).toBe("both 0");
    expect(formatGain(NaN, 1)).toBe("not measured");
  });
});
