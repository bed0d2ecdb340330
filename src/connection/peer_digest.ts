import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";

const DIGEST_CHARACTERS = 16;

/** Schema of the state that two daemons exchange. */
export const peerDigestSchema = z.object({
  from: z.string(),
  /** Id of the sender's process. */
  incarnation: z.string(),
  lamport: z.number(),
  configVersion: z.number(),
  /** First digits of the digest of the sender's configuration. */
  configDigest: z.string(),
  /** Age of the newest known store confirmation in milliseconds. */
  confirmationAgeMs: z.number().nullable(),
  /** Whether the sender itself reaches the store. */
  reachesStore: z.boolean(),
  leaving: z.boolean(),
  placementDigest: z.number(),
  healthDigest: z.number(),
  vmListDigest: z.number(),
  /** Time since the sender's VM list was read from the platform, in milliseconds. */
  vmListAgeMs: z.number().nullable(),
  listHash: z.number(),
  heard: z.string(),
});

/** State that two daemons exchange. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;

/**
 * Gets the state that this daemon sends to its peers.
 *
 * @param context - Parts of the daemon.
 */
export function getPeerDigest(context: DaemonContext): PeerDigest {
  const agreement = context.agreement.getReport();
  return {
    from: context.settings.name,
    incarnation: context.incarnation,
    lamport: context.timeline.getLamport(),
    configVersion: agreement.configVersion,
    configDigest: agreement.configDigest.slice(0, DIGEST_CHARACTERS),
    confirmationAgeMs: convertAge(context.freshness.getAgeMs()),
    reachesStore: context.freshness.reachesStore(),
    leaving: context.lifeCycle.signal.aborted,
    placementDigest: context.placementHolder.getDigest(),
    healthDigest: context.healthTable.getDigest(),
    vmListDigest: context.vmTable.getDigest(),
    vmListAgeMs: convertAge(context.vmTable.getAgeMs()),
    listHash: agreement.listHash,
    heard: agreement.heard,
  };
}

/** Rounds up, so that an age never gets younger on its way. */
function convertAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
}
