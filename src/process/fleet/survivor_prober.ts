import type { BackendServer } from "../../shared/backend_server.ts";
import type { MemberOrderExecutor } from "./member_order_executor.ts";

/** Time after which a member that did not respond is probed again, in milliseconds. */
const PROBE_RETRY_MS = 1_000;

/** State of the last probe of a member. */
interface ProbeState {
  readonly state: "pending" | "alive" | "unresponsive";
  readonly atMs: number;
}

/** Probes the members of a lost group before they join another group, since the server list keeps dead servers for several heartbeats. */
export class SurvivorProber {
  readonly #orders: MemberOrderExecutor;
  readonly #states = new Map<string, Map<string, ProbeState>>();

  constructor(options: { orders: MemberOrderExecutor }) {
    this.#orders = options.orders;
  }

  /**
   * Gets whether a member of a lost group has responded to a probe since the loss. The first call starts a probe and returns `false`. After a probe without a response, a call starts another one once `PROBE_RETRY_MS` have passed.
   *
   * @param groupKey - Key of the lost group.
   * @param server - Member to probe.
   */
  isAlive(groupKey: string, server: BackendServer): boolean {
    const states = this.#states.get(groupKey) ?? new Map<string, ProbeState>();
    this.#states.set(groupKey, states);
    const lastProbe = states.get(server.id);
    const isDue = lastProbe === undefined ||
      (lastProbe.state === "unresponsive" &&
        performance.now() - lastProbe.atMs > PROBE_RETRY_MS);
    if (isDue) {
      void this.#checkServer(states, server);
    }
    return lastProbe?.state === "alive";
  }

  /**
   * Discards the results for all other groups.
   *
   * @param keys - Keys of the groups that servers still report.
   */
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
    states.set(server.id, { state: "pending", atMs: performance.now() });
    const isAlive = await this.#orders.refreshServer(server);
    const state = isAlive ? "alive" : "unresponsive";
    states.set(server.id, { state, atMs: performance.now() });
  }
}
