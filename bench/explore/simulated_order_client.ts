import { type Either, Left, Right } from "purify-ts";
import type { BackendTarget } from "../../src/connection/backend_transport.ts";
import {
  type GroupOrder,
  type GroupOrderClient,
  type GroupOrderOutcome,
  ReportTimeoutError,
} from "../../src/connection/group_order_client.ts";
import type { ServerHealth } from "../../src/connection/group_order_client.ts";
import type { BackendReport } from "../../src/shared/backend_server.ts";
import type { SimulatedServer } from "./simulated_server.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time of a message between a daemon and a server, in milliseconds. */
const MESSAGE_MS = 3;
/** Time after which an order without a response has an unknown outcome, in milliseconds. */
const ORDER_TIMEOUT_MS = 500;
/** Interval at which a silent server is checked for whether it handles messages again, in milliseconds. */
const SILENCE_CHECK_MS = 20;

/**
 * What happens to an order.
 *
 * - `answered`: it is carried out and answered at once.
 * - `answer-lost`: it is carried out at once; its answer is lost.
 * - `lost`: it never arrives.
 * - `late`: it is carried out after `lateMs` milliseconds, without an answer.
 */
export type OrderFate =
  | { readonly kind: "answered" | "answer-lost" | "lost" }
  | { readonly kind: "late"; readonly lateMs: number };

/** Fates from which one is chosen for each order. */
export const ORDER_FATES: readonly OrderFate[] = [
  { kind: "answered" },
  { kind: "answer-lost" },
  { kind: "lost" },
  { kind: "late", lateMs: 2_000 },
  { kind: "late", lateMs: 4_000 },
  { kind: "late", lateMs: 7_000 },
  { kind: "late", lateMs: 12_000 },
];

/** Network between the daemons and the servers. */
export interface OrderNetwork {
  readonly clock: VirtualClock;
  findServer(address: string): SimulatedServer | undefined;
  /** Called when a daemon sends an order. Returns what happens to it. */
  onOrderSent(daemon: string, order: GroupOrder, term: number): OrderFate;
  /** Called when a server has received an order. */
  onOrderApplied(applied: {
    daemon: string;
    server: SimulatedServer;
    order: GroupOrder;
    term: number;
    outcome: GroupOrderOutcome;
    isLate: boolean;
  }): void;
}

/** Sends the orders and status requests of one daemon to the simulated servers. */
export class SimulatedOrderClient implements GroupOrderClient {
  readonly #network: OrderNetwork;
  readonly #daemon: string;
  readonly #owner: string;

  constructor(options: {
    network: OrderNetwork;
    /** Name of the daemon. */
    daemon: string;
    /** Owner of the daemon's timers. */
    owner: string;
  }) {
    this.#network = options.network;
    this.#daemon = options.daemon;
    this.#owner = options.owner;
  }

  sendOrder(
    target: BackendTarget,
    order: GroupOrder,
    term: number,
  ): Promise<GroupOrderOutcome> {
    const fate = this.#network.onOrderSent(this.#daemon, order, term);
    return new Promise((resolve) => {
      this.#answer(ORDER_TIMEOUT_MS, () => resolve("unknown"));
      if (fate.kind === "lost") {
        return;
      }
      const isLate = fate.kind === "late";
      this.#schedule(
        isLate ? fate.lateMs : MESSAGE_MS,
        () =>
          this.#reach(target, (server) => {
            const outcome = this.#applyOrder(server, target, {
              order,
              term,
              isLate,
            });
            if (fate.kind === "answered") {
              this.#answer(MESSAGE_MS, () => resolve(outcome));
            }
          }),
      );
    });
  }

  /** The simulated servers have no health check. */
  getHealth(): Promise<ServerHealth> {
    return Promise.resolve("unknown");
  }

  #applyOrder(
    server: SimulatedServer | undefined,
    target: BackendTarget,
    sent: { order: GroupOrder; term: number; isLate: boolean },
  ): GroupOrderOutcome {
    if (server === undefined) {
      return "unknown";
    }
    if (server.id !== target.serverId) {
      return "gone";
    }
    const outcome = server.applyOrder(sent.order, sent.term);
    this.#network.onOrderApplied({
      daemon: this.#daemon,
      server,
      outcome,
      ...sent,
    });
    return outcome;
  }

  getReport(
    target: BackendTarget,
    timeoutMs: number,
  ): Promise<Either<Error, BackendReport>> {
    return new Promise((resolve) => {
      const answer = (delayMs: number, result: Either<Error, BackendReport>) =>
        this.#answer(delayMs, () => resolve(result));
      answer(
        timeoutMs,
        Left(
          new ReportTimeoutError("The server did not respond in time", {
            hasConnected: true,
          }),
        ),
      );
      this.#schedule(MESSAGE_MS, () =>
        this.#reach(target, (server) => {
          const isSame = server?.id === target.serverId;
          answer(
            MESSAGE_MS,
            isSame
              ? Right(server!.getReport())
              : Left(new Error("The server has ended")),
          );
        }));
    });
  }

  /** Waits until a server handles messages. Calls the function without a server if the process has ended. */
  #reach(
    target: BackendTarget,
    handle: (server: SimulatedServer | undefined) => void,
  ): void {
    const server = this.#network.findServer(target.address);
    if (server?.isRunning && server.isSilent) {
      this.#schedule(SILENCE_CHECK_MS, () => this.#reach(target, handle));
      return;
    }
    handle(server?.isRunning ? server : undefined);
  }

  /** Schedules what happens outside of the daemon, even while it is paused. */
  #schedule(delayMs: number, callback: () => void): void {
    this.#network.clock.scheduleAs("network", delayMs, callback);
  }

  #answer(delayMs: number, callback: () => void): void {
    this.#network.clock.scheduleAs(this.#owner, delayMs, callback);
  }
}
