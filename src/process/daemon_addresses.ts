/** Addresses of a daemon's listeners as `host:port`. */
export interface DaemonAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly operator: string;
}
