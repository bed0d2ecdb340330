import type { RoutingConfig } from "../version/routing_config.ts";
import type { BackendServer } from "../shared/backend_server.ts";

/** Report that a group crashed while it ran a request. */
export interface CrashNotice {
  /** Identifies the content of the request, so that each repetition of the request has the same fingerprint. */
  readonly fingerprint: string;
  readonly groupKey: string;
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

/** Periodic message between two daemons. It describes the sender and, if the sender is a hub, its members. */
export interface PeerNotice {
  readonly sender: DaemonDescription;
  readonly relation: PeerRelation;
  readonly isLeaving: boolean;
  readonly planner?: PlannerNotice;
  /** Version of the sender's configuration in force, or 0 when it has none. */
  readonly configVersion: number;
  readonly excludedZones: ExcludedZonesNotice;
  /** Revision of the store up to which the sender's list of backend servers is complete. */
  readonly serversRevision: number;
  /** Revision of the last change of the sender's list of backend servers. */
  readonly serversChangeRevision: number;
  /** Changes of the list of backend servers that the receiver lacks. Only a hub sends them, to its members. */
  readonly servers?: BackendServerChanges;
  /** Time since the store last confirmed the sender's list of backend servers, in milliseconds; undefined before the first confirmation. */
  readonly serversAgeMs?: number;
  /** Number of requests in flight in each group, from the sender and its members. A hub's notice to a member also includes the requests of the other hubs and members. */
  readonly loads: readonly (readonly [group: string, requests: number])[];
  /** Number of requests that wait for a slot at the daemons that `loads` covers. */
  readonly waiting: number;
  /** Keys of the groups that the sender knows to be lost. */
  readonly lostGroups: readonly string[];
  /** Recent crashes of groups while they ran a request. */
  readonly crashes: readonly CrashNotice[];
  /** Hash of the sender's list of known daemons. */
  readonly peersHash: number;
  /** List of the daemons that the sender knows; omitted when the receiver already has it. */
  readonly peers?: readonly DaemonDescription[];
  /** Hash of the last list of daemons that the sender received from the receiver. */
  readonly seenPeersHash?: number;
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
}

/** Handles the messages of the other daemons. */
export interface PeerMessageHandler {
  /** Applies the notice of a peer and returns the notice of this daemon. */
  handleNotice(notice: PeerNotice): PeerNotice;
  /** Gets the configuration in force, or undefined when there is none. */
  getConfig(): RoutingConfig | undefined;
  /** Gets the complete list of backend servers. */
  getServers(): BackendServerChanges;
}
