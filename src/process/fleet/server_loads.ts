import type { BackendServer } from "../../shared/backend_server.ts";

import {
  getScaledLoad,
  type ServerEstimate,
} from "../concurrency/candidate_limits.ts";

/** Time for which a server that failed a request is avoided while another server has free slots, in milliseconds. */
const FAILURE_AVOIDANCE_MS = 2_000;

/** Tracks the requests of this daemon in flight at the servers of plain services, and recent failures of these servers. */
export class ServerLoads {
  readonly #inFlightCounts = new Map<string, number>();
  readonly #lastFailureAtMs = new Map<string, number>();
  readonly #findEstimate: (
    server: BackendServer,
  ) => ServerEstimate | undefined;

  /**
   * @param options.findEstimate - Finds what is learned of a server that deviates from the others; defaults to nothing.
   */
  constructor(
    options: {
      findEstimate?(server: BackendServer): ServerEstimate | undefined;
    } = {},
  ) {
    this.#findEstimate = options.findEstimate ?? (() => undefined);
  }

  /**
   * Counts a request as in flight at a server.
   *
   * @param serverId - Server that the request is sent to.
   * @returns Function that ends the count of the request.
   */
  addRequest(serverId: string): () => void {
    this.#inFlightCounts.set(serverId, this.getLoad(serverId) + 1);
    return () => {
      const remainingRequests = this.getLoad(serverId) - 1;
      if (remainingRequests > 0) {
        this.#inFlightCounts.set(serverId, remainingRequests);
      } else {
        this.#inFlightCounts.delete(serverId);
      }
    };
  }

  /** Gets the number of requests of this daemon in flight at a server. */
  getLoad(serverId: string): number {
    return this.#inFlightCounts.get(serverId) ?? 0;
  }

  /** Records that a request to a server failed. */
  recordFailure(serverId: string): void {
    this.#lastFailureAtMs.set(serverId, performance.now());
  }

  /** Records that a server responded, so that an earlier failure is ignored. */
  recordSuccess(serverId: string): void {
    this.#lastFailureAtMs.delete(serverId);
  }

  /**
   * Chooses the server with the fewest requests of this daemon, with preference for servers without a recent failure. Among equally loaded servers, one in the zone of this daemon is preferred. A slow server counts as more loaded, and one at its concurrency limit as full; one that is the only candidate is chosen all the same.
   *
   * @param servers - Servers that accept requests.
   * @param zone - Zone of this daemon.
   */
  chooseServer(
    servers: readonly BackendServer[],
    zone: string,
  ): BackendServer | undefined {
    let bestServer: BackendServer | undefined;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      const cost = this.#getCost(server, zone);
      if (cost < lowestCost) {
        bestServer = server;
        lowestCost = cost;
      }
    }
    return bestServer;
  }

  #getEffectiveLoad(server: BackendServer): number {
    const load = this.getLoad(server.id);
    const estimate = this.#findEstimate(server);
    return estimate === undefined ? load : getScaledLoad(load, estimate.speed) +
      (load >= estimate.limit ? server.slots : 0);
  }

  #getCost(server: BackendServer, zone: string): number {
    const lastFailureAtMs = this.#lastFailureAtMs.get(server.id);
    const hasFailedRecently = lastFailureAtMs !== undefined &&
      performance.now() - lastFailureAtMs < FAILURE_AVOIDANCE_MS;
    return this.#getEffectiveLoad(server) +
      (hasFailedRecently ? server.slots : 0) +
      (server.zone === zone ? 0 : 0.5) + Math.random() * 0.1;
  }
}
