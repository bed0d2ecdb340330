import type { Logger } from "../../shared/logger.ts";
import type { PeerNotice } from "./peer_notice.ts";

/** Silence of a peer after which it counts as lost, in milliseconds. */
const PEER_SILENCE_MS = 2_000;
/** Silence after which a peer is forgotten, in milliseconds: machines are replaced under other names. */
const FORGET_MS = 60_000;

interface KnownPeer {
  address: string;
  /** Monotonic time of the last notice; undefined before the first one. */
  heardAtMs: number | undefined;
  /** Monotonic time from which silence counts, in milliseconds. */
  readonly knownAtMs: number;
  notice: PeerNotice | undefined;
  isLost: boolean;
}

/** Other daemons, and what each of them told last. */
export class PeerBoard {
  readonly #ownName: string;
  readonly #logger: Logger;
  readonly #peers = new Map<string, KnownPeer>();

  constructor(options: { ownName: string; logger: Logger }) {
    this.#ownName = options.ownName;
    this.#logger = options.logger;
  }

  /** Takes the address of a peer that another source named. What is known of a peer at this address stays. */
  addPeer(name: string, address: string): void {
    const known = this.#peers.get(name);
    const isNews = known === undefined ||
      (known.heardAtMs === undefined && known.address !== address);
    if (name !== this.#ownName && isNews) {
      this.#peers.set(name, {
        address,
        heardAtMs: undefined,
        knownAtMs: performance.now(),
        notice: undefined,
        isLost: false,
      });
    }
  }

  /** Takes a notice that a peer sent itself. */
  applyNotice(notice: PeerNotice): void {
    if (notice.name === this.#ownName) {
      return;
    }
    const known = this.#peers.get(notice.name);
    if (known?.heardAtMs === undefined || known.isLost) {
      this.#logger.write("info", "peer-heard", {
        peer: notice.name,
        silentMs: known?.heardAtMs === undefined
          ? undefined
          : Math.round(performance.now() - known.heardAtMs),
      });
    }
    this.#peers.set(notice.name, {
      address: notice.address,
      heardAtMs: performance.now(),
      knownAtMs: known?.knownAtMs ?? performance.now(),
      notice,
      isLost: false,
    });
    notice.peers.forEach(([name, address]) => this.addPeer(name, address));
  }

  /** Lists names and addresses of all peers, the lost ones included. */
  listAddresses(): [name: string, address: string][] {
    return [...this.#peers].map(([name, { address }]) => [name, address]);
  }

  /** Lists names and addresses of the peers that were heard recently. Only these are passed on: the daemons would otherwise remind each other of a replaced one for ever. */
  listHeardAddresses(): [name: string, address: string][] {
    this.#checkSilence();
    return [...this.#peers].flatMap(([name, { address, heardAtMs, isLost }]) =>
      heardAtMs === undefined || isLost ? [] : [[name, address]]
    );
  }

  /** Lists the last notices of the peers that were heard recently. */
  listNotices(): PeerNotice[] {
    this.#checkSilence();
    return [...this.#peers.values()].flatMap((peer) =>
      peer.isLost || peer.notice === undefined ? [] : [peer.notice]
    );
  }

  /** Gets the number of daemons, this one included, of which there is a recent sign of life. */
  countDaemons(): number {
    return this.listNotices().length + 1;
  }

  #checkSilence(): void {
    const nowMs = performance.now();
    for (const [name, peer] of this.#peers) {
      const silentMs = nowMs - (peer.heardAtMs ?? peer.knownAtMs);
      if (silentMs > FORGET_MS) {
        this.#peers.delete(name);
      } else if (silentMs > PEER_SILENCE_MS && !peer.isLost) {
        peer.isLost = true;
        this.#logger.write("info", "peer-lost", {
          peer: name,
          silentMs: Math.round(silentMs),
        });
      }
    }
  }
}
