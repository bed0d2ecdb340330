import { describe, expect, it } from "vitest";
import type { Vm } from "../connection/vm_directory.ts";
import {
  choosePeers,
  chooseReaderPeers,
  chooseStoreReaders,
} from "./peer_selection.ts";

function createVms(count: number, zones: number): Vm[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `entry-${index + 1}`,
    role: "entry",
    address: `10.0.0.${index + 1}:1`,
    zone: `zone-${index % zones + 1}`,
    state: "live",
  }));
}

describe("chooseStoreReaders", () => {
  // Guards against a load on the store that grows with the number of daemons, and against a zone without readers.
  it.each([[7, 3, 7], [60, 3, 60], [420, 10, 60], [420, 30, 60]])(
    "limits the readers among %s daemons in %s zones",
    (count, zones, expected) => {
      const vms = createVms(count, zones);
      const readers = chooseStoreReaders(vms);
      expect(readers.size).toBe(expected);
      expect(readers.size).toBeLessThanOrEqual(64);
      for (let zone = 1; zone <= zones; zone++) {
        const zoneReaders = vms.filter((vm) =>
          vm.zone === `zone-${zone}` && readers.has(vm.name)
        );
        expect(zoneReaders.length).toBeGreaterThanOrEqual(2);
      }
    },
  );
});

describe("choosePeers", () => {
  // Guards against a number of exchanges per daemon that grows with the number of daemons, and against daemons that state changes don't reach.
  it.each([[1, 1], [2, 2], [7, 3], [60, 3], [420, 10]])(
    "reaches all of %s daemons in %s zones",
    (count, zones) => {
      const vms = createVms(count, zones);
      const peers = new Map(vms.map((vm) => [
        vm.name,
        choosePeers({ ownName: vm.name, zone: vm.zone, entryVms: vms })
          .map((p) => p.name),
      ]));
      for (const [name, peerNames] of peers) {
        expect(peerNames.length).toBeLessThanOrEqual(8);
        expect(peerNames).not.toContain(name);
      }
      const reached = new Set(["entry-1"]);
      for (const name of reached) {
        peers.get(name)!.forEach((peer) => reached.add(peer));
      }
      expect(reached.size).toBe(count);
    },
  );

  // Guards against daemons that have to respond to far more exchanges than others.
  it.each([[60, 3, 4, 0], [420, 10, 6, 14]])(
    "distributes the exchanges of %s daemons in %s zones evenly",
    (count, zones, maxByPeer, maxByReader) => {
      const vms = createVms(count, zones);
      const exchangesByPeer = new Map(vms.map((vm) => [vm.name, 0]));
      const exchangesByReader = new Map(vms.map((vm) => [vm.name, 0]));
      for (const vm of vms) {
        const input = { ownName: vm.name, zone: vm.zone, entryVms: vms };
        const readers = chooseReaderPeers(input);
        const isReader = chooseStoreReaders(vms).has(vm.name);
        for (const peer of choosePeers(input)) {
          const counts = readers.includes(peer.name) && !isReader
            ? exchangesByReader
            : exchangesByPeer;
          counts.set(peer.name, counts.get(peer.name)! + 1);
        }
      }
      expect(Math.max(...exchangesByPeer.values())).toBeLessThanOrEqual(
        maxByPeer,
      );
      expect(Math.max(...exchangesByReader.values())).toBeLessThanOrEqual(
        maxByReader,
      );
    },
  );
});
