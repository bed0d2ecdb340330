import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";
import { promptPartStateSchema } from "../process/prompt_part_state.ts";
import { quarantineStateSchema } from "../process/quarantine_state.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the tRPC procedures that exchange quarantined requests and recent group losses between daemons.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerQuarantineRouter(context: DaemonContext) {
  return peerTrpc.router({
    /** Merges the quarantine state of a peer. A task of the receiving daemon forwards new entries to further daemons. */
    announce: peerTrpc.procedure.input(quarantineStateSchema).mutation(
      ({ input }) => ({ taken: context.quarantine.merge(input) }),
    ),
    /** Merges the suspected prompt parts of a peer. A task of the receiving daemon forwards new ones to further daemons. */
    announceParts: peerTrpc.procedure.input(promptPartStateSchema).mutation(
      ({ input }) => context.promptParts.merge(input),
    ),
    /** Returns the quarantine state of this daemon and its suspected prompt parts, or null when the digests of the calling daemon are equal. */
    compare: peerTrpc.procedure.input(
      z.object({
        digest: z.number(),
        /** Omitted by daemons of earlier versions, which have no prompt parts. */
        partDigest: z.number().optional(),
      }),
    ).query(({ input: { digest, partDigest } }) => {
      const { quarantine, promptParts } = context;
      const hasOtherParts = partDigest !== undefined &&
        partDigest !== promptParts.getDigest();
      return digest === quarantine.getDigest() && !hasOtherParts ? null : {
        ...quarantine.getState(),
        promptParts: hasOtherParts ? promptParts.getState() : undefined,
      };
    }),
  });
}
