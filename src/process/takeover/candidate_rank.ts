import type { DaemonDescription } from "../../connection/peer_notice.ts";
import { choosePartners } from "../fleet/exchange_topology.ts";

/**
 * Gets the number of daemons that try to take over the lease before this one. The candidates are the hubs that remain without the holder: the first hubs of all zones, then the second ones, and so on.
 *
 * @param self - This daemon.
 * @param options - Other daemons that are not known to be lost, and the name of the holder whose process has ended.
 * @returns Undefined when this daemon is not a hub.
 */
export function getCandidateRank(
  self: DaemonDescription,
  options: { peers: readonly DaemonDescription[]; holder: string },
): number | undefined {
  const others = options.peers.filter(({ name }) => name !== options.holder);
  const { role, partners, precedingHubs } = choosePartners(self, others);
  if (role !== "hub") {
    return undefined;
  }
  const ownIndex = precedingHubs.length;
  const hubCounts = new Map<string, number>();
  let rank = ownIndex;
  for (const { zone } of partners) {
    const index = hubCounts.get(zone) ?? 0;
    hubCounts.set(zone, index + 1);
    const isEarlier = index < ownIndex ||
      (index === ownIndex && zone < self.zone);
    rank += zone !== self.zone && isEarlier ? 1 : 0;
  }
  return rank;
}
