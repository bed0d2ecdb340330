import type {
  CrashNotice,
  DaemonDescription,
  ExcludedZonesNotice,
  LeavingServerNotice,
  PartCrashNotice,
  PartSuccessNotice,
  PeerNotice,
  PlannerNotice,
  ServerLimitNotice,
} from "../../connection/peer_notice.ts";
import type { RequestCrash } from "./crash_counter.ts";
import type { ServerLimitReport } from "./server_limits.ts";
import type { PartCrash, PromptPartReport } from "./prompt_part_quarantine.ts";

/** Time by which the confirmation of the list of servers has to be newer for a notice, in milliseconds. */
const MIN_CONFIRMATION_STEP_MS = 200;
/** Time by which a server's statement has to be newer for a notice when its limit is the same, in milliseconds. */
const MIN_LIMIT_STEP_MS = 3_000;

/** State of a daemon that its notices describe. */
export interface NoticeState {
  readonly isLeaving: boolean;
  readonly planner: PlannerNotice | undefined;
  /** Version of the configuration in force; 0 without one. */
  readonly configVersion: number;
  readonly excludedZones: ExcludedZonesNotice;
  readonly serversRevision: number;
  readonly serversChangeRevision: number;
  readonly serversAgeMs: number | undefined;
  readonly loads: ReadonlyMap<string, number>;
  readonly lostGroups: readonly string[];
  readonly suspectedGroups: readonly string[];
  /** All crashes that count. The array is replaced with each change. */
  readonly crashes: readonly RequestCrash[];
  /** Fingerprints of the suspected requests that completed in the last moments. */
  readonly completedSuspects: readonly string[];
  readonly promptParts: PromptPartReport;
  readonly serverLimits: readonly ServerLimitReport[];
  readonly leavingServers: readonly LeavingServerNotice[];
  readonly peers: ReadonlyMap<string, DaemonDescription>;
  /** Reports of the parts by the name of their section. A report is replaced by another object when it changes. */
  readonly sections: ReadonlyMap<string, unknown>;
}

/** Composes the notices for links to which a daemon sends the same state. Remembers what it has sent, so that a notice contains changes only. */
export class NoticeComposer {
  #state: NoticeState | undefined;
  /** Statements of servers as of the last notice that described each of them. */
  #sentLimits: ReadonlyMap<string, ServerLimitReport> = new Map();
  /** Monotonic time at which the store confirmed the list of servers, as of the last notice that told it, in milliseconds. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Gets the loads that the notices have described so far. */
  get sentLoads(): ReadonlyMap<string, number> {
    return this.#state?.loads ?? new Map();
  }

