import type { EngineStatus } from "../connection/engine_client.ts";
import { delay } from "../shared/delay.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { type GroupHealthState, HEALTH_EXPIRY_MS } from "./group_health.ts";
import { GroupObserver } from "./group_observer.ts";
import { MonitorSelector } from "./monitor_selector.ts";
import { isLoaded } from "./planner/domain_planner.ts";

/** Statuses of one group's members. */
interface Observation {
  /** Status of each member, the leader first; undefined when a member counts as missing. */
  readonly statuses: readonly (EngineStatus | undefined)[];
  readonly observer: GroupObserver;
  /** Time of the requests, in milliseconds of `performance.now()`. */
  readonly requestedAtMs: number;
}

/** Age of a group's health above which a daemon that is no monitor of the group asks its members itself: one request that times out after 1 s and another one fit before the expiry. */
export const REFRESH_AGE_MS = HEALTH_EXPIRY_MS / 2 - 100;

/** Task that asks the members of groups for their status. */
export class GroupMonitorTask {
  readonly #context: DaemonContext;
  readonly #selector: MonitorSelector;
  readonly #observers = new Map<string, GroupObserver>();
  readonly #groupsUnderObservation = new Set<string>();
  #sequence = 0;

  constructor(context: DaemonContext, selector?: MonitorSelector) {
    this.#context = context;
    this.#selector = selector ?? new MonitorSelector({
      name: context.settings.name,
      vmTable: context.vmTable,
      fullObservationDaemons: context.settings.fullObservationDaemons,
    });
    context.healthTable.onReportedLoss((groupId) =>
      this.#checkReportedLoss(groupId)
    );
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle, logger } = this.#context;
    do {
      // A member that does not answer delays the observation of its own group alone.
      this.observeOnce().catch((error: unknown) =>
        logger.write("error", "observation-failed", { message: String(error) })
      );
    } while (await delay(settings.statusIntervalMs, lifeCycle.signal));
  }

  /** Observes the groups of this daemon once, except those whose last observation still runs. */
  async observeOnce(): Promise<void> {
    const groups = this.#context.placementHolder.getGroups();
    this.#removeUnplacedGroups(new Set(groups.map((group) => group.groupId)));
    await Promise.all(
      groups.filter((group) => !this.#groupsUnderObservation.has(group.groupId))
        .filter((group) =>
          this.#selector.isMonitor(group) || this.#isRefreshDue(group)
        )
        .map((group) => this.#observeGroup(group)),
    );
  }

  /** A daemon that is no monitor asks as often as a monitor while the group is not known to be complete. */
  #isRefreshDue(group: PlacedGroup): boolean {
    const health = this.#context.healthTable.getHealth(group.groupId);
    return health === undefined || health.generation !== group.generation ||
      health.state === "incomplete" ||
      performance.now() - health.observedAtMs > REFRESH_AGE_MS ||
      this.#observers.get(group.groupId)?.hasMissedStatus() === true;
  }

  /** Asks the members at once, so that the loss of a process that another daemon saw first is found before the next interval. A member that is silent counts as missing after three misses of this daemon: on one miss, a daemon that is short of processor time would take the group from all. */
  #checkReportedLoss(groupId: string): void {
    const { placementHolder, lifeCycle, logger } = this.#context;
    const group = placementHolder.getGroup(groupId);
    if (group === undefined || lifeCycle.signal.aborted) {
      return;
    }
    if (!this.#groupsUnderObservation.has(groupId)) {
      this.#observeGroup(group).catch((error: unknown) =>
        logger.write("error", "observation-failed", { message: String(error) })
      );
    }
  }

  #removeUnplacedGroups(placedGroupIds: ReadonlySet<string>): void {
    const { healthTable } = this.#context;
    for (const health of healthTable.getAll()) {
      if (!placedGroupIds.has(health.groupId)) {
        healthTable.remove(health.groupId);
        this.#observers.delete(health.groupId);
      }
    }
  }

  async #observeGroup(group: PlacedGroup): Promise<void> {
    const { placementHolder, vmTable, engineClient } = this.#context;
    const members = placementHolder.getMembers(group);
    if (members === undefined) {
      return;
    }
    const observer = this.#getObserver(group);
    const requestedAtMs = performance.now();
    this.#groupsUnderObservation.add(group.groupId);
    try {
      const statuses = await Promise.all(members.map(async (name) => {
        const address = vmTable.getVm(name)?.address;
        const result = address === undefined
          ? undefined
          : await engineClient.getStatus(address);
        return observer.recordStatusResult(name, result, requestedAtMs);
      }));
      this.#offerHealth(group, { statuses, observer, requestedAtMs });
    } finally {
      this.#groupsUnderObservation.delete(group.groupId);
    }
  }

  #getObserver(group: PlacedGroup): GroupObserver {
    let observer = this.#observers.get(group.groupId);
    if (observer === undefined || observer.generation !== group.generation) {
      observer = new GroupObserver(group.generation);
      this.#observers.set(group.groupId, observer);
    }
    return observer;
  }

  #offerHealth(
    group: PlacedGroup,
    observation: Observation,
  ): void {
    const { healthTable, settings } = this.#context;
    const { statuses, observer } = observation;
    const leader = statuses[0];
    const state = getGroupState(group, statuses);
    if (state === "ready") {
      observer.recordTokenInterval(getLongestTokenIntervalMs(statuses));
    }
    healthTable.offer({
      groupId: group.groupId,
      generation: group.generation,
      state,
      bootId: leader?.bootId ?? "",
      observer: settings.name,
      sequence: ++this.#sequence,
      ageMs: performance.now() - getObservedAtMs(state, observation),
      runningRequests: leader?.runningRequests ?? 0,
      heldTokens: leader?.heldTokens ?? 0,
      maxTokens: leader?.maxTokens ?? 0,
      tokenIntervalMs: leader?.tokenIntervalMs,
      straggler: observer.straggler,
      restarts: observer.restarts,
    });
  }
}

/**
 * Gets the health state of a group from its members' statuses.
 *
 * @param group - Placed group.
 * @param statuses - Status of each member, the leader first; undefined when a member did not answer.
 */
export function getGroupState(
  group: PlacedGroup,
  statuses: readonly (EngineStatus | undefined)[],
): GroupHealthState {
  if (!isLoaded(group, statuses)) {
    return "incomplete";
  }
  return statuses[0]!.state === "ready" ? "ready" : "cold";
}

/** A complete group's health is as old as the oldest status in it: an answer that waited while this process was paused, or the last status of a member that has stopped answering, does not make it young. */
function getObservedAtMs(
  state: GroupHealthState,
  { observer, requestedAtMs }: Observation,
): number {
  return state === "incomplete"
    ? requestedAtMs
    : Math.min(requestedAtMs, observer.getOldestStatusRequestMs());
}

function getLongestTokenIntervalMs(
  statuses: readonly (EngineStatus | undefined)[],
): number | undefined {
  const intervals = statuses.flatMap((s) => s?.tokenIntervalMs ?? []);
  return intervals.length > 0 ? Math.max(...intervals) : undefined;
}
