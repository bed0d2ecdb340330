import type { EngineOrder } from "../../connection/engine_client.ts";
import {
  type DomainPlacement,
  getGroupMembers,
} from "../../version/placement.ts";
import { isMemberOf } from "./domain_planner.ts";
import type { ServerHealth } from "./server_health.ts";

/** Order to one backend server. */
export interface PlannedOrder {
  readonly vm: string;
  readonly order: EngineOrder;
}

/** Input from which the orders of one fabric domain are computed. */
export interface PlannedOrdersInput {
  /** Stored placement. */
  readonly placement: DomainPlacement;
  /** Observed health of the domain's servers, by VM name. */
  readonly healthByVm: ReadonlyMap<string, ServerHealth>;
  /** Addresses by VM name. */
  readonly addresses: ReadonlyMap<string, string>;
}

/**
 * Gets the orders that bring the servers of a fabric domain to the stored placement: a load order for each member of a loading group that does not report this group and generation, and an unload order for each server without a group that reports one.
 *
 * @param input - Placement, health and addresses of the servers.
 */
export function planOrders(input: PlannedOrdersInput): PlannedOrder[] {
  return [...planLoadOrders(input), ...planUnloadOrders(input)];
}

function planLoadOrders(input: PlannedOrdersInput): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const group of Object.values(input.placement.groups)) {
    if (group.phase !== "loading") {
      continue;
    }
    const members = getGroupMembers(input.placement, group.groupId);
    const order: EngineOrder = {
      action: "load",
      generation: group.generation,
      groupId: group.groupId,
      members: Object.fromEntries(
        members.map((name) => [name, input.addresses.get(name) ?? ""]),
      ),
      leader: group.leader,
      model: group.model,
      modelVersion: group.modelVersion,
      adapters: group.adapters ?? [],
    };
    for (const vm of members) {
      const status = input.healthByVm.get(vm)?.status;
      if (status === undefined || !isMemberOf(status, group)) {
        orders.push({ vm, order });
      }
    }
  }
  return orders;
}

function planUnloadOrders(input: PlannedOrdersInput): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const [vm, { status }] of input.healthByVm) {
    const reportsGroup = status !== undefined && status.state !== "empty" &&
      status.groupId !== undefined;
    if (reportsGroup && input.placement.groupByVm[vm] === undefined) {
      orders.push({
        vm,
        order: {
          action: "unload",
          generation: input.placement.lastGeneration,
          groupId: status.groupId!,
          members: {},
          leader: "",
          model: status.model ?? "",
          modelVersion: status.modelVersion ?? "",
          adapters: [],
        },
      });
    }
  }
  return orders;
}
