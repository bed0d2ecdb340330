import type {
  PeerLink,
  PeerLinkTransport,
} from "../../connection/peer_link.ts";
import type {
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import type { Disposable } from "../../shared/life_cycle_manager.ts";
import { decodeDescription } from "./daemon_description.ts";
import { choosePartners, type ExchangePartners } from "./exchange_topology.ts";
import { NoticeComposer, type NoticeState } from "./notice_composer.ts";
import type { PeerTable } from "./peer_table.ts";
import {
  type DaemonDescription,
  getOppositeRelation,
  type PeerHello,
  type PeerNotice,
  type PeerRelation,
} from "../../connection/peer_notice.ts";

/** Minimum time between two notices with changes to the same partners, in milliseconds. The first change after a quiet time is sent at once. */
const NOTICE_INTERVAL_MS = 100;
/** Time between two notices without changes, in milliseconds. They confirm that the link works. */
const HEARTBEAT_INTERVAL_MS = 400;
/** Time without a message after which a link is closed, in milliseconds. */
const SILENCE_TIMEOUT_MS = 1_300;
/** Number of buffered bytes above which a link whose partner does not read is closed. */
const MAX_BUFFERED_BYTES = 4_194_304;
/** Delay before a peer whose link failed is tried again, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;
/** Time for which a daemon waits for a peer that should open the link between them, in milliseconds. */
const ACCEPT_PAUSE_MS = 800;
/** Delay before a failed registration is retried, in milliseconds. */
const REGISTER_RETRY_MS = 1_000;
/** Interval between two listings of the registered daemons, in milliseconds. It may be long, since new daemons open links themselves. */
const LIST_INTERVAL_MS = 60_000;
/** Time within which the daemons check their registrations after a restore of the store, in milliseconds. It spreads their calls. */
const REGISTER_AGAIN_MS = 2_000;
/** Mean time in milliseconds from a change at one daemon of a cell until the others know it: a wait at the sender, and another one at the hub. */
const CELL_STALENESS_MS = 60;
/** Additional time for changes that pass two hubs, in milliseconds. */
const HUB_STALENESS_MS = 60;

/** Components and callbacks of the exchange. */
export interface PeerExchangeOptions {
  readonly store: SnapshotStore;
  /** Kind of the stored objects by which daemons discover each other. */
  readonly kind: string;
  readonly ownDaemon: DaemonDescription;
  readonly peerTable: PeerTable;
  readonly transport: PeerLinkTransport;
  readonly logger: Logger;
  /** Describes the state that notices report; `relation` is the role of this daemon towards the receivers. */
  describeState(relation: PeerRelation): NoticeState;
  /** Creates a further notice for one partner with the data that it lacks, or gets undefined. */
  createDataNotice(partner: string): PeerNotice | undefined;
  /** Handles a notice of a partner. */
  onNotice(
    partner: DaemonDescription,
    relation: PeerRelation,
    notice: PeerNotice,
  ): void;
  /** Called when the number of a notice to the hub is known, with the loads that the hub has after it. */
  onReportSent(number: number, loads: ReadonlyMap<string, number>): void;
  /** Called when the link of a partner has closed. */
  onPartnerLost(name: string): void;
  /** Called when the link of a partner has opened. */
  onPartnerLinked(name: string): void;
  /** Called after `onPartnerLost` when the partner's side has closed or reset the connection. */
  onPartnerEnded(partner: DaemonDescription): void;
}

/** Open link with its partner. */
interface OpenLink {
  readonly link: PeerLink;
  readonly partner: DaemonDescription;
  /** Role of this daemon towards the partner. */
  readonly relation: PeerRelation;
  /** Whether this daemon opened the link. */
  readonly isOpener: boolean;
  lastHeardAtMs: number;
  /** Whether the partner has received a complete notice. */
  isSynced: boolean;
  /** Number of the partner's last notice with loads. */
  receivedNumber: number | undefined;
}

/**
 * Exchanges notices with the partners that the topology chooses, over links that stay open. Each daemon registers in the store once, and learns of daemons that register later from the notices of its partners.
 *
 * A change is sent when it occurs, at most once in `NOTICE_INTERVAL_MS`. Partners with the same relation get the same notice, which is composed and encoded once.
 */
export class PeerExchange implements Disposable {
  readonly #options: PeerExchangeOptions;
  readonly #links = new Map<string, OpenLink>();
  readonly #composers: Record<PeerRelation, NoticeComposer> = {
    equal: new NoticeComposer(),
    member: new NoticeComposer(),
    hub: new NoticeComposer(),
  };
  readonly #pendingNames = new Set<string>();
  /** Monotonic time before which this daemon does not open a link to a peer, by name, in milliseconds. */
  readonly #retryAtMs = new Map<string, number>();
  #role: ExchangePartners["role"] = "hub";
  #hubName: string | undefined;
  #precedingHubs: readonly string[] = [];
  /** Whether the first list of the registered daemons has been read. */
  #hasListedPeers = false;
  /** Last choice of the partners, and the version of the live peers that it was made from. */
  #partnersChoice:
    | { readonly liveVersion: number; readonly choice: ExchangePartners }
    | undefined;
  /** Ends the wait before the next check of the registration. */
  #registrationWait = new AbortController();
  #noticeTimer: NodeJS.Timeout | undefined;
  #lastNoticeAtMs = Number.NEGATIVE_INFINITY;
  #lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;
  #noticeNumber = 0;
  #isDisposed = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.transport.onLink((link) => this.#acceptLink(link));
  }

  /** Gets whether this daemon is a hub; in a small fleet every daemon is one. */
  get isHub(): boolean {
    return this.#role === "hub";
  }

  /** Gets whether this daemon is the first hub of its zone, which reads the store for the others. */
  get isFirstHub(): boolean {
    return this.isHub && this.#hasListedPeers &&
      this.#precedingHubs.length === 0;
  }

  /** Gets whether no other daemon is known, once the registered daemons have been read. */
  get isAlone(): boolean {
    return this.#hasListedPeers &&
      this.#options.peerTable.listLivePeers().length === 0;
  }

  /** Gets the mean age of the loads that other daemons reported, in milliseconds. */
  getStalenessMs(): number {
    return this.isHub && !this.#options.peerTable.hasMembers()
      ? CELL_STALENESS_MS
      : CELL_STALENESS_MS + HUB_STALENESS_MS;
  }

  /** Registers this daemon and keeps the links open until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#runRegistration(signal).catch((error: unknown) => {
      this.#options.logger.write("error", "registration-failed", {
        message: getErrorMessage(error),
      });
    });
    while (await delay(HEARTBEAT_INTERVAL_MS / 2, signal)) {
      this.#closeSilentLinks();
      this.#openLinks();
      if (this.#isHeartbeatDue()) {
        this.#sendNotices();
      }
    }
  }

  /** Sends the changes of the state to all partners soon. */
  scheduleNotices(): void {
    if (this.#noticeTimer !== undefined || this.#isDisposed) {
      return;
    }
    const waitMs = this.#lastNoticeAtMs + NOTICE_INTERVAL_MS -
      performance.now();
    this.#noticeTimer = setTimeout(
      () => this.#sendNotices(),
      Math.max(0, waitMs),
    ).unref();
  }

  /** Checks the registration of this daemon soon, as a restore of the store may have removed it. */
  scheduleRegistration(): void {
    setTimeout(
      () => this.#registrationWait.abort(),
      Math.random() * REGISTER_AGAIN_MS,
    ).unref();
  }

  /** Sends the changes of the state to all partners at once. */
  announce(): void {
    this.#sendNotices();
  }

  /** Sends a notice to one partner; it is dropped when the link is closed. */
  sendNotice(partner: string, notice: PeerNotice): void {
    this.#links.get(partner)?.link.send(JSON.stringify(notice));
  }

  /** Closes all links. */
  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#noticeTimer);
    this.#links.forEach(({ link }) => link.close());
  }

  #isHeartbeatDue(): boolean {
    return performance.now() - this.#lastHeartbeatAtMs >=
      HEARTBEAT_INTERVAL_MS;
  }

  #sendNotices(): void {
    const options = { isPeriodic: this.#isHeartbeatDue() };
    clearTimeout(this.#noticeTimer);
    this.#noticeTimer = undefined;
    this.#lastNoticeAtMs = performance.now();
    if (options.isPeriodic) {
      this.#lastHeartbeatAtMs = this.#lastNoticeAtMs;
    }
    for (const relation of ["member", "equal", "hub"] as const) {
      const links = [...this.#links.values()].filter((link) =>
        link.relation === relation
      );
      if (links.length > 0) {
        this.#sendToLinks(relation, links, options);
      }
    }
  }

  #sendToLinks(
    relation: PeerRelation,
    links: readonly OpenLink[],
    options: { isPeriodic: boolean },
  ): void {
    const composer = this.#composers[relation];
    const notice = composer.createChangeNotice(
      this.#options.describeState(relation),
      options,
    );
    const changes = notice === undefined ? undefined : JSON.stringify(notice);
    const newLinks = links.filter(({ isSynced }) => !isSynced);
    const complete = newLinks.length > 0
      ? JSON.stringify(composer.createCompleteNotice())
      : undefined;
    for (const openLink of links) {
      const text = openLink.isSynced ? changes : complete;
      openLink.isSynced = true;
      if (text !== undefined) {
        openLink.link.send(this.#addNumbers(openLink, text));
      }
      const dataNotice = this.#options.createDataNotice(openLink.partner.name);
      if (dataNotice !== undefined) {
        openLink.link.send(JSON.stringify(dataNotice));
      }
    }
  }

  /** Adds the numbers that differ between the links to an encoded notice. */
  #addNumbers({ relation, receivedNumber }: OpenLink, text: string): string {
    if (relation === "member") {
      const number = ++this.#noticeNumber;
      this.#options.onReportSent(number, this.#composers.member.sentLoads);
      return addField(text, "number", number);
    }
    return relation === "hub" && receivedNumber !== undefined
      ? addField(text, "acknowledged", receivedNumber)
      : text;
  }

  #closeSilentLinks(): void {
    const nowMs = performance.now();
    for (const { link, partner, lastHeardAtMs } of this.#links.values()) {
      if (nowMs - lastHeardAtMs > SILENCE_TIMEOUT_MS) {
        this.#closeLink(partner.name, link, "silent");
      } else if (link.bufferedBytes > MAX_BUFFERED_BYTES) {
        this.#closeLink(partner.name, link, "the peer does not read");
      }
    }
  }

  /** Opens the links to the partners that the topology chooses, and closes the links that this daemon has opened to others. */
  #openLinks(): void {
    const { ownDaemon } = this.#options;
    const { role, partners, precedingHubs } = this.#choosePartners();
    this.#precedingHubs = precedingHubs;
    const chosenPartners = role === "hub"
      ? partners
      : this.#chooseHub(partners);
    this.#recordRole(role, chosenPartners[0]?.name);
    const relation = role === "hub" ? "equal" : "member";
    for (const openLink of this.#links.values()) {
      const isChosen = openLink.relation === relation &&
        chosenPartners.some(({ name }) => name === openLink.partner.name);
      const isReplaced = relation === "equal" ||
        this.#links.has(chosenPartners[0]?.name);
      if (openLink.isOpener && !isChosen && isReplaced) {
        this.#dropLink(openLink);
      }
    }
    for (const partner of chosenPartners) {
      const openLink = this.#links.get(partner.name);
      const isOwnTurn = relation === "member" || ownDaemon.name < partner.name;
      if (openLink === undefined && (isOwnTurn || this.#hasWaited(partner))) {
        void this.#openLink(partner, relation);
      }
    }
  }

  #choosePartners(): ExchangePartners {
    const { ownDaemon, peerTable } = this.#options;
    const liveVersion = peerTable.getLiveVersion();
    if (this.#partnersChoice?.liveVersion !== liveVersion) {
      const choice = choosePartners(ownDaemon, peerTable.listLivePeers());
      this.#partnersChoice = { liveVersion, choice };
    }
    return this.#partnersChoice.choice;
  }

  /** Chooses the hub: the first one without a recent failure. */
  #chooseHub(hubs: readonly DaemonDescription[]): DaemonDescription[] {
    const nowMs = performance.now();
    const hub = hubs.find(({ name }) =>
      this.#links.has(name) || (this.#retryAtMs.get(name) ?? 0) <= nowMs
    );
    return hub === undefined ? [] : [hub];
  }

  /** Gets whether the peer has had its time to open the link between two hubs. */
  #hasWaited({ name }: DaemonDescription): boolean {
    const untilMs = this.#retryAtMs.get(name);
    if (untilMs === undefined) {
      this.#retryAtMs.set(name, performance.now() + ACCEPT_PAUSE_MS);
    }
    return untilMs !== undefined && untilMs <= performance.now();
  }

  #recordRole(role: ExchangePartners["role"], chosenHubName?: string): void {
    const hubName = role === "member" ? chosenHubName : undefined;
    if (role !== this.#role || hubName !== this.#hubName) {
      this.#role = role;
      this.#hubName = hubName;
      this.#options.logger.write("info", "exchange-role", {
        role,
        hub: hubName,
        peers: this.#options.peerTable.countLiveDaemons() - 1,
      });
    }
  }

  async #openLink(
    partner: DaemonDescription,
    relation: PeerRelation,
  ): Promise<void> {
    const { name, address } = partner;
    const retryAtMs = this.#retryAtMs.get(name) ?? 0;
    if (this.#pendingNames.has(name) || retryAtMs > performance.now()) {
      return;
    }
    this.#pendingNames.add(name);
    try {
      const link = await this.#options.transport.open(address);
      if (this.#isDisposed || this.#links.has(name)) {
        link.close();
        return;
      }
      link.send(this.#createHello(relation));
      this.#addLink({ link, partner, relation, isOpener: true });
    } catch (error) {
      this.#recordFailure(name, getErrorMessage(error));
    } finally {
      this.#pendingNames.delete(name);
    }
  }

  #createHello(relation: PeerRelation): string {
    const hello: PeerHello = { sender: this.#options.ownDaemon, relation };
    return JSON.stringify(hello);
  }

  /** Accepts a link that a peer has opened. Its first message tells who the peer is. */
  #acceptLink(link: PeerLink): void {
    const timer = setTimeout(() => link.close(), SILENCE_TIMEOUT_MS).unref();
    link.onMessage((text) => {
      clearTimeout(timer);
      try {
        const { sender, relation } = parseHello(text);
        const previousLink = this.#links.get(sender.name);
        if (previousLink !== undefined) {
          // The peer opens a link only when it has none, so the previous one is dead.
          this.#closeLink(sender.name, previousLink.link, "replaced");
        }
        this.#addLink({
          link,
          partner: sender,
          relation: getOppositeRelation(relation),
          isOpener: false,
        });
      } catch (error) {
        this.#options.logger.write("warn", "peer-message-invalid", {
          message: getErrorMessage(error),
        });
        link.close();
      }
    });
  }

  #addLink(
    options: Pick<OpenLink, "link" | "partner" | "relation" | "isOpener">,
  ): void {
    const { link, partner, relation } = options;
    const openLink: OpenLink = {
      ...options,
      lastHeardAtMs: performance.now(),
      isSynced: false,
      receivedNumber: undefined,
    };
    this.#links.set(partner.name, openLink);
    this.#retryAtMs.delete(partner.name);
    this.#options.peerTable.addPartner({
      sender: partner,
      relation: getOppositeRelation(relation),
    });
    link.onMessage((text) => this.#receive(openLink, text));
    link.onClose((reason, origin) => {
      const isCurrent = this.#links.get(partner.name)?.link === link;
      this.#closeLink(partner.name, link, reason);
      if (isCurrent && origin === "peer" && !this.#isDisposed) {
        this.#options.onPartnerEnded(partner);
      }
    });
    this.#options.onPartnerLinked(partner.name);
    this.announce();
  }

  #receive(openLink: OpenLink, text: string): void {
    const { partner, relation, link } = openLink;
    openLink.lastHeardAtMs = performance.now();
    try {
      const notice = parseNotice(text);
      openLink.receivedNumber = notice.number ?? openLink.receivedNumber;
      this.#options.peerTable.applyNotice(partner.name, notice);
      this.#options.onNotice(partner, getOppositeRelation(relation), notice);
    } catch (error) {
      this.#options.logger.write("warn", "peer-message-invalid", {
        peer: partner.name,
        message: getErrorMessage(error),
      });
      this.#closeLink(partner.name, link, "invalid message");
    }
  }

  /** Closes a link that is no longer needed, so that the peer may be linked again at once in another relation. */
  #dropLink({ partner: { name }, link }: OpenLink): void {
    this.#removeLink(name);
    link.close();
  }

  #closeLink(name: string, link: PeerLink, reason: string): void {
    if (this.#links.get(name)?.link === link) {
      this.#removeLink(name);
      link.close();
      this.#recordFailure(name, reason);
    }
  }

  #removeLink(name: string): void {
    this.#links.delete(name);
    this.#options.peerTable.removePartner(name);
    this.#options.onPartnerLost(name);
  }

  #recordFailure(name: string, reason: string): void {
    if (!this.#isDisposed) {
      this.#retryAtMs.set(name, performance.now() + RETRY_PAUSE_MS);
      this.#options.logger.write("info", "peer-link-failed", {
        peer: name,
        message: reason,
      });
    }
  }

  async #runRegistration(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#registrationWait = new AbortController();
      const isRegistered = await this.#syncRegistration();
      this.#openLinks();
      await delay(
        isRegistered ? LIST_INTERVAL_MS : REGISTER_RETRY_MS,
        AbortSignal.any([signal, this.#registrationWait.signal]),
      );
    }
  }

  /** Registers this daemon and reads the registered daemons. Returns whether both succeeded. */
  async #syncRegistration(): Promise<boolean> {
    const registration = await this.#listAndRegister();
    // Daemons that start at the same time may all list before any of them has registered. A list that follows the own registration contains every daemon that did not see it.
    return registration === "written"
      ? await this.#listAndRegister() === "listed"
      : registration === "listed";
  }

  /** Reads the registered daemons, and registers this one unless it is already registered with its current address. */
  async #listAndRegister(): Promise<"listed" | "written" | "failed"> {
    const { store, kind, ownDaemon, peerTable } = this.#options;
    const listResult = await store.listObjects(kind);
    const objects = listResult.toMaybe().extract();
    if (objects === undefined) {
      return "failed";
    }
    const registrations = objects.map((object) => ({
      object,
      description: decodeRegistration(object),
    }));
    registrations.forEach(({ description }) => {
      if (description !== undefined) {
        peerTable.addPeer(description);
      }
    });
    this.#hasListedPeers = true;
    const ownRegistration = registrations.find(({ object }) =>
      object.name === ownDaemon.name
    );
    if (ownRegistration?.description?.address === ownDaemon.address) {
      return "listed";
    }
    const { name, ...value } = ownDaemon;
    const putResult = await store.putObject({
      kind,
      name,
      value,
      expectedVersion: ownRegistration?.object.version ?? 0,
    });
    return putResult.outcome === "written" ? "written" : "failed";
  }
}

