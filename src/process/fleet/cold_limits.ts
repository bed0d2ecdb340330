import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { BackendServer } from "../../shared/backend_server.ts";

/** Window in which the requests to a cold server are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Bounds of the requests to cold servers over all daemons. */
export interface ColdLimitsOptions {
  /** Factor by which the requests of a second may exceed the rate that a cold server bears. */
  readonly overage: number;
  /** Requests of a second that are allowed besides. */
  readonly slack: number;
  /** Gets the requests of a second that a cold server of a service bears; 0 when the service has no cold phase. */
  getRate(service: string): number;
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
  isOpen(server: BackendServer): boolean {
    const nowMs = performance.now();
    return this.#listSent(server, nowMs).length < this.#getShare(server, nowMs);
  }

  /** Counts a request that is sent to a server. */
  record(server: BackendServer): void {
    const nowMs = performance.now();
    if (this.#isLimited(server, nowMs)) {
      const sent = this.#listSent(server, nowMs);
      this.#sentAtMs.set(server.id, [...sent, nowMs]);
    } else {
      this.#sentAtMs.delete(server.id);
    }
  }

  #isLimited(server: BackendServer, nowMs: number): boolean {
    return server.coldUntilMs > nowMs &&
      this.#options.getRate(server.service) > 0;
  }

  #listSent({ id }: BackendServer, nowMs: number): number[] {
    const sent = this.#sentAtMs.get(id) ?? [];
    return sent.filter((atMs) => atMs > nowMs - WINDOW_MS);
  }

  #getShare(server: BackendServer, nowMs: number): number {
    if (!this.#isLimited(server, nowMs)) {
      return Number.POSITIVE_INFINITY;
    }
    const { overage, slack, getRate, minDaemons, ownName, listPeerNames } =
      this.#options;
    const bound = Math.floor(getRate(server.service) * overage + slack);
    const names = [...listPeerNames(), ownName];
    const daemons = Math.max(minDaemons, names.length);
    if (bound >= daemons) {
      return Math.floor(bound / daemons);
    }
    const senders = getRendezvousOrder(server.id, names).slice(0, bound);
    return senders.includes(ownName) ? 1 : 0;
  }
}
