import type { Vm } from "../../connection/vm_directory.ts";
import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";

/** Daemons of a zone that compete for the lease of its planner. */
export const ZONE_CANDIDATES = 3;
/** Daemons of other zones that compete after a delay. */
export const OTHER_ZONE_CANDIDATES = 2;

/**
 * Gets the time for which a daemon leaves a free lease to others, or undefined when it does not compete. The number of competitors is bounded, so that the reads of the lease do not grow with the fleet.
 *
 * @param zone - Zone of the planner.
 * @param options - Name of the daemon, the listed entry VMs and the lease's duration.
 */
export function getAcquisitionDelayMs(
  zone: string,
  options: { name: string; entryVms: readonly Vm[]; durationMs: number },
): number | undefined {
  const liveVms = options.entryVms.filter((vm) => vm.state === "live");
  const zoneNames = liveVms.filter((vm) => vm.zone === zone).map((vm) =>
    vm.name
  );
  const otherNames = liveVms.filter((vm) => vm.zone !== zone).map((vm) =>
    vm.name
  );
  const key = `planner-${zone}`;
  if (
    getRendezvousOrder(key, zoneNames).slice(0, ZONE_CANDIDATES)
      .includes(options.name)
  ) {
    return 0;
  }
  return getRendezvousOrder(key, otherNames).slice(0, OTHER_ZONE_CANDIDATES)
      .includes(options.name)
    ? options.durationMs * 2
    : undefined;
}
