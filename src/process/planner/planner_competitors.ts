import type { Vm } from "../../connection/vm_directory.ts";
import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";

/** Daemons of a zone that compete for the lease of its planner. */
export const ZONE_COMPETITORS = 3;
/** Daemons of other zones that compete after a delay. */
export const OTHER_COMPETITORS = 2;

/**
 * Gets the time for which a daemon leaves a free lease to others, or undefined when it does not compete. The number of competitors is bounded, so that the reads of the lease do not grow with the fleet.
 *
 * @param zone - Zone of the planner.
 * @param options - Name of the daemon, the listed entry VMs and the lease's duration.
 */
export function getTakeOverDelayMs(
  zone: string,
  options: { name: string; entryVms: readonly Vm[]; durationMs: number },
): number | undefined {
  const live = options.entryVms.filter((vm) => vm.state === "live");
  const inZone = live.filter((vm) => vm.zone === zone).map((vm) => vm.name);
  const others = live.filter((vm) => vm.zone !== zone).map((vm) => vm.name);
  const key = `planner-${zone}`;
  if (
    getRendezvousOrder(key, inZone).slice(0, ZONE_COMPETITORS)
      .includes(options.name)
  ) {
    return 0;
  }
  return getRendezvousOrder(key, others).slice(0, OTHER_COMPETITORS)
      .includes(options.name)
    ? options.durationMs * 2
    : undefined;
}
