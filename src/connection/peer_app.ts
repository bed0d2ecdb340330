import type { RequestListener } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { DaemonContext } from "../process/daemon_context.ts";
import { createPeerRouter } from "./peer_router.ts";

/**
 * Creates the listener of the peer port. Its answers leave out the headers that peers don't read, since an exchange is shorter than they are.
 *
 * @param context - Parts of the daemon.
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
