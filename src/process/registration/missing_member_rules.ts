import type {
  BackendReport,
  BackendServer,
} from "../../shared/backend_server.ts";

/** Time that a request in flight usually takes, in milliseconds; streams of the present deployments last about a second. */
const IN_FLIGHT_MS = 1_000;
/** Share of the time until a group has to be closed after which the planner begins to close groups one after another. The second half leaves time for a lapsed entry to be renewed, which servers do every 1.2 s. */
const CLOSE_START_SHARE = 0.5;
/** Share of a model's groups that the planner closes at once by its own decision. With a begin and an end of the closing time, half of the groups are closed in steps; the largest loss measured was 8 of 18. */
const MAX_CLOSING_SHARE = 0.25;
/** Age of the planner's last notice up to which a group is kept in service, in milliseconds. Older than that, the planner may not poll the missing member any more. */
const MAX_PLANNER_AGE_MS = 1_300;

/** Times after the removal of a member's entry, in milliseconds. */
export interface MissingMemberBounds {
  /** Time from which the planner may close the group by its own decision. */
  readonly closeFromMs: number;
  /** Time from which the group gets no request and has to be closed. */
  readonly closeByMs: number;
}

/** Group with a member whose entry was removed, as the planner sees it. */
export interface IncompleteGroup {
  readonly key: string;
  readonly model: string;
  /** Longest time since the removal of a member's entry, in milliseconds. */
  readonly missingMs: number;
  readonly isHeadMissing: boolean;
  /** Whether the group accepts requests at the planner. */
  readonly isServing: boolean;
  /** Whether the group may stay in service without the entry for now. */
  readonly isAllowed: boolean;
  /** Whether all missing members have recently stated that they are healthy. */
  readonly isConfirmed: boolean;
  /** Whether a missing member has stated that it leaves or fails. */
  readonly isLeaving: boolean;
  /** Whether the group has been closed, or its closing was decided before. */
  readonly isClosing: boolean;
}

/** Reason why a group with a missing member is closed. */
export type ClosingReason = "out-of-service" | "leaving" | "share" | "bound";

/**
 * Derives the times for closing a group from the time within which no daemon may send requests to a removed server. Requests that begin just before the group has to be closed end within that time.
 *
 * @param drainNoticeMs - Time after the removal of an entry within which requests to the server have to end, in milliseconds.
 * @returns The times; both 0, which keeps no group in service, when the time is too short for a request.
 * @example
 * ```ts
 * createMissingMemberBounds(2_000); // { closeFromMs: 500, closeByMs: 1_000 }
 * ```
 */
export function createMissingMemberBounds(
  drainNoticeMs: number,
): MissingMemberBounds {
  const closeByMs = Math.max(0, drainNoticeMs - IN_FLIGHT_MS);
  return { closeFromMs: closeByMs * CLOSE_START_SHARE, closeByMs };
}

/**
 * Decides whether a group whose members serve on without an entry stays in service. Guards against a partition between servers and the store that takes all groups of the servers out of service at once.
 *
 * A server that is cut off from the store states that it is healthy, and no request reaches a member that is not the head, so its group may stay in service beyond the bound. One that leaves without an announcement states that it is not.
 *
 * @param options - Time since the removal, age of the planner's last notice (undefined without a planner), both in milliseconds, whether the planner has recently found the missing members healthy, and bounds.
 */
export function isMissingAllowed(
  { missingMs, plannerAgeMs, isConfirmed, bounds }: {
    missingMs: number;
    plannerAgeMs: number | undefined;
    isConfirmed: boolean;
    bounds: MissingMemberBounds;
  },
): boolean {
  return (missingMs < bounds.closeByMs || isConfirmed) &&
    plannerAgeMs !== undefined && plannerAgeMs <= MAX_PLANNER_AGE_MS;
}

/**
 * Decides which groups with a missing member the planner closes now. Guards against the closing of many groups at once when many entries are removed together, as by a partition or a release: each closing takes slots from the model until the requests in flight have ended and the next group is open.
 *
 * A group whose bound is reached, that is out of service or whose missing member leaves is closed in any case, and one whose missing members are healthy is not closed. The others follow from `closeFromMs` on, longest missing first, while at most `MAX_CLOSING_SHARE` of the model's groups, and at least one, are closing; those with a missing head count first.
 *
 * @param groups - All groups with a missing member.
 * @param options - Number of groups that accept requests at the planner by model, and bounds.
 * @returns The reason for each group to close, by group key; groups that are already closing are left out.
 */
export function chooseClosings(
  groups: readonly IncompleteGroup[],
  { servingCounts, bounds }: {
    servingCounts: ReadonlyMap<string, number>;
    bounds: MissingMemberBounds;
  },
): Map<string, ClosingReason> {
  const closings = new Map<string, ClosingReason>();
  const closingCounts = new Map<string, number>();
  const groupCounts = new Map(servingCounts);
  const candidates: IncompleteGroup[] = [];
  for (const group of groups) {
    const { key, model, isClosing, isServing } = group;
    const reason = findClosingReason(group, bounds);
    if (!isServing) {
      addOne(groupCounts, model);
    }
    if (isClosing || reason !== undefined) {
      addOne(closingCounts, model);
    }
    if (!isClosing && reason !== undefined) {
      closings.set(key, reason);
    } else if (
      !isClosing && !group.isConfirmed && group.missingMs >= bounds.closeFromMs
    ) {
      candidates.push(group);
    }
  }
  candidates.sort((a, b) => b.missingMs - a.missingMs);
  for (const { key, model } of candidates) {
    const maxCount = Math.max(
      1,
      Math.floor((groupCounts.get(model) ?? 0) * MAX_CLOSING_SHARE),
    );
    if ((closingCounts.get(model) ?? 0) < maxCount) {
      addOne(closingCounts, model);
      closings.set(key, "share");
    }
  }
  return closings;
}

/** Finds the reason why a group has to be closed whatever the number of groups that are closing. */
function findClosingReason(
  { missingMs, isHeadMissing, isAllowed, isConfirmed, isLeaving }:
    IncompleteGroup,
  { closeByMs }: MissingMemberBounds,
): ClosingReason | undefined {
  if (isLeaving) {
    return "leaving";
  }
  if (missingMs >= closeByMs && !isConfirmed) {
    return "bound";
  }
  return isHeadMissing || !isAllowed ? "out-of-service" : undefined;
}

function addOne(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/**
 * Finds the evidence in a response to a status request that a group has lost a missing member. No response is no evidence.
 *
 * @param member - Member as of its last entry.
 * @param report - Status report of the process at the member's address.
 * @returns The evidence, for the log; undefined when the member serves on in its group.
 */
export function findLoss(
  member: BackendServer,
  report: BackendReport,
): string | undefined {
  const isSameProcess = report.startedAtMs === 0 || member.startedAtMs === 0 ||
    report.startedAtMs === member.startedAtMs;
  if (!isSameProcess) {
    return "another process responds at its address";
  }
  const { membership } = member;
  const isMember = report.membership?.groupName === membership?.groupName &&
    report.membership?.generation === membership?.generation &&
    report.membership?.rank === membership?.rank;
  if (!isMember) {
    return "it does not belong to the group any more";
  }
  return report.membership?.state === "broken"
    ? "its group is broken"
    : undefined;
}
