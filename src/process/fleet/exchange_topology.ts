import { getRendezvousOrder } from "../../shared/rendezvous_hash.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";

/** Daemons up to which all exchange notices with all. */
const MESH_SIZE = 12;
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
 * @param own - Daemon that looks for partners.
 * @param others - Other daemons that are not known to be lost.
 * @example
 * ```ts
 * const { role, partners } = choosePartners(own, board.listCandidates());
 * ```
 */
export function choosePartners(
  own: DaemonDescription,
  others: readonly DaemonDescription[],
): ExchangePartners {
  if (others.length < MESH_SIZE) {
    return { role: "hub", partners: others };
  }
  const hubs = listHubs([...others, own]);
  const otherHubs = hubs.filter(({ name }) => name !== own.name);
  if (otherHubs.length < hubs.length) {
    return { role: "hub", partners: otherHubs };
  }
  const byName = new Map(hubs.map((hub) => [hub.name, hub]));
  const order = getRendezvousOrder(own.name, [...byName.keys()])
    .map((name) => byName.get(name)!);
  return {
    role: "member",
    partners: [
      ...order.filter(({ zone }) => zone === own.zone),
      ...order.filter(({ zone }) => zone !== own.zone),
    ],
  };
}

/** Lists the hubs of all zones: the daemons with most processor time, since a hub answers many. */
function listHubs(daemons: readonly DaemonDescription[]): DaemonDescription[] {
  const byZone = new Map<string, DaemonDescription[]>();
  for (const daemon of daemons) {
    byZone.set(daemon.zone, [...(byZone.get(daemon.zone) ?? []), daemon]);
  }
  return [...byZone.values()].flatMap((inZone) => {
    const count = Math.max(
      MIN_HUBS_PER_ZONE,
      Math.ceil(inZone.length / DAEMONS_PER_HUB),
    );
    return inZone.sort(compareFitness).slice(0, count);
  });
}

function compareFitness(a: DaemonDescription, b: DaemonDescription): number {
  return b.processorCores - a.processorCores || (a.name < b.name ? -1 : 1);
}
