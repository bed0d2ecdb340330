import { getGeneration } from "../../connection/object_store.ts";
import type { Logger } from "../../shared/logger.ts";
import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";
import type { ObjectChanges } from "./object_watcher.ts";
import type { BackendServerChanges } from "../../connection/peer_notice.ts";
import { RemovalLog } from "./removal_log.ts";

/** Time after a store outage or a restore of the store within which live servers whose entries are missing register again, in milliseconds. */
const REREGISTER_GRACE_MS = 2_000;
/** Time after a restore of the store for which an entry that is older than a known one is not used, in milliseconds. Live servers replace it within this time, and the store removes the entries of others. */
const OUTDATED_ENTRY_GRACE_MS = 5_000;
/** Duration of a store outage above which entries of live servers may have expired because they could not be renewed, in milliseconds. */
const MIN_EXPIRY_OUTAGE_MS = 1_000;

/** Maximum time by which an entry of the list may lag behind a status report of the server, in milliseconds. */
const MAX_ENTRY_LAG_MS = 1_500;
/** Maximum age of the state in a status report when the report arrives, in milliseconds. */
const MAX_REPORT_AGE_MS = 500;
/** Membership states in the order in which a server passes through them in one generation of a group. */
const MEMBERSHIP_STATE_ORDER = ["joining", "ready", "open"];

/** Listener for changes of the directory; gets the ids of the servers that were added, changed or removed. */
export type DirectoryListener = (changedIds: ReadonlySet<string>) => void;

/** Directory of the registered backend servers, updated from the store, the notices of peers and the status reports of the servers. */
export class BackendDirectory {
  readonly #logger: Logger;
  /** Servers as they are known: their entries, and what they have reported since. */
  readonly #servers = new Map<string, BackendServer>();
  /** Entries as they are in the store, by server id. Peers get these: a status report is as of some hundred milliseconds ago, and a peer that received an older state under the version of an entry would take the entry itself for known. */
  readonly #entries = new Map<string, BackendServer>();
  readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
  /** Monotonic time of the last status report, in milliseconds, by server id. */
  readonly #reportedAtMs = new Map<string, number>();
  /** Monotonic time of the last change of the entry, in milliseconds, by server id. */
  readonly #enteredAtMs = new Map<string, number>();
  readonly #listeners = new Set<DirectoryListener>();
  /** Ids of the servers that were added, changed or removed since the listeners were last called. */
  #changedIds = new Set<string>();
  readonly #removals = new RemovalLog();
  /** Entries of a restored store that are older than the known ones, by server id. */
  readonly #outdatedEntries = new Map<string, BackendServer>();
  #outdatedEntriesTimer: NodeJS.Timeout | undefined;
  /** Monotonic time at which a restore of the store was last noticed, in milliseconds. */
  #restoredAtMs = Number.NEGATIVE_INFINITY;
  #isPopulated = false;
  #revision = 0;
  #changeRevision = 0;

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Gets whether the list has ever contained a server. */
  get isPopulated(): boolean {
    return this.#isPopulated;
  }

