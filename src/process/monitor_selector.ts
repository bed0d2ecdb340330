import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";
import type { VmTable } from "./vm_table.ts";

/** Number of a group's homes that ask its members for their status. */
export const MONITORS_PER_GROUP = 2;

/** Options of the selector. */
export interface MonitorSelectorOptions {
  /** Name of this daemon. */
  readonly name: string;
  readonly vmTable: VmTable;
  /** Whether every daemon observes every group, since health is not spread by peers. */
  readonly everyDaemonObserves: boolean;
}

/** Chooses the daemons that observe a group. */
export class MonitorSelector {
  readonly #options: MonitorSelectorOptions;

  constructor(options: MonitorSelectorOptions) {
    this.#options = options;
  }

  /**
   * Gets whether this daemon asks a group's members for their status.
   *
   * @param groupId - Group to observe.
   */
  isMonitor(groupId: string): boolean {
    return this.#options.everyDaemonObserves ||
      this.getMonitors(groupId).includes(this.#options.name);
  }

  /**
   * Gets the daemons that observe a group: its first homes among the live entry VMs.
   *
   * @param groupId - Group to observe.
   */
  getMonitors(groupId: string): string[] {
    const entries = this.#options.vmTable.getEntryVms()
      .filter((vm) => vm.state === "live")
      .map((vm) => vm.name);
    return getRendezvousOrder(groupId, entries).slice(0, MONITORS_PER_GROUP);
  }
}
