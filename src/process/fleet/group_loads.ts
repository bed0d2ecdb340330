import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Age above which the load that a peer reported is ignored, in milliseconds. */
const PEER_LOAD_EXPIRY_MS = 2_000;
/** Key under which the load from this daemon's hub is stored. It is the same for every hub, so that the report of a new hub replaces that of the previous one. */
const HUB_KEY = "hub";

/** Load that a notice of a peer reported, including the load that the peer relays for other daemons. */
interface PeerLoad {
  readonly relation: PeerRelation;
  readonly loads: readonly (readonly [key: string, requests: number])[];
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  /** Monotonic time at which the notice arrived, in milliseconds. */
  readonly atMs: number;
}

/** Counts the requests in flight in each group: those of this daemon, and those that its peers reported. */
export class GroupLoads {
  readonly #ownLoads = new Map<string, number>();
  readonly #peerLoads = new Map<string, PeerLoad>();
  readonly #listeners = new Set<() => void>();
  #hasTraffic = false;
  /** Cached sum of the peers' loads by group; undefined after a peer has reported a new load. */
  #peerTotals: ReadonlyMap<string, number> | undefined;
  #peerTotalsExpireAtMs = 0;

  /** Registers a listener that is called when a slot may have become free. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Gets whether this daemon has sent a request to a group, or a peer has reported one, since this daemon started. */
  hasTraffic(): boolean {
    return this.#hasTraffic;
  }

  /** Adds a request of this daemon to the load of a group. */
  addRequest(key: string): void {
    this.#hasTraffic = true;
    this.#ownLoads.set(key, (this.#ownLoads.get(key) ?? 0) + 1);
  }

  /** Removes an ended request of this daemon from the load of a group. */
  removeRequest(key: string): void {
    const remainingRequests = (this.#ownLoads.get(key) ?? 0) - 1;
    if (remainingRequests > 0) {
      this.#ownLoads.set(key, remainingRequests);
    } else {
      this.#ownLoads.delete(key);
    }
    this.#publishChange();
  }

  /** Gets the number of requests in flight in a group, over all daemons. */
  getLoad(key: string): number {
    return (this.#ownLoads.get(key) ?? 0) +
      (this.#getPeerTotals().get(key) ?? 0);
  }

  /** Gets the fraction of all requests in flight that other daemons sent, from 0 to 1. */
  getPeersShare(): number {
    const ownRequests = countRequests(this.#ownLoads);
    const peerRequests = countRequests(this.#getPeerTotals());
    return peerRequests / Math.max(1, ownRequests + peerRequests);
  }

  /** Gets whether requests wait for slots at another daemon. */
  hasWaitingPeer(): boolean {
    return this.#listPeerLoads().some(([, { waiting }]) => waiting > 0);
  }

  /**
   * Gets the load that a notice to a partner reports: that of this daemon and of its members, and in a notice to a member also the load that other hubs reported. The load that the partner itself reported is left out. With these rules no request is counted twice.
   *
   * @param partner - Name of the partner.
   * @param relation - Role of this daemon towards the partner.
   * @param ownWaiting - Number of requests that wait at this daemon.
   */
  getLoadNotice(
    partner: string,
    relation: PeerRelation,
    ownWaiting: number,
  ): Pick<PeerNotice, "loads" | "waiting"> {
    const totals = new Map(this.#ownLoads);
    let waiting = ownWaiting;
    for (const [name, peer] of this.#listPeerLoads()) {
      const isRelayed = relation === "hub" || peer.relation === "member";
      if (isRelayed && name !== partner) {
        addLoads(totals, peer.loads);
        waiting += peer.waiting;
      }
    }
    return { loads: [...totals], waiting };
  }

  /** Stores the load that a peer reported, in place of its previous one. */
  applyPeerLoad(
    { sender, relation, loads, waiting }: Pick<
      PeerNotice,
      "sender" | "relation" | "loads" | "waiting"
    >,
  ): void {
    this.#hasTraffic ||= loads.length > 0;
    this.#peerLoads.delete(sender.name);
    const key = relation === "hub" ? HUB_KEY : sender.name;
    this.#peerLoads.set(key, {
      relation,
      loads,
      waiting,
      atMs: performance.now(),
    });
    this.#peerTotals = undefined;
    this.#publishChange();
  }

  #getPeerTotals(): ReadonlyMap<string, number> {
    const nowMs = performance.now();
    if (this.#peerTotals === undefined || nowMs >= this.#peerTotalsExpireAtMs) {
      const peerLoads = this.#listPeerLoads();
      const totals = new Map<string, number>();
      peerLoads.forEach(([, { loads }]) => addLoads(totals, loads));
      this.#peerTotals = totals;
      this.#peerTotalsExpireAtMs = PEER_LOAD_EXPIRY_MS +
        Math.min(nowMs, ...peerLoads.map(([, { atMs }]) => atMs));
    }
    return this.#peerTotals;
  }

  #listPeerLoads(): [key: string, load: PeerLoad][] {
    const oldestValidMs = performance.now() - PEER_LOAD_EXPIRY_MS;
    return [...this.#peerLoads].filter(([key, { atMs }]) => {
      if (atMs <= oldestValidMs) {
        this.#peerLoads.delete(key);
      }
      return atMs > oldestValidMs;
    });
  }

  #publishChange(): void {
    this.#listeners.forEach((listener) => listener());
  }
}

function addLoads(totals: Map<string, number>, loads: PeerLoad["loads"]): void {
  for (const [key, requests] of loads) {
    totals.set(key, (totals.get(key) ?? 0) + requests);
  }
}

function countRequests(loads: ReadonlyMap<string, number>): number {
  return [...loads.values()].reduce((sum, requests) => sum + requests, 0);
}
