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
  /** Processor time that the daemon may use, in cores. */
  readonly processorCores: number;
  /** Listener for the requests of callers. */
  readonly caller: ListenerAddress;
  /** Listener for the readiness checks of the load balancer. */
  readonly ready: ListenerAddress;
  /** Listener for the notices of other daemons. */
  readonly peer: ListenerAddress;
  /** Listener for requests for the metrics. */
  readonly metrics: ListenerAddress;
  /** Time between the stop signal and the kill of the process, in milliseconds. */
  readonly stopGraceMs: number;
  /** Retries that are allowed per request of a service, over all daemons. */
  readonly retryRatio: number;
  /** Length of the retry budget's sliding window in milliseconds. */
  readonly retryWindowMs: number;
  /** Retries that are allowed per window in addition to the ratio, over all daemons. */
  readonly retrySlack: number;
  /** Factor by which the rate of requests to a cold server may exceed the rate that the server can sustain. */
  readonly coldOverage: number;
  /** Requests per second to a cold server that are allowed in addition to `coldOverage`. */
  readonly coldSlack: number;
  /** Whether backend servers use the planner's term as a fencing token, that is, refuse orders of an earlier term. */
  readonly areOrdersFenced: boolean;
}
