import { getHash32 } from "../../shared/rendezvous_hash.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  DaemonDescription,
  PeerNotice,
  PeerRelation,
  PlannerNotice,
} from "../../connection/peer_notice.ts";

/** Silence of a peer after which it counts as lost, in milliseconds. */
const PEER_TIMEOUT_MS = 2_000;
/** Silence after which a peer is forgotten, in milliseconds: machines are replaced under other names. */
const PEER_RETENTION_MS = 60_000;

/** Daemon that some source named. */
interface KnownPeer {
  readonly description: DaemonDescription;
  /** Monotonic time of the last sign of life, or of the first mention. */
  readonly lastSeenAtMs: number;
  readonly isLost: boolean;
}

/** Daemon that exchanges notices with this one. */
interface Partner {
  readonly notice: PeerNotice;
  readonly lastNoticeAtMs: number;
  /** Daemons that the partner hears. */
  readonly peers: readonly DaemonDescription[];
  readonly peersHash: number | undefined;
}

/** Planner as this daemon knows it. */
interface KnownPlanner {
  readonly name: string;
  readonly term: number;
  readonly confirmedAtMs: number;
}

/** Other daemons: those that exchange notices with this one, and those that these hear. */
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

  /** Takes a daemon that another source named. What is known of a daemon at the same address stays. */
  addPeer(description: DaemonDescription): void {
    const { name, address } = description;
    const knownPeer = this.#knownPeers.get(name);
    const isNew = knownPeer?.description.address !== address &&
      !this.#partners.has(name);
    if (name !== this.#ownName && isNew) {
      this.#recordSeen(description, performance.now());
    }
  }

  /** Takes a notice that a partner sent. */
  applyNotice(notice: PeerNotice): void {
    const { sender, planner, relation } = notice;
    if (sender.name === this.#ownName) {
      return;
    }
    const nowMs = performance.now();
    this.#sweepSilentPeers();
    const previous = this.#partners.get(sender.name);
    const knownPeer = this.#knownPeers.get(sender.name);
    if (previous === undefined) {
      this.#logger.write("info", "peer-heard", {
        peer: sender.name,
        relation,
        silentMs: knownPeer === undefined
          ? undefined
          : Math.round(nowMs - knownPeer.lastSeenAtMs),
      });
    }
    const peers = notice.peers ?? previous?.peers ?? [];
    this.#partners.set(sender.name, {
      notice,
      lastNoticeAtMs: nowMs,
      peers,
      peersHash: notice.peers === undefined
        ? previous?.peersHash
        : notice.peersHash,
    });
    this.#recordSeen(sender, nowMs);
    peers.forEach((peer) => this.#recordSeen(peer, nowMs));
    if (planner !== undefined) {
      this.#observePlanner(planner, nowMs);
    }
  }

  /** Lists the daemons that may be alive: new ones, and those of which there was a sign of life lately. */
  listLivePeers(): DaemonDescription[] {
    this.#sweepSilentPeers();
    return [...this.#knownPeers].flatMap(([name, { description, isLost }]) =>
      isLost || this.#partners.get(name)?.notice.isLeaving ? [] : [description]
    );
  }

  /** Lists the names of all daemons, those that were lost lately included. */
  listPeerNames(): string[] {
    return [...this.#knownPeers.keys()];
  }

  /** Lists the last notices of the partners that were heard recently. */
  listPartnerNotices(): PeerNotice[] {
    this.#sweepSilentPeers();
    return [...this.#partners.values()].map(({ notice }) => notice);
  }

  /** Lists the partners that this daemon speaks for. */
  listMembers(): DaemonDescription[] {
    return this.listPartnerNotices().filter(({ relation }) =>
      relation === "member"
    )
      .map(({ sender }) => sender);
  }

  /**
   * Gets what a notice says of other daemons: this one's partners, and towards a member also those that they told of. Others are not passed on further, so that the daemons don't remind each other of a replaced one for ever. The list is left out when the partner has taken it before.
   *
   * @param partner - Name of the receiver.
   * @param relation - What this daemon is to the receiver.
   */
  getPeersNotice(
    partner: string,
    relation: PeerRelation,
  ): Pick<PeerNotice, "peers" | "peersHash" | "seenPeersHash"> {
    const peers = new Map<string, DaemonDescription>();
    this.#sweepSilentPeers();
    for (const { notice, peers: relayed } of this.#partners.values()) {
      peers.set(notice.sender.name, notice.sender);
      if (relation === "hub") {
        relayed.forEach((peer) => peers.set(peer.name, peer));
      }
    }
    peers.delete(partner);
    peers.delete(this.#ownName);
    const list = [...peers.values()].sort((a, b) => a.name < b.name ? -1 : 1);
    const names = list.map(({ name, address }) => `${name}@${address}`);
    const peersHash = getHash32(names.join());
    const knownPartner = this.#partners.get(partner);
    return {
      peersHash,
      peers: knownPartner?.notice.seenPeersHash === peersHash
        ? undefined
        : list,
      seenPeersHash: knownPartner?.peersHash,
    };
  }

  /** Gets the revision of a partner's list of backend servers. */
  getServersRevision(partner: string): number | undefined {
    return this.#partners.get(partner)?.notice.serversRevision;
  }

  /** Gets the planner if there was a sign of it recently. */
  findPlanner(): PlannerNotice | undefined {
    if (this.#planner === undefined) {
      return undefined;
    }
    const { name, term, confirmedAtMs } = this.#planner;
    const ageMs = Math.round(performance.now() - confirmedAtMs);
    return ageMs > PEER_TIMEOUT_MS ? undefined : { name, term, ageMs };
  }

  /** Gets the number of daemons, this one included, of which there is a recent sign of life. */
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
