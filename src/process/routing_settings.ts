/** Address that a listener is bound to. */
export interface ListenerAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a daemon that routes requests to a fleet of backend servers. */
export interface RoutingSettings {
  /** Name of the entry VM. */
  readonly name: string;
  readonly zone: string;
  /** Number of processor cores that the daemon may use. */
  readonly processorCores: number;
  /** Listener for the requests of callers. */
  readonly caller: ListenerAddress;
  /** Listener for the load balancer's readiness checks. */
  readonly ready: ListenerAddress;
  /** Listener for the notices of other daemons. */
  readonly peer: ListenerAddress;
  /** Listener that serves the metrics. */
  readonly metrics: ListenerAddress;
  /** Time within which every daemon has to know that a backend server drains, in milliseconds. */
  readonly drainNoticeMs: number;
  /** Time within which every daemon has to apply a new configuration, in milliseconds. */
  readonly configNoticeMs: number;
  /** Time within which every daemon has to know that a zone is excluded, in milliseconds. */
  readonly exclusionNoticeMs: number;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly stopGraceMs: number;
  /** Maximum number of retries per request of a service, over all daemons. */
  readonly retryRatio: number;
  /** Length of the retry budget's sliding window in milliseconds. */
  readonly retryWindowMs: number;
  /** Maximum number of retries per window in addition to the ratio, over all daemons. */
  readonly retrySlack: number;
  /** Factor by which the rate of requests to a cold server may exceed the rate that the server can sustain. */
  readonly coldOverage: number;
  /** Requests per second that a cold server may receive in addition to `coldOverage`. */
  readonly coldSlack: number;
  /** Whether backend servers use the planner's term as a fencing token, that is, refuse orders of an earlier term. */
  readonly areOrdersFenced: boolean;
  /** Whether a group stays in service for a time when the entry of a member that is not its head is removed; defaults to true. */
  readonly keepsIncompleteGroups?: boolean;
  /** Whether the daemon learns how fast each backend server is and how many concurrent requests it handles well; defaults to true. */
  readonly learnedConcurrency?: boolean;
  /** Whether the waits of requests to engines are estimated, so that those without a chance of a slot are refused at once; defaults to false, since fewer requests were served in time with it under the users' load. */
  readonly waitEstimates?: boolean;
  /** Whether requests are sent beyond the known free slots of engines that queue, when waits are estimated; defaults to false, since replayed loads showed no gain. */
  readonly sendsBeyondSlots?: boolean;
  /** Calls to the platform that are the duty of one daemon at a time; undefined when there are none. */
  readonly duties?: DutySettings;
}

/** Kind of calls that are the duty of one daemon at a time. */
export type DutyKind = "usage-report" | "server-scaling";

/** Settings of the calls that are the duty of one daemon at a time. */
export interface DutySettings {
  readonly kinds: readonly DutyKind[];
  /** Maximum number of such calls per second, over all daemons. */
  readonly callsPerSecond: number;
  /** Time within which the duties must not return to a daemon that has given them up, in milliseconds. */
  readonly leaseMs: number;
  /** Length of a window of usage in milliseconds. */
  readonly usageWindowMs: number;
  /** Time after the end of a window by which its usage has to be reported, in milliseconds. */
  readonly usageDueMs: number;
}
