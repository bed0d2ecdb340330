import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ServerRecord, StreamObservation } from "./server_record.ts";

const BATCH_MS = 50;
const ALL = { sufficientWeight: 100, getLoad: () => 1 };

describe("StreamObservation", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createStream() {
    const record = new ServerRecord("g1/1");
    const stream = new StreamObservation(record, {
      firstEventMs: BATCH_MS,
      getLoad: () => 1,
      getBatchMs: () => BATCH_MS,
    });
    const getRatio = () => {
      const evidence = record.getEvidence({ ...ALL, nowMs: performance.now() });
      return evidence.ratios / evidence.expected;
    };
    return { record, stream, getRatio };
  }

  // Guards against a batch that the network splits, which would count as two fast ones.
  it("counts the parts of a split batch once", () => {
    const { stream, getRatio } = createStream();
    for (let i = 0; i < 10; i++) {
      vi.advanceTimersByTime(BATCH_MS - 2);
      stream.recordEvents();
      vi.advanceTimersByTime(2);
      stream.recordEvents();
    }
    expect(getRatio()).toBeCloseTo(1, 1);
  });

  // Guards against a group that counts as slow because a caller reads slowly.
  it("leaves out the time in which the caller does not read", () => {
    const { stream, getRatio } = createStream();
    for (let i = 0; i < 10; i++) {
      vi.advanceTimersByTime(BATCH_MS);
      stream.recordEvents();
      stream.pause();
      vi.advanceTimersByTime(1_000);
      expect(getRatio()).toBeCloseTo(1, 1);
      stream.resume();
    }
  });

  // Guards against streams that end by a time limit or a move, and leave no trace of the pause before.
  it("counts the wait of a stream that ends while its next event is late", () => {
    const { record, stream, getRatio } = createStream();
    vi.advanceTimersByTime(BATCH_MS * 5);
    expect(getRatio()).toBeCloseTo(5, 1);
    stream.finish();
    stream.finish();
    expect(record.pending.size).toBe(0);
    expect(getRatio()).toBeCloseTo(5, 1);
  });

  // Guards against a group that counts as slow for the prompts of requests that were sent to it at the same time.
  it("expects a longer batch after a rise of the load, except while the caller does not read", () => {
    const record = new ServerRecord("g1/1");
    let load = 1;
    const stream = new StreamObservation(record, {
      firstEventMs: BATCH_MS,
      getLoad: () => load,
      getBatchMs: (_load, rise) => BATCH_MS * (1 + rise),
    });
    load = 4;
    vi.advanceTimersByTime(4 * BATCH_MS);
    expect(stream.getPendingRatio(performance.now())).toBeCloseTo(1);
    stream.recordEvents();
    const { ratios, expected } = record.getEvidence({
      ...ALL,
      nowMs: performance.now(),
    });
    expect(ratios / expected).toBeCloseTo(1);
    stream.pause();
    load = 7;
    stream.resume();
    vi.advanceTimersByTime(2 * BATCH_MS);
    expect(stream.getPendingRatio(performance.now())).toBeCloseTo(2);
  });
});
