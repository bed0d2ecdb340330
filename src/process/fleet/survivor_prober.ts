import type { BackendServer } from "../../shared/backend_server.ts";
import type { MemberOrderExecutor } from "./member_order_executor.ts";

/** Time after which a member that did not answer is asked again, in milliseconds. */
const PROBE_RETRY_MS = 1_000;

interface ProbeState {
  readonly state: "asked" | "alive" | "silent";
  readonly atMs: number;
}

/** Finds out which members of a lost group are alive before they join another one, since the list keeps dead servers for several heartbeats. */
export class SurvivorProber {
  readonly #orders: MemberOrderExecutor;
  readonly #states = new Map<string, Map<string, ProbeState>>();

  constructor(options: { orders: MemberOrderExecutor }) {
    this.#orders = options.orders;
  }

  /**
   * Gets whether a member of a lost group has answered since the loss. The first call asks it.
   *
   * @param groupKey - Lost group.
   * @param server - Member.
   */
  isAlive(groupKey: string, server: BackendServer): boolean {
    const states = this.#states.get(groupKey) ?? new Map<string, ProbeState>();
    this.#states.set(groupKey, states);
    const lastProbe = states.get(server.id);
    const isDue = lastProbe === undefined || (lastProbe.state === "silent" &&
      performance.now() - lastProbe.atMs > PROBE_RETRY_MS);
    if (isDue) {
      void this.#checkServer(states, server);
    }
    return lastProbe?.state === "alive";
  }

  /** Forgets the groups that no server reports any more. */
  retainGroups(keys: { has(key: string): boolean }): void {
    for (const key of this.#states.keys()) {
      if (!keys.has(key)) {
        this.#states.delete(key);
      }
    }
  }

  async #checkServer(
    states: Map<string, ProbeState>,
    server: BackendServer,
  ): Promise<void> {
    states.set(server.id, { state: "asked", atMs: performance.now() });
    const isAlive = await this.#orders.refreshServer(server);
    const state = isAlive ? "alive" : "silent";
    states.set(server.id, { state, atMs: performance.now() });
  }
}
