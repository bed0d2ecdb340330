import type { Vm } from "../connection/vm_directory.ts";
import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";

/** Number of other daemons up to which every daemon exchanges with every other. */
export const MAX_FULL_MESH_PEERS = 8;
/** Most daemons that read the store. */
export const MAX_STORE_READERS = 64;
const MIN_READERS_PER_ZONE = 2;
const READERS_PER_DAEMON = 2;

/** A daemon and the entry VMs that it knows of. */
export interface PeerSelectionInput {
  readonly self: string;
  readonly zone: string;
  readonly entryVms: readonly Vm[];
}

/**
 * Gets the entry VMs that read the store: at most 64 unless 2 a zone are more, and as many in each zone.
 *
 * @param entryVms - Entry VMs of the VM list.
 * @example
 * ```ts
 * const reads = chooseStoreReaders(vmTable.getEntryVms()).has("entry-1");
 * ```
 */
export function chooseStoreReaders(
  entryVms: readonly Vm[],
): ReadonlySet<string> {
  const live = entryVms.filter((vm) => vm.state === "live");
  const readers = new Set<string>();
  const zones = [...new Set(live.map((vm) => vm.zone))].sort();
  const perZone = live.length <= MAX_STORE_READERS ? live.length : Math.max(
    MIN_READERS_PER_ZONE,
    Math.floor(MAX_STORE_READERS / zones.length),
  );
  for (const zone of zones) {
    const names = live.filter((vm) => vm.zone === zone).map((vm) => vm.name);
    for (
      const name of getRendezvousOrder("store-reader", names)
        .slice(0, perZone)
    ) {
      readers.add(name);
    }
  }
  return readers;
}

/**
 * Gets the peers that a daemon exchanges with. A small deployment is a full mesh. A larger one uses the next daemon and a chord of the zone's ring, one daemon in each of two other zones, and two store readers.
 *
 * @param input - The daemon and the entry VMs.
 * @example
 * ```ts
 * const peers = choosePeers({ self: "entry-1", zone: "zone-a", entryVms });
 * ```
 */
export function choosePeers(input: PeerSelectionInput): Vm[] {
  const others = input.entryVms.filter((vm) => vm.name !== input.self);
  if (others.length <= MAX_FULL_MESH_PEERS) {
    return others;
  }
  const names = new Set([
    ...getRingPeers(input),
    ...getOtherZonePeers(input),
    ...chooseReaderPeers(input),
  ]);
  return others.filter((vm) => names.has(vm.name));
}

function getRingPeers(input: PeerSelectionInput): string[] {
  const ring = getZoneRing(input.zone, input);
  const index = ring.indexOf(input.self);
  const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
  return [1, chord].map((step) => ring[(index + step) % ring.length]);
}

/** Gives each daemon of a zone its own pair of zones and position in them, so that every daemon is chosen equally often when the zones have the same size. Store readers are left to the daemons that ask them for confirmations. */
function getOtherZonePeers(input: PeerSelectionInput): string[] {
  const zones = [...new Set(input.entryVms.map((vm) => vm.zone))]
    .concat(input.zone).sort();
  const zoneOrder = [...new Set(zones)];
  const readers = chooseStoreReaders(input.entryVms);
  const ownPosition = getZoneRing(input.zone, input).indexOf(input.self);
  const offsets = new Set(
    [0, 1].map((step) =>
      1 + (ownPosition + step) % Math.max(1, zoneOrder.length - 1)
    ),
  );
  return [...offsets].flatMap((offset) => {
    const zone =
      zoneOrder[(zoneOrder.indexOf(input.zone) + offset) % zoneOrder.length];
    const ring = getZoneRing(zone, input);
    const nonReaders = ring.filter((name) => !readers.has(name));
    const candidates = nonReaders.length > 0 ? nonReaders : ring;
    const position = ownPosition * getCoprimeStride(candidates.length) + offset;
    return zone === input.zone
      ? []
      : [candidates[position % candidates.length]];
  });
}

/** Gets a step through a ring that meets every position once. Links between equal positions would leave the daemons of two rings as far apart as in one. */
function getCoprimeStride(length: number): number {
  let stride = Math.ceil(Math.sqrt(length)) + 1;
  while (getGreatestCommonDivisor(stride, length) !== 1) {
    stride++;
  }
  return stride;
}

function getGreatestCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : getGreatestCommonDivisor(b, a % b);
}

/** Gets the daemons of a zone in the order of its ring. */
function getZoneRing(zone: string, input: PeerSelectionInput): string[] {
  const names = input.entryVms.filter((vm) => vm.zone === zone)
    .map((vm) => vm.name)
    .concat(zone === input.zone ? input.self : []);
  return getRendezvousOrder("ring", [...new Set(names)]);
}

/**
 * Gets the names of the peers that a daemon asks often for their store confirmations: two readers of its zone. Where every daemon reads the store, all peers are.
 *
 * @param input - The daemon and the entry VMs.
 * @example
 * ```ts
 * const readers = new Set(chooseReaderPeers({ self, zone, entryVms }));
 * ```
 */
export function chooseReaderPeers(input: PeerSelectionInput): string[] {
  const readers = chooseStoreReaders(input.entryVms);
  if (readers.has(input.self)) {
    return chooseReadersForReader(input, readers);
  }
  return chooseReadersForNonReader(input, readers);
}

/** A reader that the store does not answer depends on its peers; with few readers, every peer is one. */
function chooseReadersForReader(
  input: PeerSelectionInput,
  readers: ReadonlySet<string>,
): string[] {
  const names = [...getRingPeers(input), ...getOtherZonePeers(input)];
  return names.filter((name) => readers.has(name));
}

function chooseReadersForNonReader(
  input: PeerSelectionInput,
  readers: ReadonlySet<string>,
): string[] {
  const zoneReaders = input.entryVms.filter((vm) =>
    vm.zone === input.zone && readers.has(vm.name)
  );
  const candidates = zoneReaders.length >= READERS_PER_DAEMON
    ? zoneReaders
    : input.entryVms.filter((vm) => readers.has(vm.name));
  return assignReadersEvenly(input, candidates.map((vm) => vm.name));
}

/** Spreads the zone's other daemons evenly over the readers: a hash alone would give some readers twice the mean. */
function assignReadersEvenly(
  input: PeerSelectionInput,
  readers: readonly string[],
): string[] {
  const nonReaders = input.entryVms.filter((vm) =>
    vm.zone === input.zone && !readers.includes(vm.name)
  ).map((vm) => vm.name);
  const position = getRendezvousOrder("reader-share", [
    ...new Set([...nonReaders, input.self]),
  ]).indexOf(input.self);
  const readerOrder = getRendezvousOrder("reader-share", readers);
  return readerOrder.slice(0, READERS_PER_DAEMON).map((_, index) =>
    readerOrder[(position + index) % readerOrder.length]
  );
}
