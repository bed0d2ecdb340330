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
  readonly #own = new Map<string, number>();
  readonly #peers = new Map<string, PeerLoad>();
  readonly #listeners = new Set<() => void>();
  #hasTraffic = false;
  /** Sums of what the peers stated, kept until one of them states news or expires. */
  #peerTotals: ReadonlyMap<string, number> | undefined;
  #totalsUntilMs = 0;

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
    return (this.#own.get(key) ?? 0) + (this.#getPeerTotals().get(key) ?? 0);
  }

  /** Gets the part of all requests in flight that other daemons sent, from 0 to 1. */
  getPeersShare(): number {
    const own = countRequests(this.#own);
    const peers = countRequests(this.#getPeerTotals());
    return peers / Math.max(1, own + peers);
  }

  /** Gets whether requests wait for places at another daemon. */
  isPeerWaiting(): boolean {
    return this.#listPeers().some(([, { waiting }]) => waiting > 0);
  }

  /**
   * Gets what this daemon tells a partner: its own load with that of the daemons that it speaks for. The partner's own load is left out, and what other hubs state goes to members only, so that no request is counted twice.
   *
   * @param partner - Name of the partner.
   * @param relation - What this daemon is to the partner.
   * @param ownWaiting - Requests that wait at this daemon.
   */
  getLoadFor(
    partner: string,
    relation: PeerRelation,
    ownWaiting: number,
  ): Pick<PeerNotice, "loads" | "waiting"> {
    const totals = new Map(this.#own);
    let waiting = ownWaiting;
    for (const [name, peer] of this.#listPeers()) {
      const isPassedOn = relation === "hub" || peer.relation === "member";
      if (isPassedOn && name !== partner) {
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
    this.#peers.delete(sender.name);
    const key = relation === "hub" ? HUB_KEY : sender.name;
    this.#peers.set(key, { relation, loads, waiting, atMs: performance.now() });
    this.#peerTotals = undefined;
    this.#publishChange();
  }

  #getPeerTotals(): ReadonlyMap<string, number> {
    const nowMs = performance.now();
    if (this.#peerTotals === undefined || nowMs >= this.#totalsUntilMs) {
      const peers = this.#listPeers();
      const totals = new Map<string, number>();
      peers.forEach(([, { loads }]) => addLoads(totals, loads));
      this.#peerTotals = totals;
      this.#totalsUntilMs = PEER_LOAD_EXPIRY_MS +
        Math.min(nowMs, ...peers.map(([, { atMs }]) => atMs));
    }
    return this.#peerTotals;
  }

  #listPeers(): [key: string, load: PeerLoad][] {
    const oldestMs = performance.now() - PEER_LOAD_EXPIRY_MS;
    return [...this.#peers].filter(([key, { atMs }]) => {
      if (atMs <= oldestMs) {
        this.#peers.delete(key);
      }
      return atMs > oldestMs;
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
