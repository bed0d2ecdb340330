import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";

/** Daemons up to which all exchange notices with all. */
const MAX_MESH_DAEMONS = 12;
/** Daemons of a zone for which there is one hub more. */
const DAEMONS_PER_HUB = 16;
/** Hubs of a zone at least, so that the loss of one leaves another in the zone. */
const MIN_HUBS_PER_ZONE = 2;

/** Daemons that one daemon exchanges notices with. */
export interface ExchangePartners {
  /**
   * - `hub`: the daemon exchanges with the other hubs and speaks for the daemons that call it.
   * - `member`: it exchanges with one hub.
   */
  readonly role: "hub" | "member";
  /** All partners of a hub; for a member the hubs in the order in which it tries them. */
  readonly partners: readonly DaemonDescription[];
}

/**
 * Chooses the partners of a daemon, so that the messages of a daemon stay bounded while the fleet grows: the few hubs of each zone exchange with each other, and every other daemon with one hub of its zone. All daemons of a small fleet are hubs.
 *
 * @param self - Daemon that looks for partners.
 * @param others - Other daemons that are not known to be lost.
 * @example
 * ```ts
 * const { role, partners } = choosePartners(own, board.listCandidates());
 * ```
 */
export function choosePartners(
  self: DaemonDescription,
  others: readonly DaemonDescription[],
): ExchangePartners {
  if (others.length < MAX_MESH_DAEMONS) {
    return { role: "hub", partners: others };
  }
  const hubs = chooseHubs([...others, self]);
  const otherHubs = hubs.filter(({ name }) => name !== self.name);
  if (otherHubs.length < hubs.length) {
    return { role: "hub", partners: otherHubs };
  }
  const byName = new Map(hubs.map((hub) => [hub.name, hub]));
  const hubsByPreference = getRendezvousOrder(self.name, [...byName.keys()])
    .map((name) => byName.get(name)!);
  return {
    role: "member",
    partners: [
      ...hubsByPreference.filter(({ zone }) => zone === self.zone),
      ...hubsByPreference.filter(({ zone }) => zone !== self.zone),
    ],
  };
}

/** Lists the hubs of all zones: the daemons with most processor time, since a hub answers many. */
function chooseHubs(
  daemons: readonly DaemonDescription[],
): DaemonDescription[] {
  const byZone = new Map<string, DaemonDescription[]>();
  for (const daemon of daemons) {
    byZone.set(daemon.zone, [...(byZone.get(daemon.zone) ?? []), daemon]);
  }
  return [...byZone.values()].flatMap((inZone) => {
    const count = Math.max(
      MIN_HUBS_PER_ZONE,
      Math.ceil(inZone.length / DAEMONS_PER_HUB),
    );
    return inZone.sort(compareHubFitness).slice(0, count);
  });
}

function compareHubFitness(a: DaemonDescription, b: DaemonDescription): number {
  return b.processorCores - a.processorCores || (a.name < b.name ? -1 : 1);
}
