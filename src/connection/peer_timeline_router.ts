import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import { peerTrpc } from "./peer_trpc.ts";

const inputSchema = z.object({ requestId: z.string().optional() });

/**
 * Creates the tRPC procedure that returns the events in the daemon's timeline.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerTimelineRouter(context: DaemonContext) {
  return peerTrpc.router({
    getEvents: peerTrpc.procedure.input(inputSchema).query(({ input }) =>
      context.timeline.getEvents({ requestId: input.requestId })
    ),
  });
}
