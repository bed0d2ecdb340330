import type { Logger } from "../../shared/logger.ts";
import type { BackendReport, BackendServer } from "./backend_server.ts";
import type { KindChange } from "./kind_watch.ts";

/** Time after an outage of the store in which entries that lapsed during it come back, in milliseconds. */
const REAPPEAR_MS = 2_000;
/** Outage in milliseconds above which entries may have lapsed for want of the store. */
const LAPSE_OUTAGE_MS = 1_000;

/** Backend servers that are registered, with what they reported since. */
export class BackendDirectory {
  readonly #logger: Logger;
  readonly #servers = new Map<string, BackendServer>();
  readonly #missing = new Map<string, NodeJS.Timeout>();
  readonly #listeners = new Set<() => void>();
  #isListed = false;

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Gets whether the list was read once. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Finds a backend server by its id. */
  findServer(id: string): BackendServer | undefined {
    return this.#servers.get(id);
  }

  /** Lists the backend servers of a service, or all of them. */
  listServers(service?: string): BackendServer[] {
    const servers = [...this.#servers.values()];
    return service === undefined
      ? servers
      : servers.filter((server) => server.service === service);
  }

  /** Registers a listener for changes. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Takes changes of the list. After an outage of the store, entries that lapsed during it are kept for the time in which living servers register again.
   */
  applyChange(change: KindChange<BackendServer>): void {
    this.#isListed = true;
    for (const [id, server] of change.changed) {
      this.#cancelRemoval(id);
      this.#recordChange(server);
      this.#servers.set(id, server);
    }
    for (const id of change.removed) {
      if (change.outageMs > LAPSE_OUTAGE_MS) {
        this.#removeLater(id);
      } else {
        this.#remove(id, "removed");
      }
    }
    this.#notify();
  }

  /**
   * Takes what a backend server reported when it was asked. Its entry in the list follows later.
   *
   * @param id - Backend server.
   * @param report - Its report.
   */
  applyReport(id: string, report: BackendReport): void {
    const server = this.#servers.get(id);
    if (server === undefined) {
      return;
    }
    this.#servers.set(id, {
      ...server,
      startedAtMs: report.startedAtMs || server.startedAtMs,
      membership: report.membership,
      loadedModels: report.loadedModels,
      stagedModels: report.stagedModels ?? server.stagedModels,
    });
    this.#notify();
  }

  #recordChange(server: BackendServer): void {
    const known = this.#servers.get(server.id);
    if (known?.isDraining !== server.isDraining) {
      this.#logger.write("info", "backend-changed", {
        server: server.id,
        service: server.service,
        zone: server.zone,
        state: server.isDraining ? "draining" : "ready",
      });
    }
  }

  #removeLater(id: string): void {
    if (this.#missing.has(id)) {
      return;
    }
    const timer = setTimeout(() => {
      this.#missing.delete(id);
      this.#remove(id, "lapsed in an outage of the store");
      this.#notify();
    }, REAPPEAR_MS);
    timer.unref();
    this.#missing.set(id, timer);
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#missing.get(id));
    this.#missing.delete(id);
  }

  #remove(id: string, reason: string): void {
    this.#cancelRemoval(id);
    if (this.#servers.delete(id)) {
      this.#logger.write("info", "backend-gone", { server: id, reason });
    }
  }

  #notify(): void {
    this.#listeners.forEach((listener) => listener());
  }
}
