import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { delay } from "../shared/delay.ts";
import { type BackgroundTask, TaskSupervisor } from "./task_supervisor.ts";

const RESTART_DELAY_MS = 500;

describe("TaskSupervisor", () => {
  const events: string[] = [];
  let controller: AbortController;

  beforeEach(() => {
    vi.useFakeTimers();
    events.splice(0);
    controller = new AbortController();
  });
  afterEach(() => vi.useRealTimers());

  /** Starts a task, and returns the promise of its end. */
  function doTest(run: BackgroundTask["run"]): Promise<void> {
    const supervisor = new TaskSupervisor({
      name: "replicas",
      task: { run },
      logger: {
        write: (_level, event, fields) =>
          events.push(`${event} ${fields?.task}`),
      },
    });
    return supervisor.run(controller.signal);
  }

  // The planner ended at an error of one configuration, and planned nothing for the later ones.
  it("starts a failed task again", async () => {
    let runs = 0;
    const endPromise = doTest(() => {
      runs++;
      return runs < 3
        ? Promise.reject(new Error("No model"))
        : Promise.resolve();
    });
    await vi.advanceTimersByTimeAsync(2 * RESTART_DELAY_MS);
    await endPromise;
    expect(runs).toBe(3);
    expect(events).toEqual(["task-failed replicas", "task-failed replicas"]);
  });

  it("ends the other parts of a task before it starts it again", async () => {
    let parts = 0;
    const runPart = async (signal: AbortSignal) => {
      parts++;
      while (await delay(10, signal));
      parts--;
    };
    void doTest(async (signal) => {
      await Promise.all([
        runPart(signal),
        delay(20, signal).then(() => Promise.reject(new Error("No model"))),
      ]);
    });
    await vi.advanceTimersByTimeAsync(20 + RESTART_DELAY_MS / 2);
    expect(parts).toBe(0);
    await vi.advanceTimersByTimeAsync(RESTART_DELAY_MS / 2);
    expect(parts).toBe(1);
  });

  it("does not start a failed task again after the signal has aborted", async () => {
    let runs = 0;
    const endPromise = doTest(() => {
      runs++;
      return Promise.reject(new Error("No model"));
    });
    await vi.advanceTimersByTimeAsync(1);
    controller.abort();
    await endPromise;
    expect(runs).toBe(1);
  });
});
