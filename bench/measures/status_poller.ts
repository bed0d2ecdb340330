import { delay } from "../../src/shared/delay.ts";
import type { BenchDeployment } from "./bench_deployment.ts";
import { createStatusSample, type StatusSample } from "./status_sample.ts";

const POLL_INTERVAL_MS = 50;

/** Samples the status of one daemon at a fixed interval. */
export class StatusPoller {
  readonly samples: StatusSample[] = [];
  readonly #deployment: BenchDeployment;
  readonly #startedAtMs: number;
  readonly #abortController = new AbortController();
  readonly #pollLoop: Promise<void>;

  /**
   * Starts polling.
   *
   * @param deployment - Deployment whose first daemon is polled.
   * @param startedAtMs - Start of the measurement as a time of `performance.now()`.
   */
  constructor(deployment: BenchDeployment, startedAtMs: number) {
    this.#deployment = deployment;
    this.#startedAtMs = startedAtMs;
    this.#pollLoop = this.#run();
  }

  /** Stops polling and waits for the end of the last status request. */
  async dispose(): Promise<void> {
    this.#abortController.abort();
    await this.#pollLoop;
  }

  async #run(): Promise<void> {
    const { groupSizeVms } = this.#deployment.profile;
    do {
      const status = await this.#deployment.getStatus().catch(() => undefined);
      if (status !== undefined) {
        const atMs = performance.now() - this.#startedAtMs;
        this.samples.push(createStatusSample(status, { atMs, groupSizeVms }));
      }
    } while (await delay(POLL_INTERVAL_MS, this.#abortController.signal));
  }
}
