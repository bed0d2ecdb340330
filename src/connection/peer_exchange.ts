import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";

const CONFIG_DIGEST_LENGTH = 16;

/** Schema of the request of an exchange. It carries only what the receiver uses: ages and digests count from answers alone. */
export const peerExchangeRequestSchema = z.object({
  from: z.string(),
  lamport: z.number(),
  configVersion: z.number(),
});

/** Request of an exchange. */
export type PeerExchangeRequest = z.infer<typeof peerExchangeRequestSchema>;

/** Answer of an exchange: the state of a daemon. */
export interface PeerExchangeResponse {
  readonly from: string;
  /** Id of the sender's process. */
  readonly incarnation: string;
  readonly lamport: number;
  readonly configVersion: number;
  /** First digits of the digest of the sender's configuration. */
  readonly configDigest: string;
  /** Age of the newest known store confirmation in milliseconds. */
  readonly confirmationAgeMs: number | null;
  /** Whether the sender itself reaches the store. */
  readonly reachesStore: boolean;
  readonly leaving: boolean;
  readonly placementDigest: number;
  readonly healthDigest: number;
  readonly vmListDigest: number;
  /** Time since the sender's VM list was read from the platform, in milliseconds. */
  readonly vmListAgeMs: number | null;
  readonly listHash: number;
  readonly heard: string;
}

/**
 * Gets the request with which this daemon starts an exchange.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerExchangeRequest(
  context: DaemonContext,
): PeerExchangeRequest {
  return {
    from: context.settings.name,
    lamport: context.timeline.getLamport(),
    configVersion: context.configHolder.getVersion(),
  };
}

/**
 * Gets the state that this daemon answers its peers with.
 *
 * @param context - Parts of the daemon.
 */
export function createPeerExchangeResponse(
  context: DaemonContext,
): PeerExchangeResponse {
  const agreement = context.agreement.getReport({
    outage: context.freshness.getAgeMs() >
      context.settings.freshnessLimitMs / 2,
  });
  return {
    from: context.settings.name,
    incarnation: context.incarnation,
    lamport: context.timeline.getLamport(),
    configVersion: agreement.configVersion,
    configDigest: agreement.configDigest.slice(0, CONFIG_DIGEST_LENGTH),
    confirmationAgeMs: convertAge(context.freshness.getAgeMs()),
    reachesStore: context.freshness.isStoreReached(),
    leaving: context.gracefulStop.isLeaving(),
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
