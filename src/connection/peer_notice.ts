import type { RoutingConfig } from "../version/routing_config.ts";
import type { BackendServer } from "../shared/backend_server.ts";

/** Report that a replica group, or a server of a plain service, crashed while it ran a request. */
export interface CrashNotice {
  /** Identifies the content of the request, so that each repetition of the request has the same fingerprint. */
  readonly fingerprint: string;
  /** Key of the group, or of the server's process. */
  readonly groupKey: string;
  /** Time since the crash, in milliseconds; daemons of older versions omit it and report recent crashes only. */
  readonly ageMs?: number;
}

/** Report that the head of a group crashed while it began to respond to a request. */
export interface PartCrashNotice {
  readonly groupKey: string;
  /** Parts of the request's prompt that other requests may have in common with it. */
  readonly parts: readonly string[];
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
}

/** Whether a success preceded or followed a crash. */
export type PartSuccessTime = "before" | "after";

/** Report that a response with a suspected part of a crash has shown that the part is harmless. */
export interface PartSuccessNotice {
  /** Key of the group that crashed. */
  readonly groupKey: string;
  readonly part: string;
  readonly time: PartSuccessTime;
}

/** Request rate that a backend server stated in a response. */
export interface ServerLimitNotice {
  readonly serverId: string;
  /** Wall-clock time of the start of the server's process, in milliseconds. */
  readonly startedAtMs: number;
  /** Requests per second, or null when the server no longer states a limit. */
  readonly limit: number | null;
  /** Time since the response, in milliseconds. */
  readonly ageMs: number;
}

/** Process of a backend server that has stated that it is about to stop. */
export interface LeavingServerNotice {
  readonly serverId: string;
  /** Wall-clock time of the start of the server's process, in milliseconds. */
  readonly startedAtMs: number;
}

/** Availability zones that are excluded from serving requests, as of a revision of the store. */
export interface ExcludedZonesNotice {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** Description of a daemon, as it sends it to its peers. */
export interface DaemonDescription {
  readonly name: string;
  /** IP address and port of the peer listener. */
  readonly address: string;
  readonly zone: string;
  /** Number of processor cores that the daemon may use, which may be fractional. */
  readonly processorCores: number;
}

/**
 * Role of the sender of a notice towards the receiver. A hub exchanges notices with all other hubs and relays data between them and its members; a member exchanges notices only with its hub. In a small fleet every daemon is a hub.
 *
 * - `equal`: sender and receiver are both hubs.
 * - `member`: the sender is a member of the receiver.
 * - `hub`: the sender is the hub of the receiver.
 */
export type PeerRelation = "equal" | "member" | "hub";

/** Gets the role of the receiver of a notice towards its sender. */
export function getOppositeRelation(relation: PeerRelation): PeerRelation {
  if (relation === "equal") {
    return relation;
  }
  return relation === "hub" ? "member" : "hub";
}

/** Planner of the groups, as last known to the sender of the notice. */
export interface PlannerNotice {
  readonly name: string;
  /** Term of the planner's lease. */
  readonly term: number;
  /** Time since the planner itself last confirmed its role, in milliseconds. */
  readonly ageMs: number;
}

/** Backend server as one daemon sends it to another. The end of the cold time is sent as a remaining time because the daemons' monotonic clocks differ. */
export type SerializedBackendServer = Omit<BackendServer, "coldUntilMs"> & {
  /** Remaining time for which the server is cold, in milliseconds. */
  readonly coldLeftMs: number;
};

/** Backend servers that changed between two revisions of the store. */
export interface BackendServerChanges {
  /** Revision after which the changes begin, or 0 when `servers` is the complete list. */
  readonly sinceRevision: number;
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  /** Revision of the last change. */
  readonly changeRevision: number;
  /** Servers that were added or changed. */
  readonly servers: readonly SerializedBackendServer[];
  /** Ids of the servers that were removed. */
  readonly removed: readonly string[];
  /** Ids among those of `removed` whose removal has no revision, so that the sender repeats it in each notice; defaults to none. */
  readonly undated?: readonly string[];
  /** Ids of the servers that were missing after an outage or a restore of the store and may register again; defaults to none. */
  readonly missing?: readonly string[];
}

/** First message of each side of a link. */
export interface PeerHello {
  readonly sender: DaemonDescription;
  readonly relation: PeerRelation;
}

/**
 * Message on a link between two daemons. It describes the sender and, if the sender is a hub, its members. The first notice on a link is complete; a later one contains only the fields that have changed, since a link delivers messages in order.
 */
export interface PeerNotice {
  /** Consecutive number of the notices with loads that a member sends to its hub. */
  readonly number?: number;
  /** Number of the member's last notice that the loads of the hub's notice include. */
  readonly acknowledged?: number;
  /** Whether the notice contains the complete state, so that what it omits no longer exists. */
  readonly isComplete?: boolean;
  /** Whether a planned stop of the sender has begun. */
  readonly isLeaving?: boolean;
  readonly planner?: PlannerNotice;
  /** Version of the sender's configuration in force. */
  readonly configVersion?: number;
  readonly excludedZones?: ExcludedZonesNotice;
  /** Revision of the store up to which the sender's list of backend servers is complete. */
  readonly serversRevision?: number;
  /** Revision of the last change of the sender's list of backend servers. */
  readonly serversChangeRevision?: number;
  /** Time since the store last confirmed the sender's list of backend servers, in milliseconds; omitted before the first confirmation. */
  readonly serversAgeMs?: number;
  /** Number of requests in flight in each group whose number has changed; 0 removes the group. */
  readonly loads?: readonly (readonly [group: string, requests: number])[];
  /** Keys of the groups that the sender newly knows to be lost. */
  readonly lostGroups?: readonly string[];
  /** Keys of the groups that newly have a silent member. */
  readonly suspectedGroups?: readonly string[];
  /** New crashes of groups and servers while they ran a request. */
  readonly crashes?: readonly CrashNotice[];
  /** Fingerprints of requests that were recorded for a crash and have completed since. */
  readonly completedSuspects?: readonly string[];
  /** Requests that may have caused a crash. */
  readonly partCrashes?: readonly PartCrashNotice[];
  /** Successes of requests with suspected parts. */
  readonly partSuccesses?: readonly PartSuccessNotice[];
  /** Request rates that servers state, when they are new or have to be confirmed. */
  readonly serverLimits?: readonly ServerLimitNotice[];
  /** Servers that newly state that they are about to stop. */
  readonly leavingServers?: readonly LeavingServerNotice[];
  /** Daemons that the sender newly knows. */
  readonly peers?: readonly DaemonDescription[];
  /** Names of the daemons that the sender no longer knows. */
  readonly removedPeers?: readonly string[];
  /** Configuration in force, when the receiver has requested it or is a member with an older one. */
  readonly config?: RoutingConfig;
  /** Changes of the list of backend servers that the receiver lacks. */
  readonly servers?: BackendServerChanges;
  /** Reports of the parts of the sender that have changed, by the name of their section. */
  readonly sections?: Readonly<Record<string, unknown>>;
  /** Data that the sender asks the receiver for. */
  readonly request?: PeerDataRequest;
}

/** Data that a daemon requests from a peer that has newer data. */
export type PeerDataRequest = "config" | "servers";
