import type { Logger } from "../../shared/logger.ts";
import type {
  DaemonDescription,
  PeerHello,
  PeerNotice,
  PeerRelation,
  PlannerNotice,
} from "../../connection/peer_notice.ts";

/** Time since a peer was last linked, named by a partner or listed by the store after which it is considered lost, in milliseconds. */
const PEER_TIMEOUT_MS = 2_000;
/** Time since a peer was last linked or named after which its entry is removed, in milliseconds. A replaced VM gets another name, so the entry of the old name has to expire. */
const PEER_RETENTION_MS = 60_000;
/** Age of the planner's last confirmation after which it counts as missing, in milliseconds. */
const PLANNER_TIMEOUT_MS = 2_000;

/** Daemon whose description the store or a peer contained. */
interface KnownPeer {
  readonly description: DaemonDescription;
  /** Monotonic time at which the daemon was last linked or named, in milliseconds. */
  lastSeenAtMs: number;
  isLost: boolean;
}

/** Daemon that is linked with this one. */
interface LinkedPartner {
  readonly description: DaemonDescription;
  /** Role of the partner towards this daemon. */
  readonly relation: PeerRelation;
  isLeaving: boolean;
  configVersion: number;
  /** Revision of the partner's list of backend servers; undefined before its first notice. */
  serversRevision: number | undefined;
  /** Monotonic time at which the store last confirmed the partner's list of servers, in milliseconds. */
  serversConfirmedAtMs: number;
  /** Daemons that the partner names, by name. */
  peers: ReadonlyMap<string, DaemonDescription>;
}

/** Daemon that is linked with this one, as the table last heard of it. */
export type Partner = Readonly<LinkedPartner>;

/** Planner that this daemon last learned of. */
interface KnownPlanner {
  readonly name: string;
  readonly term: number;
  /** Monotonic time at which the planner last confirmed its role, in milliseconds. */
  readonly confirmedAtMs: number;
}

/** Table of the other daemons: the partners, which are linked with this one, and the daemons that partners or the store name. */
export class PeerTable {
  readonly #ownName: string;
  readonly #logger: Logger;
  readonly #knownPeers = new Map<string, KnownPeer>();
  readonly #partners = new Map<string, LinkedPartner>();
  /** Cached results of `getReport`, until the partners or the daemons that they name change. */
  readonly #reports = new Map<
    PeerRelation,
    ReadonlyMap<string, DaemonDescription>
  >();
  #planner: KnownPlanner | undefined;
  #liveVersion = 0;

  constructor(options: { ownName: string; logger: Logger }) {
    this.#ownName = options.ownName;
    this.#logger = options.logger;
  }

  /** Adds a daemon that the store lists, unless it is already known at this address. */
  addPeer(description: DaemonDescription): void {
    const { name, address } = description;
    if (
      name !== this.#ownName &&
      this.#knownPeers.get(name)?.description.address !== address
    ) {
      this.#recordSeen(description, performance.now());
    }
  }

