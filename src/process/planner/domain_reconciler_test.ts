import { type Either, Right } from "purify-ts";
import { describe, expect, it } from "vitest";
import { MemoryStore } from "../../../tests/support/memory_store.ts";
import type {
  EngineError,
  EngineOrder,
  EngineStatus,
} from "../../connection/engine_client.ts";
import type { Vm } from "../../connection/vm_directory.ts";
import { NullLogger } from "../../shared/logger.ts";
import { Timeline } from "../../shared/timeline.ts";
import { ConfigHolder } from "../../version/config_holder.ts";
import { configSchema } from "../../version/config_schema.ts";
import type { DomainPlacement } from "../../version/placement.ts";
import { PlacementHolder } from "../../version/placement_holder.ts";
import { ConfigZonePolicy } from "../../version/zone_policy.ts";
import type { DaemonContext } from "../daemon_context.ts";
import { VmTable } from "../vm_table.ts";
import { DomainReconciler } from "./domain_reconciler.ts";
import { ServerStatusPoller } from "./server_status_poller.ts";
import type { PlannerLease } from "./planner_lease.ts";

const DOMAIN = "rack-1";

const VMS: readonly Vm[] = [1, 2, 3, 4].map((index) => ({
  name: `vm-${index}`,
  role: "backend",
  address: `127.0.0.1:${index}`,
  zone: "zone-a",
  fabricDomain: DOMAIN,
  state: "live",
}));

/** Placement that another planner writes first; it contains the same VMs in another group. */
const OTHER_PLACEMENT: DomainPlacement = {
  fabricDomain: DOMAIN,
  zone: "zone-a",
  lastGeneration: 5,
  groupByVm: Object.fromEntries(VMS.map((vm) => [vm.name, "other-5"])),
  groups: {
    "other-5": {
      groupId: "other-5",
      model: "model-1",
      modelVersion: "1",
      zone: "zone-a",
      fabricDomain: DOMAIN,
      generation: 5,
      phase: "serving",
      leader: "vm-1",
      sizeVms: 4,
    },
  },
};

/** Store in which another planner writes the placement immediately before the first write. */
class RacedStore extends MemoryStore {
  #isOtherPlacementWritten = false;

  override async putObject(
    options: Parameters<MemoryStore["putObject"]>[0],
  ): ReturnType<MemoryStore["putObject"]> {
    if (!this.#isOtherPlacementWritten) {
      this.#isOtherPlacementWritten = true;
      await super.putObject({
        kind: "placement",
        name: DOMAIN,
        value: OTHER_PLACEMENT,
        expectedVersion: 0,
      });
    }
    return await super.putObject(options);
  }
}

describe("DomainReconciler", () => {
  describe("run", () => {
    async function runReconciler(store: MemoryStore) {
      const orders: EngineOrder[] = [];
      const context = createContext(store, orders);
      const statusPoller = new ServerStatusPoller(context);
      await statusPoller.refreshStatuses(VMS, "zone-a");
      const reconciler = new DomainReconciler({
        context,
        zone: "zone-a",
        lease: createHeldLease(),
        statusPoller,
      });
      await reconciler.run(DOMAIN);
      const storedObject = await store.getObject("placement", DOMAIN);
      const placement = storedObject.toMaybe().extract()
        ?.value as DomainPlacement;
      return { orders, placement };
    }

    it("stores a new group and sends a load order to each member", async () => {
      const { orders, placement } = await runReconciler(new MemoryStore());
      expect(Object.keys(placement.groups)).toHaveLength(1);
      expect(orders).toHaveLength(4);
    });

    // Guards against a VM in two groups, which results when a planner overwrites a placement that another planner has written concurrently.
    it("keeps the placement of another planner that wrote first", async () => {
      const { orders, placement } = await runReconciler(new RacedStore());
      expect(placement).toEqual(OTHER_PLACEMENT);
      expect(orders).toEqual([]);
    });
  });
});

function createContext(
  store: MemoryStore,
  orders: EngineOrder[],
): DaemonContext {
  const configHolder = new ConfigHolder();
  configHolder.offer({
    version: 1,
    document: configSchema.parse({
      schemaVersion: 1,
      zones: [{ name: "zone-a", region: "region-1" }],
      models: [{
        name: "model-1",
        groupSizeVms: 4,
        placements: [{ zones: ["zone-a"], count: 1 }],
        slotsPerGroup: 8,
        kvTokensPerGroup: 10_000,
      }],
      clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
    }),
  });
  const vmTable = new VmTable();
  vmTable.replace(VMS);
  return {
    store,
    configHolder,
    vmTable,
    placementHolder: new PlacementHolder(),
    zonePolicy: new ConfigZonePolicy(configHolder),
    settings: { vmListLagMs: 1_000, zoneLeaveLeadMs: 0 },
    logger: new NullLogger(),
    timeline: new Timeline("entry-1"),
    healthTable: { getHealth: () => undefined },
    engineClient: {
      getStatus: (address: string) => Promise.resolve(createStatus(address)),
      sendOrder: (_address: string, order: EngineOrder) => {
        orders.push(order);
        return Promise.resolve("accepted");
      },
    },
  } as unknown as DaemonContext;
}

function createStatus(address: string): Either<EngineError, EngineStatus> {
  return Right({
    bootId: address,
    generation: 0,
    state: "empty",
    connectedMembers: [],
    runningRequests: 0,
    waitingRequests: 0,
    heldTokens: 0,
    maxTokens: 10_000,
  });
}

function createHeldLease(): PlannerLease {
  return {
    isHeld: () => true,
    isOrderAllowed: () => true,
  } as unknown as PlannerLease;
}
