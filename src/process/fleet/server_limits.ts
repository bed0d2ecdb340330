import type { RequestLimit } from "../../connection/backend_transport.ts";
import type {
  DaemonDescription,
  PeerRelation,
  ServerLimitNotice,
} from "../../connection/peer_notice.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { SendLimit } from "./send_limit.ts";

/** Time after which a statement that no response has repeated is dropped, in milliseconds. */
const STATEMENT_LIFETIME_MS = 15_000;
/** Requests per second that a server gets from all daemons together although it states less, so that a daemon learns when it states more. */
const MIN_RATE_PER_S = 0.25;
/** Number of daemons that may send to a limited server beyond its limit per second. Each may send one request at any time, so that more daemons would exceed the limit when they all do. */
const EXTRA_SENDERS = 4;
/** Weight of a daemon in the server's zone when the limit is divided. The requests of a zone go to its own servers first. */
const LOCAL_WEIGHT = 3;
const MS_PER_SECOND = 1_000;

/** Request rate that a server has stated. */
interface Statement {
  /** Start of the server's process; a later process with the same id inherits nothing. */
  readonly startedAtMs: number;
  /** Requests per second, or undefined when the server no longer states a limit. */
  readonly limit: number | undefined;
  /** Monotonic time of the latest response with this statement, in milliseconds. */
  readonly atMs: number;
  /** Whether this daemon, one of its members, or another daemon received the response. */
  readonly origin: "own" | "member" | "other";
}

/** Requests that this daemon may send to a server. */
interface Allowance {
  requests: number;
  /** Monotonic time of the last update, in milliseconds. */
  updatedAtMs: number;
}

/** Daemon that may send requests to a server. */
type Sender = Pick<DaemonDescription, "name" | "zone">;

/** Options of the limits that servers state. */
export interface ServerLimitsOptions {
  readonly logger: Logger;
  /** Minimum number of daemons among which a limit is divided. */
  readonly minDaemons: number;
  readonly ownDaemon: Sender;
  /** Lists the other daemons that are neither lost nor leaving. */
  listPeers(): readonly Sender[];
  /** Gets a number that rises when the result of `listPeers` changes. */
  getPeersVersion(): number;
  /** Called when there is something new to report to peers. */
  onChange(): void;
}

/** Part of a server's limit that this daemon may use. */
interface Share {
  /** From 0 to 1. */
  readonly share: number;
  readonly rate: number;
  readonly peersVersion: number;
}

/** Statement that the notices to peers describe. */
export interface ServerLimitReport extends Omit<ServerLimitNotice, "ageMs"> {
  /** Monotonic time of the statement, in milliseconds. */
  readonly atMs: number;
}

/**
 * Keeps the requests of all daemons within the rates that backend servers state in their responses.
 *
 * The rate of a server is divided among some of the daemons, so that no message is needed for a request. The statements themselves are sent to peers, because a daemon that may not send to a server gets no response from it.
 *
 * @example
 * ```ts
 * serverLimits.recordResponse(server, response.requestLimit);
 * if (serverLimits.isBelowLimit(server)) {
 *   serverLimits.recordRequest(server);
 * }
 * ```
 */
export class ServerLimits implements SendLimit {
  readonly #options: ServerLimitsOptions;
  readonly #statements = new Map<string, Statement>();
  readonly #allowances = new Map<string, Allowance>();
  readonly #shares = new Map<string, Share>();

  constructor(options: ServerLimitsOptions) {
    this.#options = options;
  }

  /** Gets the number of servers that state a limit. */
  get limitedCount(): number {
    return [...this.#statements.values()].filter(({ limit }) =>
      limit !== undefined
    ).length;
  }

  isBelowLimit(server: BackendServer): boolean {
    return this.getWaitMs(server) === 0;
  }

  /** Gets the time until this daemon may send another request to a server, in milliseconds; infinite when only other daemons may send to it. */
  getWaitMs(server: BackendServer): number {
    const rate = this.#findOwnRate(server);
    if (rate === undefined) {
      return 0;
    }
    const { requests } = this.#updateAllowance(server.id, rate);
    return requests >= 1 ? 0 : (1 - requests) / rate * MS_PER_SECOND;
  }

  recordRequest(server: BackendServer): void {
    const rate = this.#findOwnRate(server);
    if (rate !== undefined) {
      this.#updateAllowance(server.id, rate).requests--;
    }
  }

