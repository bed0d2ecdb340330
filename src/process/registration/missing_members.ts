import type { ServerHealth } from "../../connection/group_order_client.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type { ConfirmedGroups } from "./confirmed_groups.ts";
import {
  createMissingMemberBounds,
  isMissingAllowed,
  type MissingMemberBounds,
} from "./missing_member_rules.ts";

/** Member of a group whose entry was removed while the group was in service. */
export interface MissingMember {
  /** Last entry of the member. */
  readonly server: BackendServer;
  /** Monotonic time after which the entry was removed, in milliseconds. */
  readonly removedAtMs: number;
  /** Monotonic time at which the planner on this daemon last found the member healthy, in milliseconds. */
  healthyAtMs: number;
  /** Whether the member has stated that it leaves or fails. */
  isLeaving: boolean;
}

/** Age up to which the health of one member counts while others of its group are checked, in milliseconds; two polls. */
const HEALTH_VALIDITY_MS = 600;

/** Missing members of one group, by server id. */
interface MissingGroup {
  readonly members: Map<string, MissingMember>;
  /** Whether the group stays in service without the entries; does not become true again. */
  isAllowed: boolean;
}

/** Members of groups whose entries were removed from the list of servers while their groups were in service, and how long these groups stay in service. */
export class MissingMembers {
  readonly bounds: MissingMemberBounds;
  readonly #getPlannerAgeMs: () => number | undefined;
  readonly #getListConfirmedAtMs: () => number;
  readonly #confirmedGroups: ConfirmedGroups;
  readonly #logger: Logger;
  readonly #groups = new Map<string, MissingGroup>();

  constructor(options: {
    /** Time within which every daemon has to know that a server drains, in milliseconds. */
    drainNoticeMs: number;
    /** Gets the age of the planner's last notice in milliseconds; 0 at the planner, undefined without one. */
    getPlannerAgeMs(): number | undefined;
    /** Gets the monotonic time at which the store had last confirmed the list of servers before the present change, in milliseconds. */
    getListConfirmedAtMs(): number;
    /** Groups whose missing members the planner has found healthy. */
    confirmedGroups: ConfirmedGroups;
    logger: Logger;
  }) {
    this.bounds = createMissingMemberBounds(options.drainNoticeMs);
    this.#getPlannerAgeMs = () => options.getPlannerAgeMs();
    this.#getListConfirmedAtMs = () => options.getListConfirmedAtMs();
    this.#confirmedGroups = options.confirmedGroups;
    this.#logger = options.logger;
  }

  /** Gets the number of groups that are in service with a missing member. */
  get allowedCount(): number {
    return this.listAllowedKeys().length;
  }

  /** Lists the keys of the groups that may be in service with a missing member. */
  listAllowedKeys(): string[] {
    return [...this.#groups].flatMap(([key, { isAllowed }]) =>
      isAllowed ? [key] : []
    );
  }

  /**
   * Records that the entry of a member was removed while its group was in service. The entry may have been removed at any time since the store last confirmed the list, so the time of the removal is that of the confirmation.
   *
   * @param key - Key of the group.
   * @param server - Last entry of the member.
   */
  record(key: string, server: BackendServer): void {
    const nowMs = performance.now();
    const removedAtMs = Math.min(nowMs, this.#getListConfirmedAtMs());
    const group = this.#groups.get(key) ??
      { members: new Map<string, MissingMember>(), isAllowed: true };
    group.members.set(server.id, {
      server,
      removedAtMs,
      healthyAtMs: Number.NEGATIVE_INFINITY,
      isLeaving: false,
    });
    this.#groups.set(key, group);
    group.isAllowed = group.isAllowed && this.#isAllowed(key, group);
    this.#logger.write("info", "member-missing", {
      group: key,
      server: server.id,
      missingMs: Math.round(nowMs - removedAtMs),
      plannerAgeMs: this.#getPlannerAgeMs(),
      outcome: group.isAllowed ? "in service" : "out of service",
    });
  }

  /** Removes a server whose entry is in the list again, or that belongs to another group. */
  removeServer(id: string): void {
    for (const [key, { members }] of this.#groups) {
      const member = members.get(id);
      if (member !== undefined) {
        members.delete(id);
        this.#logger.write("info", "member-listed-again", {
          group: key,
          server: id,
          missingMs: Math.round(performance.now() - member.removedAtMs),
        });
      }
      if (members.size === 0) {
        this.#groups.delete(key);
      }
    }
  }

  /** Removes a group that no listed server belongs to any more, or whose loss is known. */
  removeGroup(key: string): void {
    this.#groups.delete(key);
  }

  /** Lists the missing members with which a group stays in service; none once it does not. */
  listAllowed(key: string): BackendServer[] {
    const group = this.#groups.get(key);
    return group?.isAllowed
      ? [...group.members.values()].map(({ server }) => server)
      : [];
  }

  /** Records what a missing member has stated about its health to the planner on this daemon. */
  recordHealth(key: string, id: string, health: ServerHealth): void {
    const group = this.#groups.get(key);
    const member = group?.members.get(id);
    if (group === undefined || member === undefined || health === "unknown") {
      return;
    }
    if (health === "unhealthy") {
      member.isLeaving = true;
      return;
    }
    const nowMs = performance.now();
    member.isLeaving = false;
    member.healthyAtMs = nowMs;
    const isConfirmed = [...group.members.values()].every(({ healthyAtMs }) =>
      nowMs - healthyAtMs <= HEALTH_VALIDITY_MS
    );
    if (isConfirmed) {
      this.#confirmedGroups.confirm(key);
    }
  }

  /** Gets whether the missing members of a group have recently been healthy. */
  isConfirmed(key: string): boolean {
    return this.#confirmedGroups.isConfirmed(key);
  }

  /** Gets whether a missing member of a group has stated that it leaves or fails. */
  isLeaving(key: string): boolean {
    return [...this.#groups.get(key)?.members.values() ?? []].some((member) =>
      member.isLeaving
    );
  }

  /** Gets whether a group stays in service without the entry of a member. */
  isAllowed(key: string): boolean {
    return this.#groups.get(key)?.isAllowed === true;
  }

  /** Gets the longest time since the removal of an entry of a group, in milliseconds; undefined when no member is missing. */
  getMissingMs(key: string): number | undefined {
    const group = this.#groups.get(key);
    return group === undefined ? undefined : getMissingMs(group);
  }

  /**
   * Ends the service of the groups whose time is over or whose planner is silent.
   *
   * @returns The keys of these groups.
   */
  sweep(): string[] {
    const ended: string[] = [];
    for (const [key, group] of this.#groups) {
      if (group.isAllowed && !this.#isAllowed(key, group)) {
        group.isAllowed = false;
        ended.push(key);
        this.#logger.write("info", "member-missing-ended", {
          group: key,
          servers: [...group.members.keys()].join(","),
          missingMs: Math.round(getMissingMs(group)),
          plannerAgeMs: this.#getPlannerAgeMs(),
        });
      }
    }
    return ended;
  }

  #isAllowed(key: string, group: MissingGroup): boolean {
    return isMissingAllowed({
      missingMs: getMissingMs(group),
      plannerAgeMs: this.#getPlannerAgeMs(),
      isConfirmed: this.#confirmedGroups.isConfirmed(key),
      bounds: this.bounds,
    });
  }
}

function getMissingMs({ members }: MissingGroup): number {
  const removedAtMs = [...members.values()].map((member) => member.removedAtMs);
  return performance.now() - Math.min(...removedAtMs);
}
