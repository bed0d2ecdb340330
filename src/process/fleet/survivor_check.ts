import type { BackendServer } from "../../shared/backend_server.ts";
import type { MemberOrders } from "./member_orders.ts";

/** Time after which a member that did not answer is asked again, in milliseconds. */
const RECHECK_MS = 1_000;

interface CheckState {
  readonly state: "asked" | "alive" | "silent";
  readonly atMs: number;
}

/** Finds out which members of a lost group are alive before they join another one, since the list keeps dead servers for several heartbeats. */
export class SurvivorCheck {
  readonly #orders: MemberOrders;
  readonly #states = new Map<string, Map<string, CheckState>>();

  constructor(options: { orders: MemberOrders }) {
    this.#orders = options.orders;
  }

  /**
   * Gets whether a member of a lost group has answered since the loss. The first call asks it.
   *
   * @param groupKey - Lost group.
   * @param server - Member.
   */
  isAlive(groupKey: string, server: BackendServer): boolean {
    const states = this.#states.get(groupKey) ?? new Map<string, CheckState>();
    this.#states.set(groupKey, states);
    const known = states.get(server.id);
    const isDue = known === undefined || (known.state === "silent" &&
      performance.now() - known.atMs > RECHECK_MS);
    if (isDue) {
      void this.#observe(states, server);
    }
    return known?.state === "alive";
  }

  /** Forgets the groups that no server reports any more. */
  retainGroups(keys: { has(key: string): boolean }): void {
    for (const key of this.#states.keys()) {
      if (!keys.has(key)) {
        this.#states.delete(key);
      }
    }
  }

  async #observe(
    states: Map<string, CheckState>,
    server: BackendServer,
  ): Promise<void> {
    states.set(server.id, { state: "asked", atMs: performance.now() });
    const isAlive = await this.#orders.observeServer(server);
    const state = isAlive ? "alive" : "silent";
    states.set(server.id, { state, atMs: performance.now() });
  }
}
