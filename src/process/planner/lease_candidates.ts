import type { Vm } from "../../connection/vm_directory.ts";
import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";

/** Number of daemons in a zone that may acquire the lease of the zone's planner. */
export const ZONE_CANDIDATES = 3;
/** Number of daemons in other zones that may acquire the lease after a delay. */
export const OTHER_ZONE_CANDIDATES = 2;

/**
 * Gets the time in milliseconds that a daemon waits before it acquires a free lease, or undefined when it is not a candidate. The number of candidates is fixed, so that the number of lease reads does not grow with the number of daemons.
 *
 * @param zone - Zone of the planner.
 * @param options - Name of the daemon, the listed entry VMs and the duration of the lease in milliseconds.
 */
export function getAcquisitionDelayMs(
  zone: string,
  options: { name: string; entryVms: readonly Vm[]; durationMs: number },
): number | undefined {
  const liveVms = options.entryVms.filter((vm) => vm.state === "live");
  const zoneVmNames = liveVms.filter((vm) => vm.zone === zone).map((vm) =>
    vm.name
  );
  const otherVmNames = liveVms.filter((vm) => vm.zone !== zone).map((vm) =>
    vm.name
  );
  const key = `planner-${zone}`;
  if (
    getRendezvousOrder(key, zoneVmNames).slice(0, ZONE_CANDIDATES)
      .includes(options.name)
  ) {
    return 0;
  }
  return getRendezvousOrder(key, otherVmNames).slice(0, OTHER_ZONE_CANDIDATES)
      .includes(options.name)
    ? options.durationMs * 2
    : undefined;
}
