/** State of a backend server in its group. */
export type MembershipState =
  | "joining"
  | "ready"
  | "open"
  | "closing"
  | "broken";

/** Group that a backend server belongs to. */
export interface GroupMembership {
  readonly groupName: string;
  /** Generation of the group; orders with a lower generation are refused. */
  readonly generation: number;
  /** Position in the member list; the head has 0. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** Backend server as it registered itself. */
export interface BackendServer {
  /** Id of the server, which may stay the same after a restart. */
  readonly id: string;
  /** Wall-clock time of the server's start in milliseconds; distinguishes a restarted server from an earlier process with the same id. */
  readonly startedAtMs: number;
  /** Version of the server's entry in the list, which increases with each change. */
  readonly entryVersion: number;
  /** Number of the server's report that the entry contains, which increases from the start of its process; 0 when unknown. */
  readonly reportNumber: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly zone: string;
  /** Maximum number of requests that the server runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Monotonic time of this process until which the server is cold, in milliseconds. */
  readonly coldUntilMs: number;
  /** Fabric domain; undefined for plain services. */
  readonly domain?: string;
  /** Models whose weights are on the host. */
  readonly stagedModels: readonly string[];
  /** Models that the server holds in a group or has loaded. */
  readonly loadedModels: readonly string[];
  readonly membership?: GroupMembership;
}

/** State that a backend server returned to a status request. */
export interface BackendReport {
  readonly startedAtMs: number;
  readonly membership?: GroupMembership;
  readonly stagedModels?: readonly string[];
  readonly loadedModels: readonly string[];
  /** Whether the server is carrying out an order. */
  readonly isBusy: boolean;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly heldTokens: number;
  /** Step time as a multiple of the usual step time; a server with a value above 1 is slow. */
  readonly slowness: number;
}