  /**
   * Creates a notice with the changes since the last one.
   *
   * @param state - Current state. The composer keeps it, so its collections must not be changed afterwards.
   * @param options - With `isPeriodic`, the notice is composed also without changes, and contains the ages that the receiver needs to notice silence.
   * @returns The notice, or undefined when nothing has changed.
   * @example
   * ```ts
   * const notice = composer.createChangeNotice(state, { isPeriodic: false });
   * ```
   */
  createChangeNotice(
    state: NoticeState,
    options: { isPeriodic: boolean },
  ): PeerNotice | undefined {
    const previous = this.#state;
    const notice: Mutable<PeerNotice> = {};
    if (options.isPeriodic || isNewPlanner(previous?.planner, state.planner)) {
      notice.planner = state.planner;
    }
    if (
      options.isPeriodic || this.#isNewlyConfirmed(state) ||
      previous?.serversRevision !== state.serversRevision
    ) {
      this.#confirmedAtMs = getConfirmedAtMs(state);
      notice.serversRevision = state.serversRevision;
      notice.serversChangeRevision = state.serversChangeRevision;
      notice.serversAgeMs = state.serversAgeMs;
    }
    if (previous?.isLeaving !== state.isLeaving) {
      notice.isLeaving = state.isLeaving;
    }
    if (previous?.configVersion !== state.configVersion) {
      notice.configVersion = state.configVersion;
    }
    if (previous?.excludedZones.revision !== state.excludedZones.revision) {
      notice.excludedZones = state.excludedZones;
    }
    const loads = listChangedLoads(previous?.loads, state.loads);
    if (loads.length > 0) {
      notice.loads = loads;
    }
    const lostGroups = listAdded(previous?.lostGroups, state.lostGroups);
    if (lostGroups.length > 0) {
      notice.lostGroups = lostGroups;
    }
    const suspectedGroups = listAdded(
      previous?.suspectedGroups,
      state.suspectedGroups,
    );
    if (suspectedGroups.length > 0) {
      notice.suspectedGroups = suspectedGroups;
    }
    const crashes = listNewCrashes(previous?.crashes, state.crashes);
    if (crashes.length > 0) {
      notice.crashes = crashes.map(convertCrash);
    }
    const completedSuspects = listAdded(
      previous?.completedSuspects,
      state.completedSuspects,
    );
    if (completedSuspects.length > 0) {
      notice.completedSuspects = completedSuspects;
    }
    const serverLimits = this.#takeNewLimits(state.serverLimits);
    if (serverLimits.length > 0) {
      notice.serverLimits = serverLimits;
    }
    const leavingServers = listNew(
      previous?.leavingServers ?? [],
      state.leavingServers,
      getLeavingKey,
    );
    if (leavingServers.length > 0) {
      notice.leavingServers = leavingServers;
    }
    addPromptPartChanges(notice, previous?.promptParts, state.promptParts);
    addPeerChanges(notice, previous?.peers, state.peers);
    addSectionChanges(notice, previous?.sections, state.sections);
    this.#state = state;
    const isEmpty = Object.keys(notice).length === 0;
    return isEmpty && !options.isPeriodic ? undefined : notice;
  }

  /** Creates the notice that brings a new receiver to the state that the earlier notices described; undefined before the first one. */
  createCompleteNotice(): PeerNotice | undefined {
    if (this.#state === undefined) {
      return undefined;
    }
    const {
      loads,
      peers,
      crashes,
      promptParts,
      serverLimits,
      sections,
      ...state
    } = this.#state;
    return {
      ...state,
      isComplete: true,
      loads: [...loads],
      peers: [...peers.values()],
      crashes: crashes.map(convertCrash),
      partCrashes: promptParts.crashes.map(convertPartCrash),
      partSuccesses: promptParts.successes,
      serverLimits: serverLimits.map(convertServerLimit),
      sections: Object.fromEntries(sections),
    };
  }

  #isNewlyConfirmed(state: NoticeState): boolean {
    return getConfirmedAtMs(state) - this.#confirmedAtMs >=
      MIN_CONFIRMATION_STEP_MS;
  }

  #takeNewLimits(limits: readonly ServerLimitReport[]): ServerLimitNotice[] {
    if (limits.length === 0 && this.#sentLimits.size === 0) {
      return [];
    }
    const previousLimits = this.#sentLimits;
    const newLimits = limits.filter((current) => {
      const previous = previousLimits.get(current.serverId);
      return previous?.limit !== current.limit ||
        previous.startedAtMs !== current.startedAtMs ||
        current.atMs - previous.atMs >= MIN_LIMIT_STEP_MS;
    });
    this.#sentLimits = new Map(
      limits.map((limit) => [
        limit.serverId,
        newLimits.includes(limit)
          ? limit
          : previousLimits.get(limit.serverId) ?? limit,
      ]),
    );
    return newLimits.map(convertServerLimit);
  }
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

function isNewPlanner(
  previous: PlannerNotice | undefined,
  planner: PlannerNotice | undefined,
): boolean {
  return previous?.name !== planner?.name || previous?.term !== planner?.term;
}

