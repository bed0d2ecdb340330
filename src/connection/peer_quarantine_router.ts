import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import { quarantineStateSchema } from "../process/quarantine_state.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the procedures that spread quarantined requests and the suspects of a loss.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerQuarantineRouter(context: DaemonContext) {
  return peerTrpc.router({
    /** Takes a peer's state; what is new is forwarded by the receiver's own task. */
    announce: peerTrpc.procedure.input(quarantineStateSchema).mutation(
      ({ input }) => ({ taken: context.quarantine.merge(input) }),
    ),
    /** Gives the state when the caller's digest differs. */
    compare: peerTrpc.procedure.input(z.object({ digest: z.number() })).query(
      ({ input }) =>
        input.digest === context.quarantine.getDigest()
          ? null
          : context.quarantine.getState(),
    ),
  });
}
