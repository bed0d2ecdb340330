import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import { peerTrpc } from "./peer_trpc.ts";

const inputSchema = z.object({ requestId: z.string().optional() });

/**
 * Creates the procedure that gives the daemon's events of the time line.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerTimelineRouter(context: DaemonContext) {
  return peerTrpc.router({
    getEvents: peerTrpc.procedure.input(inputSchema).query(({ input }) =>
      context.timeline.getEvents({ requestId: input.requestId })
    ),
  });
}
