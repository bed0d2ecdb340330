import type { RequestListener } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { DaemonContext } from "../process/daemon_context.ts";
import { createPeerRouter } from "./peer_router.ts";

/**
 * Creates the HTTP request listener of the peer port. Responses omit the headers that peers do not read, since these would be longer than the messages themselves.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerApp(context: DaemonContext): RequestListener {
  const handleRequest = createHTTPHandler({
    router: createPeerRouter(context),
  });
  return (req, res) => {
    res.sendDate = false;
    res.removeHeader("connection");
    handleRequest(req, res);
  };
}
