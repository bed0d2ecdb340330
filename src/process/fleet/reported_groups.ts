import type { GroupOrderOutcome } from "../../connection/group_order_client.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import { GroupClosings } from "../registration/group_closings.ts";
import type { MissingMembers } from "../registration/missing_members.ts";
import { getFirstGeneration } from "./group_name.ts";
import type { GroupTable } from "./group_table.ts";
import { hasToCloseHead, isServiceEnded } from "./incomplete_group_rules.ts";
import {
  isSpareGroup,
  type MemberOrderExecutor,
} from "./member_order_executor.ts";
import {
  collectReportedGroups,
  hasJoined,
  type ReportedGroup,
} from "./reported_group.ts";
import { type MemberState, SurvivorProber } from "./survivor_prober.ts";

/** Time for which a group has to be incomplete before its remaining members may join other groups, in milliseconds. Entries of the server list arrive in batches, so a member may be missing temporarily. */
const INCOMPLETE_GRACE_MS = 250;

/** Dependencies of `ReportedGroups`. */
export interface ReportedGroupsOptions {
  readonly groups: GroupTable;
  readonly orders: MemberOrderExecutor;
  readonly logger: Logger;
  /** Members with which groups stay in service although their entries were removed. */
  readonly missingMembers?: MissingMembers;
  /** Called when a member of a group has responded to a probe, or has not. */
  onProbeResult(): void;
}

/** Groups that the servers of one service report, and what the planner has observed of them. */
export class ReportedGroups {
  readonly #options: ReportedGroupsOptions;
  #groups: ReadonlyMap<string, ReportedGroup> = new Map();
  /** Monotonic time since which a group is incomplete, by group key. */
  readonly #incompleteSinceMs = new Map<string, number>();
  /** Monotonic time from which the members of a group that must not be opened may join other groups, by group key. */
  readonly #reusableFromMs = new Map<string, number>();
  /** Number of servers that each reported group was formed of, by group key. It counts for groups that an earlier version has formed, whose names do not state it. */
  #groupSizes = new Map<string, number>();
  /** Keys of the reported groups whose heads this daemon has known as the planner. */
  #keysWithHead: ReadonlySet<string> = new Set();
  readonly #survivorProber: SurvivorProber;
  /** Closings of the groups that stay in service without the entry of a member; undefined when a missing entry takes a group out of service. */
  readonly #closings: GroupClosings | undefined;
  #term = 0;

