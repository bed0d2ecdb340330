import type { FleetPeerClients } from "../../connection/fleet_peer_router.ts";
import type {
  SnapshotStore,
  StoredObject,
} from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import { getErrorMessage } from "../../shared/errors.ts";
import type { Logger } from "../../shared/logger.ts";
import { choosePartners, type ExchangePartners } from "./exchange_topology.ts";
import type { PeerTable } from "./peer_table.ts";
import type {
  DaemonDescription,
  PeerNotice,
  PeerRelation,
} from "../../connection/peer_notice.ts";

/** Intervals between two exchanges with each partner, in milliseconds. */
interface ExchangeIntervals {
  /** Interval while no request waits. */
  readonly normalMs: number;
  /** Interval while requests wait at any daemon. It is shorter, since a slot that one daemon releases stays unused until the others are notified. */
  readonly underLoadMs: number;
}

/** Intervals in a small fleet, where every daemon exchanges with every other. Both daemons of a pair start exchanges, so the data of a peer is at most this old. */
const MESH_INTERVALS: ExchangeIntervals = { normalMs: 300, underLoadMs: 100 };
/** Intervals between hubs with members. The interval under load is longer than in a small fleet, since every exchange costs all hubs processor time and a large fleet nearly always has a waiting request. */
const HUB_INTERVALS: ExchangeIntervals = { normalMs: 300, underLoadMs: 200 };
/** Intervals between a member and its hub. Only the member starts exchanges. */
const MEMBER_INTERVALS: ExchangeIntervals = { normalMs: 200, underLoadMs: 150 };
/** Delay before the next call to a peer after a failed one, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;
/** Delay before a failed registration is retried, in milliseconds. */
const REGISTER_RETRY_MS = 1_000;
/** Interval between two listings of the registered daemons, in milliseconds. It may be long, since new daemons call the others themselves. */
const LIST_INTERVAL_MS = 60_000;

/** Components and callbacks of the exchange. */
export interface PeerExchangeOptions {
  readonly store: SnapshotStore;
  /** Kind of the stored objects by which daemons discover each other. */
  readonly kind: string;
  readonly ownDaemon: DaemonDescription;
  readonly peerTable: PeerTable;
  readonly clients: FleetPeerClients;
  readonly logger: Logger;
  /** Creates the notice for a partner; `relation` is the role of this daemon towards the partner. */
  createNotice(partner: string, relation: PeerRelation): PeerNotice;
  /** Gets whether requests wait for slots at any daemon. */
  isUnderLoad(): boolean;
  /** Handles the notice in a peer's response. */
  onNotice(notice: PeerNotice): void;
}

