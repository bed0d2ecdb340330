import type { Logger } from "../../shared/logger.ts";
import type { GroupTable } from "../fleet/group_table.ts";
import type { MemberOrderExecutor } from "../fleet/member_order_executor.ts";
import type { RoutingPart } from "../routing_parts.ts";
import type { RoutingSettings } from "../routing_settings.ts";
import type { ConfirmedGroups } from "./confirmed_groups.ts";
import { createMissingMemberBounds } from "./missing_member_rules.ts";
import { MissingMemberTask } from "./missing_member_task.ts";
import { MissingMembers } from "./missing_members.ts";

/**
 * Creates the record of the missing members with which groups stay in service.
 *
 * @returns Undefined when the settings turn it off or leave no time for it, so that a missing entry takes a group out of service.
 */
export function createMissingMembers(
  options: {
    settings: Pick<RoutingSettings, "drainNoticeMs" | "keepsIncompleteGroups">;
    confirmedGroups: ConfirmedGroups;
    logger: Logger;
    /** Gets the age of the planner's last notice in milliseconds; 0 at the planner, undefined without one. */
    getPlannerAgeMs(): number | undefined;
    /** Gets the monotonic time at which the store had last confirmed the list of servers before the present change, in milliseconds. */
    getListConfirmedAtMs(): number;
  },
): MissingMembers | undefined {
  const { drainNoticeMs, keepsIncompleteGroups = true } = options.settings;
  const { closeByMs } = createMissingMemberBounds(drainNoticeMs);
  return keepsIncompleteGroups && closeByMs > 0
    ? new MissingMembers({ ...options, drainNoticeMs })
    : undefined;
}

/** Creates the part that follows the missing members. */
export function createRegistrationPart(
  options: {
    missingMembers: MissingMembers;
    confirmedGroups: ConfirmedGroups;
    groups: GroupTable;
    orders: MemberOrderExecutor;
    isPlanner(): boolean;
    /** Sends the loss of a group to the other daemons at once. */
    announceLoss(): void;
  },
): RoutingPart {
  const { missingMembers, confirmedGroups } = options;
  return {
    name: "registration",
    sections: [confirmedGroups],
    tasks: new Map([["missing-members", new MissingMemberTask(options)]]),
    addGauges: (metrics) =>
      metrics.addGauge({
        name: "incomplete_groups",
        help: "Groups in service with a member whose entry was removed",
        getValue: () => missingMembers.allowedCount,
      }),
  };
}
