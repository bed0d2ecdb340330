import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";

/** Largest number of daemons in a fleet where every daemon exchanges notices with every other. */
const MAX_MESH_DAEMONS = 12;
/** Number of daemons of a zone for each of its hubs. */
const DAEMONS_PER_HUB = 16;
/** Minimum number of hubs in a zone, so that another hub remains after the loss of one. */
const MIN_HUBS_PER_ZONE = 2;

/** Role of a daemon in the exchange of notices, and its partners. */
export interface ExchangePartners {
  /**
   * - `hub`: the daemon exchanges notices with the other hubs, and relays data between them and its members.
   * - `member`: the daemon exchanges notices with one hub only.
   */
  readonly role: "hub" | "member";
  /** For a hub, all its partners; for a member, the hubs in the order in which it tries them. */
  readonly partners: readonly DaemonDescription[];
  /** For a hub, the names of the hubs of its zone that come before it; the first hub of a zone reads the store for the others. */
  readonly precedingHubs: readonly string[];
}

/**
 * Chooses the partners of a daemon. To bound the number of messages per daemon in a growing fleet, each zone has a few hubs, which exchange with all other hubs. Every other daemon exchanges with one hub, of its own zone if possible. In a small fleet all daemons are hubs.
 *
 * @param self - Daemon whose partners are chosen.
 * @param others - Other daemons that are not known to be lost.
 * @example
 * ```ts
 * const { role, partners } = choosePartners(self, peerTable.listLivePeers());
 * ```
 */
export function choosePartners(
  self: DaemonDescription,
  others: readonly DaemonDescription[],
): ExchangePartners {
  const hubs = others.length < MAX_MESH_DAEMONS
    ? [...others, self].sort(compareHubFitness)
    : chooseHubs([...others, self]);
  const ownIndex = hubs.findIndex(({ name }) => name === self.name);
  if (ownIndex >= 0) {
    const precedingHubs = hubs.slice(0, ownIndex).filter(({ zone }) =>
      zone === self.zone
    ).map(({ name }) => name);
    return {
      role: "hub",
      partners: hubs.filter((_, index) => index !== ownIndex),
      precedingHubs,
    };
  }
  const hubsByName = new Map(hubs.map((hub) => [hub.name, hub]));
  const hubsByPreference = getRendezvousOrder(self.name, [...hubsByName.keys()])
    .map((name) => hubsByName.get(name)!);
  return {
    role: "member",
    precedingHubs: [],
    partners: [
      ...hubsByPreference.filter(({ zone }) => zone === self.zone),
      ...hubsByPreference.filter(({ zone }) => zone !== self.zone),
    ],
  };
}

/** Chooses the hubs of all zones: the daemons with the most processor cores, since a hub handles the notices of many daemons. */
function chooseHubs(
  daemons: readonly DaemonDescription[],
): DaemonDescription[] {
  const daemonsByZone = new Map<string, DaemonDescription[]>();
  for (const daemon of daemons) {
    const zoneDaemons = daemonsByZone.get(daemon.zone);
    if (zoneDaemons === undefined) {
      daemonsByZone.set(daemon.zone, [daemon]);
    } else {
      zoneDaemons.push(daemon);
    }
  }
  return [...daemonsByZone.values()].flatMap((zoneDaemons) => {
    const count = Math.max(
      MIN_HUBS_PER_ZONE,
      Math.ceil(zoneDaemons.length / DAEMONS_PER_HUB),
    );
    return zoneDaemons.sort(compareHubFitness).slice(0, count);
  });
}

function compareHubFitness(a: DaemonDescription, b: DaemonDescription): number {
  return b.processorCores - a.processorCores || (a.name < b.name ? -1 : 1);
}
