import { delay } from "../shared/delay.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { PeerSync } from "./peer_sync.ts";

/** Exchanges that a daemon starts in one interval; more peers are asked in turn. */
export const MAX_EXCHANGES_PER_INTERVAL = 3;

/** Task that exchanges state with one peer. */
export class PeerExchangeTask {
  readonly #context: DaemonContext;
  readonly #address: string;
  readonly #getIntervalMs: () => number;
  readonly #abortController = new AbortController();
  #reachable = true;

  constructor(
    context: DaemonContext,
    address: string,
    options: { getIntervalMs: () => number },
  ) {
    this.#context = context;
    this.#address = address;
    this.#getIntervalMs = options.getIntervalMs;
  }

  /** Runs until the peer is no longer chosen or the daemon stops. */
  async run(): Promise<void> {
    const signal = AbortSignal.any([
      this.#abortController.signal,
      this.#context.lifeCycle.signal,
    ]);
    const sync = new PeerSync(this.#context);
    // A random first delay keeps the daemons from exchanging in step.
    let waitMs = Math.random() * this.#context.settings.exchangeIntervalMs;
    while (await delay(waitMs, signal)) {
      const startedAtMs = performance.now();
      try {
        await sync.exchange(this.#address);
        this.#reportReachable(true);
      } catch (error) {
        this.#reportReachable(false, getErrorMessage(error));
      }
      const elapsedMs = performance.now() - startedAtMs;
      waitMs = Math.max(0, this.#getIntervalMs() - elapsedMs);
    }
  }

  /** Ends the task. */
  stop(): void {
    this.#abortController.abort();
  }

  #reportReachable(reachable: boolean, message?: string): void {
    if (reachable !== this.#reachable) {
      this.#reachable = reachable;
      this.#context.logger.write(
        reachable ? "info" : "warn",
        reachable ? "peer-reachable" : "peer-unreachable",
        { address: this.#address, message },
      );
    }
  }
}

/** Task that starts and stops the exchanges as the VM list changes. */
export class PeerExchangeSupervisor {
  readonly #context: DaemonContext;
  readonly #tasks = new Map<string, PeerExchangeTask>();

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      this.refreshPeers();
    } while (await delay(settings.exchangeIntervalMs, lifeCycle.signal));
  }

  /** Starts the exchanges with new peers and stops those with former ones. */
  refreshPeers(): void {
    const wanted = new Set(this.#listAddresses());
    for (const [address, task] of this.#tasks) {
      if (!wanted.has(address)) {
        task.stop();
        this.#tasks.delete(address);
      }
    }
    for (const address of wanted) {
      if (!this.#tasks.has(address)) {
        const task = new PeerExchangeTask(this.#context, address, {
          getIntervalMs: () => this.#getIntervalMs(),
        });
        this.#tasks.set(address, task);
        void task.run();
      }
    }
  }

  /** The peers of the settings are asked until a VM list is known. */
  #listAddresses(): string[] {
    const { membership, vmTable, settings } = this.#context;
    return vmTable.getEntryVms().length === 0
      ? settings.peers
      : membership.getPeers().map((vm) => vm.address);
  }

  #getIntervalMs(): number {
    const rounds = Math.ceil(this.#tasks.size / MAX_EXCHANGES_PER_INTERVAL);
    return this.#context.settings.exchangeIntervalMs * Math.max(1, rounds);
  }
}
