import type { BackendServer } from "../../shared/backend_server.ts";

/** Limit on the requests that this daemon sends to a backend server. */
export interface SendLimit {
  /** Gets whether this daemon may send another request to a server now. */
  isBelowLimit(server: BackendServer): boolean;
  /** Records a request that is sent to a server. */
  recordRequest(server: BackendServer): void;
}
