import type { RoutingConfig } from "../../version/routing_config.ts";
import type { BackendServer } from "./backend_server.ts";
import type { CrashNotice } from "./crash_ledger.ts";

/** Zones that take no requests, as of a revision of the store. */
export interface ExcludedZonesNotice {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** What a daemon tells a peer of itself. */
export interface PeerNotice {
  readonly name: string;
  /** IP number and port of the peer listener. */
  readonly address: string;
  readonly isLeaving: boolean;
  /** Term of the planner's lease while the daemon holds it. */
  readonly plannerTerm?: number;
  /** Version of the configuration in force; 0 when there is none. */
  readonly configVersion: number;
  readonly excludedZones: ExcludedZonesNotice;
  /** Revision of the daemon's copy of the list of backend servers. */
  readonly serversRevision: number;
  /** Requests in flight in each group. */
  readonly loads: readonly (readonly [group: string, requests: number])[];
  /** Requests that wait for a place. */
  readonly waiting: number;
  /** Groups that the daemon knows to be lost. */
  readonly lostGroups: readonly string[];
  /** Crashes of groups while they ran a request, of the last moments. */
  readonly crashes: readonly CrashNotice[];
  /** Peer listeners of the daemons that it hears from. */
  readonly peers: readonly (readonly [name: string, address: string])[];
}

/** Backend server as one daemon hands it to another, whose monotonic clock differs. */
export type ServerNotice = Omit<BackendServer, "coldUntilMs"> & {
  readonly coldLeftMs: number;
};

/** List of backend servers as of a revision of the store. */
export interface ServersNotice {
  readonly revision: number;
  readonly servers: readonly ServerNotice[];
}

/** Answers the other daemons. */
export interface PeerResponder {
  /** Takes a peer's notice and answers with the own one. */
  handleNotice(notice: PeerNotice): PeerNotice;
  /** Gets the configuration in force. */
  getConfig(): RoutingConfig | undefined;
  /** Gets the list of backend servers. */
  getServers(): ServersNotice;
}
