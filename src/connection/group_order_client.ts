import type { Either } from "purify-ts";
import type { BackendReport } from "../shared/backend_server.ts";
import type { BackendTarget } from "./backend_transport.ts";

/** Order to one member of a group. */
export type GroupOrder =
  | {
    readonly action: "join";
    readonly groupName: string;
    readonly generation: number;
    readonly model: string;
    /** Ids of the members; the first one is the head. */
    readonly members: readonly string[];
  }
  | {
    readonly action: "open" | "leave";
    readonly groupName: string;
    readonly generation: number;
  }
  | {
    readonly action: "close";
    readonly groupName: string;
    readonly generation: number;
    /** Whether requests in flight end first or are cut. */
    readonly inFlight: "finish" | "abort";
  }
  | { readonly action: "stage"; readonly model: string };

/**
 * Answer to an order.
 *
 * - `begun`: the order is being carried out.
 * - `done`: the state that it asks for holds.
 * - `unfit`: it does not fit the server's state.
 * - `fenced`: the server has seen a higher generation.
 * - `gone`: another server has the address.
 * - `unknown`: no answer came; it may still be carried out, also later.
 */
export type GroupOrderOutcome =
  | "begun"
  | "done"
  | "unfit"
  | "fenced"
  | "gone"
  | "unknown";

/** Sends orders to backend servers and asks for their state. */
export interface GroupOrderClient {
  /**
   * Sends an order.
   *
   * @param target - Backend server.
   * @param order - Order.
   * @param term - Term of the planner's lease, by which servers refuse orders of an earlier holder.
   */
  sendOrder(
    target: BackendTarget,
    order: GroupOrder,
    term: number,
  ): Promise<GroupOrderOutcome>;
  /**
   * Gets the state of a backend server.
   *
   * @param target - Backend server.
   * @param timeoutMs - Time limit in milliseconds.
   */
  getReport(
    target: BackendTarget,
    timeoutMs: number,
  ): Promise<Either<Error, BackendReport>>;
}