  /** Gets the number of listed servers. */
  get size(): number {
    return this.#servers.size;
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
   * Gets the changes of the list to send to a peer.
   *
   * @param sinceRevision - Revision up to which the peer's list is complete; 0 for the whole list. The whole list is also sent when the peer's list may contain servers of whose removal this one does not know, or servers from before a restore of the store.
   */
  getNotice(sinceRevision = 0): BackendServerChanges {
    const nowMs = performance.now();
    const needsWholeList = !this.#removals.isCompleteSince(sinceRevision) ||
      getGeneration(sinceRevision) < getGeneration(this.#revision);
    const startRevision = needsWholeList ? 0 : sinceRevision;
    const servers = [...this.#entries.values()]
      .filter(({ entryVersion }) => entryVersion > startRevision)
      .map(({ coldUntilMs, ...server }) => ({
        ...server,
        coldLeftMs: Math.max(0, coldUntilMs - nowMs),
      }));
    return {
      sinceRevision: startRevision,
      revision: this.#revision,
      changeRevision: this.#changeRevision,
      servers,
      removed: this.#removals.listIds(startRevision),
      undated: this.#removals.listUndatedIds(),
      missing: [...this.#pendingRemovals.keys()],
    };
  }

  /**
   * Applies the changes that a peer sent, if they end at a newer revision than that of this list and start at or before the latter, so that no change is missed.
   *
   * @param notice - Changes up to the revision of the peer's list.
   * @param source - Name of the peer, for the log.
   */
  offerNotice(notice: BackendServerChanges, source = "peer"): void {
    const { sinceRevision, revision, changeRevision } = notice;
    if (revision <= this.#revision || sinceRevision > this.#revision) {
      return;
    }
    const nowMs = performance.now();
    const changed = new Map<string, BackendServer>();
    for (const { coldLeftMs, ...server } of notice.servers) {
      changed.set(server.id, { ...server, coldUntilMs: nowMs + coldLeftMs });
    }
    const isSnapshot = sinceRevision === 0;
    this.applyChange({
      changed,
      removed: this.#listNewRemovals(notice),
      revision,
      changeRevision,
      outageMs: 0,
      isSnapshot,
    }, source);
    notice.missing?.forEach((id) => this.#scheduleRemoval(id));
  }

  /** Lists the removals of a notice without those that only repeat a removal which is known here. */
  #listNewRemovals({ removed, undated = [] }: BackendServerChanges): string[] {
    const undatedIds = new Set(undated);
    return removed.filter((id) =>
      !undatedIds.has(id) || !this.#removals.hasRemoval(id) ||
      this.#servers.has(id) || this.#outdatedEntries.has(id)
    );
  }

  /** Finds a backend server by its id. */
  findServer(id: string): BackendServer | undefined {
    return this.#servers.get(id);
  }

  /** Lists the backend servers of a service, or of all services when it is left out. */
  listServers(service?: string): BackendServer[] {
    const servers = [...this.#servers.values()];
    return service === undefined
      ? servers
      : servers.filter((server) => server.service === service);
  }

  /** Lists the removed servers of a service, or of all services when it is left out, as they were last known. A server whose entry was removed may still run: it may be cut off from the store, or finish its requests before it stops. */
  listRemovedServers(service?: string): BackendServer[] {
    return this.#removals.listEntries().filter((entry) =>
      (service === undefined || entry.service === service) &&
      !this.#servers.has(entry.id)
    );
  }

  /** Finds a removed server, as it was last known; undefined while it is listed. */
  findRemovedServer(id: string): BackendServer | undefined {
    return this.#servers.has(id) ? undefined : this.#removals.findEntry(id);
  }

  /** Gets whether a server was removed at a time that is known within the age of the list; after a store outage it is not. */
  hasRemovalTime(id: string): boolean {
    return this.#removals.hasRevision(id);
  }

  /** Registers a listener that is called after each change of the directory. */
  onChange(listener: DirectoryListener): void {
    this.#listeners.add(listener);
  }

  /**
   * Applies changes of the list. After a store outage or a restore of the store, missing entries are kept for a grace period in which live servers register again. An entry that the restore has set back replaces the known one only if the server does not write a newer one.
   *
   * @param change - Changes, or the complete list.
   * @param source - Store, or name of the peer that sent the changes, for the log.
   */
  applyChange(change: ObjectChanges<BackendServer>, source = "store"): void {
    this.#isPopulated ||= change.changed.size > 0;
    const before = this.#revision;
    const isStaleChange = change.revision < before;
    const isRestored = before > 0 &&
      getGeneration(change.revision) > getGeneration(before);
    if (isRestored) {
      this.#restoredAtMs = performance.now();
    }
    // The first list after a restore may come from a peer; that of the store follows.
    const mayBeOutdated = change.isSnapshot &&
      performance.now() - this.#restoredAtMs < OUTDATED_ENTRY_GRACE_MS;
    if (change.isSnapshot) {
      this.#removals.recordGap({ from: before, to: change.revision });
    }
    this.#revision = Math.max(before, change.revision);
    this.#changeRevision = Math.max(
      this.#changeRevision,
      change.changeRevision,
    );
    this.#applyEntries(change, { isStaleChange, mayBeOutdated });
    this.#logger.write(
      "info",
      change.isSnapshot ? "backends-listed" : "backends-updated",
      {
        source,
        before,
        revision: change.revision,
        servers: change.changed.size,
        removed: change.removed.length,
      },
    );
    this.#applyRemovals(change, isRestored);
    this.#publishChange();
  }

  #applyEntries(
    { changed, isSnapshot }: ObjectChanges<BackendServer>,
    { isStaleChange, mayBeOutdated }: {
      isStaleChange: boolean;
      mayBeOutdated: boolean;
    },
  ): void {
    for (const [id, server] of changed) {
      const knownServer = this.#servers.get(id);
      const isKnownVersion = knownServer === undefined
        ? isStaleChange
        : knownServer.entryVersion >= server.entryVersion;
      this.#cancelRemoval(id);
      if (isKnownVersion) {
        continue;
      }
      this.#outdatedEntries.delete(id);
      if (mayBeOutdated && this.#isOutdated(server)) {
        this.#delayEntry(server);
      } else if (mayBeOutdated && isSameReport(server, knownServer)) {
        this.#setEntryVersion(id, server.entryVersion);
      } else {
        this.#removals.forgetRemoval(id);
        if (!isSnapshot) {
          this.#recordChange(server);
        }
        this.#setEntry(server);
      }
    }
  }

  #applyRemovals(
    change: ObjectChanges<BackendServer>,
    isRestored: boolean,
  ): void {
    const missingIds = change.isSnapshot
      ? this.#listMissingIds(change.changed)
      : [];
    for (const id of new Set([...change.removed, ...missingIds])) {
      const entryVersion = this.#servers.get(id)?.entryVersion ?? 0;
      if (entryVersion > change.revision) {
        // The server registered again after this removal.
        continue;
      }
      this.#outdatedEntries.delete(id);
      if (change.outageMs > MIN_EXPIRY_OUTAGE_MS || isRestored) {
        this.#scheduleRemoval(id);
      } else {
        this.#remove(id, "removed", change.revision);
      }
    }
  }

