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
  readonly caller: ListenerAddress;
  /** Listener that the balancer asks whether the daemon takes callers. */
  readonly ready: ListenerAddress;
  readonly peer: ListenerAddress;
  /** Listener for metrics. */
  readonly metrics: ListenerAddress;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly stopGraceMs: number;
  /** Repeated sendings for each request of a service, over all daemons. */
  readonly retryRatio: number;
  /** Window of the retry budget in milliseconds. */
  readonly retryWindowMs: number;
  /** Repeated sendings of a window that are allowed besides the ratio, over all daemons. */
  readonly retrySlack: number;
  /** Factor by which the requests of a second to a cold server may exceed its rate. */
  readonly coldOverage: number;
  /** Requests of a second to a cold server that are allowed besides. */
  readonly coldSlack: number;
  /** Whether backend servers refuse orders of an earlier term of the planner. */
  readonly areOrdersFenced: boolean;
}
