import type { GroupOrderOutcome } from "../../connection/group_order_client.ts";
import type { MembershipState } from "../../shared/backend_server.ts";
import type { MemberState } from "./survivor_prober.ts";

/** Time after which a head that cannot be asked counts as ended, in milliseconds from the removal of the first entry. Requests to a removed server have to end within the drain notice time, which is at most 3 s. */
const MAX_REQUEST_MS = 3_000;

/** What the planner has observed of a group that has lost the entry of a member. */
export interface IncompleteGroupState {
  /** Whether a daemon has found that the group has lost a member. */
  readonly isLost: boolean;
  /** States of the members without an entry. */
  readonly missingStates: readonly MemberState[];
  /** State of the group that the head last reported; undefined without a head. */
  readonly headState: MembershipState | undefined;
  /** Whether an earlier planner formed the group, and this one has never known its head. */
  readonly isHeadUnknown: boolean;
  /** State of the head according to its probes. */
  readonly headProbeState: MemberState;
  /** Outcome of the last close that was sent to the head since the group is incomplete. */
  readonly closeOutcome: GroupOrderOutcome | undefined;
  /** Time since which the group is incomplete, in milliseconds. */
  readonly incompleteMs: number;
}

/**
 * Decides whether the other members of an incomplete group can join other groups. Guards against requests in flight that stand still, since a member which only this planner cannot reach counts as ended while the head serves.
 *
 * If a daemon has found the group lost, silence or a refusal towards the planner confirms it. Otherwise the head has to be closed, or to be out of reach for so long that its requests have ended. A head that refuses connections counts as ended if it does not respond to a close either.
 */
export function isServiceEnded(
  {
    isLost,
    missingStates,
    headState,
    isHeadUnknown,
    headProbeState,
    closeOutcome,
    incompleteMs,
  }: IncompleteGroupState,
): boolean {
  if (
    missingStates.includes("ended") ||
    (isLost && missingStates.some(isUnreachable))
  ) {
    return true;
  }
  if (headState === undefined) {
    return !isHeadUnknown || incompleteMs >= MAX_REQUEST_MS;
  }
  if (headState !== "open" && headState !== "closing") {
    return headProbeState !== "unknown";
  }
  const hasRefusedClose = headProbeState === "refused" &&
    (closeOutcome === "unknown" || closeOutcome === "gone");
  return headProbeState === "ended" || hasRefusedClose ||
    (isUnreachable(headProbeState) && incompleteMs >= MAX_REQUEST_MS);
}

function isUnreachable(state: MemberState): boolean {
  return state === "silent" || state === "refused";
}

/**
 * Decides whether the head of an incomplete group that is open has to be closed. The state of each missing member has to be known, since a group that has lost a process is not closed first.
 *
 * @param missingStates - States of the members without an entry. A planner that has taken over may not know them.
 * @param headProbeState - State of the head if it is one of these. A silent head is not sent a close, which it could carry out much later.
 */
export function hasToCloseHead(
  missingStates: readonly MemberState[],
  headProbeState: MemberState | undefined,
): boolean {
  return headProbeState !== "silent" &&
    missingStates.every((state) => state !== "ended" && state !== "unknown");
}
