import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Vm } from "../connection/vm_directory.ts";
import { ConfigHolder } from "../version/config_holder.ts";
import { type ConfigDocument, configSchema } from "../version/config_schema.ts";
import type { PlacedGroup } from "../version/placement.ts";
import { PlacementHolder } from "../version/placement_holder.ts";
import { ConfigZonePolicy } from "../version/zone_policy.ts";
import type { Freshness } from "./freshness_tracker.ts";
import { GroupDirectory, HEALTH_EXPIRY_MS } from "./group_directory.ts";
import { type GroupHealth, GroupHealthTable } from "./group_health.ts";
import { VmTable } from "./vm_table.ts";

const GROUP: PlacedGroup = {
  groupId: "rack-1-1",
  model: "model-1",
  modelVersion: "1",
  zone: "zone-a",
  fabricDomain: "rack-1",
  generation: 7,
  phase: "serving",
  leader: "vm-1",
  sizeVms: 2,
};

const HEALTH: GroupHealth = {
  groupId: GROUP.groupId,
  generation: GROUP.generation,
  state: "ready",
  bootId: "boot-1",
  observer: "entry-1",
  sequence: 1,
  ageMs: 0,
  runningRequests: 0,
  heldTokens: 0,
  maxTokens: 1_000,
};

const VMS: readonly Vm[] = ["vm-1", "vm-2"].map((name, index) => ({
  name,
  role: "backend",
  address: `127.0.0.1:${index + 1}`,
  zone: "zone-a",
  fabricDomain: "rack-1",
  state: "live",
}));

interface DirectorySetup {
  readonly group?: Partial<PlacedGroup>;
  readonly health?: Partial<GroupHealth>;
  readonly vms?: readonly Vm[];
  readonly change?: (document: ConfigDocument) => void;
  readonly waitMs?: number;
  readonly freshness?: Freshness;
}

describe("GroupDirectory", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe("getServingGroups", () => {
    function listServingLeaders(state: DirectorySetup): string[] {
      const configHolder = new ConfigHolder();
      configHolder.offer({ version: 1, document: createDocument(state) });
      const placementHolder = new PlacementHolder();
      placementHolder.offer({
        objectVersion: 1,
        placement: {
          fabricDomain: "rack-1",
          zone: "zone-a",
          lastGeneration: 7,
          groupByVm: { "vm-1": GROUP.groupId, "vm-2": GROUP.groupId },
          groups: { [GROUP.groupId]: { ...GROUP, ...state.group } },
        },
      });
      const healthTable = new GroupHealthTable();
      healthTable.offer({ ...HEALTH, ...state.health });
      const vmTable = new VmTable();
      vmTable.replace(state.vms ?? VMS);
      const directory = new GroupDirectory({
        configHolder,
        placementHolder,
        healthTable,
        vmTable,
        zonePolicy: new ConfigZonePolicy(configHolder),
        freshness: { getState: () => state.freshness ?? "fresh" },
      });
      vi.advanceTimersByTime(state.waitMs ?? 0);
      return directory.getServingGroups("model-1")
        .map((servingGroup) => servingGroup.leaderAddress);
    }

    it("returns a complete group with the address of its leader", () => {
      expect(listServingLeaders({})).toEqual(["127.0.0.1:1"]);
      expect(listServingLeaders({ health: { state: "cold" } })).toHaveLength(1);
    });

    // Guards against requests to a group that is incomplete, or whose members or zone are out of service.
    it.each<{ name: string; state: DirectorySetup }>([
      {
        name: "a group that lacks a member",
        state: { health: { state: "incomplete" } },
      },
      {
        name: "a group whose members report an older generation",
        state: { health: { generation: 6 } },
      },
      {
        name: "a group whose health has expired",
        state: { waitMs: HEALTH_EXPIRY_MS + 1 },
      },
      {
        name: "all groups while the configuration is stale",
        state: { freshness: "stale" },
      },
      {
        name: "a group that is loading",
        state: { group: { phase: "loading" } },
      },
      {
        name: "a group that is draining",
        state: { group: { phase: "draining" } },
      },
      {
        name: "a group with a leaving member",
        state: { vms: [VMS[0], { ...VMS[1], state: "leaving" }] },
      },
      {
        name: "a group with a member that is no longer listed",
        state: { vms: [VMS[0]] },
      },
      {
        name: "a group with a drained member",
        state: { change: (d) => d.drainedVms = ["vm-2"] },
      },
      {
        name: "a group in a zone that is taken out of service",
        state: { change: (d) => d.zones[0].takenOut = true },
      },
      {
        name: "a group in a zone that is not declared",
        state: { group: { zone: "zone-b" } },
      },
      {
        name: "a group of another model",
        state: { group: { model: "other" } },
      },
    ])("leaves out $name", ({ state }) => {
      expect(listServingLeaders(state)).toEqual([]);
    });
  });
});

function createDocument(state: DirectorySetup): ConfigDocument {
  const document = configSchema.parse({
    schemaVersion: 1,
    zones: [{ name: "zone-a", region: "region-1" }],
    clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
  });
  state.change?.(document);
  return document;
}
