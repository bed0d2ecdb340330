import { delay } from "../shared/delay.ts";
import type { PlacedGroup } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Task that moves this daemon's streams to other groups when a zone or group stops accepting new work. */
export class OutOfServiceTask {
  readonly #context: DaemonContext;
  #outOfServiceZones = new Set<string>();
  #outOfServiceGroupIds = new Set<string>();

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle, configHolder, placementHolder } =
      this.#context;
    configHolder.onChange(() => this.checkOnce());
    placementHolder.onChange(() => this.checkOnce());
    do {
      this.checkOnce();
    } while (await delay(settings.statusIntervalMs, lifeCycle.signal));
  }

  /** Moves the streams of the zones and groups that have stopped accepting new work since the last check. */
  checkOnce(): void {
    const { configHolder, placementHolder, zonePolicy, inFlightStreams } =
      this.#context;
    const zones = configHolder.getCurrent()?.document.zones ?? [];
    const outOfServiceZones = new Set(
      zones.map((z) => z.name).filter((z) => !zonePolicy.takesNewWork(z)),
    );
    for (const zone of outOfServiceZones) {
      if (!this.#outOfServiceZones.has(zone)) {
        this.#record("zone-out-of-service", zone);
        inFlightStreams.moveStreamsFromZone(zone);
      }
    }
    this.#outOfServiceZones = outOfServiceZones;
    const outOfServiceGroupIds = new Set(
      placementHolder.getGroups().filter((g) => this.#isOutOfService(g))
        .map((g) => g.groupId),
    );
    for (const groupId of outOfServiceGroupIds) {
      if (!this.#outOfServiceGroupIds.has(groupId)) {
        this.#record("group-out-of-service", groupId);
        inFlightStreams.moveStreamsFromGroup(groupId);
      }
    }
    this.#outOfServiceGroupIds = outOfServiceGroupIds;
  }

  /** Gets whether a group is being drained or has a member that is drained or leaving. */
  #isOutOfService(group: PlacedGroup): boolean {
    const { configHolder, placementHolder, vmTable } = this.#context;
    const drainedVms = configHolder.getCurrent()?.document.drainedVms ?? [];
    const members = placementHolder.getMembers(group) ?? [];
    return group.phase === "draining" ||
      members.some((name) =>
        drainedVms.includes(name) || vmTable.getVm(name)?.state === "leaving"
      );
  }

  #record(event: string, name: string): void {
    this.#context.events.record("info", { event, fields: { name } });
  }
}