/** Exchanges notices with the partners that the topology chooses. Each daemon registers in the store once, and learns of daemons that register later from the notices of its partners. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #activeCalls = new Set<string>();
  /** Names of the peers that get another notice as soon as the pending call to them ends. */
  readonly #resendNames = new Set<string>();
  /** Monotonic time before which a peer is not called again after a failure, by name, in milliseconds. */
  readonly #retryAtMs = new Map<string, number>();
  #role: ExchangePartners["role"] = "hub";
  #hubName: string | undefined;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Gets whether this daemon is a hub; in a small fleet every daemon is one. */
  get isHub(): boolean {
    return this.#role === "hub";
  }

  /** Gets the mean age of the data that other daemons reported, in milliseconds. Data that reaches a member through two hubs waits for three exchanges. Between hubs the mean wait is a quarter of the interval, since both start exchanges; between a member and its hub it is half. */
  getStalenessMs(): number {
    const { isUnderLoad } = this.#options;
    const interval = isUnderLoad() ? "underLoadMs" : "normalMs";
    return this.isHub && !this.#hasMembers()
      ? MESH_INTERVALS[interval] / 4
      : HUB_INTERVALS[interval] / 4 + MEMBER_INTERVALS[interval];
  }

  /** Registers this daemon and exchanges notices until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#runRegistration(signal).catch((error: unknown) => {
      this.#options.logger.write("error", "registration-failed", {
        message: getErrorMessage(error),
      });
    });
    while (await delay(this.#getIntervalMs(), signal)) {
      this.#sendToPartners();
    }
  }

  /** Sends a notice to the partners and the members of this daemon at once. */
  announce(): void {
    const { peerTable } = this.#options;
    const activeNames = new Set(this.#activeCalls);
    const calledPartners = this.#sendToPartners();
    const names = new Set(calledPartners.map(({ name }) => name));
    const members = peerTable.listMembers().filter(({ name }) =>
      !names.has(name)
    );
    members.forEach((member) => this.#startCall(member, "hub"));
    // The notice of a call that was already pending lacks the new state.
    [...calledPartners, ...members].filter(({ name }) => activeNames.has(name))
      .forEach(({ name }) => this.#resendNames.add(name));
  }

  #getIntervalMs(): number {
    const { normalMs, underLoadMs } = this.#getIntervals();
    return this.#options.isUnderLoad() ? underLoadMs : normalMs;
  }

  #getIntervals(): ExchangeIntervals {
    if (!this.isHub) {
      return MEMBER_INTERVALS;
    }
    return this.#hasMembers() ? HUB_INTERVALS : MESH_INTERVALS;
  }

  #hasMembers(): boolean {
    return this.#options.peerTable.listMembers().length > 0;
  }

  /** Sends a notice to the partners: at a hub to all of them, at a member to the first hub without a recent failure. Returns the daemons that are called. */
  #sendToPartners(): readonly DaemonDescription[] {
    const { ownDaemon, peerTable } = this.#options;
    const { role, partners } = choosePartners(
      ownDaemon,
      peerTable.listLivePeers(),
    );
    const isDue = ({ name }: DaemonDescription) =>
      (this.#retryAtMs.get(name) ?? 0) <= performance.now();
    const duePartners = partners.filter(isDue);
    const calledPartners = role === "hub"
      ? duePartners
      : duePartners.slice(0, 1);
    this.#recordRole(role, calledPartners[0]?.name);
    calledPartners.forEach((partner) =>
      this.#startCall(partner, role === "hub" ? "equal" : "member")
    );
    return calledPartners;
  }

  #recordRole(role: ExchangePartners["role"], calledHubName?: string): void {
    const hubName = role === "member" ? calledHubName : undefined;
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

  #startCall(partner: DaemonDescription, relation: PeerRelation): void {
    if (!this.#activeCalls.has(partner.name)) {
      void this.#callPeer(partner, relation);
    }
  }

  async #callPeer(
    { name, address }: DaemonDescription,
    relation: PeerRelation,
  ): Promise<void> {
    const { clients, createNotice, onNotice } = this.#options;
    this.#activeCalls.add(name);
    try {
      do {
        this.#resendNames.delete(name);
        const client = clients.getClient(address);
        onNotice(await client.exchange.mutate(createNotice(name, relation)));
        this.#retryAtMs.delete(name);
      } while (this.#resendNames.has(name));
    } catch (error) {
      if (!this.#retryAtMs.has(name)) {
        this.#options.logger.write("info", "exchange-failed", {
          peer: name,
          relation,
          message: getErrorMessage(error),
        });
      }
      this.#retryAtMs.set(name, performance.now() + RETRY_PAUSE_MS);
    } finally {
      this.#activeCalls.delete(name);
      this.#resendNames.delete(name);
    }
  }

  async #runRegistration(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isRegistered = await this.#listAndRegister();
      await delay(
        isRegistered ? LIST_INTERVAL_MS : REGISTER_RETRY_MS,
        signal,
      );
    }
  }

  /** Reads the registered daemons, and registers this one unless it is already registered with its current address. Returns whether this daemon is registered. */
  async #listAndRegister(): Promise<boolean> {
    const { store, kind, ownDaemon, peerTable } = this.#options;
    const listResult = await store.listObjects(kind);
    const objects = listResult.toMaybe().extract();
    if (objects === undefined) {
      return false;
    }
    const registrations = objects.map((object) => ({
      object,
      description: decodeDescription(object),
    }));
    registrations.forEach(({ description }) => {
      if (description !== undefined) {
        peerTable.addPeer(description);
      }
    });
    const ownRegistration = registrations.find(({ object }) =>
      object.name === ownDaemon.name
    );
    if (ownRegistration?.description?.address === ownDaemon.address) {
      return true;
    }
    const { name, ...value } = ownDaemon;
    const putResult = await store.putObject({
      kind,
      name,
      value,
      expectedVersion: ownRegistration?.object.version ?? 0,
    });
    return putResult.outcome === "written";
  }
}

function decodeDescription(
  object: StoredObject,
): DaemonDescription | undefined {
  const value = object.value as Partial<DaemonDescription> | null;
  const { address, zone, processorCores } = value ?? {};
  return typeof address === "string" && typeof zone === "string" &&
      typeof processorCores === "number"
    ? { name: object.name, address, zone, processorCores }
    : undefined;
}
