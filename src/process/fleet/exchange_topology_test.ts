import { describe, expect, it } from "vitest";
import { createDaemonDescription } from "../../../tests/support/daemons.ts";
import { choosePartners } from "./exchange_topology.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";

const ZONES = ["z1", "z2", "z3"];

describe("choosePartners", () => {
  /** Creates daemons that are spread over the zones; the first two of each zone have the most processor cores. */
  function createFleet(size: number): DaemonDescription[] {
    return Array.from(
      { length: size },
      (_, i) =>
        createDaemonDescription(`entry-${i}`, {
          zone: ZONES[i % ZONES.length],
          processorCores: i < 2 * ZONES.length ? 1.35 : 0.324,
        }),
    );
  }

  function doTest(fleet: readonly DaemonDescription[]) {
    return fleet.map((self) => ({
      self,
      ...choosePartners(self, fleet.filter((other) => other !== self)),
    }));
  }

  it("lets all daemons of a small fleet exchange with each other", () => {
    const choices = doTest(createFleet(7));
    expect(choices.every(({ role }) => role === "hub")).toBe(true);
    expect(choices.every(({ partners }) => partners.length === 6)).toBe(true);
  });

  it("chooses the daemons with the most processor cores of each zone as hubs", () => {
    const hubs = doTest(createFleet(72)).filter(({ role }) => role === "hub");
    expect(hubs.map(({ self }) => self.name).sort()).toEqual(
      ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5"],
    );
    expect(hubs.every(({ partners }) => partners.length === 5)).toBe(true);
  });

  it("distributes members evenly over the hubs and prefers hubs of the member's zone", () => {
    const members = doTest(createFleet(72)).filter(({ role }) =>
      role === "member"
    );
    const membersPerHub = new Map<string, number>();
    for (const { self, partners } of members) {
      expect(partners[0].zone).toBe(self.zone);
      expect(partners.length).toBe(6);
      const { name } = partners[0];
      membersPerHub.set(name, (membersPerHub.get(name) ?? 0) + 1);
    }
    expect(Math.max(...membersPerHub.values())).toBeLessThanOrEqual(17);
    expect(membersPerHub.size).toBe(6);
  });

  // Guards against hubs that are overloaded in a large fleet. The system is designed for up to 420 daemons in 10 zones.
  it.each([72, 140, 420])(
    "limits the number of daemons that a hub exchanges with in a fleet of %i",
    (size) => {
      const choices = doTest(createFleet(size));
      const hubs = choices.filter(({ role }) => role === "hub");
      const exchangeCounts = hubs.map(({ self, partners }) =>
        partners.length +
        choices.filter(({ role, partners: [first] }) =>
          role === "member" && first === self
        ).length
      );
      expect(Math.max(...exchangeCounts)).toBeLessThanOrEqual(60);
    },
  );
});
