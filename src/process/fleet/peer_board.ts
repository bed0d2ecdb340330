import { getHash32 } from "../../shared/rendezvous_hash.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  DaemonDescription,
  PeerNotice,
  PeerRelation,
  PlannerNotice,
} from "../../connection/peer_notice.ts";

/** Silence of a peer after which it counts as lost, in milliseconds. */
const PEER_SILENCE_MS = 2_000;
/** Silence after which a peer is forgotten, in milliseconds: machines are replaced under other names. */
const FORGET_MS = 60_000;

/** Daemon that some source named. */
interface KnownPeer {
  readonly description: DaemonDescription;
  /** Monotonic time of the last sign of life, or of the first mention. */
  readonly aliveAtMs: number;
  readonly isLost: boolean;
}

/** Daemon that exchanges notices with this one. */
interface Partner {
  readonly notice: PeerNotice;
  readonly heardAtMs: number;
  /** Daemons that the partner hears. */
  readonly peers: readonly DaemonDescription[];
  readonly peersHash: number | undefined;
}

/** Planner as this daemon knows it. */
interface KnownPlanner {
  readonly name: string;
  readonly term: number;
  readonly heardAtMs: number;
}

/** Other daemons: those that exchange notices with this one, and those that these hear. */
export class PeerBoard {
  readonly #ownName: string;
  readonly #logger: Logger;
  readonly #known = new Map<string, KnownPeer>();
  readonly #partners = new Map<string, Partner>();
  #planner: KnownPlanner | undefined;

  constructor(options: { ownName: string; logger: Logger }) {
    this.#ownName = options.ownName;
    this.#logger = options.logger;
  }

  /** Takes a daemon that another source named. What is known of a daemon at the same address stays. */
  addPeer(description: DaemonDescription): void {
    const { name, address } = description;
    const known = this.#known.get(name);
    const isNews = known?.description.address !== address &&
      !this.#partners.has(name);
    if (name !== this.#ownName && isNews) {
      this.#recordAlive(description, performance.now());
    }
  }

  /** Takes a notice that a partner sent. */
  applyNotice(notice: PeerNotice): void {
    const { sender, planner, relation } = notice;
    if (sender.name === this.#ownName) {
      return;
    }
    const nowMs = performance.now();
    this.#checkSilence();
    const before = this.#partners.get(sender.name);
    const known = this.#known.get(sender.name);
    if (before === undefined) {
      this.#logger.write("info", "peer-heard", {
        peer: sender.name,
        relation,
        silentMs: known === undefined
          ? undefined
          : Math.round(nowMs - known.aliveAtMs),
      });
    }
    const peers = notice.peers ?? before?.peers ?? [];
    this.#partners.set(sender.name, {
      notice,
      heardAtMs: nowMs,
      peers,
      peersHash: notice.peers === undefined
        ? before?.peersHash
        : notice.peersHash,
    });
    this.#recordAlive(sender, nowMs);
    peers.forEach((peer) => this.#recordAlive(peer, nowMs));
    if (planner !== undefined) {
      this.#observePlanner(planner, nowMs);
    }
  }

  /** Lists the daemons that may be alive: new ones, and those of which there was a sign of life lately. */
  listCandidates(): DaemonDescription[] {
    this.#checkSilence();
    return [...this.#known].flatMap(([name, { description, isLost }]) =>
      isLost || this.#partners.get(name)?.notice.isLeaving ? [] : [description]
    );
  }

  /** Lists the names of all daemons, those that were lost lately included. */
  listNames(): string[] {
    return [...this.#known.keys()];
  }

  /** Lists the last notices of the partners that were heard recently. */
  listNotices(): PeerNotice[] {
    this.#checkSilence();
    return [...this.#partners.values()].map(({ notice }) => notice);
  }

  /** Lists the partners that this daemon speaks for. */
  listMembers(): DaemonDescription[] {
    return this.listNotices().filter(({ relation }) => relation === "member")
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
    this.#checkSilence();
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
    const known = this.#partners.get(partner);
    return {
      peersHash,
      peers: known?.notice.seenPeersHash === peersHash ? undefined : list,
      seenPeersHash: known?.peersHash,
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
    const { name, term, heardAtMs } = this.#planner;
    const ageMs = Math.round(performance.now() - heardAtMs);
    return ageMs > PEER_SILENCE_MS ? undefined : { name, term, ageMs };
  }

  /** Gets the number of daemons, this one included, of which there is a recent sign of life. */
  countDaemons(): number {
    const names = new Set([this.#ownName]);
    this.#checkSilence();
    for (const { notice, peers } of this.#partners.values()) {
      names.add(notice.sender.name);
      peers.forEach(({ name }) => names.add(name));
    }
    return names.size;
  }

  #recordAlive(description: DaemonDescription, nowMs: number): void {
    if (description.name !== this.#ownName) {
      this.#known.set(description.name, {
        description,
        aliveAtMs: nowMs,
        isLost: false,
      });
    }
  }

  #observePlanner(planner: PlannerNotice, nowMs: number): void {
    const heardAtMs = nowMs - planner.ageMs;
    const isOlder = this.#planner !== undefined &&
      (planner.term < this.#planner.term ||
        (planner.term === this.#planner.term &&
          heardAtMs <= this.#planner.heardAtMs));
    if (!isOlder && planner.name !== this.#ownName) {
      this.#planner = { name: planner.name, term: planner.term, heardAtMs };
    }
  }

  #checkSilence(): void {
    const nowMs = performance.now();
    for (const [name, { heardAtMs }] of this.#partners) {
      if (nowMs - heardAtMs > PEER_SILENCE_MS) {
        this.#partners.delete(name);
      }
    }
    for (const [name, { description, aliveAtMs, isLost }] of this.#known) {
      const silentMs = nowMs - aliveAtMs;
      if (silentMs > FORGET_MS) {
        this.#known.delete(name);
      } else if (silentMs > PEER_SILENCE_MS && !isLost) {
        this.#known.set(name, { description, aliveAtMs, isLost: true });
        this.#logger.write("info", "peer-lost", {
          peer: name,
          silentMs: Math.round(silentMs),
        });
      }
    }
  }
}
