/** Time after which the load that a peer stated counts no more, in milliseconds. */
const PEER_LOAD_EXPIRY_MS = 2_000;

interface PeerLoad {
  readonly loads: ReadonlyMap<string, number>;
  readonly atMs: number;
}

/** Requests in flight in each group: those of this daemon, and those that its peers stated. */
export class GroupLoads {
  readonly #own = new Map<string, number>();
  readonly #peers = new Map<string, PeerLoad>();
  readonly #listeners = new Set<() => void>();
  #hasTraffic = false;

  /** Registers a listener for places that become free. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Gets whether any daemon has sent a request to a group. */
  hasTraffic(): boolean {
    return this.#hasTraffic;
  }

  /** Counts a request of this daemon. */
  add(key: string): void {
    this.#hasTraffic = true;
    this.#own.set(key, (this.#own.get(key) ?? 0) + 1);
  }

  /** Counts the end of a request of this daemon. */
  remove(key: string): void {
    const left = (this.#own.get(key) ?? 0) - 1;
    if (left > 0) {
      this.#own.set(key, left);
    } else {
      this.#own.delete(key);
    }
    this.#publishChange();
  }

  /** Gets the requests in flight in a group, over all daemons. */
  getLoad(key: string): number {
    let load = this.#own.get(key) ?? 0;
    const oldestMs = performance.now() - PEER_LOAD_EXPIRY_MS;
    for (const peer of this.#peers.values()) {
      if (peer.atMs >= oldestMs) {
        load += peer.loads.get(key) ?? 0;
      }
    }
    return load;
  }

  /** Lists the requests of this daemon for each group. */
  listOwn(): [key: string, requests: number][] {
    return [...this.#own];
  }

  /** Takes the load that a peer stated. */
  applyPeerLoad(
    peer: string,
    loads: readonly (readonly [key: string, requests: number])[],
  ): void {
    this.#hasTraffic ||= loads.length > 0;
    this.#peers.set(peer, { loads: new Map(loads), atMs: performance.now() });
    this.#publishChange();
  }

  #publishChange(): void {
    this.#listeners.forEach((listener) => listener());
  }
}