/** Inserts a numeric field at the start of an encoded object. */
function addField(text: string, name: string, value: number): string {
  const separator = text === "{}" ? "" : ",";
  return `{"${name}":${value}${separator}${text.slice(1)}`;
}

function decodeRegistration(
  { name, value }: StoredObject,
): DaemonDescription | undefined {
  return decodeDescription({ ...(value as object | null), name });
}

const RELATIONS: ReadonlySet<unknown> = new Set<PeerRelation>([
  "equal",
  "member",
  "hub",
]);

function parseHello(text: string): PeerHello {
  const { sender: value, relation } = JSON.parse(text) as PeerHello;
  const sender = decodeDescription(value);
  if (sender === undefined || !RELATIONS.has(relation)) {
    throw new Error("The first message of the link does not name its sender");
  }
  return { sender, relation };
}

/** Fields of a notice that contain lists. */
const LIST_FIELDS = [
  "loads",
  "lostGroups",
  "suspectedGroups",
  "crashes",
  "completedSuspects",
  "partCrashes",
  "partSuccesses",
  "serverLimits",
  "leavingServers",
  "peers",
  "removedPeers",
] as const;

/** Checks the fields of a notice that the tables iterate over. */
function parseNotice(text: string): PeerNotice {
  const notice = JSON.parse(text) as PeerNotice | null;
  if (typeof notice !== "object" || notice === null) {
    throw new Error("The notice is not an object");
  }
  for (const field of LIST_FIELDS) {
    if (notice[field] !== undefined && !Array.isArray(notice[field])) {
      throw new Error(`The field "${field}" of the notice is not a list`);
    }
  }
  return notice.peers === undefined
    ? notice
    : { ...notice, peers: notice.peers.map(decodeDescriptionOrThrow) };
}

function decodeDescriptionOrThrow(value: unknown): DaemonDescription {
  const description = decodeDescription(value);
  if (description === undefined) {
    throw new Error("The notice contains an invalid daemon description");
  }
  return description;
}
