import type { Logger } from "../../shared/logger.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import type { KindChange } from "./kind_watch.ts";
import type { ServersNotice } from "../../connection/peer_notice.ts";

/** Time after an outage of the store in which entries that lapsed during it come back, in milliseconds. */
const REREGISTER_GRACE_MS = 2_000;
/** Outage in milliseconds above which entries may have lapsed for want of the store. */
const MIN_LAPSE_OUTAGE_MS = 1_000;

/** Time by which an entry of the list can be older than a report, in milliseconds. */
const MAX_ENTRY_LAG_MS = 1_500;
/** Revision of a removal that no change of the store tells: it follows an outage. */
const UNKNOWN_REVISION = Number.POSITIVE_INFINITY;
/** Removals that are remembered for peers. */
const MAX_TOMBSTONES = 1_000;
/** Order in which a server passes through the states of one group until it serves. */
const MEMBERSHIP_STATE_ORDER = ["joining", "ready", "open"];

/** Backend servers that are registered, with what they reported since. */
export class BackendDirectory {
  readonly #logger: Logger;
  readonly #servers = new Map<string, BackendServer>();
  readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
  readonly #reportedAtMs = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  /** Revisions at which servers were removed, the oldest first. */
  readonly #tombstones = new Map<string, number>();
  /** Revision of the newest removal that is not remembered any more. */
  #droppedTombstoneRevision = 0;
  #isPopulated = false;
  #revision = 0;
  #changeRevision = 0;

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Gets whether the list was read once. */
  get isPopulated(): boolean {
    return this.#isPopulated;
  }

  /** Gets the revision of the last change of the list. */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  /** Gets the revision of the store up to which the list is complete. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Gets the changes of the list for a peer.
   *
   * @param sinceRevision - Revision up to which the peer's list is complete; 0 for the whole list.
   */
  getNotice(sinceRevision = 0): ServersNotice {
    const nowMs = performance.now();
    const since = sinceRevision < this.#droppedTombstoneRevision
      ? 0
      : sinceRevision;
    const servers = this.listServers()
      .filter(({ entryVersion }) => entryVersion > since)
      .map(({ coldUntilMs, ...server }) => ({
        ...server,
        coldLeftMs: Math.max(0, coldUntilMs - nowMs),
      }));
    const removed = [...this.#tombstones].flatMap(([id, removedAt]) =>
      removedAt > since ? [id] : []
    );
    return {
      sinceRevision: since,
      revision: this.#revision,
      changeRevision: this.#changeRevision,
      servers,
      removed,
    };
  }

  /**
   * Takes the changes that a peer knows if they continue or replace the own list.
   *
   * @param notice - Changes up to the revision of the peer's list.
   */
  offerNotice(notice: ServersNotice): void {
    const { sinceRevision, revision, changeRevision, removed } = notice;
    if (revision <= this.#revision || sinceRevision > this.#revision) {
      return;
    }
    const nowMs = performance.now();
    const changed = new Map<string, BackendServer>();
    for (const { coldLeftMs, ...server } of notice.servers) {
      changed.set(server.id, { ...server, coldUntilMs: nowMs + coldLeftMs });
    }
    const isWhole = sinceRevision === 0;
    this.applyChange({
      changed,
      removed,
      revision,
      changeRevision,
      outageMs: 0,
      isWhole,
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
    this.#isPopulated ||= change.changed.size > 0;
    const isStaleChange = change.revision < this.#revision;
    this.#revision = Math.max(this.#revision, change.revision);
    this.#changeRevision = Math.max(
      this.#changeRevision,
      change.changeRevision,
    );
    for (const [id, server] of change.changed) {
      const known = this.#servers.get(id);
      const isKnownVersion = known === undefined
        ? isStaleChange
        : known.entryVersion >= server.entryVersion;
      this.#cancelRemoval(id);
      if (!isKnownVersion) {
        this.#tombstones.delete(id);
        this.#recordChange(server);
        this.#servers.set(id, this.#mergeReport(server));
      }
    }
    const missing = change.isWhole
      ? [...this.#servers.keys()].filter((id) => !change.changed.has(id))
      : [];
    for (const id of new Set([...change.removed, ...missing])) {
      const entryVersion = this.#servers.get(id)?.entryVersion ?? 0;
      if (entryVersion > change.revision) {
        // The server registered again after the change.
        continue;
      }
      if (change.outageMs > MIN_LAPSE_OUTAGE_MS) {
        this.#scheduleRemoval(id);
      } else {
        this.#remove(id, "removed", change.revision);
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
    const hasRecentReport = known !== undefined && reportedAtMs !== undefined &&
      known.startedAtMs === entry.startedAtMs &&
      performance.now() - reportedAtMs < MAX_ENTRY_LAG_MS;
    if (!hasRecentReport || !isEarlierState(entry, known)) {
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

  #scheduleRemoval(id: string): void {
    if (this.#pendingRemovals.has(id)) {
      return;
    }
    const timer = setTimeout(() => {
      this.#pendingRemovals.delete(id);
      this.#remove(id, "lapsed in an outage of the store");
      this.#publishChange();
    }, REREGISTER_GRACE_MS);
    timer.unref();
    this.#pendingRemovals.set(id, timer);
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }

  #remove(id: string, reason: string, revision = UNKNOWN_REVISION): void {
    this.#cancelRemoval(id);
    this.#reportedAtMs.delete(id);
    if (this.#servers.delete(id)) {
      this.#recordTombstone(id, revision);
      this.#logger.write("info", "backend-gone", { server: id, reason });
    }
  }

  /** Removals are remembered for the peers that have not heard of them; those that lack a forgotten one get the whole list. */
  #recordTombstone(id: string, revision: number): void {
    this.#tombstones.set(id, revision);
    if (this.#tombstones.size > MAX_TOMBSTONES) {
      const [[oldestId]] = this.#tombstones;
      this.#tombstones.delete(oldestId);
      this.#droppedTombstoneRevision = this.#revision;
    }
  }

  #publishChange(): void {
    this.#listeners.forEach((listener) => listener());
  }
}

/** Gets whether an entry shows an earlier state than the known one. */
function isEarlierState(entry: BackendServer, known: BackendServer): boolean {
  const generation = entry.membership?.generation ?? 0;
  const knownGeneration = known.membership?.generation ?? 0;
  if (generation !== knownGeneration) {
    return generation < knownGeneration;
  }
  return MEMBERSHIP_STATE_ORDER.indexOf(entry.membership?.state ?? "") <
    MEMBERSHIP_STATE_ORDER.indexOf(known.membership?.state ?? "");
}
