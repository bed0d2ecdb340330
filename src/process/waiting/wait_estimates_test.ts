import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createWaitingPart } from "./waiting_part.ts";

const REQUEST = {
  service: "models",
  model: "m",
  priority: 0,
  hasStarted: false,
  latencyDeadlineMs: 800,
  waitDeadlineMs: 1_800,
};

describe("WaitEstimates", () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function doTest({ releases, arrivals }: Record<string, number>) {
    const write = vi.fn();
    const part = createWaitingPart({ waitEstimates: true }, {
      logger: { write },
      metrics: { count: () => {} },
      groups: { listServingGroups: () => [{ key: "g/1" }] },
      loads: { getLoad: () => 10, getOwnLoad: () => 10 },
    });
    const estimates = part!.estimates;
    for (let i = 0; i < releases; i++) {
      estimates.recordRelease(REQUEST, { isBeyond: false, heldMs: 1_000 });
    }
    for (let i = 0; i < arrivals; i++) {
      estimates.recordArrival(REQUEST);
    }
    const examine = (request = {}) => {
      const isHopeless = estimates.createExamination();
      return Array.from(
        { length: 50 },
        () => isHopeless({ ...REQUEST, ...request }),
      ).filter(Boolean).length;
    };
    return { estimates, examine, write };
  }

  it("refuses the end of a queue that grows, with one log line a second", () => {
    const { examine, write } = doTest({ releases: 20, arrivals: 80 });
    expect(examine()).toBeGreaterThan(30);
    examine();
    expect(write).toHaveBeenCalledTimes(1);
    expect(write.mock.calls[0].slice(0, 2)).toEqual(["info", "wait-refused"]);
  });

  // Guards against refusals while a first group forms, or just after the start of the daemon.
  it("refuses nobody without evidence, and knows no time to return", () => {
    const { estimates, examine } = doTest({ releases: 4, arrivals: 80 });
    expect(examine()).toBe(0);
    expect(estimates.createReturn(REQUEST)).toBeUndefined();
  });

  // Guards against streams that are cut because their continuation is refused.
  it.each([
    { hasStarted: true },
    { mayHaveRun: true },
  ])("lets a request wait that may have run: %o", (request) => {
    const { examine } = doTest({ releases: 20, arrivals: 80 });
    expect(examine(request)).toBe(0);
  });

  // Guards against slots that are promised to callers who do not return.
  it("promises a slot to callers who get a true refusal only", () => {
    const { estimates } = doTest({ releases: 20, arrivals: 80 });
    for (const request of [{ mayHaveRun: true }, { hasStarted: true }]) {
      expect(estimates.createReturn({ ...REQUEST, ...request }))
        .toBeUndefined();
    }
    const signal = AbortSignal.abort();
    expect(estimates.createReturn({ ...REQUEST, signal })).toBeUndefined();
    expect(estimates.promisedMs).toBe(0);
    expect(estimates.createReturn(REQUEST)).toBeGreaterThan(0);
    expect(estimates.promisedMs).toBeGreaterThan(0);
  });

  // Guards against declined attempts that look like slots that become free every few milliseconds.
  it("ignores the release of a declined request", () => {
    const { estimates, examine } = doTest({ releases: 20, arrivals: 80 });
    const grant = { isBeyond: false, heldMs: 5 };
    for (let i = 0; i < 500; i++) {
      estimates.recordArrival(REQUEST);
      estimates.recordGrant(REQUEST);
      estimates.recordRelease(REQUEST, grant);
      estimates.recordDecline(REQUEST, "g/1", grant);
    }
    expect(examine()).toBeGreaterThan(30);
  });

  // Guards against a part that is on where nobody has asked for it.
  it("is off unless the settings turn it on", () => {
    const options = {} as Parameters<typeof createWaitingPart>[1];
    for (const settings of [{}, { waitEstimates: false }]) {
      expect(createWaitingPart(settings, options)).toBeUndefined();
    }
    expect(createWaitingPart({ waitEstimates: true }, options)).toBeDefined();
  });
});
