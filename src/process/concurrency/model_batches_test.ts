import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ENGINE } from "../../../tests/support/planned_fleet.ts";
import { ModelBatches } from "./model_batches.ts";

const BATCHES_PER_STREAM = 30;
/** Prompt that an engine of the test's profile processes in 20 ms. */
const PROMPT_TOKENS = 900;
const PROMPT_MS = 20;

describe("ModelBatches", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createBatches(options: { model: string; streams: number }) {
    const batches = new ModelBatches();
    batches.setEngine(ENGINE, options.model);
    for (let i = 0; i < options.streams; i++) {
      batches.recordPrompt(PROMPT_TOKENS);
      for (let batch = 0; batch < BATCHES_PER_STREAM; batch++) {
        batches.recordBatch();
      }
    }
    return batches;
  }

  // Guards against prompts counted by the clock: a group gets as many a batch when it is slow, and would hide its slowness.
  it("expects the prompts of the streams that replace others", () => {
    const without = createBatches({ model: "large", streams: 0 });
    const batches = createBatches({ model: "large", streams: 10 });
    expect(without.getBatchMs(12, 0)).toBeCloseTo(5 * (8 + 0.1 * 12));
    expect(batches.getBatchMs(12, 0) - without.getBatchMs(12, 0))
      .toBeCloseTo(12 * PROMPT_MS / BATCHES_PER_STREAM);
    expect(batches.getFirstEventMs(PROMPT_TOKENS, 12))
      .toBeCloseTo(1.5 * batches.getBatchMs(12, 0) + PROMPT_MS);
  });

  // Guards against a group that gets many requests at once, as after the loss of another one, and counts as slow for their prompts.
  it("expects the prompts of additional streams, and never less than the steps", () => {
    const batches = createBatches({ model: "large", streams: 10 });
    expect(batches.getBatchMs(6, 4) - batches.getBatchMs(6, 0))
      .toBeCloseTo(4 * PROMPT_MS);
    expect(batches.getBatchMs(6, -4)).toBeCloseTo(5 * (8 + 0.1 * 6));
  });

  // Guards against a model whose expected prefill is too long or too short: the factor applies to all of a group's times.
  it("applies the step factor to the steps and the prompts", () => {
    const batches = createBatches({ model: "small", streams: 10 });
    expect(batches.getBatchMs(12, 0)).toBeCloseTo(
      0.6 *
        (5 * (8 + 0.1 * 12) + 12 * PROMPT_MS / BATCHES_PER_STREAM),
    );
  });

  // Guards against a wrong expectation for the life of the daemon after the prompts have changed.
  it("forgets earlier prompts within minutes", () => {
    const batches = createBatches({ model: "large", streams: 10 });
    vi.advanceTimersByTime(180_000);
    for (let batch = 0; batch < BATCHES_PER_STREAM; batch++) {
      batches.recordBatch();
    }
    expect(batches.getBatchMs(12, 0)).toBeCloseTo(5 * (8 + 0.1 * 12), 0);
  });

  // Guards against an error that is judged by the number of streams alone: one long prompt lengthens a batch of all.
  it("has a shared deviation that single prompts cause", () => {
    const getDeviation = (streams: number) =>
      createBatches({ model: "large", streams }).getSharedDeviation(12);
    expect(getDeviation(0)).toBe(0);
    expect(getDeviation(10)).toBeCloseTo(
      Math.sqrt(12 * PROMPT_MS ** 2 / BATCHES_PER_STREAM / (54 * 500)),
    );
  });
});
