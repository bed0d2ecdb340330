import type { EngineStatus } from "../connection/engine_client.ts";
import { delay } from "../shared/delay.ts";
import { getGroupMembers, type PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { GroupHealthState } from "./group_health.ts";
import { GroupObserver } from "./group_observer.ts";
import { MonitorSelector } from "./monitor_selector.ts";
import { isLoaded } from "./planner/domain_planner.ts";

/** Task that asks the members of groups for their status. */
export class GroupMonitorTask {
  readonly #context: DaemonContext;
  readonly #selector: MonitorSelector;
  readonly #observers = new Map<string, GroupObserver>();
  readonly #busy = new Set<string>();
  #sequence = 0;

  constructor(context: DaemonContext, selector?: MonitorSelector) {
    this.#context = context;
    this.#selector = selector ?? new MonitorSelector({
      name: context.settings.name,
      vmTable: context.vmTable,
      everyDaemonObserves: true,
    });
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
    this.#removeOthers(new Set(groups.map((group) => group.groupId)));
    await Promise.all(
      groups.filter((group) => this.#selector.isMonitor(group.groupId))
        .filter((group) => !this.#busy.has(group.groupId))
        .map((group) => this.#observe(group)),
    );
  }

  #removeOthers(placed: ReadonlySet<string>): void {
    const { healthTable } = this.#context;
    for (const health of healthTable.getAll()) {
      if (!placed.has(health.groupId)) {
        healthTable.remove(health.groupId);
        this.#observers.delete(health.groupId);
      }
    }
  }

  async #observe(group: PlacedGroup): Promise<void> {
    const { placementHolder, vmTable, engineClient } = this.#context;
    const placement = placementHolder.getPlacement(group.fabricDomain);
    if (placement === undefined) {
      return;
    }
    const observer = this.#getObserver(group);
    const members = getGroupMembers(placement.placement, group.groupId);
    this.#busy.add(group.groupId);
    try {
      const statuses = await Promise.all(members.map(async (name) => {
        const address = vmTable.getVm(name)?.address;
        const result = address === undefined
          ? undefined
          : await engineClient.getStatus(address);
        return observer.record(name, result);
      }));
      this.#record(group, statuses, observer);
    } finally {
      this.#busy.delete(group.groupId);
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

  #record(
    group: PlacedGroup,
    statuses: readonly (EngineStatus | undefined)[],
    observer: GroupObserver,
  ): void {
    const { healthTable, settings } = this.#context;
    const leader = statuses[0];
    const state = getGroupState(group, statuses);
    if (state === "ready") {
      observer.recordInterval(getLongestInterval(statuses));
    }
    healthTable.offer({
      groupId: group.groupId,
      generation: group.generation,
      state,
      bootId: leader?.bootId ?? "",
      observer: settings.name,
      sequence: ++this.#sequence,
      ageMs: 0,
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

function getLongestInterval(
  statuses: readonly (EngineStatus | undefined)[],
): number | undefined {
  const intervals = statuses.flatMap((s) => s?.tokenIntervalMs ?? []);
  return intervals.length > 0 ? Math.max(...intervals) : undefined;
}
