import type { BackendServer } from "../../shared/backend_server.ts";

/** Time for which a server that failed a request is used only when no other one is left, in milliseconds. */
const FAILURE_AVOIDANCE_MS = 2_000;

/** Requests in flight at the servers of plain services, and their recent failures. */
export class ServerLoads {
  readonly #inFlight = new Map<string, number>();
  readonly #failedAtMs = new Map<string, number>();

  /**
   * Counts a request until the returned function is called.
   *
   * @param serverId - Server that the request is sent to.
   */
  addRequest(serverId: string): () => void {
    this.#inFlight.set(serverId, this.getLoad(serverId) + 1);
    return () => {
      const remaining = this.getLoad(serverId) - 1;
      if (remaining > 0) {
        this.#inFlight.set(serverId, remaining);
      } else {
        this.#inFlight.delete(serverId);
      }
    };
  }

  /** Gets the requests of this daemon in flight at a server. */
  getLoad(serverId: string): number {
    return this.#inFlight.get(serverId) ?? 0;
  }

  /** Records that a server failed a request. */
  recordFailure(serverId: string): void {
    this.#failedAtMs.set(serverId, performance.now());
  }

  /** Records that a server answered, which ends the memory of its failure. */
  recordSuccess(serverId: string): void {
    this.#failedAtMs.delete(serverId);
  }

  /**
   * Chooses the server for a request: one that has not failed recently, with the fewest requests of this daemon; among equals one in its own zone.
   *
   * @param servers - Servers that take requests.
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

  #getCost(server: BackendServer, zone: string): number {
    const failedAtMs = this.#failedAtMs.get(server.id);
    const hasFailedRecently = failedAtMs !== undefined &&
      performance.now() - failedAtMs < FAILURE_AVOIDANCE_MS;
    return this.getLoad(server.id) + (hasFailedRecently ? server.slots : 0) +
      (server.zone === zone ? 0 : 0.5) + Math.random() * 0.1;
  }
}
