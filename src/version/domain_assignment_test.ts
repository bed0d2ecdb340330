import { describe, expect, it } from "vitest";
import { createModelEngines } from "../../tests/support/model_engine.ts";
import { configSchema } from "./config_schema.ts";
import { planAssignment } from "./domain_assignment.ts";
import type { DomainPlacement } from "./placement.ts";

const DOMAINS = [
  { name: "rack-1", zone: "zone-a", vms: 8 },
  { name: "rack-2", zone: "zone-a", vms: 6 },
  { name: "rack-3", zone: "zone-b", vms: 6 },
];

describe("planAssignment", () => {
  const vms = [...createModelEngines(DOMAINS, { loadSteps: 0 }).values()]
    .map((engine) => engine.vm);

  function checkAssignment(options: {
    placements: { zones: string[]; count: number; fabricDomains?: string[] }[];
    currentPlacements?: DomainPlacement[];
    closedZone?: string;
    expected: Record<string, number>;
  }): void {
    const document = configSchema.parse({
      schemaVersion: 1,
      zones: ["zone-a", "zone-b"].map((name) => ({ name, region: "r" })),
      models: [{
        name: "model-1",
        groupSizeVms: 2,
        placements: options.placements,
        slotsPerGroup: 4,
        kvTokensPerGroup: 1_000,
      }],
      clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
    });
    const input = {
      document,
      placements: options.currentPlacements ?? [],
      isZoneOpen: (zone: string) => zone !== options.closedZone,
    };
    for (const list of [vms, [...vms].reverse()]) {
      const assignment = planAssignment({ ...input, vms: list });
      const counts = [...assignment]
        .map(([domain, models]) => [domain, models.get("model-1") ?? 0])
        .filter(([, count]) => count !== 0);
      expect(Object.fromEntries(counts)).toEqual(options.expected);
    }
  }

  function createPlacement(domain: string, groups: number): DomainPlacement {
    const groupIds = Array.from(
      { length: groups },
      (_, i) => `${domain}-${i + 1}`,
    );
    const members = groupIds.flatMap((id, index) =>
      [1, 2].map((n) => [
        `${domain}-vm-${String(index * 2 + n).padStart(3, "0")}`,
        id,
      ])
    );
    return {
      fabricDomain: domain,
      zone: DOMAINS.find((d) => d.name === domain)!.zone,
      lastGeneration: groups,
      groupByVm: Object.fromEntries(members),
      groups: Object.fromEntries(groupIds.map((groupId, index) => [groupId, {
        groupId,
        model: "model-1",
        modelVersion: "1",
        zone: DOMAINS.find((d) => d.name === domain)!.zone,
        fabricDomain: domain,
        generation: index + 1,
        phase: "serving" as const,
        leader: members[index * 2][0],
        sizeVms: 2,
      }])),
    };
  }

  // Guards against an assignment that puts most groups into one zone, whose loss would stop them all, or uses up a domain's spare VMs while another has more.
  it("spreads groups over zones and then over the domains with the most free VMs", () => {
    checkAssignment({
      placements: [{ zones: ["zone-a", "zone-b"], count: 5 }],
      expected: { "rack-1": 2, "rack-2": 1, "rack-3": 2 },
    });
  });

  // Guards against moving healthy groups to other domains when the assignment is computed anew.
  it("keeps placed groups in their domain", () => {
    checkAssignment({
      placements: [{ zones: ["zone-a", "zone-b"], count: 3 }],
      currentPlacements: [createPlacement("rack-2", 3)],
      expected: { "rack-2": 3 },
    });
  });

  // Guards against missing groups while a zone is out of service and another zone of the entry has free VMs.
  it("assigns the groups of a closed zone to the other zones of the entry", () => {
    checkAssignment({
      placements: [
        { zones: ["zone-a", "zone-b"], count: 2 },
        { zones: ["zone-a"], count: 1 },
      ],
      currentPlacements: [createPlacement("rack-1", 3)],
      closedZone: "zone-a",
      expected: { "rack-3": 2 },
    });
  });

  // Guards against assigning groups to fabric domains that the placement entry does not list.
  it("uses only the fabric domains that the entry lists", () => {
    checkAssignment({
      placements: [{
        zones: ["zone-a"],
        fabricDomains: ["rack-2"],
        count: 5,
      }],
      expected: { "rack-2": 3 },
    });
  });
});
