import type { EngineOrder } from "../connection/engine_client.ts";
import { delay } from "../shared/delay.ts";
import type { DomainPlacement, PlacedGroup } from "../version/placement.ts";
import { getGroupMembers } from "../version/placement.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Task that forms complete groups and sends load orders. */
export class PlannerTask {
  readonly #context: DaemonContext;

  constructor(context: DaemonContext) {
    this.#context = context;
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      await this.planOnce();
    } while (await delay(settings.planIntervalMs, lifeCycle.signal));
  }

  /** Plans all fabric domains once. */
  async planOnce(): Promise<void> {
    const domains = new Set(
      this.#context.vmTable.getBackendVms().map((vm) => vm.fabricDomain),
    );
    for (const domain of domains) {
      if (domain !== undefined) {
        await this.#planDomain(domain);
      }
    }
  }

  async #planDomain(fabricDomain: string): Promise<void> {
    const { configHolder, placementHolder, vmTable, store } = this.#context;
    const document = configHolder.getCurrent()?.document;
    const vms = vmTable.getBackendVms()
      .filter((vm) => vm.fabricDomain === fabricDomain && vm.state === "live");
    if (document === undefined || vms.length === 0) {
      return;
    }
    const current = placementHolder.getPlacement(fabricDomain);
    const groupByVm = { ...current?.placement.groupByVm };
    const groups: Record<string, PlacedGroup> = {
      ...current?.placement.groups,
    };
    let generation = current?.placement.lastGeneration ?? 0;
    const free = vms.filter((vm) => groupByVm[vm.name] === undefined);
    for (const model of document.models) {
      const wanted = model.placements
        .filter((p) => p.zones.includes(vms[0].zone))
        .reduce((sum, p) => sum + p.count, 0);
      const placed = placementHolder.getGroups()
        .filter((g) => g.model === model.name && g.zone === vms[0].zone).length;
      for (
        let index = placed;
        index < wanted && free.length >= model.groupSizeVms;
        index++
      ) {
        const members = free.splice(0, model.groupSizeVms);
        const groupId = `${fabricDomain}-${++generation}`;
        members.forEach((vm) => groupByVm[vm.name] = groupId);
        groups[groupId] = {
          groupId,
          model: model.name,
          modelVersion: model.version,
          zone: vms[0].zone,
          fabricDomain,
          generation,
          phase: "serving",
          leader: members[0].name,
          sizeVms: model.groupSizeVms,
        };
      }
    }
    if (generation !== (current?.placement.lastGeneration ?? 0)) {
      const placement: DomainPlacement = {
        fabricDomain,
        zone: vms[0].zone,
        lastGeneration: generation,
        groupByVm,
        groups,
      };
      const outcome = await store.putObject({
        kind: "placement",
        name: fabricDomain,
        value: placement,
        expectedVersion: current?.objectVersion ?? 0,
      });
      if (outcome.outcome === "written") {
        placementHolder.offer({ objectVersion: outcome.version, placement });
        await this.#sendOrders(placement);
      }
    }
  }

  async #sendOrders(placement: DomainPlacement): Promise<void> {
    const { vmTable, engineClient } = this.#context;
    for (const group of Object.values(placement.groups)) {
      const members = getGroupMembers(placement, group.groupId);
      const order: EngineOrder = {
        action: "load",
        generation: group.generation,
        groupId: group.groupId,
        members: Object.fromEntries(
          members.map((name) => [name, vmTable.getVm(name)?.address ?? ""]),
        ),
        leader: group.leader,
        model: group.model,
        modelVersion: group.modelVersion,
        adapters: [],
      };
      await Promise.all(
        Object.values(order.members).map((address) =>
          engineClient.sendOrder(address, order)
        ),
      );
    }
  }
}
