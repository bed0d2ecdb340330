import { getHash32 } from "../../shared/rendezvous_hash.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  DaemonDescription,
  PeerNotice,
  PeerRelation,
  PlannerNotice,
} from "../../connection/peer_notice.ts";

/** Time since the last notice from or about a peer after which the peer is considered lost, in milliseconds. */
const PEER_TIMEOUT_MS = 2_000;
/** Time since the last notice from or about a peer after which its entry is removed, in milliseconds. A replaced VM gets another name, so the entry of the old name has to expire. */
const PEER_RETENTION_MS = 60_000;

/** Daemon whose description the store or a notice contained. */
interface KnownPeer {
  readonly description: DaemonDescription;
  /** Monotonic time of the last notice from or about the daemon, or of its first listing in the store, in milliseconds. */
  readonly lastSeenAtMs: number;
  readonly isLost: boolean;
}

/** Daemon that exchanges notices directly with this one. */
interface Partner {
  readonly notice: PeerNotice;
  readonly lastNoticeAtMs: number;
  /** Daemons in the last peer list that the partner sent. */
  readonly peers: readonly DaemonDescription[];
  readonly peersHash: number | undefined;
}

/** Planner that this daemon last learned of. */
interface KnownPlanner {
  readonly name: string;
  readonly term: number;
  /** Monotonic time at which the planner last confirmed its role, in milliseconds. */
  readonly confirmedAtMs: number;
}

/** Table of the other daemons: the partners, which exchange notices directly with this one, and the daemons that partners or the store list. */
export class PeerTable {
  readonly #ownName: string;
  readonly #logger: Logger;
  readonly #knownPeers = new Map<string, KnownPeer>();
  readonly #partners = new Map<string, Partner>();
  #planner: KnownPlanner | undefined;

  constructor(options: { ownName: string; logger: Logger }) {
    this.#ownName = options.ownName;
    this.#logger = options.logger;
  }

  /** Adds a daemon that the store lists, unless it is a partner or already known at this address. */
  addPeer(description: DaemonDescription): void {
    const { name, address } = description;
    const knownPeer = this.#knownPeers.get(name);
    const isNew = knownPeer?.description.address !== address &&
      !this.#partners.has(name);
    if (name !== this.#ownName && isNew) {
      this.#recordSeen(description, performance.now());
    }
  }

