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
import type { EngineRoster } from "./engine_roster.ts";
import type { PlannerLease } from "./planner_lease.ts";
import { type PlannedOrder, planOrders } from "./planner_orders.ts";
import { countLoadSlots, isReplacementTurn } from "./load_slots.ts";

/** Parts of the planner of one zone. */
export interface DomainRunnerOptions {
  readonly context: DaemonContext;
  readonly zone: string;
  readonly lease: PlannerLease;
  readonly roster: EngineRoster;
}

/** Runs the plan of one fabric domain: conditional write, then orders under the lease. */
export class DomainRunner {
  readonly #options: DomainRunnerOptions;

  constructor(options: DomainRunnerOptions) {
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
    if (this.#plan(fabricDomain, document).changed) {
      // The load slots are counted on a fresh list, which keeps the time short in which two planners take the same one.
      const refreshed = await this.#refreshPlacements();
      const plan = this.#plan(fabricDomain, document);
      if (!refreshed || !lease.isHeld()) {
        return;
      }
      if (plan.changed && !await this.#write(plan.placement)) {
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

  #plan(fabricDomain: string, document: ConfigDocument): DomainPlan {
    const { context, zone, roster } = this.#options;
    const { placementHolder, vmTable, zonePolicy, settings } = context;
    const vms = vmTable.getBackendVms()
      .filter((vm) => vm.fabricDomain === fabricDomain);
    const placement = placementHolder.getPlacement(fabricDomain)?.placement ??
      createEmptyPlacement(fabricDomain, zone);
    const members = roster.getViews([
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
      wanted: assignment.get(fabricDomain) ?? new Map(),
      idleGroups: roster.getIdleGroups(),
      loadSlots: countLoadSlots(document, placements),
      mayReplace: (model) =>
        isReplacementTurn({ document, placements, fabricDomain, model }),
      zoneOpen: isOpen(zone),
      zoneTakesWork: zonePolicy.takesNewWork(zone),
    });
  }

  /** Writes a placement; a write whose answer was lost is read back before any order. */
  async #write(placement: DomainPlacement): Promise<boolean> {
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
      outcome.outcome === "conflict" || !await this.#readBack(placement)
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

  async #readBack(placement: DomainPlacement): Promise<boolean> {
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
    const { context, roster } = this.#options;
    const placement = context.placementHolder.getPlacement(fabricDomain)
      ?.placement;
    if (placement !== undefined) {
      const orders = planOrders({
        placement,
        members: roster.getViews([
          ...context.vmTable.getBackendVms()
            .filter((vm) => vm.fabricDomain === fabricDomain)
            .map((vm) => vm.name),
          ...Object.keys(placement.groupByVm),
        ]),
        addresses: roster.addresses,
      });
      await Promise.all(orders.map((order) => this.#sendOrder(order)));
    }
  }

  async #sendOrder({ vm, order }: PlannedOrder): Promise<void> {
    const { context, lease, roster } = this.#options;
    const address = roster.addresses.get(vm);
    if (
      address === undefined || !lease.takesOrder(this.#isFenced(order.model))
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
  #isFenced(modelName: string): boolean {
    const models =
      this.#options.context.configHolder.getCurrent()?.document.models ?? [];
    return models.find((m) => m.name === modelName)?.honoursFencing ??
      models.every((m) => m.honoursFencing);
  }
}
