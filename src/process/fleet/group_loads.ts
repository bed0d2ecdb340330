import type { PeerNotice, PeerRelation } from "../../connection/peer_notice.ts";

/** Time for which the loads from a lost hub stay in use until another hub reports, in milliseconds. */
const HUB_LOAD_RETENTION_MS = 2_000;

/** Loads that a peer reported. */
interface PeerLoad {
  readonly relation: PeerRelation;
  readonly loads: Map<string, number>;
}

/** Part of a peer's notice that describes loads. */
export type LoadNotice = Pick<
  PeerNotice,
  "loads" | "isComplete" | "acknowledged"
>;

/**
 * Counts the requests in flight in each group, over all daemons.
 *
 * A daemon and its members form a cell. A hub reports the loads of its cell to the other hubs, and those of the whole fleet to its members; a member subtracts from them the loads that it had reported itself, so that no request counts twice.
 */
export class GroupLoads {
  readonly #ownLoads = new Map<string, number>();
  /** Sum of the loads of this daemon and its members. */
  readonly #cellLoads = new Map<string, number>();
  /** Sum of the loads outside the cell. */
  readonly #otherLoads = new Map<string, number>();
  readonly #peers = new Map<string, PeerLoad>();
  #hub: PeerLoad | undefined;
  #hubName: string | undefined;
  #hubExpiryTimer: NodeJS.Timeout | undefined;
  /** Cell loads in the notices that the hub has not acknowledged yet, by number of the notice. */
  readonly #sentLoads = new Map<number, ReadonlyMap<string, number>>();
  /** Cell loads that the hub's loads include. */
  #acknowledgedLoads: ReadonlyMap<string, number> = new Map();
  #ownCount = 0;
  #cellCount = 0;
  #otherCount = 0;
  #hasTraffic = false;
  readonly #listeners = new Set<() => void>();
  readonly #reportListeners = new Set<() => void>();

  /** Registers a listener that is called when a slot may have become free. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Registers a listener that is called when the loads that this daemon reports have changed. */
  onReportChange(listener: () => void): void {
    this.#reportListeners.add(listener);
  }

  /** Gets whether this daemon has sent a request to a group, or a peer has reported one, since this daemon started. */
  hasTraffic(): boolean {
    return this.#hasTraffic;
  }

