import type { PlacedGroup } from "../version/placement.ts";
import { listHomes } from "./admission/home_selection.ts";
import type { VmTable } from "./vm_table.ts";

/** Number of a group's homes (daemons that own a share of its capacity) that request its members' statuses in each interval. */
export const MONITORS_PER_GROUP = 2;

/** Properties of a group that determine its monitors. */
export type MonitoredGroup = Pick<PlacedGroup, "groupId" | "zone">;

/** Options of the monitor selector. */
export interface MonitorSelectorOptions {
  /** Name of this daemon. */
  readonly name: string;
  readonly vmTable: VmTable;
  /** Maximum number of entry VMs with which every daemon is a monitor of every group. */
  readonly fullObservationDaemons: number;
}

/** Chooses the monitors of each group: the daemons that request its members' statuses in each interval. */
export class MonitorSelector {
  readonly #options: MonitorSelectorOptions;
  readonly #monitorsByGroup = new Map<string, string[]>();
  #vmListDigest: number | undefined;

  constructor(options: MonitorSelectorOptions) {
    this.#options = options;
  }

  /**
   * Gets whether this daemon is a monitor of a group.
   *
   * @param group - Group to observe.
   */
  isMonitor(group: MonitoredGroup): boolean {
    const { vmTable, fullObservationDaemons, name } = this.#options;
    return vmTable.getEntryVms().length <= fullObservationDaemons ||
      this.getMonitors(group).includes(name);
  }

  /**
   * Gets the monitors of a group: its first homes among the live entry VMs. The first home is one of them because it runs the group's warm-up limiter and needs recent load figures.
   *
   * @param group - Group to observe.
   */
  getMonitors(group: MonitoredGroup): string[] {
    const { vmTable } = this.#options;
    if (vmTable.getDigest() !== this.#vmListDigest) {
      this.#vmListDigest = vmTable.getDigest();
      this.#monitorsByGroup.clear();
    }
    const key = `${group.groupId} ${group.zone}`;
    let monitors = this.#monitorsByGroup.get(key);
    if (monitors === undefined) {
      const liveVms = vmTable.getEntryVms().filter((vm) => vm.state === "live");
      monitors = listHomes(group, liveVms).slice(0, MONITORS_PER_GROUP);
      this.#monitorsByGroup.set(key, monitors);
    }
    return [...monitors];
  }
}
