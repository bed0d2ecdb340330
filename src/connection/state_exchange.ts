import { z } from "zod";
import type { DaemonContext } from "../process/daemon_context.ts";

/** Number of characters of the configuration digest that a response contains. */
const CONFIG_DIGEST_LENGTH = 16;

/** Schema of the request of a state exchange. It has no ages or digests because daemons read these only from responses. */
export const stateExchangeRequestSchema = z.object({
  /** Name of the sender. */
  from: z.string(),
  /** Lamport time of the sender. */
  lamport: z.number(),
  /** Version of the sender's configuration, or 0 when it has none. */
  configVersion: z.number(),
});

/** Request of a state exchange between two daemons. */
export type StateExchangeRequest = z.infer<typeof stateExchangeRequestSchema>;

/** Response of a state exchange: a summary of the responding daemon's state. The requesting daemon compares the digests with its own and fetches the data that differs. */
export interface StateExchangeResponse {
  /** Name of the sender, which is the responding daemon. */
  readonly from: string;
  /** Id of the sender's process. */
  readonly incarnation: string;
  /** Lamport time of the sender. */
  readonly lamport: number;
  /** Version of the sender's configuration, or 0 when it has none. */
  readonly configVersion: number;
  /** First characters of the digest of the sender's configuration. */
  readonly configDigest: string;
  /** Age of the newest store confirmation that the sender knows of, in milliseconds; null when it knows of none. */
  readonly confirmationAgeMs: number | null;
  /** Whether the sender itself read the store within the freshness limit. */
  readonly reachesStore: boolean;
  /** Whether the sender has begun its graceful stop. */
  readonly leaving: boolean;
  readonly placementDigest: number;
  readonly healthDigest: number;
  readonly vmListDigest: number;
  /** Time since the sender's VM list was read from the platform, in milliseconds; null when the sender has no list. */
  readonly vmListAgeMs: number | null;
  /** Hash of the sorted names of the daemons in the sender's VM list. */
  readonly listHash: number;
  /** Times since the sender last learned that each daemon in its VM list has the same configuration: one character for each daemon, in the order of the sorted names. Empty when the sender does not report them. */
  readonly heard: string;
}

/**
 * Creates the request with which this daemon starts a state exchange.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createStateExchangeRequest(
  context: DaemonContext,
): StateExchangeRequest {
  return {
    from: context.settings.name,
    lamport: context.timeline.getLamport(),
    configVersion: context.configHolder.getVersion(),
  };
}

/**
 * Creates the response of this daemon to a state exchange.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createStateExchangeResponse(
  context: DaemonContext,
): StateExchangeResponse {
  const agreement = context.agreement.getReport({
    isConfirmationOld: context.freshness.getAgeMs() >
      context.settings.freshnessLimitMs / 2,
  });
  return {
    from: context.settings.name,
    incarnation: context.incarnation,
    lamport: context.timeline.getLamport(),
    configVersion: agreement.configVersion,
    configDigest: agreement.configDigest.slice(0, CONFIG_DIGEST_LENGTH),
    confirmationAgeMs: convertAge(context.freshness.getAgeMs()),
    reachesStore: context.freshness.hasRecentStoreRead(),
    leaving: context.gracefulStop.isLeaving(),
    placementDigest: context.placementHolder.getDigest(),
    healthDigest: context.healthTable.getDigest(),
    vmListDigest: context.vmTable.getDigest(),
    vmListAgeMs: convertAge(context.vmTable.getAgeMs()),
    listHash: agreement.listHash,
    heard: agreement.heard,
  };
}

/** Converts an age for a message. It is rounded up, so that no relayed age is ever too low; an infinite age becomes null. */
function convertAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
}
