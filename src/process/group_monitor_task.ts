import type { EngineStatus } from "../connection/engine_client.ts";
import { delay } from "../shared/delay.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { type GroupHealthState, HEALTH_EXPIRY_MS } from "./group_health.ts";
import { GroupObserver } from "./group_observer.ts";
import { MonitorSelector } from "./monitor_selector.ts";
import { isLoaded } from "./planner/domain_planner.ts";

/** Results of one round of status requests to the members of a group. */
interface Observation {
  /** Status of each member, the leader first; undefined for a member that counts as missing. */
  readonly statuses: readonly (EngineStatus | undefined)[];
  readonly observer: GroupObserver;
  /** Time of the requests, in milliseconds of `performance.now()`. */
  readonly requestedAtMs: number;
}

/** Age of a group's health above which a daemon that is not a monitor of the group requests the members' statuses itself, in milliseconds. It leaves time for one request that times out after 1 s and for another one before the health expires. */
export const REFRESH_AGE_MS = HEALTH_EXPIRY_MS / 2 - 100;

/** Requests the statuses of the members of groups and records the health of each group. */
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
      // Not awaited, so that a member that doesn't respond delays only the observations of its own group.
      this.observeOnce().catch((error: unknown) =>
        logger.write("error", "observation-failed", { message: String(error) })
      );
    } while (await delay(settings.statusIntervalMs, lifeCycle.signal));
  }

  /** Observes once each group that this daemon monitors or whose health is due for a refresh. A group whose last observation has not ended is skipped. */
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

  /** Gets whether a daemon that is not a monitor of a group has to observe it now. It observes as often as a monitor as long as the group is not known to be complete, or a member has not responded to this daemon's last status request. */
  #isRefreshDue(group: PlacedGroup): boolean {
    const health = this.#context.healthTable.getHealth(group.groupId);
    return health === undefined || health.generation !== group.generation ||
      health.state === "incomplete" ||
      performance.now() - health.observedAtMs > REFRESH_AGE_MS ||
      this.#observers.get(group.groupId)?.hasMissedStatus() === true;
  }

  /** Observes a group at once after another daemon reported it as incomplete, so that a lost process is detected before the next interval. A member that doesn't respond counts as missing only after three failed requests of this daemon. If one were enough, a daemon that is short of processor time could take the group out of service for all daemons. */
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
 * @param statuses - Status of each member, the leader first; undefined for a member that counts as missing.
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

/** Gets the time of an observation. The health of a complete group is as old as the oldest status in it, so that it doesn't appear newer because of a response that was read late after a pause of this process, or because of the last status of a member that has stopped responding. */
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
