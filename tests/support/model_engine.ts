import type {
  EngineOrder,
  EngineStatus,
} from "../../src/connection/engine_client.ts";
import type { Vm } from "../../src/connection/vm_directory.ts";

/** Backend server simulated as plain state, for tests and measurements of the planner's decisions. */
export class ModelEngine {
  readonly vm: Vm;
  readonly loadSteps: number;
  isUp = true;
  isListed = true;
  bootCount = 0;
  generation = 0;
  order: EngineOrder | undefined;
  stepsLeft = 0;
  orders = 0;

  constructor(vm: Vm, options: { loadSteps: number }) {
    this.vm = vm;
    this.loadSteps = options.loadSteps;
  }

  /** Simulates a restart: the engine loses its order and its loaded weights. */
  assumeRestart(): void {
    this.isUp = true;
    this.bootCount++;
    this.order = undefined;
  }

  /** Applies an order. Returns false if the engine is down or the order has an older generation than the last one. */
  applyOrder(order: EngineOrder): boolean {
    if (!this.isUp || order.generation < this.generation) {
      return false;
    }
    this.orders++;
    this.generation = order.generation;
    if (order.action === "unload") {
      this.order = undefined;
    } else if (
      this.order?.groupId !== order.groupId ||
      this.order.generation !== order.generation
    ) {
      this.order = order;
      this.stepsLeft = this.loadSteps;
    }
    return true;
  }

  /** Advances loading by one step. */
  runStep(): void {
    this.stepsLeft = Math.max(0, this.stepsLeft - 1);
  }

  /** Gets whether the engine has loaded the weights that an order asks for. */
  hasLoaded(order: EngineOrder): boolean {
    return this.isUp && this.order?.groupId === order.groupId &&
      this.order.generation === order.generation && this.stepsLeft === 0;
  }

  /** Gets the engine's status, or undefined while the engine is down. */
  getStatus(
    engines: ReadonlyMap<string, ModelEngine>,
  ): EngineStatus | undefined {
    if (!this.isUp) {
      return undefined;
    }
    const { order } = this;
    const members = Object.keys(order?.members ?? {});
    return {
      bootId: `${this.vm.name}-${this.bootCount}`,
      generation: this.generation,
      state: order === undefined
        ? "empty"
        : this.stepsLeft > 0
        ? "loading"
        : "ready",
      groupId: order?.groupId,
      model: order?.model,
      modelVersion: order?.modelVersion,
      connectedMembers: members.filter((name) =>
        engines.get(name)?.hasLoaded(order!)
      ),
      runningRequests: 0,
      waitingRequests: 0,
      heldTokens: 0,
      maxTokens: 1_000,
    };
  }
}

/** Creates the engines of the given fabric domains, by VM name. */
export function createModelEngines(
  domains: readonly { name: string; zone: string; vms: number }[],
  options: { loadSteps: number },
): Map<string, ModelEngine> {
  const engines = new Map<string, ModelEngine>();
  for (const domain of domains) {
    for (let index = 1; index <= domain.vms; index++) {
      const name = `${domain.name}-vm-${String(index).padStart(3, "0")}`;
      engines.set(
        name,
        new ModelEngine({
          name,
          role: "backend",
          address: `10.0.0.1:${engines.size + 1}`,
          zone: domain.zone,
          fabricDomain: domain.name,
          state: "live",
        }, options),
      );
    }
  }
  return engines;
}
