import type { Either } from "purify-ts";
import type { BackendReport } from "../shared/backend_server.ts";
import type { BackendTarget } from "./backend_transport.ts";

/**
 * Order that the planner sends to one backend server.
 *
 * - `join`: become a member of a group.
 * - `open`: accept requests as the head of the group.
 * - `leave`: end the membership in the group.
 * - `close`: stop accepting requests as the head of the group.
 * - `stage`: copy the weights of a model to the host of the server.
 */
export type GroupOrder =
  | {
    readonly action: "join";
    readonly groupName: string;
    readonly generation: number;
    readonly model: string;
    /** Ids of the member servers; the first one is the head of the group. */
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
    /** Whether requests in flight run to completion or are aborted. */
    readonly inFlight: "finish" | "abort";
  }
  | { readonly action: "stage"; readonly model: string };

/**
 * Outcome of an order.
 *
 * - `begun`: the server accepted the order and is carrying it out.
 * - `done`: the server is already in the ordered state.
 * - `unfit`: the server refused the order because its current state does not allow it.
 * - `fenced`: the server refused the order because it has seen a higher lease term or group generation.
 * - `gone`: another backend server now uses the address.
 * - `unknown`: no response arrived; the server may still carry out the order, even later.
 */
export type GroupOrderOutcome =
  | "begun"
  | "done"
  | "unfit"
  | "fenced"
  | "gone"
  | "unknown";

/**
 * Result of a health check.
 *
 * - `healthy`: the server states that it is sound and does not leave.
 * - `unhealthy`: the server states that it leaves or fails.
 * - `unknown`: no usable response arrived.
 */
export type ServerHealth = "healthy" | "unhealthy" | "unknown";

/** Missing response to a status request. The server is silent, which does not prove that its process has ended. */
export class ReportTimeoutError extends Error {
  override readonly name = "ReportTimeoutError";
  /** Whether the server's VM accepted a connection. */
  readonly hasConnected: boolean;

  constructor(message: string, options: { hasConnected: boolean }) {
    super(message);
    this.hasConnected = options.hasConnected;
  }
}

/** Sends orders and status requests to backend servers. */
export interface GroupOrderClient {
  /**
   * Sends an order.
   *
   * @param target - Backend server that receives the order.
   * @param order - Order to send.
   * @param term - Term of the planner's lease. It is the fencing token by which servers refuse orders of an earlier lease holder.
   */
  sendOrder(
    target: BackendTarget,
    order: GroupOrder,
    term: number,
  ): Promise<GroupOrderOutcome>;
  /**
   * Requests the current state of a backend server.
   *
   * @param target - Backend server to query.
   * @param timeoutMs - Time limit of the request in milliseconds.
   * @returns The state, or a `ReportTimeoutError` when no response arrives in time or the server resets the connection, or another error when the request fails.
   */
  getReport(
    target: BackendTarget,
    timeoutMs: number,
  ): Promise<Either<Error, BackendReport>>;
  /**
   * Checks the health of a backend server.
   *
   * @param target - Backend server to query.
   * @param path - Path of the health check of the server's service.
   * @param timeoutMs - Time limit of the request in milliseconds.
   */
  getHealth(
    target: BackendTarget,
    path: string,
    timeoutMs: number,
  ): Promise<ServerHealth>;
}