  /** Records a notice of a partner, with the peers and the planner in it. */
  applyNotice(notice: PeerNotice): void {
    const { sender, planner, relation } = notice;
    if (sender.name === this.#ownName) {
      return;
    }
    const nowMs = performance.now();
    this.#sweepSilentPeers();
    const previousPartner = this.#partners.get(sender.name);
    const knownPeer = this.#knownPeers.get(sender.name);
    if (previousPartner === undefined) {
      this.#logger.write("info", "peer-heard", {
        peer: sender.name,
        relation,
        silentMs: knownPeer === undefined
          ? undefined
          : Math.round(nowMs - knownPeer.lastSeenAtMs),
      });
    }
    const peers = notice.peers ?? previousPartner?.peers ?? [];
    this.#partners.set(sender.name, {
      notice,
      lastNoticeAtMs: nowMs,
      peers,
      peersHash: notice.peers === undefined
        ? previousPartner?.peersHash
        : notice.peersHash,
    });
    this.#recordSeen(sender, nowMs);
    peers.forEach((peer) => this.#recordSeen(peer, nowMs));
    if (planner !== undefined) {
      this.#observePlanner(planner, nowMs);
    }
  }

  /** Lists the daemons that are neither lost nor leaving, including new ones that have not responded yet. */
  listLivePeers(): DaemonDescription[] {
    this.#sweepSilentPeers();
    return [...this.#knownPeers].flatMap(([name, { description, isLost }]) =>
      isLost || this.#partners.get(name)?.notice.isLeaving ? [] : [description]
    );
  }

  /** Lists the names of all other daemons, including recently lost ones. */
  listPeerNames(): string[] {
    return [...this.#knownPeers.keys()];
  }

  /** Lists the last notice of each partner that has not timed out. */
  listPartnerNotices(): PeerNotice[] {
    this.#sweepSilentPeers();
    return [...this.#partners.values()].map(({ notice }) => notice);
  }

  /** Lists the members of this daemon, which use it as their hub. */
  listMembers(): DaemonDescription[] {
    return this.listPartnerNotices()
      .filter(({ relation }) => relation === "member")
      .map(({ sender }) => sender);
  }

  /**
   * Gets the fields of a notice that describe other daemons: the partners of this daemon and, in a notice to a member, also the peers that these partners named. Peers are not relayed any further; otherwise the daemons would keep a replaced daemon in each other's tables indefinitely. The list is left out when the receiver already has it.
   *
   * @param partner - Name of the receiver.
   * @param relation - Role of this daemon towards the receiver.
   */
  getPeersNotice(
    partner: string,
    relation: PeerRelation,
  ): Pick<PeerNotice, "peers" | "peersHash" | "seenPeersHash"> {
    const peers = new Map<string, DaemonDescription>();
    this.#sweepSilentPeers();
    for (const { notice, peers: relayedPeers } of this.#partners.values()) {
      peers.set(notice.sender.name, notice.sender);
      if (relation === "hub") {
        relayedPeers.forEach((peer) => peers.set(peer.name, peer));
      }
    }
    peers.delete(partner);
    peers.delete(this.#ownName);
    const sortedPeers = [...peers.values()].sort((a, b) =>
      a.name < b.name ? -1 : 1
    );
    const names = sortedPeers.map(({ name, address }) => `${name}@${address}`);
    const peersHash = getHash32(names.join());
    const knownPartner = this.#partners.get(partner);
    return {
      peersHash,
      peers: knownPartner?.notice.seenPeersHash === peersHash
        ? undefined
        : sortedPeers,
      seenPeersHash: knownPartner?.peersHash,
    };
  }

  /** Gets the revision of a partner's list of backend servers; undefined without a recent notice. */
  getServersRevision(partner: string): number | undefined {
    return this.#partners.get(partner)?.notice.serversRevision;
  }

  /** Finds the planner; undefined when it has not been confirmed recently. */
  findPlanner(): PlannerNotice | undefined {
    if (this.#planner === undefined) {
      return undefined;
    }
    const { name, term, confirmedAtMs } = this.#planner;
    const ageMs = Math.round(performance.now() - confirmedAtMs);
    return ageMs > PEER_TIMEOUT_MS ? undefined : { name, term, ageMs };
  }

  /** Counts the live daemons: this one, its partners, and the peers that these named. */
  countLiveDaemons(): number {
    const names = new Set([this.#ownName]);
    this.#sweepSilentPeers();
    for (const { notice, peers } of this.#partners.values()) {
      names.add(notice.sender.name);
      peers.forEach(({ name }) => names.add(name));
    }
    return names.size;
  }

  #recordSeen(description: DaemonDescription, nowMs: number): void {
    if (description.name !== this.#ownName) {
      this.#knownPeers.set(description.name, {
        description,
        lastSeenAtMs: nowMs,
        isLost: false,
      });
    }
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

  /** Removes partners and peers that have timed out, and marks silent peers as lost. */
  #sweepSilentPeers(): void {
    const nowMs = performance.now();
    for (const [name, { lastNoticeAtMs }] of this.#partners) {
      if (nowMs - lastNoticeAtMs > PEER_TIMEOUT_MS) {
        this.#partners.delete(name);
      }
    }
    for (
      const [name, { description, lastSeenAtMs, isLost }] of this.#knownPeers
    ) {
      const silentMs = nowMs - lastSeenAtMs;
      if (silentMs > PEER_RETENTION_MS) {
        this.#knownPeers.delete(name);
      } else if (silentMs > PEER_TIMEOUT_MS && !isLost) {
        this.#knownPeers.set(name, { description, lastSeenAtMs, isLost: true });
        this.#logger.write("info", "peer-lost", {
          peer: name,
          silentMs: Math.round(silentMs),
        });
      }
    }
  }
}
