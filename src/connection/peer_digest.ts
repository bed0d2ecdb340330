import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";

/** Schema of the state that two daemons exchange. */
export const peerDigestSchema = z.object({
  from: z.string(),
  lamport: z.number(),
  configVersion: z.number(),
  /** Age of the newest known store confirmation in milliseconds. */
  confirmationAgeMs: z.number().nullable(),
});

/** State that two daemons exchange. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;

/**
 * Gets the state that this daemon sends to its peers.
 *
 * @param context - Parts of the daemon.
 */
export function getPeerDigest(context: DaemonContext): PeerDigest {
  const ageMs = context.freshness.getAgeMs();
  return {
    from: context.settings.name,
    lamport: context.timeline.getLamport(),
    configVersion: context.configHolder.getVersion(),
    confirmationAgeMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : null,
  };
}
