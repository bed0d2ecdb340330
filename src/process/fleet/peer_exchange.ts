import type { FleetPeerClients } from "../../connection/fleet_peer_router.ts";
import type {
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import type { PeerBoard } from "./peer_board.ts";
import type { PeerNotice } from "./peer_notice.ts";

/** Time between two exchanges with each peer, in milliseconds. Each side starts one, so a peer's figures are at most this old. */
const EXCHANGE_INTERVAL_MS = 300;
/** The same while requests wait anywhere: a place that one daemon frees stands empty until the others know. */
const LOADED_EXCHANGE_INTERVAL_MS = 100;
/** Pause before a peer that did not answer is called again, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;
const REGISTER_RETRY_MS = 1_000;
/** Time between two listings of the registered daemons, in milliseconds: new ones call the others by themselves. */
const LIST_INTERVAL_MS = 20_000;

/** Parts of the exchange. */
export interface PeerExchangeOptions {
  readonly store: SnapshotStore;
  /** Kind of the objects by which daemons find each other. */
  readonly kind: string;
  readonly name: string;
  readonly address: string;
  readonly board: PeerBoard;
  readonly clients: FleetPeerClients;
  readonly logger: Logger;
  createNotice(): PeerNotice;
  /** Gets whether requests wait for places at any daemon. */
  isUnderLoad(): boolean;
  /** Takes the notice that a peer answered with. */
  onNotice(notice: PeerNotice): void;
}

/** Exchanges notices with all other daemons. Each daemon registers in the store once, and hears of later ones from them. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #running = new Set<string>();
  readonly #notBeforeMs = new Map<string, number>();

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Registers this daemon and exchanges notices until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#runRegistration(signal).catch((error: unknown) => {
      this.#options.logger.write("error", "registration-failed", {
        message: getErrorMessage(error),
      });
    });
    while (await delay(this.#getIntervalMs(), signal)) {
      this.sendAll();
    }
  }

  #getIntervalMs(): number {
    return this.#options.isUnderLoad()
      ? LOADED_EXCHANGE_INTERVAL_MS
      : EXCHANGE_INTERVAL_MS;
  }

  /** Sends a notice to each peer that has none on the way. */
  sendAll(): void {
    const nowMs = performance.now();
    for (const [name, address] of this.#options.board.listAddresses()) {
      const isDue = (this.#notBeforeMs.get(name) ?? 0) <= nowMs;
      if (isDue && !this.#running.has(name)) {
        void this.#callPeer(name, address);
      }
    }
  }

  async #callPeer(name: string, address: string): Promise<void> {
    const { clients, createNotice, onNotice } = this.#options;
    this.#running.add(name);
    try {
      const client = clients.getClient(address);
      onNotice(await client.exchange.mutate(createNotice()));
      this.#notBeforeMs.delete(name);
    } catch {
      // The board logs a peer that stays silent.
      this.#notBeforeMs.set(name, performance.now() + RETRY_PAUSE_MS);
    } finally {
      this.#running.delete(name);
    }
  }

  async #runRegistration(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isRegistered = await this.#listAndRegister();
      await delay(
        isRegistered ? LIST_INTERVAL_MS : REGISTER_RETRY_MS,
        signal,
      );
    }
  }

  /** Reads the registered daemons, and registers this one unless it is among them at its address. */
  async #listAndRegister(): Promise<boolean> {
    const { store, kind, name, address, board } = this.#options;
    const listed = await store.listObjects(kind);
    const objects = listed.toMaybe().extract();
    if (objects === undefined) {
      return false;
    }
    const addresses = new Map(
      objects.map((object) => [object.name, getAddress(object)]),
    );
    addresses.forEach((peerAddress, peer) => {
      if (peerAddress !== undefined) {
        board.addPeer(peer, peerAddress);
      }
    });
    if (addresses.get(name) === address) {
      return true;
    }
    const written = await store.putObject({
      kind,
      name,
      value: { address },
      expectedVersion: objects.find((object) => object.name === name)
        ?.version ?? 0,
    });
    return written.outcome === "written";
  }
}

function getAddress(object: StoredObject): string | undefined {
  const address = (object.value as { address?: unknown } | null)?.address;
  return typeof address === "string" ? address : undefined;
}
