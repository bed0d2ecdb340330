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

/** What the orders of one fabric domain are computed from. */
export interface PlannedOrdersInput {
  /** Placement as it is stored. */
  readonly placement: DomainPlacement;
  /** What is known about the domain's servers, by name. */
  readonly members: ReadonlyMap<string, ServerHealth>;
  /** Addresses by VM. */
  readonly addresses: ReadonlyMap<string, string>;
}

/**
 * Gets the orders that bring the servers of a fabric domain to the stored placement: a load for each member of a loading group that reports anything else, an unload for each free server that reports a group.
 *
 * @param input - Placement, statuses and addresses.
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
      const status = input.members.get(vm)?.status;
      if (status === undefined || !isMemberOf(status, group)) {
        orders.push({ vm, order });
      }
    }
  }
  return orders;
}

function planUnloadOrders(input: PlannedOrdersInput): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const [vm, { status }] of input.members) {
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