  /** Lists the servers that a snapshot does not contain and whose removal is not pending yet. */
  #listMissingIds(snapshot: ReadonlyMap<string, BackendServer>): string[] {
    return [...this.#servers.keys(), ...this.#outdatedEntries.keys()].filter((
      id,
    ) => !snapshot.has(id) && !this.#pendingRemovals.has(id));
  }

  /**
   * Applies the status report of a backend server, which is newer than its entry in the list, or than its last entry if that was removed.
   *
   * @param id - Id of the backend server.
   * @param report - Status report of the server.
   */
  applyReport(id: string, report: BackendReport): void {
    const server = this.#servers.get(id);
    if (server === undefined) {
      const entry = this.#removals.findEntry(id);
      if (entry !== undefined) {
        this.#removals.replaceEntry(id, applyReportToEntry(entry, report));
      }
      return;
    }
    const reported = applyReportToEntry(server, report);
    if (this.#isReportOutdated(reported, server)) {
      return;
    }
    this.#setServer(id, reported);
    this.#reportedAtMs.set(id, performance.now());
    this.#publishChange();
  }

  /** Gets whether a status report may be from before the last change of the server's entry, and states an earlier membership state. */
  #isReportOutdated(
    reported: BackendServer,
    known: BackendServer,
  ): boolean {
    const enteredAtMs = this.#enteredAtMs.get(known.id);
    return enteredAtMs !== undefined &&
      performance.now() - enteredAtMs < MAX_REPORT_AGE_MS &&
      reported.startedAtMs === known.startedAtMs &&
      reported.membership !== undefined &&
      isEarlierState(reported, known);
  }

  /** Gets the entry to store for a server: when the server has recently reported a later membership state than the entry contains, the reported membership and loaded models are kept. */
  #mergeReport(entry: BackendServer): BackendServer {
    const knownServer = this.#servers.get(entry.id);
    const reportedAtMs = this.#reportedAtMs.get(entry.id);
    const hasRecentReport = knownServer !== undefined &&
      reportedAtMs !== undefined &&
      knownServer.startedAtMs === entry.startedAtMs &&
      performance.now() - reportedAtMs < MAX_ENTRY_LAG_MS;
    if (!hasRecentReport || !isEarlierState(entry, knownServer)) {
      return entry;
    }
    const { membership, loadedModels } = knownServer;
    return { ...entry, membership, loadedModels };
  }

  /** Gets whether an entry of a restored store is older than the last known entry of the server. */
  #isOutdated(entry: BackendServer): boolean {
    const knownServer = this.#servers.get(entry.id);
    const removedServer = this.#removals.findEntry(entry.id);
    return knownServer === undefined
      ? removedServer !== undefined && compareReports(entry, removedServer) <= 0
      : compareReports(entry, knownServer) < 0;
  }

  /** Keeps the known state of a server, or its removal, until the server has had time to write a newer entry. */
  #delayEntry(entry: BackendServer): void {
    const knownServer = this.#servers.get(entry.id);
    if (knownServer !== undefined) {
      this.#setEntryVersion(entry.id, entry.entryVersion);
    }
    this.#outdatedEntries.set(entry.id, entry);
    // A further restore starts the time again.
    clearTimeout(this.#outdatedEntriesTimer);
    this.#outdatedEntriesTimer = setTimeout(
      () => this.#applyOutdatedEntries(),
      OUTDATED_ENTRY_GRACE_MS,
    ).unref();
  }

  #applyOutdatedEntries(): void {
    this.#outdatedEntriesTimer = undefined;
    for (const [id, entry] of this.#outdatedEntries) {
      this.#removals.forgetRemoval(id);
      this.#recordChange(entry);
      this.#setEntry(entry);
    }
    this.#outdatedEntries.clear();
    this.#publishChange();
  }

  #recordChange(server: BackendServer): void {
    const knownServer = this.#servers.get(server.id);
    if (knownServer?.isDraining !== server.isDraining) {
      this.#logger.write("info", "backend-changed", {
        server: server.id,
        service: server.service,
        zone: server.zone,
        state: server.isDraining ? "draining" : "ready",
      });
    }
  }

  /** Replaces the entry of a server. */
  #setEntry(entry: BackendServer): void {
    this.#setServer(entry.id, this.#mergeReport(entry));
    this.#entries.set(entry.id, entry);
    this.#enteredAtMs.set(entry.id, performance.now());
  }

  /** Sets the version of an entry whose content is kept. */
  #setEntryVersion(id: string, entryVersion: number): void {
    this.#setServer(id, { ...this.#servers.get(id)!, entryVersion });
    this.#entries.set(id, { ...this.#entries.get(id)!, entryVersion });
  }

  #setServer(id: string, server: BackendServer): void {
    this.#servers.set(id, server);
    this.#changedIds.add(id);
  }

  #scheduleRemoval(id: string): void {
    if (this.#pendingRemovals.has(id)) {
      return;
    }
    const timer = setTimeout(() => {
      this.#pendingRemovals.delete(id);
      this.#remove(id, "not registered again after a store outage");
      this.#publishChange();
    }, REREGISTER_GRACE_MS);
    timer.unref();
    this.#pendingRemovals.set(id, timer);
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }

  /** Removes a server. The removal is recorded also when the server was never listed here, since it may be listed at a peer. */
  #remove(id: string, reason: string, revision?: number): void {
    this.#cancelRemoval(id);
    this.#reportedAtMs.delete(id);
    this.#enteredAtMs.delete(id);
    const entry = this.#servers.get(id);
    this.#removals.recordRemoval(id, {
      entry,
      revision,
      listRevision: this.#revision,
    });
    if (entry !== undefined) {
      this.#servers.delete(id);
      this.#entries.delete(id);
      this.#changedIds.add(id);
      this.#logger.write("info", "backend-gone", { server: id, reason });
    }
  }

  #publishChange(): void {
    const changedIds = this.#changedIds;
    this.#changedIds = new Set();
    this.#listeners.forEach((listener) => listener(changedIds));
  }
}

