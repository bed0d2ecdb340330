import { delay } from "../shared/delay.ts";
import type { Vm } from "../connection/vm_directory.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { chooseReaderPeers, MAX_FULL_MESH_PEERS } from "./peer_selection.ts";
import { PeerSync } from "./peer_sync.ts";

/** Exchanges that a daemon starts in one interval in a full mesh; more peers are asked in turn. */
const MAX_EXCHANGES_PER_INTERVAL = 3;
/** Longest time between two exchanges with one store reader, in intervals: with the reader's own interval it stays below the freshness limit of three. */
const MAX_INTERVALS_PER_READER = 1.5;

/** What decides how often a peer is asked. */
export interface ExchangeRateInput {
  /** Configured time between two exchanges, in milliseconds. */
  readonly intervalMs: number;
  readonly peers: readonly Vm[];
  /** Names of the peers that are asked for their store confirmations. */
  readonly readers: ReadonlySet<string>;
  /** Number of listed daemons. */
  readonly listedDaemonCount: number;
}

/**
 * Gets the time between two exchanges with a peer, in milliseconds. A larger deployment asks store readers often, for their confirmations, and all other peers together once in an interval.
 *
 * @param peer - Peer to ask.
 * @param input - Peers and readers.
 * @example
 * ```ts
 * await delay(getExchangeIntervalMs(peer, input));
 * ```
 */
export function getExchangeIntervalMs(
  peer: Vm,
  input: ExchangeRateInput,
): number {
  const { intervalMs, peers, readers } = input;
  if (input.listedDaemonCount <= MAX_FULL_MESH_PEERS + 1) {
    const rounds = Math.ceil(peers.length / MAX_EXCHANGES_PER_INTERVAL);
    return intervalMs * Math.max(1, rounds);
  }
  if (readers.has(peer.name)) {
    return intervalMs * MAX_INTERVALS_PER_READER;
  }
  return intervalMs * peers.filter((vm) => !readers.has(vm.name)).length;
}

/** Task that exchanges state with one peer. */
export class PeerExchangeTask {
  readonly #context: DaemonContext;
  readonly #address: string;
  readonly #getIntervalMs: () => number;
  readonly #abortController = new AbortController();
  #isReachable = true;

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
        await sync.syncPeer(this.#address);
        this.#recordReachability(true);
      } catch (error) {
        this.#recordReachability(false, getErrorMessage(error));
      }
      const elapsedMs = performance.now() - startedAtMs;
      waitMs = Math.max(0, this.#getIntervalMs() - elapsedMs);
    }
  }

  /** Ends the task. */
  stop(): void {
    this.#abortController.abort();
  }

  #recordReachability(reachable: boolean, message?: string): void {
    if (reachable !== this.#isReachable) {
      this.#isReachable = reachable;
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
  #intervalByAddress = new Map<string, number>();
  #vmListDigest: number | undefined;

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
    this.#refreshIntervals();
    const chosenAddresses = new Set(this.#listAddresses());
    for (const [address, task] of this.#tasks) {
      if (!chosenAddresses.has(address)) {
        task.stop();
        this.#tasks.delete(address);
      }
    }
    for (const address of chosenAddresses) {
      if (!this.#tasks.has(address)) {
        const task = new PeerExchangeTask(this.#context, address, {
          getIntervalMs: () =>
            this.#intervalByAddress.get(address) ??
              this.#context.settings.exchangeIntervalMs,
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

  #refreshIntervals(): void {
    const { membership, vmTable, settings } = this.#context;
    if (vmTable.getDigest() === this.#vmListDigest) {
      return;
    }
    this.#vmListDigest = vmTable.getDigest();
    const peers = membership.getPeers();
    const input: ExchangeRateInput = {
      intervalMs: settings.exchangeIntervalMs,
      peers,
      readers: new Set(chooseReaderPeers({
        self: settings.name,
        zone: settings.zone,
        entryVms: vmTable.getEntryVms(),
      })),
      listedDaemonCount: membership.getListedNames().length,
    };
    this.#intervalByAddress = new Map(
      peers.map((vm) => [vm.address, getExchangeIntervalMs(vm, input)]),
    );
  }
}
