import type { RequestLimit } from "../../connection/backend_transport.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";

/** Request rate that a server has stated. */
interface Statement {
  /** Start of the server's process, as the directory knows it; a later process inherits nothing. */
  readonly startedAtMs: number | undefined;
  readonly requestsPerSecond: number;
}

/** Keeps the request rates that backend servers state in their responses. */
export class ServerLimits {
  readonly #logger: Logger;
  readonly #statements = new Map<string, Statement>();

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Records what a server states in a response. */
  recordResponse(server: BackendServer, limit: RequestLimit): void {
    const { id, startedAtMs } = server;
    if (limit === "unknown") {
      return;
    }
    const known = this.#statements.get(id);
    if (limit === known?.requestsPerSecond || limit === "unlimited" && !known) {
      return;
    }
    if (limit === "unlimited") {
      this.#statements.delete(id);
    } else {
      this.#statements.set(id, { startedAtMs, requestsPerSecond: limit });
    }
    this.#logger.write("info", "server-limit", { server: id, limit });
  }
}
