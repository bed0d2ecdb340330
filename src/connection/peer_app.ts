import type { RequestListener } from "node:http";
import type { DaemonContext } from "../process/daemon_context.ts";
import { createPeerRouter } from "./peer_router.ts";
import { createTrpcListener } from "./trpc_listener.ts";

/**
 * Creates the HTTP request listener of the peer port.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerApp(context: DaemonContext): RequestListener {
  return createTrpcListener(createPeerRouter(context));
}
