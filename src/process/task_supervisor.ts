import { setMaxListeners } from "node:events";
import { delay } from "../shared/delay.ts";
import type { Logger } from "../shared/logger.ts";

/** Time after which a failed task is started again, in milliseconds. */
const RESTART_DELAY_MS = 500;

/** Task that runs for the life of the daemon. */
export interface BackgroundTask {
  /** Runs the task until the signal aborts. It may be called again after a failure. */
  run(signal: AbortSignal): Promise<void>;
}

/** Starts a background task again when it fails, so that one error does not end it for the life of the daemon. */
export class TaskSupervisor {
  readonly #name: string;
  readonly #task: BackgroundTask;
  readonly #logger: Logger;

  constructor(options: { name: string; task: BackgroundTask; logger: Logger }) {
    this.#name = options.name;
    this.#task = options.task;
    this.#logger = options.logger;
  }

  /** Runs the task until the signal aborts or the task ends without an error. Failures are logged. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !await this.#tryRun(signal)) {
      await delay(RESTART_DELAY_MS, signal);
    }
  }

  /** Runs the task once, and returns whether it has ended without an error. */
  async #tryRun(signal: AbortSignal): Promise<boolean> {
    const controller = new AbortController();
    const runSignal = AbortSignal.any([signal, controller.signal]);
    // Each wait and call of the task may add a listener.
    setMaxListeners(0, runSignal);
    try {
      await this.#task.run(runSignal);
      return true;
    } catch (error) {
      // Other parts of the task may still run.
      controller.abort();
      this.#logger.write("error", "task-failed", {
        task: this.#name,
        message: error instanceof Error ? error.stack : String(error),
      });
      return false;
    }
  }
}