  /** Records what a server states in a response. */
  recordResponse(server: BackendServer, limit: RequestLimit): void {
    if (
      limit === "unknown" ||
      (limit === "unlimited" &&
        this.#statements.get(server.id)?.limit === undefined)
    ) {
      return;
    }
    this.#applyStatement(server.id, {
      startedAtMs: server.startedAtMs,
      limit: limit === "unlimited" ? undefined : limit,
      atMs: performance.now(),
      origin: "own",
    });
  }

  /**
   * Applies a statement that a peer reported, unless a later one is known.
   *
   * @param notice - Statement.
   * @param relation - Role of the peer towards this daemon.
   */
  applyNotice(notice: ServerLimitNotice, relation: PeerRelation): void {
    const { serverId, startedAtMs, limit, ageMs } = notice;
    this.#applyStatement(serverId, {
      startedAtMs,
      limit: limit ?? undefined,
      atMs: performance.now() - ageMs,
      origin: relation === "member" ? "member" : "other",
    });
  }

  /**
   * Gets the statements for notices. Hubs do not return to each other what another hub reported.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReport(relation: PeerRelation): ServerLimitReport[] {
    if (this.#statements.size === 0) {
      return [];
    }
    this.#removeExpired();
    return [...this.#statements].filter(([, { origin }]) =>
      relation === "hub" || origin === "own" ||
      (relation === "equal" && origin === "member")
    ).map(([serverId, { startedAtMs, limit, atMs }]) => ({
      serverId,
      startedAtMs,
      limit: limit ?? null,
      atMs,
    }));
  }

  #applyStatement(serverId: string, statement: Statement): void {
    const known = this.#statements.get(serverId);
    if (known !== undefined && known.atMs > statement.atMs) {
      return;
    }
    this.#statements.set(serverId, statement);
    if (
      statement.limit === undefined ||
      known?.startedAtMs !== statement.startedAtMs
    ) {
      this.#allowances.delete(serverId);
    }
    if (known?.limit !== statement.limit) {
      this.#options.logger.write("info", "server-limit", {
        server: serverId,
        limit: statement.limit ?? "unlimited",
        origin: statement.origin,
      });
    }
    if (
      known?.limit !== statement.limit ||
      known?.startedAtMs !== statement.startedAtMs
    ) {
      this.#options.onChange();
    }
  }

  #removeExpired(): void {
    const oldestMs = performance.now() - STATEMENT_LIFETIME_MS;
    for (const [serverId, { atMs }] of this.#statements) {
      if (atMs < oldestMs) {
        this.#statements.delete(serverId);
        this.#allowances.delete(serverId);
        this.#shares.delete(serverId);
      }
    }
  }

  /** Gets the requests per second that this daemon may send to a server, or undefined without a limit. */
  #findOwnRate(server: BackendServer): number | undefined {
    const statement = this.#statements.get(server.id);
    if (
      statement?.limit === undefined ||
      statement.startedAtMs !== server.startedAtMs ||
      statement.atMs < performance.now() - STATEMENT_LIFETIME_MS
    ) {
      return undefined;
    }
    const rate = Math.max(MIN_RATE_PER_S, statement.limit);
    return rate * this.#getOwnShare(server, rate);
  }

  #getOwnShare(server: BackendServer, rate: number): number {
    const peersVersion = this.#options.getPeersVersion();
    const known = this.#shares.get(server.id);
    if (known?.peersVersion === peersVersion && known.rate === rate) {
      return known.share;
    }
    const share = this.#findShare(server, rate);
    this.#shares.set(server.id, { share, rate, peersVersion });
    return share;
  }

  /** Gets the part of a server's limit that this daemon may use: weighted shares of the daemons that may send, which the server's zone provides first. */
  #findShare({ id, zone }: BackendServer, rate: number): number {
    const { ownDaemon, listPeers, minDaemons } = this.#options;
    const daemons = [ownDaemon, ...listPeers()];
    const zones = new Map(daemons.map((d) => [d.name, d.zone]));
    const order = getRendezvousOrder(id, [...zones.keys()]);
    const senders = [
      ...order.filter((name) => zones.get(name) === zone),
      ...order.filter((name) => zones.get(name) !== zone),
    ].slice(0, Math.floor(rate) + EXTRA_SENDERS);
    if (!senders.includes(ownDaemon.name)) {
      return 0;
    }
    const getWeight = (name: string) =>
      zones.get(name) === zone ? LOCAL_WEIGHT : 1;
    const missingCount = Math.max(0, minDaemons - daemons.length);
    const totalWeight = senders.reduce(
      (sum, name) => sum + getWeight(name),
      missingCount * LOCAL_WEIGHT,
    );
    return getWeight(ownDaemon.name) / totalWeight;
  }

  /** Gets the allowance for a server, with the requests that have become available since the last update. */
  #updateAllowance(serverId: string, ratePerSecond: number): Allowance {
    const nowMs = performance.now();
    const allowance = this.#allowances.get(serverId) ??
      // The daemons begin at different levels, so that they do not all send at the same moment.
      { requests: Math.random(), updatedAtMs: nowMs };
    const elapsedMs = nowMs - allowance.updatedAtMs;
    allowance.requests = Math.min(
      1,
      allowance.requests + elapsedMs / MS_PER_SECOND * ratePerSecond,
    );
    allowance.updatedAtMs = nowMs;
    this.#allowances.set(serverId, allowance);
    return allowance;
  }
}
