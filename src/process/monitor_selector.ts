import type { PlacedGroup } from "../version/placement.ts";
import { listHomes } from "./admission/home_selection.ts";
import type { VmTable } from "./vm_table.ts";

/** Number of a group's homes that ask its members for their status in each interval. */
export const MONITORS_PER_GROUP = 2;

/** Group whose monitors are sought. */
export type MonitoredGroup = Pick<PlacedGroup, "groupId" | "zone">;

/** Options of the selector. */
export interface MonitorSelectorOptions {
  /** Name of this daemon. */
  readonly name: string;
  readonly vmTable: VmTable;
  /** Number of entry VMs up to which every daemon is a monitor of every group. */
  readonly fullObservationDaemons: number;
}

/** Chooses the daemons that observe a group in each interval. */
export class MonitorSelector {
  readonly #options: MonitorSelectorOptions;
  readonly #monitorsByGroup = new Map<string, string[]>();
  #vmListDigest: number | undefined;

  constructor(options: MonitorSelectorOptions) {
    this.#options = options;
  }

  /**
   * Gets whether this daemon asks a group's members for their status in each interval.
   *
   * @param group - Group to observe.
   */
  isMonitor(group: MonitoredGroup): boolean {
    const { vmTable, fullObservationDaemons, name } = this.#options;
    return vmTable.getEntryVms().length <= fullObservationDaemons ||
      this.getMonitors(group).includes(name);
  }

  /**
   * Gets the monitors of a group: its first homes among the live entry VMs. The first home runs the group's cold ramp and needs young load figures.
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
