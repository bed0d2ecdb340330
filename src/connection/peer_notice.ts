import type { RoutingConfig } from "../version/routing_config.ts";
import type { BackendServer } from "../shared/backend_server.ts";

/** Crash of a group while it ran a request. */
export interface CrashNotice {
  /** Text that is the same for every repeat of the request. */
  readonly fingerprint: string;
  readonly groupKey: string;
}

/** Zones that take no requests, as of a revision of the store. */
export interface ExcludedZonesNotice {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** Daemon as the others know it. */
export interface DaemonDescription {
  readonly name: string;
  /** IP number and port of the peer listener. */
  readonly address: string;
  readonly zone: string;
  /** Processor time that the daemon may use, in cores. */
  readonly processorCores: number;
}

/**
 * What the sender of a notice is to the receiver.
 *
 * - `equal`: both exchange with all hubs.
 * - `member`: the receiver speaks for the sender.
 * - `hub`: the sender speaks for the receiver.
 */
export type PeerRelation = "equal" | "member" | "hub";

/** Gets what the receiver of a notice is to its sender. */
export function getOppositeRelation(relation: PeerRelation): PeerRelation {
  if (relation === "equal") {
    return relation;
  }
  return relation === "hub" ? "member" : "hub";
}

/** Daemon that plans the groups, as it was last heard. */
export interface PlannerNotice {
  readonly name: string;
  readonly term: number;
  /** Time since the planner said so itself, in milliseconds. */
  readonly ageMs: number;
}

/** What a daemon tells a peer of itself and of the daemons that it speaks for. */
export interface PeerNotice {
  readonly sender: DaemonDescription;
  readonly relation: PeerRelation;
  readonly isLeaving: boolean;
  readonly planner?: PlannerNotice;
  /** Version of the configuration in force; 0 when there is none. */
  readonly configVersion: number;
  readonly excludedZones: ExcludedZonesNotice;
  /** Revision of the store up to which the sender's list of backend servers is complete. */
  readonly serversRevision: number;
  /** Revision of the last change of that list. */
  readonly serversChangeRevision: number;
  /** Changes of the list that the receiver lacks; only a hub sends them. */
  readonly servers?: BackendServerChanges;
  /** Time since the store confirmed that list, in milliseconds; undefined before it did. */
  readonly serversAgeMs?: number;
  /** Requests in flight in each group, at the sender and the daemons that it speaks for. */
  readonly loads: readonly (readonly [group: string, requests: number])[];
  /** Requests that wait for a place there. */
  readonly waiting: number;
  /** Groups that the sender knows to be lost. */
  readonly lostGroups: readonly string[];
  /** Crashes of groups while they ran a request, of the last moments. */
  readonly crashes: readonly CrashNotice[];
  /** Hash of the list of the daemons that the sender hears. */
  readonly peersHash: number;
  /** That list; left out when the receiver has it. */
  readonly peers?: readonly DaemonDescription[];
  /** Hash of the last such list that the sender took from the receiver. */
  readonly seenPeersHash?: number;
}

/** Backend server as one daemon hands it to another, whose monotonic clock differs. */
export type SerializedBackendServer = Omit<BackendServer, "coldUntilMs"> & {
  readonly coldLeftMs: number;
};

/** Backend servers that changed between two revisions of the store. */
export interface BackendServerChanges {
  /** Revision after which the changes begin; 0 when they are the whole list. */
  readonly sinceRevision: number;
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  /** Revision of the last change. */
  readonly changeRevision: number;
  readonly servers: readonly SerializedBackendServer[];
  /** Ids of the servers that were removed. */
  readonly removed: readonly string[];
}

/** Answers the other daemons. */
export interface PeerMessageHandler {
  /** Takes a peer's notice and answers with the own one. */
  handleNotice(notice: PeerNotice): PeerNotice;
  /** Gets the configuration in force. */
  getConfig(): RoutingConfig | undefined;
  /** Gets the whole list of backend servers. */
  getServers(): BackendServerChanges;
}
