import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { PromptPartQuarantine } from "../../process/fleet/prompt_part_quarantine.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { GroupAttempt } from "./group_attempt.ts";
import { PromptPartEvidence } from "./prompt_part_evidence.ts";

describe("PromptPartEvidence", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest() {
    const quarantine = new PromptPartQuarantine({
      logger: new NullLogger(),
      onChange: () => {},
    });
    ["g1/1", "g2/1", "g3/1"].forEach((key) =>
      quarantine.recordCrash(key, ["p"])
    );
    vi.advanceTimersByTime(100);
    const evidence = new PromptPartEvidence(quarantine, ["p"]);
    const attempts = Array.from({ length: 2 }, () => ({}) as GroupAttempt);
    const isRefused = () => quarantine.findRefusedPart(["p"]) === "p";
    return { evidence, attempts, isRefused };
  }

  // A server that a part crashes may send some events first.
  it("keeps a part suspected while the response has just begun", () => {
    const { evidence, attempts: [attempt], isRefused } = doTest();
    evidence.recordEvents(attempt);
    vi.advanceTimersByTime(500);
    evidence.recordEvents(attempt);
    expect(isRefused()).toBe(true);
    expect(evidence.recordCrash(attempt)).toBe(true);
  });

  it("clears the parts once the response has had events for a second", () => {
    const { evidence, attempts: [attempt], isRefused } = doTest();
    evidence.recordEvents(attempt);
    vi.advanceTimersByTime(1_000);
    evidence.recordEvents(attempt);
    expect(isRefused()).toBe(false);
    expect(evidence.recordCrash(attempt)).toBe(false);
  });

  it("clears the parts when the response is complete", () => {
    const { evidence, attempts: [attempt], isRefused } = doTest();
    evidence.recordEvents(attempt);
    evidence.recordCompletion();
    expect(isRefused()).toBe(false);
  });

  // Each attempt may pass on one more event before its server crashes, so the last one ends the response.
  it("keeps a part suspected when the rest of the response follows a crash", () => {
    const { evidence, attempts: [first, second], isRefused } = doTest();
    evidence.recordEvents(first);
    evidence.recordCrash(first);
    evidence.recordEvents(second);
    evidence.recordCompletion();
    expect(isRefused()).toBe(true);
  });

  it("suspects the second attempt although the first had events for a second", () => {
    const { evidence, attempts: [first, second] } = doTest();
    evidence.recordEvents(first);
    vi.advanceTimersByTime(1_000);
    evidence.recordEvents(first);
    expect(evidence.recordCrash(first)).toBe(false);
    expect(evidence.recordCrash(second)).toBe(true);
  });
});
