import type { Logger } from "../../shared/logger.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import type { GroupTable } from "../fleet/group_table.ts";
import type { ReportedGroup } from "../fleet/reported_group.ts";
import {
  chooseClosings,
  type ClosingReason,
  type IncompleteGroup,
} from "./missing_member_rules.ts";
import type { MissingMembers } from "./missing_members.ts";

/** Closings that the planner has decided on for the groups of one service that have a missing member. */
export class GroupClosings {
  readonly #groups: GroupTable;
  readonly #missingMembers: MissingMembers;
  readonly #logger: Logger;
  /** Reason for each closing, by group key. */
  #closings = new Map<string, ClosingReason>();

  constructor(options: {
    groups: GroupTable;
    missingMembers: MissingMembers;
    logger: Logger;
  }) {
    this.#groups = options.groups;
    this.#missingMembers = options.missingMembers;
    this.#logger = options.logger;
  }

  /** Gets whether the closing of a group was decided. */
  has(key: string): boolean {
    return this.#closings.has(key);
  }

  /** Gets whether a group was in service when the entry of a member that is not its head was removed, and that entry is still missing. */
  hasServedIncomplete({ key, missingMembers }: ReportedGroup): boolean {
    return this.#missingMembers.getMissingMs(key) !== undefined &&
      missingMembers.every(({ membership }) => membership?.rank !== 0);
  }

  /** Gets whether daemons may send requests to a group although the entry of a member is missing, or its head still completes them. */
  isServingIncomplete(group: ReportedGroup): boolean {
    const state = group.head?.membership?.state;
    return this.hasServedIncomplete(group) &&
      this.#missingMembers.isAllowed(group.key) &&
      (state === "open" || state === "closing");
  }

  /**
   * Decides which groups are closed now. A group whose closing was decided counts as closing while the list still has its members in it.
   *
   * @param service - Service of the groups.
   * @param reportedGroups - All groups that the servers of the service report.
   */
  update(
    service: RoutedService,
    reportedGroups: Iterable<ReportedGroup>,
  ): void {
    const incompleteGroups = [...reportedGroups].filter((group) =>
      group.missingMembers.length > 0 && !group.isComplete &&
      group.head !== undefined && !this.#groups.isLost(group.key)
    ).map((group) => this.#describeGroup(group));
    const models = service.engine!.models.map(({ name }) => name);
    const servingCounts = new Map(
      models.map((model) => [
        model,
        this.#groups.listServingGroups(service.name, model).length,
      ]),
    );
    const closings = chooseClosings(incompleteGroups, {
      servingCounts,
      bounds: this.#missingMembers.bounds,
    });
    const kept = new Map<string, ClosingReason>();
    for (const { key, model, missingMs } of incompleteGroups) {
      const reason = closings.get(key);
      if (reason !== undefined) {
        // The suspicion is told to the other daemons, which would send requests until the list shows that the head closes.
        this.#groups.recordSuspicion(key, `it is being closed: ${reason}`);
        this.#logger.write("info", "incomplete-group-closing", {
          group: key,
          reason,
          missingMs: Math.round(missingMs),
          servingGroups: servingCounts.get(model),
        });
      }
      const keptReason = reason ?? this.#closings.get(key);
      if (keptReason !== undefined) {
        kept.set(key, keptReason);
      }
    }
    for (const key of this.#closings.keys()) {
      // The entry is listed again before the group was closed.
      if (!kept.has(key)) {
        this.#groups.confirmGroup(key);
      }
    }
    this.#closings = kept;
  }

  #describeGroup(group: ReportedGroup): IncompleteGroup {
    const { key, members, missingMembers, isOutdated } = group;
    const head = group.head!;
    return {
      key,
      model: head.loadedModels[0],
      missingMs: this.#missingMembers.getMissingMs(key) ?? 0,
      isHeadMissing: missingMembers.includes(head),
      isServing: this.#groups.isServing(key),
      isAllowed: this.#missingMembers.isAllowed(key) && !isOutdated &&
        members.every(({ isDraining }) => !isDraining),
      isConfirmed: this.#missingMembers.isConfirmed(key),
      isLeaving: this.#missingMembers.isLeaving(key),
      isClosing: this.#closings.has(key) || head.membership?.state !== "open",
    };
  }
}
