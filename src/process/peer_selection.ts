import type { Vm } from "../connection/vm_directory.ts";
import { getRendezvousOrder } from "../shared/rendezvous_hash.ts";

/** Number of other daemons up to which every daemon exchanges with every other. */
export const MAX_FULL_MESH_PEERS = 8;
/** Most daemons that read the store. */
export const MAX_STORE_READERS = 64;
const MIN_READERS_PER_ZONE = 2;
const READER_PEERS = 2;

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
    ...getRemotePeers(input),
    ...chooseReaderPeers(input),
  ]);
  return others.filter((vm) => names.has(vm.name));
}

function getRingPeers(input: PeerSelectionInput): string[] {
  const order = getRing(input.zone, input);
  const index = order.indexOf(input.self);
  const chord = Math.max(2, Math.round(Math.sqrt(order.length)));
  return [1, chord].map((step) => order[(index + step) % order.length]);
}

/** Gives each daemon of a zone its own pair of zones and position in them, so that every daemon is chosen equally often when the zones have the same size. Store readers are left to the daemons that ask them for confirmations. */
function getRemotePeers(input: PeerSelectionInput): string[] {
  const zones = [...new Set(input.entryVms.map((vm) => vm.zone))]
    .concat(input.zone).sort();
  const order = [...new Set(zones)];
  const readers = chooseStoreReaders(input.entryVms);
  const remote = getRing(input.zone, input).indexOf(input.self);
  const offsets = new Set(
    [0, 1].map((step) => 1 + (remote + step) % Math.max(1, order.length - 1)),
  );
  return [...offsets].flatMap((offset) => {
    const zone = order[(order.indexOf(input.zone) + offset) % order.length];
    const ring = getRing(zone, input);
    const eased = ring.filter((name) => !readers.has(name));
    const names = eased.length > 0 ? eased : ring;
    const position = remote * getStride(names.length) + offset;
    return zone === input.zone ? [] : [names[position % names.length]];
  });
}

/** Gets a step through a ring that meets every position once. Links between equal positions would leave the daemons of two rings as far apart as in one. */
function getStride(length: number): number {
  let stride = Math.ceil(Math.sqrt(length)) + 1;
  while (getCommonDivisor(stride, length) !== 1) {
    stride++;
  }
  return stride;
}

function getCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : getCommonDivisor(b, a % b);
}

/** Gets the daemons of a zone in the order of its ring. */
function getRing(zone: string, input: PeerSelectionInput): string[] {
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
    return choosePeersOfReader(input, readers);
  }
  return getReaderPeers(input, readers);
}

/** A reader that the store does not answer depends on its peers; with few readers, every peer is one. */
function choosePeersOfReader(
  input: PeerSelectionInput,
  readers: ReadonlySet<string>,
): string[] {
  const names = [...getRingPeers(input), ...getRemotePeers(input)];
  return names.filter((name) => readers.has(name));
}

function getReaderPeers(
  input: PeerSelectionInput,
  readers: ReadonlySet<string>,
): string[] {
  const own = input.entryVms.filter((vm) =>
    vm.zone === input.zone && readers.has(vm.name)
  );
  const near = own.length >= READER_PEERS
    ? own
    : input.entryVms.filter((vm) => readers.has(vm.name));
  return getEvenShare(input, near.map((vm) => vm.name));
}

/** Spreads the zone's other daemons evenly over the readers: a hash alone would give some readers twice the mean. */
function getEvenShare(
  input: PeerSelectionInput,
  readers: readonly string[],
): string[] {
  const zone = input.entryVms.filter((vm) =>
    vm.zone === input.zone && !readers.includes(vm.name)
  ).map((vm) => vm.name);
  const position = getRendezvousOrder("reader-share", [
    ...new Set([...zone, input.self]),
  ]).indexOf(input.self);
  const order = getRendezvousOrder("reader-share", readers);
  return order.slice(0, READER_PEERS).map((_, index) =>
    order[(position + index) % order.length]
  );
}
