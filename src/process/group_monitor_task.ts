import type { EngineStatus } from "../connection/engine_client.ts";
import { delay } from "../shared/delay.ts";
import { getGroupMembers, type PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { GroupHealthState } from "./group_health.ts";

/** Task that asks the members of all groups for their status. */
export class GroupMonitorTask {
  readonly #context: DaemonContext;
  #sequence = 0;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      await this.observeOnce();
    } while (await delay(settings.statusIntervalMs, lifeCycle.signal));
  }

  /** Observes all groups once. */
  async observeOnce(): Promise<void> {
    const groups = this.#context.placementHolder.getGroups();
    await Promise.all(groups.map((group) => this.#observe(group)));
  }

  async #observe(group: PlacedGroup): Promise<void> {
    const { placementHolder, vmTable, engineClient } = this.#context;
    const placement = placementHolder.getPlacement(group.fabricDomain);
    if (placement === undefined) {
      return;
    }
    const members = getGroupMembers(placement.placement, group.groupId);
    const statuses = await Promise.all(members.map(async (name) => {
      const address = vmTable.getVm(name)?.address;
      return address === undefined
        ? undefined
        : (await engineClient.getStatus(address)).toMaybe().extract();
    }));
    this.#record(group, statuses);
  }

  #record(
    group: PlacedGroup,
    statuses: readonly (EngineStatus | undefined)[],
  ): void {
    const { healthTable, settings } = this.#context;
    const leader = statuses[0];
    healthTable.offer({
      groupId: group.groupId,
      generation: group.generation,
      state: getGroupState(group, statuses),
      bootId: leader?.bootId ?? "",
      observer: settings.name,
      sequence: ++this.#sequence,
      ageMs: 0,
      runningRequests: leader?.runningRequests ?? 0,
      heldTokens: leader?.heldTokens ?? 0,
      maxTokens: leader?.maxTokens ?? 0,
      tokenIntervalMs: leader?.tokenIntervalMs,
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
  const complete = statuses.length === group.sizeVms &&
    statuses.every((s) =>
      s !== undefined && s.groupId === group.groupId &&
      s.generation === group.generation &&
      (s.state === "cold" || s.state === "ready")
    );
  if (
    !complete || statuses[0]!.connectedMembers.length !== group.sizeVms
  ) {
    return "incomplete";
  }
  return statuses[0]!.state === "ready" ? "ready" : "cold";
}
