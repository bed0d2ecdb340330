import type { BackendServer } from "../../shared/backend_server.ts";
import type { RoutedService } from "../../version/routing_config.ts";
import { getFormedSize } from "./group_name.ts";
import { collectMembers } from "./group_table.ts";

/** Replica group as reported by its members. */
export interface ReportedGroup {
  readonly key: string;
  /** Members in the list of servers. */
  readonly members: readonly BackendServer[];
  /** Members that were removed from the list of servers, as they were last known. */
  readonly missingMembers: readonly BackendServer[];
  /** Head, which may be one of the missing members. */
  readonly head: BackendServer | undefined;
  /** Number of servers that the group was formed of; undefined while the head joins a group of a model that is not in the configuration. */
  readonly size: number | undefined;
  /** Whether none of these servers is missing. */
  readonly isComplete: boolean;
  /** Whether the configuration no longer has the group's model, or has it with another number of servers. */
  readonly isOutdated: boolean;
  /** Whether all members are ready, so that the group can be opened. */
  readonly isReady: boolean;
}

/**
 * Collects the groups that the servers of a service report.
 *
 * @param service - Service of the servers.
 * @param options - Servers, and number of servers that each group was formed of whose name does not state it, by group key. Any other such group counts as formed as the configuration says.
 */
export function collectReportedGroups(
  service: RoutedService,
  { servers, removedServers, knownSizes }: {
    servers: readonly BackendServer[];
    removedServers: readonly BackendServer[];
    knownSizes: ReadonlyMap<string, number>;
  },
): Map<string, ReportedGroup> {
  const groups = new Map<string, ReportedGroup>();
  const missingByKey = collectMembers(removedServers);
  for (const [key, members] of collectMembers(servers)) {
    const missingMembers = missingByKey.get(key) ?? [];
    const head = [...members, ...missingMembers].find(({ membership }) =>
      membership?.rank === 0
    );
    const groupSize = service.engine?.models.find(({ name }) =>
      name === head?.loadedModels[0]
    )?.groupSize;
    const { groupName } = members[0].membership!;
    const expectedSize = getFormedSize(groupName) ?? knownSizes.get(key) ??
      groupSize;
    const size = hasJoined(head)
      ? Math.max(expectedSize ?? 0, members.length + missingMembers.length)
      : expectedSize;
    groups.set(key, {
      key,
      members,
      missingMembers,
      head,
      size,
      isComplete: members.length === size,
      isOutdated: hasJoined(head) && size !== groupSize,
      isReady: members.every(({ membership }) => membership?.state === "ready"),
    });
  }
  return groups;
}

/** Gets whether the head of a group has joined it, so that the model which it reports is that of the group. */
export function hasJoined(head: BackendServer | undefined): boolean {
  return head?.membership !== undefined && head.membership.state !== "joining";
}
