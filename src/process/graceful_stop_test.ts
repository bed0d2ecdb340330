import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NullLogger } from "../shared/logger.ts";
import { GracefulStop } from "./graceful_stop.ts";

describe("GracefulStop.run", () => {
  let steps: string[];
  let stop: GracefulStop;

  beforeEach(() => {
    vi.useFakeTimers();
    steps = [];
    stop = new GracefulStop(
      { balancerLagMs: 3_000, stopTimeoutMs: 60_000 },
      new NullLogger(),
    );
    stop.addHook({
      name: "loans",
      drain: () => addStep("drain"),
      release: () => addStep("release"),
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function addStep(step: string): Promise<void> {
    steps.push(step);
    return Promise.resolve();
  }

  function startStop(): void {
    stop.run(() => steps.push("close")).then(() => steps.push("end"));
  }

  // Guards against a listener that closes before the load balancer has noticed that the daemon is not ready, so that new connections fail.
  it("accepts requests during the balancer's lag and refuses them afterwards", async () => {
    startStop();
    expect([stop.isLeaving(), stop.takesRequests()]).toEqual([true, true]);
    await vi.advanceTimersByTimeAsync(2_999);
    expect(steps).toEqual([]);
    await vi.advanceTimersByTimeAsync(1);
    expect(stop.takesRequests()).toBe(false);
    expect(steps.slice(0, 2)).toEqual(["close", "drain"]);
  });

  // Guards against an exit while a request is in flight, and against release hooks that run before the request has ended.
  it("waits for requests in flight before it runs the release hooks", async () => {
    const remove = stop.addRequest({ requestId: "r1", abort: () => {} });
    startStop();
    await vi.advanceTimersByTimeAsync(30_000);
    expect(steps).toEqual(["close", "drain"]);
    remove();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(steps).toEqual(["close", "drain", "release", "end"]);
  });

  // Guards against a second stop that starts when the process receives a second signal.
  it("runs the stop only once", async () => {
    startStop();
    startStop();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(steps.filter((s) => s === "close").length).toBe(1);
  });

  // Guards against a stop that never ends because a request does not.
  it("aborts the remaining requests after the time limit", async () => {
    stop.addRequest({ requestId: "r1", abort: () => steps.push("abort") });
    startStop();
    await vi.advanceTimersByTimeAsync(62_999);
    expect(steps).not.toContain("abort");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(steps.slice(2)).toEqual(["abort", "release", "end"]);
  });

  // Guards against a lost outcome: the process exits before the outcome has been written.
  it("waits for background work before it ends", async () => {
    let finish = () => {};
    stop.addBackgroundWork(new Promise<void>((resolve) => finish = resolve));
    startStop();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(steps).not.toContain("end");
    finish();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(steps).toContain("end");
  });

  // Guards against a stop that fails or hangs because one component does.
  it("continues when a hook fails or hangs", async () => {
    stop.addHook({
      name: "faulty",
      drain: () => Promise.reject(new Error("broken")),
      release: () => new Promise(() => {}),
    });
    startStop();
    await vi.advanceTimersByTimeAsync(20_000);
    expect(steps).toContain("end");
  });
});
