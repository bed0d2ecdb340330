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

/** Parts of the planner of one zone. */
export interface DomainReconcilerOptions {
  readonly context: DaemonContext;
  readonly zone: string;
  readonly lease: PlannerLease;
  readonly statusPoller: ServerStatusPoller;
}

/** Runs the plan of one fabric domain: conditional write, then orders under the lease. */
export class DomainReconciler {
  readonly #options: DomainReconcilerOptions;

  constructor(options: DomainReconcilerOptions) {
    this.#options = options;
  }

  /**
   * Plans a fabric domain, stores a changed placement and sends the orders that are due.
   *
   * @param fabricDomain - Name of the fabric domain.
   */
  async run(fabricDomain: string): Promise<void> {
    const { context, lease } = this.#options;
    const document = context.configHolder.getCurrent()?.document;
    if (document === undefined) {
      return;
    }
    if (this.#planDomain(fabricDomain, document).changed) {
      // The load slots are counted on a fresh list, which keeps the time short in which two planners take the same one.
      const isRefreshed = await this.#refreshPlacements();
      const plan = this.#planDomain(fabricDomain, document);
      if (!isRefreshed || !lease.isHeld()) {
        return;
      }
      if (plan.changed && !await this.#writePlacement(plan.placement)) {
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
    const { context, zone, statusPoller: statusPoller } = this.#options;
    const { placementHolder, vmTable, zonePolicy, settings } = context;
    const vms = vmTable.getBackendVms()
      .filter((vm) => vm.fabricDomain === fabricDomain);
    const placement = placementHolder.getPlacement(fabricDomain)?.placement ??
      createEmptyPlacement(fabricDomain, zone);
    const members = statusPoller.getHealthByName([
      ...vms.map((vm) => vm.name),
      ...Object.keys(placement.groupByVm),
    ]);
    const placements = placementHolder.getPlacements().map((p) => p.placement);
    const isOpen = (name: string) =>
      isZoneOpen(zonePolicy, { zone: name, leadMs: settings.zoneLeaveLeadMs });
    const assignment = planAssignment({
      document,
      vms: vmTable.getBackendVms(),
      // Counts with the losses known now, so that a server that is back counts at once.
      placements: [
        ...placements.filter((p) => p.fabricDomain !== fabricDomain),
        updateLostVms(placement, members),
      ],
      isZoneOpen: isOpen,
    });
    return planDomain({
      document,
      vms,
      members,
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

  /** Writes a placement; a write whose answer was lost is read back before any order. */
  async #writePlacement(placement: DomainPlacement): Promise<boolean> {
    const { store, placementHolder, logger, timeline } = this.#options.context;
    const name = placement.fabricDomain;
    const expectedVersion = placementHolder.getPlacement(name)?.objectVersion ??
      0;
    const outcome = await store.putObject({
      kind: "placement",
      name,
      value: placement,
      expectedVersion,
    });
    if (outcome.outcome === "written") {
      placementHolder.offer({ objectVersion: outcome.version, placement });
    } else if (
      outcome.outcome === "conflict" || !await this.#confirmWrite(placement)
    ) {
      logger.write("info", "placement-not-written", {
        domain: name,
        outcome: outcome.outcome,
      });
      return false;
    }
    timeline.record({
      event: "placement-written",
      fields: { domain: name, generation: placement.lastGeneration },
    });
    return true;
  }

  async #confirmWrite(placement: DomainPlacement): Promise<boolean> {
    const { store, placementHolder } = this.#options.context;
    const result = await store.getObject("placement", placement.fabricDomain);
    const object = result.toMaybe().extract();
    if (object === undefined) {
      return false;
    }
    const stored = object.value as DomainPlacement;
    placementHolder.offer({ objectVersion: object.version, placement: stored });
    // The round trip drops undefined members, as the store does.
    return isDeepStrictEqual(stored, JSON.parse(JSON.stringify(placement)));
  }

  async #sendOrders(fabricDomain: string): Promise<void> {
    const { context, statusPoller: statusPoller } = this.#options;
    const placement = context.placementHolder.getPlacement(fabricDomain)
      ?.placement;
    if (placement !== undefined) {
      const orders = planOrders({
        placement,
        members: statusPoller.getHealthByName([
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
    const { context, lease, statusPoller: statusPoller } = this.#options;
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

  /** Gets whether engines refuse old orders; a model that is no longer declared may run on any engine. */
  #isFencingHonoured(modelName: string): boolean {
    const models =
      this.#options.context.configHolder.getCurrent()?.document.models ?? [];
    return models.find((m) => m.name === modelName)?.honoursFencing ??
      models.every((m) => m.honoursFencing);
  }
}
