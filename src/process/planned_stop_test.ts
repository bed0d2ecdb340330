import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NullLogger } from "../shared/logger.ts";
import { PlannedStop, type RoutedInFlightRequest } from "./planned_stop.ts";

/** Monotonic time at which a stop with a grace period of 8 s aborts the requests in flight, in milliseconds after its start. */
const END_MS = 7_300;

describe("PlannedStop", () => {
  let stop: PlannedStop;
  let startedAtMs: number;
  let steps: string[];

  beforeEach(() => {
    vi.useFakeTimers();
    steps = [];
    stop = new PlannedStop({ graceMs: 8_000, logger: new NullLogger() });
    startedAtMs = performance.now();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function startStop(): void {
    stop.run(() => steps.push("close")).then(() => steps.push("end"));
  }

  /** Adds a request that ends when it is aborted, with a deadline in milliseconds after the start of the stop. */
  function addRequest(
    requestId: string,
    deadlineMs: number,
    request: Partial<RoutedInFlightRequest> = {},
  ): () => void {
    const remove = stop.addRequest({
      requestId,
      receivedAtMs: performance.now(),
      deadlineAtMs: startedAtMs + deadlineMs,
      hasBeenSent: () => true,
      hasStarted: () => false,
      abort: () => {
        steps.push(`abort ${requestId}`);
        remove();
      },
      ...request,
    });
    return remove;
  }

  function isAccepted(deadlineMs: number): boolean {
    try {
      stop.checkOpen();
      stop.checkDeadline(startedAtMs + deadlineMs);
      return true;
    } catch (error) {
      expect(error).toMatchObject({
        code: "shutting-down",
        status: 503,
        verdict: "not-run",
      });
      return false;
    }
  }

  // Guards against refusals of callers that the load balancer still sends, since it has not noticed the stop yet.
  it("accepts every request until the load balancer has noticed the stop", async () => {
    expect(isAccepted(60_000)).toBe(true);
    startStop();
    await vi.advanceTimersByTimeAsync(2_499);
    expect(stop.isLeaving).toBe(true);
    expect(isAccepted(60_000)).toBe(true);
  });

  // Guards against a request that is accepted late in the stop and cut at its end.
  it("accepts afterwards only a request whose deadline lies before the end of the stop", async () => {
    addRequest("r1", 6_000);
    startStop();
    await vi.advanceTimersByTimeAsync(2_500);
    expect(isAccepted(END_MS - 100)).toBe(true);
    expect(isAccepted(END_MS)).toBe(false);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(isAccepted(END_MS - 100)).toBe(false);
    expect(steps).toEqual(["close"]);
  });

  // Guards against a request that waits for a free slot, is sent late in the stop and cut at its end.
  it("aborts a request that waits and may outlast the stop when the load balancer has noticed it", async () => {
    const hasBeenSent = () => false;
    addRequest("waiting", 8_000, { hasBeenSent });
    addRequest("short", 5_000, { hasBeenSent });
    addRequest("running", 8_000);
    startStop();
    await vi.advanceTimersByTimeAsync(2_500);
    expect(steps).toEqual(["abort waiting"]);
  });

  // Guards against a connection that closes without an answer, and against a stop that lasts until the process is killed.
  it("aborts the requests in flight before the end of the grace period", async () => {
    addRequest("r1", 60_000);
    startStop();
    await vi.advanceTimersByTimeAsync(END_MS - 1);
    expect(steps).toEqual(["close"]);
    await vi.advanceTimersByTimeAsync(1);
    expect(steps).toEqual(["close", "abort r1", "end"]);
    expect(stop.describeEnd()).toEqual({ cut: 1, tookMs: END_MS });
  });

  // Guards against a stop that waits for a request that cannot be aborted.
  it("ends within the grace period when an aborted request does not end", async () => {
    addRequest("r1", 60_000, { abort: () => {} });
    startStop();
    await vi.advanceTimersByTimeAsync(7_999);
    expect(steps).toContain("end");
  });

  it("ends as soon as no request is in flight", async () => {
    const remove = addRequest("r1", 6_000);
    startStop();
    await vi.advanceTimersByTimeAsync(3_000);
    remove();
    await vi.advanceTimersByTimeAsync(0);
    expect(steps).toEqual(["end"]);
    expect(stop.describeEnd().cut).toBe(0);
  });
});