function listChangedLoads(
  previous: ReadonlyMap<string, number> = new Map(),
  loads: ReadonlyMap<string, number>,
): [key: string, requests: number][] {
  const changes: [string, number][] = [];
  for (const [key, requests] of loads) {
    if (previous.get(key) !== requests) {
      changes.push([key, requests]);
    }
  }
  for (const key of previous.keys()) {
    if (!loads.has(key)) {
      changes.push([key, 0]);
    }
  }
  return changes;
}

function listAdded(
  previous: readonly string[] = [],
  current: readonly string[],
): string[] {
  return listNew(previous, current, (key) => key);
}

/** Lists the entries whose key the previous ones do not have. */
function listNew<T>(
  previous: readonly T[],
  current: readonly T[],
  getKey: (entry: T) => string,
): T[] {
  if (current.length === 0) {
    return [];
  }
  const previousKeys = new Set(previous.map(getKey));
  return current.filter((entry) => !previousKeys.has(getKey(entry)));
}

function listNewCrashes(
  previous: readonly RequestCrash[] = [],
  current: readonly RequestCrash[],
): RequestCrash[] {
  return previous === current ? [] : listNew(previous, current, getCrashKey);
}

function addPromptPartChanges(
  notice: Mutable<PeerNotice>,
  previous: PromptPartReport = { crashes: [], successes: [] },
  current: PromptPartReport,
): void {
  if (previous === current) {
    return;
  }
  const crashes = listNew(previous.crashes, current.crashes, getPartCrashKey);
  const successes = listNew(
    previous.successes,
    current.successes,
    getPartSuccessKey,
  );
  if (crashes.length > 0) {
    notice.partCrashes = crashes.map(convertPartCrash);
  }
  if (successes.length > 0) {
    notice.partSuccesses = successes;
  }
}

function convertCrash({ atMs, ...crash }: RequestCrash): CrashNotice {
  return { ...crash, ageMs: Math.round(performance.now() - atMs) };
}

function convertPartCrash(
  { groupKey, parts, atMs }: PartCrash,
): PartCrashNotice {
  return { groupKey, parts, ageMs: Math.round(performance.now() - atMs) };
}

function convertServerLimit(
  { atMs, ...statement }: ServerLimitReport,
): ServerLimitNotice {
  return { ...statement, ageMs: Math.round(performance.now() - atMs) };
}

function addPeerChanges(
  notice: Mutable<PeerNotice>,
  previous: ReadonlyMap<string, DaemonDescription> = new Map(),
  peers: ReadonlyMap<string, DaemonDescription>,
): void {
  if (previous === peers) {
    return;
  }
  const added = [...peers.values()].filter(({ name, address }) =>
    previous.get(name)?.address !== address
  );
  const removed = [...previous.keys()].filter((name) => !peers.has(name));
  if (added.length > 0) {
    notice.peers = added;
  }
  if (removed.length > 0) {
    notice.removedPeers = removed;
  }
}

function addSectionChanges(
  notice: Mutable<PeerNotice>,
  previous: ReadonlyMap<string, unknown> = new Map(),
  sections: ReadonlyMap<string, unknown>,
): void {
  const changed = [...sections].filter(([name, report]) =>
    previous.get(name) !== report
  );
  if (changed.length > 0) {
    notice.sections = Object.fromEntries(changed);
  }
}

function getConfirmedAtMs({ serversAgeMs }: NoticeState): number {
  return serversAgeMs === undefined
    ? Number.NEGATIVE_INFINITY
    : performance.now() - serversAgeMs;
}

function getCrashKey({ fingerprint, groupKey }: RequestCrash): string {
  return `${fingerprint} ${groupKey}`;
}

function getLeavingKey(
  { serverId, startedAtMs }: LeavingServerNotice,
): string {
  return `${serverId} ${startedAtMs}`;
}

function getPartCrashKey({ groupKey, parts }: PartCrash): string {
  return `${groupKey} ${parts.join(",")}`;
}

function getPartSuccessKey(
  { groupKey, part, time }: PartSuccessNotice,
): string {
  return `${groupKey} ${part} ${time}`;
}
