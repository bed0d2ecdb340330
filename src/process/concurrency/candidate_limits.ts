/** Smallest share of its slots that a limit leaves to a server. A wrong limit then costs little, and the server gets the requests that show its recovery. */
const MIN_SLOTS_SHARE = 1 / 8;
/** Smallest share of the slots of all candidates that the limits leave. Below it, the limits would refuse requests that the servers can take, if slowly. */
const MIN_TOTAL_SHARE = 0.5;

/** What is learned of a server or a group that deviates from the others. */
export interface ServerEstimate {
  /** Speed as a share of the usual one, above 0 and at most 1. */
  readonly speed: number;
  /** Number of concurrent requests that it handles well; infinite when none is known. */
  readonly limit: number;
}

/** Slots and speed with which a candidate is considered. */
export interface CandidateLimits {
  readonly slots: number;
  readonly speed: number;
}

/**
 * Applies the estimates to the candidates for a request. The speeds are relative to the fastest candidate, so that the least degraded ones serve when all are slow, and at least half of the slots remain.
 *
 * @param estimates - Estimate of each candidate; undefined for one that does not deviate.
 * @param slots - Maximum number of concurrent requests of each candidate.
 * @returns Limits in the order of the candidates; undefined when no candidate deviates.
 * @example
 * ```ts
 * applyEstimates([undefined, { speed: 0.2, limit: 4 }], 14);
 * // [{ slots: 14, speed: 1 }, { slots: 4, speed: 0.2 }]
 * ```
 */
export function applyEstimates(
  estimates: readonly (ServerEstimate | undefined)[],
  slots: number,
): CandidateLimits[] | undefined {
  if (estimates.every((estimate) => estimate === undefined)) {
    return undefined;
  }
  const highestSpeed = Math.max(
    ...estimates.map((estimate) => estimate?.speed ?? 1),
  );
  const limits = estimates.map((estimate) => ({
    speed: (estimate?.speed ?? 1) / highestSpeed,
    slots: Math.min(
      slots,
      Math.max(
        1,
        Math.floor(estimate?.limit ?? slots),
        Math.ceil(slots * MIN_SLOTS_SHARE),
      ),
    ),
  }));
  const totalSlots = limits.reduce((sum, limit) => sum + limit.slots, 0);
  return totalSlots < estimates.length * slots * MIN_TOTAL_SHARE
    ? limits.map(({ speed }) => ({ speed, slots }))
    : limits;
}

/**
 * Gets the load with which a server is compared with others. With half the usual speed, each request counts twice, including the one to be sent.
 *
 * @param load - Number of concurrent requests.
 * @param speed - Speed as a share of the usual one.
 */
export function getScaledLoad(load: number, speed: number): number {
  return speed === 1 ? load : (load + 1) / speed - 1;
}
