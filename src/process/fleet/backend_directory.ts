import type { Logger } from "../../shared/logger.ts";
import type { BackendReport, BackendServer } from "./backend_server.ts";
import type { KindChange } from "./kind_watch.ts";
import type { ServersNotice } from "./peer_notice.ts";

/** Time after an outage of the store in which entries that lapsed during it come back, in milliseconds. */
const REAPPEAR_MS = 2_000;
/** Outage in milliseconds above which entries may have lapsed for want of the store. */
const LAPSE_OUTAGE_MS = 1_000;

/** Time by which an entry of the list can be older than a report, in milliseconds. */
const ENTRY_LAG_MS = 1_500;
/** Order in which a server passes through the states of one group until it serves. */
const STATE_ORDER = ["joining", "ready", "open"];

/** Backend servers that are registered, with what they reported since. */
export class BackendDirectory {
  readonly #logger: Logger;
  readonly #servers = new Map<string, BackendServer>();
  readonly #missing = new Map<string, NodeJS.Timeout>();
  readonly #reportedAtMs = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  #isListed = false;
  #revision = 0;
  #changeRevision = 0;

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Gets whether the list was read once. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Gets the revision of the last change of the list. */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  /** Gets the list with its revision for a peer. */
  getNotice(): ServersNotice {
    const nowMs = performance.now();
    const servers = this.listServers().map(({ coldUntilMs, ...server }) => ({
      ...server,
      coldLeftMs: Math.max(0, coldUntilMs - nowMs),
    }));
    return { revision: this.#revision, servers };
  }

  /**
   * Takes the list of a peer if it is newer than the own one.
   *
   * @param notice - The peer's list.
   */
  offerNotice(notice: ServersNotice): void {
    if (notice.revision <= this.#revision) {
      return;
    }
    const nowMs = performance.now();
    const changed = new Map<string, BackendServer>();
    for (const { coldLeftMs, ...server } of notice.servers) {
      changed.set(server.id, { ...server, coldUntilMs: nowMs + coldLeftMs });
    }
    const removed = this.listServers().map(({ id }) => id)
      .filter((id) => !changed.has(id));
    const { revision } = notice;
    const changeRevision = Math.max(
      this.#changeRevision,
      ...notice.servers.map(({ entryVersion }) => entryVersion),
    );
    this.applyChange({
      changed,
      removed,
      revision,
      changeRevision,
      outageMs: 0,
    });
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
    const isOld = change.revision < this.#revision;
    this.#revision = Math.max(this.#revision, change.revision);
    this.#changeRevision = Math.max(
      this.#changeRevision,
      change.changeRevision,
    );
    for (const [id, server] of change.changed) {
      const known = this.#servers.get(id);
      const isKnown = known === undefined
        ? isOld
        : known.entryVersion >= server.entryVersion;
      this.#cancelRemoval(id);
      if (!isKnown) {
        this.#recordChange(server);
        this.#servers.set(id, this.#mergeReport(server));
      }
    }
    for (const id of change.removed) {
      const writtenAt = this.#servers.get(id)?.entryVersion ?? 0;
      if (writtenAt > change.revision) {
        // The server registered again after the change.
        continue;
      }
      if (change.outageMs > LAPSE_OUTAGE_MS) {
        this.#removeLater(id);
      } else {
        this.#remove(id, "removed");
      }
    }
    this.#publishChange();
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
    this.#reportedAtMs.set(id, performance.now());
    this.#publishChange();
  }

  /** Keeps what a server reported just now over an entry that it wrote before. */
  #mergeReport(entry: BackendServer): BackendServer {
    const known = this.#servers.get(entry.id);
    const reportedAtMs = this.#reportedAtMs.get(entry.id);
    const isReported = known !== undefined && reportedAtMs !== undefined &&
      known.startedAtMs === entry.startedAtMs &&
      performance.now() - reportedAtMs < ENTRY_LAG_MS;
    if (!isReported || !isBehind(entry, known)) {
      return entry;
    }
    const { membership, loadedModels } = known;
    return { ...entry, membership, loadedModels };
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
      this.#publishChange();
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
    this.#reportedAtMs.delete(id);
    if (this.#servers.delete(id)) {
      this.#logger.write("info", "backend-gone", { server: id, reason });
    }
  }

  #publishChange(): void {
    this.#listeners.forEach((listener) => listener());
  }
}

/** Gets whether an entry shows an earlier state than the known one. */
function isBehind(entry: BackendServer, known: BackendServer): boolean {
  const generation = entry.membership?.generation ?? 0;
  const knownGeneration = known.membership?.generation ?? 0;
  if (generation !== knownGeneration) {
    return generation < knownGeneration;
  }
  return STATE_ORDER.indexOf(entry.membership?.state ?? "") <
    STATE_ORDER.indexOf(known.membership?.state ?? "");
}