  /** Adds a request of this daemon to the load of a group. */
  addRequest(key: string): void {
    this.#hasTraffic = true;
    addTo(this.#ownLoads, key, 1);
    this.#ownCount++;
    this.#addToCell(key, 1);
    this.#publishReport();
  }

  /** Removes an ended request of this daemon from the load of a group. */
  removeRequest(key: string): void {
    addTo(this.#ownLoads, key, -1);
    this.#ownCount--;
    this.#addToCell(key, -1);
    this.#publishReport();
    this.#publishChange();
  }

  /** Gets the number of requests in flight in a group, over all daemons. */
  getLoad(key: string): number {
    return Math.max(
      this.#cellLoads.get(key) ?? 0,
      (this.#cellLoads.get(key) ?? 0) + (this.#otherLoads.get(key) ?? 0),
    );
  }

  /** Gets the number of requests of this daemon in flight in a group. */
  getOwnLoad(key: string): number {
    return this.#ownLoads.get(key) ?? 0;
  }

  /** Gets the fraction of all requests in flight that other daemons sent, from 0 to 1. */
  getPeersShare(): number {
    const totalCount = this.#cellCount + this.#otherCount;
    return Math.max(0, totalCount - this.#ownCount) / Math.max(1, totalCount);
  }

  /**
   * Gets the loads that a notice reports, as a copy: those of the whole fleet to members, and those of the cell to others.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReport(relation: PeerRelation): Map<string, number> {
    const loads = new Map(this.#cellLoads);
    if (relation === "hub") {
      this.#otherLoads.forEach((requests, key) => addTo(loads, key, requests));
    }
    return loads;
  }

  /**
   * Records the cell loads that a notice to the hub reported, until the hub acknowledges the notice.
   *
   * @param number - Number of the notice.
   * @param loads - Loads that the hub has after the notice.
   */
  recordSentLoads(number: number, loads: ReadonlyMap<string, number>): void {
    this.#sentLoads.set(number, loads);
  }

  /**
   * Applies the loads in a notice of a peer.
   *
   * @param name - Name of the peer.
   * @param relation - Role of the peer towards this daemon.
   * @param notice - Loads that have changed, or all loads when the notice is complete.
   */
  applyPeerLoad(
    name: string,
    relation: PeerRelation,
    notice: LoadNotice,
  ): void {
    const peer = relation === "hub"
      ? this.#getHub(name, notice)
      : this.#getPeer(name, relation, notice);
    for (const [key, requests] of notice.loads ?? []) {
      this.#hasTraffic ||= requests > 0;
      const change = requests - (peer.loads.get(key) ?? 0);
      addTo(peer.loads, key, change);
      this.#addToTotal(relation, key, change);
    }
    if (notice.loads !== undefined || notice.acknowledged !== undefined) {
      this.#publishReport();
      this.#publishChange();
    }
  }

  /** Removes the loads of a peer whose link has closed. Those of a hub stay in use until another hub reports or the retention time has passed. */
  removePeer(name: string): void {
    const peer = this.#peers.get(name);
    if (peer !== undefined) {
      this.#peers.delete(name);
      this.#subtractPeer(peer);
      this.#publishChange();
    }
    if (name === this.#hubName && this.#hubExpiryTimer === undefined) {
      this.#hubExpiryTimer = setTimeout(() => {
        this.#removeHub();
        this.#publishChange();
      }, HUB_LOAD_RETENTION_MS).unref();
    }
  }

  #getPeer(
    name: string,
    relation: PeerRelation,
    notice: LoadNotice,
  ): PeerLoad {
    const knownPeer = this.#peers.get(name);
    if (knownPeer?.relation === relation && !notice.isComplete) {
      return knownPeer;
    }
    this.removePeer(name);
    const peer: PeerLoad = { relation, loads: new Map() };
    this.#peers.set(name, peer);
    return peer;
  }

  #getHub(name: string, notice: LoadNotice): PeerLoad {
    clearTimeout(this.#hubExpiryTimer);
    this.#hubExpiryTimer = undefined;
    if (
      this.#hub === undefined || this.#hubName !== name || notice.isComplete
    ) {
      this.#removeHub();
      this.#hub = { relation: "hub", loads: new Map() };
      this.#hubName = name;
    }
    if (notice.acknowledged !== undefined) {
      this.#applyAcknowledgement(notice.acknowledged);
    }
    return this.#hub;
  }

  #removeHub(): void {
    if (this.#hub !== undefined) {
      this.#subtractPeer(this.#hub);
      this.#replaceAcknowledgedLoads(new Map());
    }
    this.#hub = undefined;
    this.#hubName = undefined;
    this.#hubExpiryTimer = undefined;
  }

  #applyAcknowledgement(number: number): void {
    const loads = this.#sentLoads.get(number);
    if (loads !== undefined) {
      this.#replaceAcknowledgedLoads(loads);
    }
    for (const sentNumber of this.#sentLoads.keys()) {
      if (sentNumber < number) {
        this.#sentLoads.delete(sentNumber);
      }
    }
  }

  #replaceAcknowledgedLoads(loads: ReadonlyMap<string, number>): void {
    if (loads === this.#acknowledgedLoads) {
      return;
    }
    this.#acknowledgedLoads.forEach((requests, key) =>
      this.#addToTotal("hub", key, requests)
    );
    loads.forEach((requests, key) => this.#addToTotal("hub", key, -requests));
    this.#acknowledgedLoads = loads;
  }

  #subtractPeer({ relation, loads }: PeerLoad): void {
    loads.forEach((requests, key) =>
      this.#addToTotal(relation, key, -requests)
    );
  }

  #addToTotal(relation: PeerRelation, key: string, change: number): void {
    if (relation === "member") {
      this.#addToCell(key, change);
    } else {
      addTo(this.#otherLoads, key, change);
      this.#otherCount += change;
    }
  }

  #addToCell(key: string, change: number): void {
    addTo(this.#cellLoads, key, change);
    this.#cellCount += change;
  }

  #publishChange(): void {
    this.#listeners.forEach((listener) => listener());
  }

  #publishReport(): void {
    this.#reportListeners.forEach((listener) => listener());
  }
}

function addTo(loads: Map<string, number>, key: string, change: number): void {
  const requests = (loads.get(key) ?? 0) + change;
  if (requests === 0) {
    loads.delete(key);
  } else {
    loads.set(key, requests);
  }
}
