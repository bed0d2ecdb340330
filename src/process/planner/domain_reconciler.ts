import { isDeepStrictEqual } from "node:util";
import type { ConfigDocument } from "../../version/config_schema.ts";
import { planAssignment } from "../../version/domain_assignment.ts";
import type { DomainPlacement } from "../../version/placement.ts";
import { isZoneOpen } from "../../version/zone_policy.ts";
import type { DaemonContext } from "../daemon_context.ts";
import {
  createEmptyPlacement,
  planDomain,
  updateLostVms,
} from "./domain_planner.ts";
import type { DomainPlan } from "./domain_planner.ts";
import type { ServerStatusPoller } from "./server_status_poller.ts";
import type { PlannerLease } from "./planner_lease.ts";
import { type PlannedOrder, planOrders } from "./planner_orders.ts";
import { countLoadSlots, isReplacementTurn } from "./load_slots.ts";

/** Options of a reconciler. */
export interface DomainReconcilerOptions {
  readonly context: DaemonContext;
  readonly zone: string;
  readonly lease: PlannerLease;
  readonly statusPoller: ServerStatusPoller;
}

/** Brings the fabric domains of one zone to their planned state: stores changed placements with conditional writes, then sends orders to the engines while the zone's lease is held. */
export class DomainReconciler {
  readonly #options: DomainReconcilerOptions;

  constructor(options: DomainReconcilerOptions) {
    this.#options = options;
  }

  /**
   * Plans a fabric domain, stores its placement if it changed, and sends the orders that the stored placement requires.
   *
   * @param fabricDomain - Name of the fabric domain.
   */
  async run(fabricDomain: string): Promise<void> {
    const { context, lease } = this.#options;
    const document = context.configHolder.getCurrent()?.document;
    if (document === undefined) {
      return;
    }
    if (this.#planDomain(fabricDomain, document).isChanged) {
      // Reads the placements again before counting load slots, which shortens the time in which two planners can take the same slot.
      const isRefreshed = await this.#refreshPlacements();
      const plan = this.#planDomain(fabricDomain, document);
      if (!isRefreshed || !lease.isHeld()) {
        return;
      }
      if (plan.isChanged && !await this.#writePlacement(plan.placement)) {
        return;
      }
    }
    await this.#sendOrders(fabricDomain);
  }

  async #refreshPlacements(): Promise<boolean> {
    const { store, placementHolder } = this.#options.context;
    const result = await store.listObjects("placement");
    result.ifRight((objects) => {
      for (const object of objects) {
        placementHolder.offer({
          objectVersion: object.version,
          placement: object.value as DomainPlacement,
        });
      }
    });
    return result.isRight();
  }

  #planDomain(fabricDomain: string, document: ConfigDocument): DomainPlan {
    const { context, zone, statusPoller } = this.#options;
    const { placementHolder, vmTable, zonePolicy, settings } = context;
    const vms = vmTable.getBackendVms()
      .filter((vm) => vm.fabricDomain === fabricDomain);
    const placement = placementHolder.getPlacement(fabricDomain)?.placement ??
      createEmptyPlacement(fabricDomain, zone);
    const healthByVm = statusPoller.getHealthByName([
      ...vms.map((vm) => vm.name),
      ...Object.keys(placement.groupByVm),
    ]);
    const placements = placementHolder.getPlacements().map((p) => p.placement);
    const isOpen = (name: string) =>
      isZoneOpen(zonePolicy, { zone: name, leadMs: settings.zoneLeaveLeadMs });
    const assignment = planAssignment({
      document,
      vms: vmTable.getBackendVms(),
      // Uses the losses known now instead of the stored ones, so that a recovered server counts at once.
      placements: [
        ...placements.filter((p) => p.fabricDomain !== fabricDomain),
        updateLostVms(placement, healthByVm),
      ],
      isZoneOpen: isOpen,
    });
    return planDomain({
      document,
      vms,
      healthByVm,
      placement,
      desiredGroupCounts: assignment.get(fabricDomain) ?? new Map(),
      idleGroupIds: statusPoller.getIdleGroupIds(),
      loadSlots: countLoadSlots(document, placements),
      isReplacementTurn: (model) =>
        isReplacementTurn({ document, placements, fabricDomain, model }),
      zoneOpen: isOpen(zone),
      zoneTakesNewWork: zonePolicy.takesNewWork(zone),
    });
  }

  /** Stores a placement. If the response to the write is lost, reads the object back, so that no order is sent for a placement that is not stored. */
  async #writePlacement(placement: DomainPlacement): Promise<boolean> {
    const { store, placementHolder, logger, timeline } = this.#options.context;
    const name = placement.fabricDomain;
    const expectedVersion = placementHolder.getPlacement(name)?.objectVersion ??
      0;
    const result = await store.putObject({
      kind: "placement",
      name,
      value: placement,
      expectedVersion,
    });
    if (result.outcome === "written") {
      placementHolder.offer({ objectVersion: result.version, placement });
    } else if (
      result.outcome === "conflict" || !await this.#confirmWrite(placement)
    ) {
      logger.write("info", "placement-not-written", {
        domain: name,
        outcome: result.outcome,
      });
      return false;
    }
    timeline.record({
      event: "placement-written",
      fields: { domain: name, generation: placement.lastGeneration },
    });
    return true;
  }

  /** Gets whether the store contains the placement after a write with an unknown outcome. */
  async #confirmWrite(placement: DomainPlacement): Promise<boolean> {
    const { store, placementHolder } = this.#options.context;
    const result = await store.getObject("placement", placement.fabricDomain);
    const object = result.toMaybe().extract();
    if (object === undefined) {
      return false;
    }
    const storedPlacement = object.value as DomainPlacement;
    placementHolder.offer({
      objectVersion: object.version,
      placement: storedPlacement,
    });
    // The JSON round trip drops properties that are undefined, as the store does.
    return isDeepStrictEqual(
      storedPlacement,
      JSON.parse(JSON.stringify(placement)),
    );
  }

  async #sendOrders(fabricDomain: string): Promise<void> {
    const { context, statusPoller } = this.#options;
    const placement = context.placementHolder.getPlacement(fabricDomain)
      ?.placement;
    if (placement !== undefined) {
      const orders = planOrders({
        placement,
        healthByVm: statusPoller.getHealthByName([
          ...context.vmTable.getBackendVms()
            .filter((vm) => vm.fabricDomain === fabricDomain)
            .map((vm) => vm.name),
          ...Object.keys(placement.groupByVm),
        ]),
        addresses: statusPoller.addresses,
      });
      await Promise.all(orders.map((order) => this.#sendOrder(order)));
    }
  }

  async #sendOrder({ vm, order }: PlannedOrder): Promise<void> {
    const { context, lease, statusPoller } = this.#options;
    const address = statusPoller.addresses.get(vm);
    if (
      address === undefined ||
      !lease.isOrderAllowed(this.#isFencingHonoured(order.model))
    ) {
      return;
    }
    const outcome = await context.engineClient.sendOrder(address, order);
    context.logger.write("info", "order-sent", {
      vm,
      action: order.action,
      group: order.groupId,
      generation: order.generation,
      outcome,
    });
  }

  /** Gets whether the engines of a model refuse orders with a lower generation than their own. A model that is no longer in the configuration may run on any kind of engine, so all configured models have to honour fencing then. */
  #isFencingHonoured(modelName: string): boolean {
    const models =
      this.#options.context.configHolder.getCurrent()?.document.models ?? [];
    return models.find((m) => m.name === modelName)?.honoursFencing ??
      models.every((m) => m.honoursFencing);
  }
}