function applyReportToEntry(
  entry: BackendServer,
  report: BackendReport,
): BackendServer {
  const startedAtMs = report.startedAtMs || entry.startedAtMs;
  return {
    ...entry,
    startedAtMs,
    // The number of the last entry does not count for another process.
    reportNumber: startedAtMs === entry.startedAtMs ? entry.reportNumber : 0,
    membership: report.membership,
    loadedModels: report.loadedModels,
    stagedModels: report.stagedModels ?? entry.stagedModels,
  };
}

/** Compares the times of the reports that two entries of a server contain. */
function compareReports(a: BackendServer, b: BackendServer): number {
  return a.startedAtMs - b.startedAtMs || a.reportNumber - b.reportNumber;
}

/** Gets whether an entry contains the same report as the known one, whose remaining cold time counts from its first arrival. */
function isSameReport(
  entry: BackendServer,
  knownServer: BackendServer | undefined,
): knownServer is BackendServer {
  return knownServer !== undefined && entry.reportNumber > 0 &&
    compareReports(entry, knownServer) === 0;
}

/** Gets whether an entry contains an earlier membership state than the known server has. A group that closes is ready again, so that its states have no order. */
function isEarlierState(
  entry: BackendServer,
  knownServer: BackendServer,
): boolean {
  const generation = entry.membership?.generation ?? 0;
  const knownGeneration = knownServer.membership?.generation ?? 0;
  if (generation !== knownGeneration) {
    return generation < knownGeneration;
  }
  const rank = MEMBERSHIP_STATE_ORDER.indexOf(entry.membership?.state ?? "");
  return rank >= 0 &&
    rank <
      MEMBERSHIP_STATE_ORDER.indexOf(knownServer.membership?.state ?? "");
}