  /** Adds a partner whose link has opened. */
  addPartner({ sender, relation }: PeerHello): void {
    const nowMs = performance.now();
    const knownPeer = this.#knownPeers.get(sender.name);
    this.#logger.write("info", "peer-linked", {
      peer: sender.name,
      relation,
      silentMs: knownPeer?.isLost
        ? Math.round(nowMs - knownPeer.lastSeenAtMs)
        : undefined,
    });
    this.#reports.clear();
    this.#partners.set(sender.name, {
      description: sender,
      relation,
      isLeaving: false,
      configVersion: 0,
      serversRevision: undefined,
      serversConfirmedAtMs: Number.NEGATIVE_INFINITY,
      peers: new Map(),
    });
    this.#recordSeen(sender, nowMs);
  }

  /** Removes a partner whose link has closed. */
  removePartner(name: string): void {
    const nowMs = performance.now();
    const partner = this.#partners.get(name);
    this.#partners.delete(name);
    this.#reports.clear();
    this.#liveVersion++;
    if (partner !== undefined) {
      // The peers that the partner named were known up to now.
      partner.peers.forEach((peer) => this.#recordSeen(peer, nowMs));
      this.#recordSeen(partner.description, nowMs);
    }
  }

  /** Records the peers, the planner and the versions in a notice of a partner. */
  applyNotice(name: string, notice: PeerNotice): void {
    const partner = this.#partners.get(name);
    if (partner === undefined) {
      return;
    }
    const nowMs = performance.now();
    if (notice.isLeaving !== undefined) {
      partner.isLeaving = notice.isLeaving;
      this.#liveVersion++;
    }
    partner.configVersion = notice.configVersion ?? partner.configVersion;
    partner.serversRevision = notice.serversRevision ?? partner.serversRevision;
    if (notice.serversAgeMs !== undefined) {
      partner.serversConfirmedAtMs = nowMs - notice.serversAgeMs;
    }
    partner.peers = this.#mergePeers(partner.peers, notice, nowMs);
    if (notice.planner !== undefined) {
      this.#observePlanner(notice.planner, nowMs);
    }
  }

  /** Finds a partner by its name. */
  findPartner(name: string): Partner | undefined {
    return this.#partners.get(name);
  }

  /** Lists the daemons that are linked with this one. */
  listPartners(): Partner[] {
    return [...this.#partners.values()];
  }

  /** Gets whether this daemon is the hub of a member. */
  hasMembers(): boolean {
    return this.listPartners().some(({ relation }) => relation === "member");
  }

  /** Gets a number that rises when the result of `listLivePeers` changes. */
  getLiveVersion(): number {
    this.#sweepSilentPeers();
    return this.#liveVersion;
  }

  /** Lists the daemons that are neither lost nor leaving, including new ones that are not linked yet. */
  listLivePeers(): DaemonDescription[] {
    this.#sweepSilentPeers();
    return [...this.#knownPeers].flatMap(([name, { description, isLost }]) =>
      isLost || this.#partners.get(name)?.isLeaving ? [] : [description]
    );
  }

  /** Lists all other daemons, including recently lost ones. */
  listKnownPeers(): DaemonDescription[] {
    return [...this.#knownPeers.values()].map(({ description }) => description);
  }

  /** Lists the names of all other daemons, including recently lost ones. */
  listPeerNames(): string[] {
    return [...this.#knownPeers.keys()];
  }

  /**
   * Gets the daemons that a notice names: the partners of this daemon and, in a notice to members, also the peers that these partners name. Peers are not relayed any further; otherwise the daemons would keep a replaced daemon in each other's tables indefinitely.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReport(relation: PeerRelation): ReadonlyMap<string, DaemonDescription> {
    const cachedReport = this.#reports.get(relation);
    if (cachedReport !== undefined) {
      return cachedReport;
    }
    const peers = new Map<string, DaemonDescription>();
    for (const { description, peers: namedPeers } of this.#partners.values()) {
      peers.set(description.name, description);
      if (relation === "hub") {
        namedPeers.forEach((peer) => peers.set(peer.name, peer));
      }
    }
    peers.delete(this.#ownName);
    this.#reports.set(relation, peers);
    return peers;
  }

  /** Finds the planner; undefined when it has not been confirmed recently. */
  findPlanner(): PlannerNotice | undefined {
    if (this.#planner === undefined) {
      return undefined;
    }
    const { name, term, confirmedAtMs } = this.#planner;
    const ageMs = Math.round(performance.now() - confirmedAtMs);
    return ageMs > PLANNER_TIMEOUT_MS ? undefined : { name, term, ageMs };
  }

  /** Counts the live daemons: this one, its partners, and the peers that these name. */
  countLiveDaemons(): number {
    return this.getReport("hub").size + 1;
  }

  #mergePeers(
    peers: ReadonlyMap<string, DaemonDescription>,
    notice: PeerNotice,
    nowMs: number,
  ): ReadonlyMap<string, DaemonDescription> {
    const { isComplete, peers: added = [], removedPeers = [] } = notice;
    if (!isComplete && added.length === 0 && removedPeers.length === 0) {
      return peers;
    }
    this.#reports.clear();
    const merged = new Map(isComplete ? [] : peers);
    added.forEach((peer) => {
      merged.set(peer.name, peer);
      this.#recordSeen(peer, nowMs);
    });
    for (const name of removedPeers) {
      const peer = merged.get(name);
      if (peer !== undefined) {
        this.#recordSeen(peer, nowMs);
        merged.delete(name);
      }
    }
    return merged;
  }

  #recordSeen(description: DaemonDescription, nowMs: number): void {
    if (description.name === this.#ownName) {
      return;
    }
    const knownPeer = this.#knownPeers.get(description.name);
    if (
      knownPeer === undefined || knownPeer.isLost ||
      knownPeer.description.address !== description.address
    ) {
      this.#liveVersion++;
    }
    this.#knownPeers.set(description.name, {
      description,
      lastSeenAtMs: nowMs,
      isLost: false,
    });
  }

  #observePlanner(planner: PlannerNotice, nowMs: number): void {
    const confirmedAtMs = nowMs - planner.ageMs;
    const isOlder = this.#planner !== undefined &&
      (planner.term < this.#planner.term ||
        (planner.term === this.#planner.term &&
          confirmedAtMs <= this.#planner.confirmedAtMs));
    if (!isOlder && planner.name !== this.#ownName) {
      this.#planner = {
        name: planner.name,
        term: planner.term,
        confirmedAtMs,
      };
    }
  }

  /** Marks the peers as lost that are neither linked nor named any more, and removes those that have been lost for long. */
  #sweepSilentPeers(): void {
    const nowMs = performance.now();
    for (const { description, peers } of this.#partners.values()) {
      this.#touch(description.name, nowMs);
      for (const name of peers.keys()) {
        this.#touch(name, nowMs);
      }
    }
    for (const [name, peer] of this.#knownPeers) {
      const silentMs = nowMs - peer.lastSeenAtMs;
      if (silentMs > PEER_RETENTION_MS) {
        this.#knownPeers.delete(name);
      } else if (silentMs > PEER_TIMEOUT_MS && !peer.isLost) {
        peer.isLost = true;
        this.#liveVersion++;
        this.#logger.write("info", "peer-lost", {
          peer: name,
          silentMs: Math.round(silentMs),
        });
      }
    }
  }

  #touch(name: string, nowMs: number): void {
    const peer = this.#knownPeers.get(name);
    if (peer !== undefined) {
      peer.lastSeenAtMs = nowMs;
      this.#liveVersion += peer.isLost ? 1 : 0;
      peer.isLost = false;
    }
  }
}
