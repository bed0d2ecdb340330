import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Time after which the load that a peer stated counts no more, in milliseconds. */
const PEER_LOAD_EXPIRY_MS = 2_000;
/** Key of the load that the hub of this daemon states: a new hub replaces the earlier one. */
const HUB_KEY = "hub";

/** Load of a daemon and of those that it speaks for. */
interface PeerLoad {
  readonly relation: PeerRelation;
  readonly loads: readonly (readonly [key: string, requests: number])[];
  readonly waiting: number;
  readonly atMs: number;
}

/** Requests in flight in each group: those of this daemon, and those that its peers stated. */
export class GroupLoads {
  readonly #ownLoads = new Map<string, number>();
  readonly #peerLoads = new Map<string, PeerLoad>();
  readonly #listeners = new Set<() => void>();
  #hasTraffic = false;
  /** Sums of what the peers stated, kept until one of them states news or expires. */
  #peerTotals: ReadonlyMap<string, number> | undefined;
  #peerTotalsExpireAtMs = 0;

  /** Registers a listener for places that become free. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Gets whether any daemon has sent a request to a group. */
  hasTraffic(): boolean {
    return this.#hasTraffic;
  }

  /** Counts a request of this daemon. */
  addRequest(key: string): void {
    this.#hasTraffic = true;
    this.#ownLoads.set(key, (this.#ownLoads.get(key) ?? 0) + 1);
  }

  /** Counts the end of a request of this daemon. */
  removeRequest(key: string): void {
    const remaining = (this.#ownLoads.get(key) ?? 0) - 1;
    if (remaining > 0) {
      this.#ownLoads.set(key, remaining);
    } else {
      this.#ownLoads.delete(key);
    }
    this.#publishChange();
  }

  /** Gets the requests in flight in a group, over all daemons. */
  getLoad(key: string): number {
    return (this.#ownLoads.get(key) ?? 0) +
      (this.#getPeerTotals().get(key) ?? 0);
  }

  /** Gets the part of all requests in flight that other daemons sent, from 0 to 1. */
  getPeersShare(): number {
    const ownRequests = countRequests(this.#ownLoads);
    const peerRequests = countRequests(this.#getPeerTotals());
    return peerRequests / Math.max(1, ownRequests + peerRequests);
  }

  /** Gets whether requests wait for places at another daemon. */
  hasWaitingPeer(): boolean {
    return this.#listPeerLoads().some(([, { waiting }]) => waiting > 0);
  }

  /**
   * Gets what this daemon tells a partner: its own load with that of the daemons that it speaks for. The partner's own load is left out, and what other hubs state goes to members only, so that no request is counted twice.
   *
   * @param partner - Name of the partner.
   * @param relation - What this daemon is to the partner.
   * @param ownWaiting - Requests that wait at this daemon.
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

  /** Takes the load that a peer stated. */
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
