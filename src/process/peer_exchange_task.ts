import { delay } from "../shared/delay.ts";
import type { Vm } from "../connection/vm_directory.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { chooseReaderPeers, MAX_FULL_MESH_PEERS } from "./peer_selection.ts";
import { PeerSync } from "./peer_sync.ts";

/** Maximum number of exchanges that a daemon starts per exchange interval in a full mesh. With more peers, the time between two exchanges with one peer grows. */
const MAX_EXCHANGES_PER_INTERVAL = 3;
/** Time between two exchanges with one store reader, in exchange intervals. Added to the interval at which the reader reads the store, it stays below the default freshness limit of three intervals. */
const READER_EXCHANGE_INTERVALS = 1.5;

/** Input from which the time between two exchanges with a peer is computed. */
export interface ExchangeRateInput {
  /** Configured time between two exchanges, in milliseconds. */
  readonly intervalMs: number;
  readonly peers: readonly Vm[];
  /** Names of the store readers with which the daemon exchanges often to receive their store confirmations. */
  readonly readers: ReadonlySet<string>;
  /** Number of listed daemons. */
  readonly listedDaemonCount: number;
}

/**
 * Gets the time between two exchanges with a peer, in milliseconds. In a deployment that is larger than a full mesh, a daemon exchanges often with its store readers to receive their confirmations, and with one of its other peers per interval.
 *
 * @param peer - Peer of the exchange.
 * @param input - Peers of the daemon and the store readers among them.
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
    return intervalMs * READER_EXCHANGE_INTERVALS;
  }
  return intervalMs * peers.filter((vm) => !readers.has(vm.name)).length;
}

/** Exchanges state with one peer periodically. */
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
    // A random first delay prevents the daemons from all exchanging at the same time.
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

  #recordReachability(isReachable: boolean, message?: string): void {
    if (isReachable !== this.#isReachable) {
      this.#isReachable = isReachable;
      this.#context.logger.write(
        isReachable ? "info" : "warn",
        isReachable ? "peer-reachable" : "peer-unreachable",
        { address: this.#address, message },
      );
    }
  }
}

/** Starts and stops the exchange tasks as the VM list changes. */
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

  /** Starts the exchange tasks of new peers and stops those of peers that are no longer chosen. */
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

  /** Lists the addresses of the chosen peers, or of the configured ones until a VM list is known. */
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
        ownName: settings.name,
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
