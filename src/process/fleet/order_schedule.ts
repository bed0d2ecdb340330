import type { BackendServer } from "../../shared/backend_server.ts";
import type { MemberOrderExecutor } from "./member_order_executor.ts";

/** Time for which a server gets no further order after an order to it failed, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;
/** Time for which a server that did not respond gets no further order, in milliseconds. It spans several heartbeats, after which a dead server has left the server list. */
const UNRESPONSIVE_PAUSE_MS = 4_000;

/** Kind of an order in progress: `load` for an order to load weights from the weight store, `order` for any other. */
export type OrderKind = "load" | "order";

/** Keeps servers with an order in progress, or after a failed one, from getting further orders. */
export class OrderSchedule {
  readonly #orders: MemberOrderExecutor;
  readonly #getExcludedZones: () => ReadonlySet<string>;
  readonly #onEnd: () => void;
  /** Kind of the order in progress, by server id. */
  readonly #pendingOrders = new Map<string, OrderKind>();
  /** Monotonic time until which a server gets no orders, by server id. */
  readonly #pausedUntilMs = new Map<string, number>();

  constructor(options: {
    orders: MemberOrderExecutor;
    getExcludedZones(): ReadonlySet<string>;
    /** Called when orders have ended. */
    onEnd(): void;
  }) {
    this.#orders = options.orders;
    this.#getExcludedZones = () => options.getExcludedZones();
    this.#onEnd = () => options.onEnd();
  }

  /** Gets whether an order to a server is in progress. */
  isBusy(serverId: string): boolean {
    return this.#pendingOrders.has(serverId);
  }

  /** Gets whether a server is loading weights from the weight store. */
  isLoading(serverId: string): boolean {
    return this.#pendingOrders.get(serverId) === "load";
  }

  /** Gets whether a server may get an order: none is in progress, it is not paused, and its zone is not excluded. */
  takesOrders(server: BackendServer): boolean {
    const isPaused = (this.#pausedUntilMs.get(server.id) ?? 0) >
      performance.now();
    return !this.#pendingOrders.has(server.id) && !isPaused &&
      !this.#getExcludedZones().has(server.zone);
  }

  /** Runs orders while keeping their servers from getting other orders. If the orders fail, the servers get no further order for `FAILURE_PAUSE_MS`. */
  async run(
    serverIds: readonly string[],
    kind: OrderKind,
    sendOrders: () => Promise<boolean>,
  ): Promise<boolean> {
    serverIds.forEach((id) => this.#pendingOrders.set(id, kind));
    let isSuccess = false;
    try {
      isSuccess = await sendOrders();
      return isSuccess;
    } finally {
      const untilMs = performance.now() + FAILURE_PAUSE_MS;
      this.#onEnd();
      for (const id of serverIds) {
        this.#pendingOrders.delete(id);
        if (!isSuccess) {
          this.#pausedUntilMs.set(id, untilMs);
        }
      }
    }
  }

  /** If some members of a failed formation do not respond, pauses only these until the server list has dropped them, so that the other members can join another group at once. */
  async pauseUnresponsiveMembers(
    members: readonly BackendServer[],
  ): Promise<void> {
    const areAlive = await Promise.all(
      members.map((member) => this.#orders.refreshServer(member)),
    );
    if (areAlive.every(Boolean)) {
      return;
    }
    const untilMs = performance.now() + UNRESPONSIVE_PAUSE_MS;
    members.forEach(({ id }, index) => {
      if (areAlive[index]) {
        this.#pausedUntilMs.delete(id);
      } else {
        this.#pausedUntilMs.set(id, untilMs);
      }
    });
  }
}
