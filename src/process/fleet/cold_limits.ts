import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { BackendServer } from "../../shared/backend_server.ts";

/** Window in which the requests to a cold server are counted, in milliseconds. */
const COUNT_WINDOW_MS = 1_000;

/** Bounds of the requests to cold servers over all daemons. */
export interface ColdLimitsOptions {
  /** Factor by which the requests of a second may exceed the rate that a cold server bears. */
  readonly overageFactor: number;
  /** Requests of a second that are allowed besides. */
  readonly slackRequests: number;
  /** Gets the requests of a second that a cold server of a service bears; 0 when the service has no cold phase. */
  getColdRate(service: string): number;
  /** Gets the number of daemons that share the bound at least. */
  readonly minDaemons: number;
  readonly ownName: string;
  /** Lists the names of the other daemons, those that were lost lately included. */
  listPeerNames(): readonly string[];
}

/** Share of this daemon in the requests that a cold server gets. The bound is split evenly, so that it holds over all daemons without a message between them; when there are more daemons than requests, a hash chooses those that send one each. */
export class ColdLimits {
  readonly #options: ColdLimitsOptions;
  readonly #sentAtMs = new Map<string, number[]>();

  constructor(options: ColdLimitsOptions) {
    this.#options = options;
  }

  /** Gets whether a server can take one more request of this daemon now. */
  isBelowLimit(server: BackendServer): boolean {
    const nowMs = performance.now();
    return this.#listRecentSends(server, nowMs).length <
      this.#getOwnLimit(server, nowMs);
  }

  /** Counts a request that is sent to a server. */
  recordRequest(server: BackendServer): void {
    const nowMs = performance.now();
    if (this.#isLimited(server, nowMs)) {
      const sent = this.#listRecentSends(server, nowMs);
      this.#sentAtMs.set(server.id, [...sent, nowMs]);
    } else {
      this.#sentAtMs.delete(server.id);
    }
  }

  #isLimited(server: BackendServer, nowMs: number): boolean {
    return server.coldUntilMs > nowMs &&
      this.#options.getColdRate(server.service) > 0;
  }

  #listRecentSends({ id }: BackendServer, nowMs: number): number[] {
    const sent = this.#sentAtMs.get(id) ?? [];
    return sent.filter((atMs) => atMs > nowMs - COUNT_WINDOW_MS);
  }

  #getOwnLimit(server: BackendServer, nowMs: number): number {
    if (!this.#isLimited(server, nowMs)) {
      return Number.POSITIVE_INFINITY;
    }
    const {
      overageFactor,
      slackRequests,
      getColdRate,
      minDaemons,
      ownName,
      listPeerNames,
    } = this.#options;
    const fleetLimit = Math.floor(
      getColdRate(server.service) * overageFactor + slackRequests,
    );
    const daemonNames = [...listPeerNames(), ownName];
    const daemonCount = Math.max(minDaemons, daemonNames.length);
    if (fleetLimit >= daemonCount) {
      return Math.floor(fleetLimit / daemonCount);
    }
    const senders = getRendezvousOrder(server.id, daemonNames).slice(
      0,
      fleetLimit,
    );
    return senders.includes(ownName) ? 1 : 0;
  }
}