  constructor(options: ReportedGroupsOptions) {
    this.#options = options;
    this.#survivorProber = new SurvivorProber({
      orders: options.orders,
      onResult: () => options.onProbeResult(),
    });
    const { groups, logger, missingMembers } = options;
    this.#closings = missingMembers === undefined
      ? undefined
      : new GroupClosings({ groups, logger, missingMembers });
  }

  /**
   * Replaces the groups by those that the servers report now.
   *
   * @param service - Service, as configured now.
   * @param servers - Servers of the service in the list.
   * @param options - Servers that were removed from the list, and term of the planner's lease.
   */
  update(
    service: RoutedService,
    servers: readonly BackendServer[],
    { removedServers, term }: {
      removedServers: readonly BackendServer[];
      term: number;
    },
  ): void {
    this.#term = term;
    const groups = collectReportedGroups(service, {
      servers,
      removedServers,
      knownSizes: this.#groupSizes,
    });
    this.#groups = groups;
    this.#keysWithHead = new Set(
      [...groups].flatMap(([key, { head }]) =>
        head !== undefined || this.#keysWithHead.has(key) ? [key] : []
      ),
    );
    this.#recordGroupSizes(groups);
    this.#recordIncompleteGroups(groups);
    this.#recordSupersededGroups(service, groups);
    this.#survivorProber.retainGroups(groups);
    this.#checkSuspectedGroups(groups);
    this.#closings?.update(service, groups.values());
  }

  list(): ReportedGroup[] {
    return [...this.#groups.values()];
  }

  find(key: string): ReportedGroup | undefined {
    return this.#groups.get(key);
  }

  /** Gets whether a member has responded to a probe since its group was lost or closed. */
  isAlive(key: string, member: BackendServer): boolean {
    return this.#survivorProber.isAlive(key, member);
  }

  /**
   * Gets whether a group that is ready must not be opened, since one of its members may still carry out a leave, or the join of a later group, and a server must not leave an open group.
   *
   * This planner knows only the orders that it has sent in this term. The members of such a group therefore join a new one, whose generation makes all earlier joins void.
   */
  isSuperseded(
    { head, members, isComplete, isReady }: ReportedGroup,
  ): boolean {
    if (!isComplete || !isReady || isSpareGroup(head!.membership!)) {
      return false;
    }
    const { generation } = head!.membership!;
    return generation < getFirstGeneration(this.#term) ||
      members.some((member) =>
        this.#options.orders.hasUnansweredJoin(member, generation)
      ) || this.hasUnansweredLeave({ members });
  }

  /**
   * Gets whether the head of a complete group has to be closed although it reports that it is not open. An open of an earlier planner may still reach the head and would be carried out while the members leave. A head that has accepted a close of this term refuses it.
   */
  hasToConfirmClosing(group: ReportedGroup): boolean {
    const { head, isComplete } = group;
    const { state, generation } = head?.membership ?? {};
    if (
      !isComplete || state !== "ready" ||
      generation! >= getFirstGeneration(this.#term)
    ) {
      return false;
    }
    const outcome = this.#options.orders.findCloseOutcome(head!);
    const headState = this.#getHeadProbeState(group);
    return outcome !== "done" && outcome !== "begun" &&
      headState !== "ended" && headState !== "silent";
  }

  /** Gets whether a member of a group may still carry out a leave. */
  hasUnansweredLeave({ members }: Pick<ReportedGroup, "members">): boolean {
    return members.some((member) =>
      this.#options.orders.hasUnansweredLeave(member)
    );
  }

  /** Gets whether the members of a group can join other groups. */
  hasReusableMembers(group: ReportedGroup): boolean {
    if (this.#options.groups.isLost(group.key)) {
      return this.isLossConfirmed(group);
    }
    const state = group.head?.membership?.state;
    if (state === "broken") {
      return true;
    }
    // A group with a draining member, or of an earlier configuration, is closed first, which lets its requests finish.
    const isClosed = state === undefined ||
      (state === "ready" && this.#isHeadConfirmed(group) &&
        !this.hasToConfirmClosing(group));
    if (!group.isComplete) {
      const isReusable = (group.isOutdated && isClosed) ||
        (this.#isGraceOver(group) && this.#isMissingConfirmed(group));
      return isReusable && !this.#closings?.isServingIncomplete(group);
    }
    if (group.members.some(({ isDraining }) => isDraining)) {
      return isClosed;
    }
    const reusableFromMs = this.#reusableFromMs.get(group.key);
    const isSuperseded = reusableFromMs !== undefined &&
      performance.now() >= reusableFromMs && !this.hasToConfirmClosing(group);
    return (group.isOutdated && isClosed) || isSuperseded;
  }

  /** Gets whether the state of the head does not come from the list alone, which may contain an entry from before the group was opened. */
  #isHeadConfirmed(group: ReportedGroup): boolean {
    return this.#getHeadProbeState(group) !== "unknown";
  }

  #getHeadProbeState(
    { key, head, missingMembers }: ReportedGroup,
  ): MemberState {
    return head === undefined
      ? "unknown"
      : this.#survivorProber.getState(key, head, {
        isLost: true,
        mustRepeat: false,
        isRemoved: missingMembers.includes(head),
      });
  }

  #isGraceOver(group: ReportedGroup): boolean {
    return this.#getIncompleteMs(group) >= INCOMPLETE_GRACE_MS;
  }

  /** Gets the time since which a group is incomplete, in milliseconds; 0 for a complete group. */
  #getIncompleteMs({ key }: ReportedGroup): number {
    const nowMs = performance.now();
    return nowMs - (this.#incompleteSinceMs.get(key) ?? nowMs);
  }

  /** Gets whether an incomplete group does not serve any more. */
  #isMissingConfirmed(group: ReportedGroup): boolean {
    const missingStates = this.#requestMissingStates(group);
    return isServiceEnded({
      isLost: this.#options.groups.isLost(group.key),
      missingStates,
      headState: group.head?.membership?.state,
      isHeadUnknown: this.#isHeadUnknown(group),
      headProbeState: this.#requestHeadProbeState(group, missingStates),
      closeOutcome: this.#findCloseOutcome(group),
      incompleteMs: this.#getIncompleteMs(group),
    });
  }

  /** Gets whether the head of a group may serve without an entry that this planner has ever seen. The heads of the groups of its own term are known once they have joined. */
  #isHeadUnknown({ key, members, head }: ReportedGroup): boolean {
    const { generation } = members[0].membership!;
    return head === undefined && !this.#keysWithHead.has(key) &&
      generation < getFirstGeneration(this.#term);
  }

  /** Gets the state of the head of an incomplete group. A listed head is not probed while it serves and responds to orders: the state that it reports could be from before its closing. */
  #requestHeadProbeState(
    group: ReportedGroup,
    missingStates: readonly MemberState[],
  ): MemberState {
    const { head, missingMembers } = group;
    if (head !== undefined && missingMembers.includes(head)) {
      return missingStates[missingMembers.indexOf(head)];
    }
    const state = head?.membership?.state;
    const isServing = state === "open" || state === "closing";
    return isServing && this.#findCloseOutcome(group) !== "unknown"
      ? "unknown"
      : this.#getHeadProbeState(group);
  }

  /** Finds the outcome of the last close that was sent to the head of a group since the group is incomplete. */
  #findCloseOutcome(
    { key, head }: ReportedGroup,
  ): GroupOrderOutcome | undefined {
    return head === undefined
      ? undefined
      : this.#options.orders.findCloseOutcome(
        head,
        this.#incompleteSinceMs.get(key),
      );
  }

  /** Gets whether an incomplete group has to be closed, since its head is open and no missing member is known to have ended. A planner that has taken over may not know the missing members. */
  hasToCloseIncomplete(group: ReportedGroup): boolean {
    if (
      !this.#isGraceOver(group) || group.head?.membership?.state !== "open"
    ) {
      return false;
    }
    const states = this.#requestMissingStates(group);
    return this.#closings?.hasServedIncomplete(group)
      ? this.#closings.has(group.key) && !states.includes("ended") &&
        !states.includes("refused")
      : hasToCloseHead(
        states,
        states[group.missingMembers.indexOf(group.head)],
      );
  }

  #requestMissingStates(group: ReportedGroup): MemberState[] {
    // A response from before the loss of the group does not count after it.
    const isLost = this.#options.groups.isLost(group.key) ||
      !this.#closings?.isServingIncomplete(group);
    return group.missingMembers.map((member) =>
      this.#survivorProber.getState(group.key, member, {
        isLost,
        mustRepeat: true,
        isRemoved: true,
      })
    );
  }

  /**
   * Gets whether the members of a lost group can join other groups: a member is known to have ended or to be missing, or the head is closed or broken, or has been silent for so long that it counts as ended. A group may be lost although its members are only silent, and a member must not join another group while the head still serves.
   */
  isLossConfirmed(group: ReportedGroup): boolean {
    const { key, head, members, isComplete } = group;
    const states = members.map((member) =>
      this.#survivorProber.getState(key, member, {
        isLost: true,
        mustRepeat: member === head,
      })
    );
    if (head === undefined || states.includes("ended")) {
      return true;
    }
    if (!isComplete) {
      return group.missingMembers.length === 0 ||
        this.#isMissingConfirmed(group);
    }
    const headState = states[members.indexOf(head)];
    const isClosed = head.membership?.state === "ready" ||
      head.membership?.state === "broken";
    return headState === "silent" || (headState === "alive" && isClosed);
  }

  /** Starts to probe the members of the groups that other daemons or this one suspect, so that the time of a silence is known when the group is lost. */
  #checkSuspectedGroups(
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#options.groups.listSuspectedKeys()) {
      const group = reportedGroups.get(key);
      if (group?.head?.membership?.state === "open") {
        group.members.forEach((member) =>
          this.#survivorProber.getState(key, member, {
            isLost: false,
            mustRepeat: false,
          })
        );
      }
    }
  }

  /** Records the sizes of the groups whose head has joined. A new configuration changes the size of the model, but not that of a group. */
  #recordGroupSizes(
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    const sizes = new Map<string, number>();
    for (const { key, size, head } of reportedGroups.values()) {
      if (size !== undefined && hasJoined(head)) {
        sizes.set(key, size);
      }
    }
    this.#groupSizes = sizes;
  }

  #recordIncompleteGroups(
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#incompleteSinceMs.keys()) {
      if (reportedGroups.get(key)?.isComplete ?? true) {
        this.#incompleteSinceMs.delete(key);
      }
    }
    for (const { key, isComplete } of reportedGroups.values()) {
      if (!isComplete && !this.#incompleteSinceMs.has(key)) {
        this.#incompleteSinceMs.set(key, performance.now());
      }
    }
  }

  /** Records the groups that are ready but must not be opened. An earlier planner may have opened one of them just now, which shows after the time that a group takes to open. */
  #recordSupersededGroups(
    service: RoutedService,
    reportedGroups: ReadonlyMap<string, ReportedGroup>,
  ): void {
    for (const key of this.#reusableFromMs.keys()) {
      const group = reportedGroups.get(key);
      if (group === undefined || !this.isSuperseded(group)) {
        this.#reusableFromMs.delete(key);
      }
    }
    for (const group of reportedGroups.values()) {
      if (
        this.isSuperseded(group) && !this.#reusableFromMs.has(group.key)
      ) {
        const { openMs } = service.engine!;
        this.#reusableFromMs.set(group.key, performance.now() + openMs);
        this.#options.logger.write("info", "group-superseded", {
          group: group.key,
          members: group.members.map(({ id }) => id).join(","),
          term: this.#term,
        });
      }
    }
  }
}
