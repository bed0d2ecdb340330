import type { Vm } from "../connection/vm_directory.ts";
import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";

/** Maximum number of other daemons with which the daemons form a full mesh. */
export const MAX_FULL_MESH_PEERS = 8;
/** Maximum number of daemons that read the store, unless the minimum per zone requires more. */
export const MAX_STORE_READERS = 64;
/** Minimum number of store readers in each zone, as far as it has that many live daemons. */
const MIN_READERS_PER_ZONE = 2;
/** Number of store readers among the peers of a daemon that doesn't read the store. */
const READERS_PER_DAEMON = 2;

/** A daemon and the entry VMs of its VM list. */
export interface PeerSelectionInput {
  /** Name of the daemon. */
  readonly ownName: string;
  /** Zone of the daemon. */
  readonly zone: string;
  readonly entryVms: readonly Vm[];
}

/**
 * Gets the names of the entry VMs that read the store. Up to 64 live entry VMs all do. In a larger deployment each zone has the same number of readers, which add up to at most 64 unless 2 per zone are more.
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
  const liveVms = entryVms.filter((vm) => vm.state === "live");
  const readers = new Set<string>();
  const zones = [...new Set(liveVms.map((vm) => vm.zone))].sort();
  const readersPerZone = liveVms.length <= MAX_STORE_READERS
    ? liveVms.length
    : Math.max(
      MIN_READERS_PER_ZONE,
      Math.floor(MAX_STORE_READERS / zones.length),
    );
  for (const zone of zones) {
    const names = liveVms.filter((vm) => vm.zone === zone).map((vm) => vm.name);
    for (
      const name of getRendezvousOrder("store-reader", names)
        .slice(0, readersPerZone)
    ) {
      readers.add(name);
    }
  }
  return readers;
}

/**
 * Gets the peers with which a daemon exchanges state. A small deployment is a full mesh. In a larger one, the peers are the successor and one chord in the ring of the daemon's zone, one daemon in each of two other zones and, unless the daemon reads the store itself, two store readers.
 *
 * @param input - The daemon and the entry VMs.
 * @example
 * ```ts
 * const peers = choosePeers({ ownName: "entry-1", zone: "zone-a", entryVms });
 * ```
 */
export function choosePeers(input: PeerSelectionInput): Vm[] {
  const others = input.entryVms.filter((vm) => vm.name !== input.ownName);
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
  const index = ring.indexOf(input.ownName);
  const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
  return [1, chord].map((step) => ring[(index + step) % ring.length]);
}

/** Gets one peer in each of two other zones. The zones and the positions in their rings depend on the daemon's position in its own zone's ring, so that every daemon is chosen equally often if the zones have the same size. Store readers are not chosen where a zone has other daemons, because daemons already exchange with them for their confirmations. */
function getOtherZonePeers(input: PeerSelectionInput): string[] {
  const zones = [...new Set(input.entryVms.map((vm) => vm.zone))]
    .concat(input.zone).sort();
  const zoneOrder = [...new Set(zones)];
  const readers = chooseStoreReaders(input.entryVms);
  const ownPosition = getZoneRing(input.zone, input).indexOf(input.ownName);
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

/** Gets a step that is coprime to the length of a ring, so that repeating it visits every position once. If the daemons at equal positions of two rings were linked, the longest path would be no shorter than within one ring. */
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

/** Gets the names of the daemons of a zone in the order of its ring. */
function getZoneRing(zone: string, input: PeerSelectionInput): string[] {
  const names = input.entryVms.filter((vm) => vm.zone === zone)
    .map((vm) => vm.name)
    .concat(zone === input.zone ? input.ownName : []);
  return getRendezvousOrder("ring", [...new Set(names)]);
}

/**
 * Gets the names of the store readers with which a daemon exchanges often to receive their store confirmations. A daemon that doesn't read the store has two of them, in its own zone if that has two readers. For a store reader, they are the readers among its peers in the ring of its zone and in other zones.
 *
 * @param input - The daemon and the entry VMs.
 * @example
 * ```ts
 * const readers = new Set(chooseReaderPeers({ ownName, zone, entryVms }));
 * ```
 */
export function chooseReaderPeers(input: PeerSelectionInput): string[] {
  const readers = chooseStoreReaders(input.entryVms);
  if (readers.has(input.ownName)) {
    return chooseReadersForReader(input, readers);
  }
  return chooseReadersForNonReader(input, readers);
}

/** Chooses the store readers among the peers of a store reader, since a reader that can't reach the store depends on their confirmations. If every daemon reads the store, these are all its peers in the ring of its zone and in other zones. */
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

/** Assigns the zone's other daemons evenly to the readers. A hash alone would assign twice the mean number to some readers. */
function assignReadersEvenly(
  input: PeerSelectionInput,
  readers: readonly string[],
): string[] {
  const nonReaders = input.entryVms.filter((vm) =>
    vm.zone === input.zone && !readers.includes(vm.name)
  ).map((vm) => vm.name);
  const ownPosition = getRendezvousOrder("reader-share", [
    ...new Set([...nonReaders, input.ownName]),
  ]).indexOf(input.ownName);
  const readerOrder = getRendezvousOrder("reader-share", readers);
  return readerOrder.slice(0, READERS_PER_DAEMON).map((_, index) =>
    readerOrder[(ownPosition + index) % readerOrder.length]
  );
}
