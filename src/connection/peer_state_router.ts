import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import { configSchema } from "../version/config_schema.ts";
import { getPeerDigest, peerDigestSchema } from "./peer_digest.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the procedures that spread configuration, placement and health.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerStateRouter(context: DaemonContext) {
  return peerTrpc.router({
    exchange: peerTrpc.procedure.input(peerDigestSchema).mutation(
      ({ input }) => {
        context.timeline.mergeLamport(input.lamport);
        return getPeerDigest(context);
      },
    ),
    getConfig: peerTrpc.procedure.query(() =>
      context.configHolder.getCurrent() ?? null
    ),
    announceConfig: peerTrpc.procedure
      .input(z.object({ version: z.number(), document: configSchema }))
      .mutation(({ input }) => ({ taken: context.configHolder.offer(input) })),
  });
}
