import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { SendLimit } from "./send_limit.ts";
import type { BackendServer } from "../../shared/backend_server.ts";

/** Length of the sliding window over which requests to a cold server are counted, in milliseconds. */
const COUNT_WINDOW_MS = 1_000;

/** Options of the rate limits for cold servers. The limits apply to the sum over all daemons. */
export interface ColdLimitsOptions {
  /** Factor by which the limit may exceed the request rate that a cold server can sustain. */
  readonly overageFactor: number;
  /** Number of requests per second that is added to the limit. */
  readonly slackRequests: number;
  /** Gets the number of requests per second that a cold server of a service can sustain; 0 when the service has no cold phase. */
  getColdRate(service: string): number;
  /** Minimum number of daemons among which the limit is divided. */
  readonly minDaemons: number;
  readonly ownName: string;
  /** Lists the names of the other daemons, including recently lost ones. */
  listPeerNames(): readonly string[];
}

/** Limits the rate of requests that this daemon sends to cold servers. The limit of a server is divided evenly among all daemons, so that the sum of their requests stays within it without messages between them. When the limit is below the number of daemons, rendezvous hashing chooses the daemons that may send one request each. */
export class ColdLimits implements SendLimit {
  readonly #options: ColdLimitsOptions;
  readonly #sentAtMs = new Map<string, number[]>();

  constructor(options: ColdLimitsOptions) {
    this.#options = options;
  }

  /** Gets whether this daemon may send another request to a server now; always true for a server that is not cold. */
  isBelowLimit(server: BackendServer): boolean {
    const nowMs = performance.now();
    return this.#listRecentSends(server, nowMs).length <
      this.#getOwnLimit(server, nowMs);
  }

  /** Records a request that is sent to a server. */
  recordRequest(server: BackendServer): void {
    const nowMs = performance.now();
    if (this.#isLimited(server, nowMs)) {
      const recentSends = this.#listRecentSends(server, nowMs);
      this.#sentAtMs.set(server.id, [...recentSends, nowMs]);
    } else {
      this.#sentAtMs.delete(server.id);
    }
  }

  #isLimited(server: BackendServer, nowMs: number): boolean {
    return server.coldUntilMs > nowMs &&
      this.#options.getColdRate(server.service) > 0;
  }

  #listRecentSends({ id }: BackendServer, nowMs: number): number[] {
    const sentAtMs = this.#sentAtMs.get(id) ?? [];
    return sentAtMs.filter((atMs) => atMs > nowMs - COUNT_WINDOW_MS);
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
