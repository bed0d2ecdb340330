import type { BackendServer } from "../../shared/backend_server.ts";

/** Limit on the requests that this daemon sends to a backend server. */
export interface SendLimit {
  /** Gets whether this daemon may send another request to a server now. */
  isBelowLimit(server: BackendServer): boolean;
  /** Records a request that is sent to a server. */
  recordRequest(server: BackendServer): void;
}

/** Limit whose end is known, so that a request that cannot be sent before its deadline need not wait. */
export interface TimedSendLimit extends SendLimit {
  /** Gets the time until a server may get a request from this daemon, in milliseconds; 0 when it may get one now, infinite when its process gets none any more. */
  getWaitMs(server: BackendServer): number;
  /** Registers a listener that is called when a time is added. */
  onChange(listener: () => void): void;
}
