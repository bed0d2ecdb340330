import type { DutyFence } from "../../connection/duty_client.ts";
import type { PlannerLeaseHolder } from "../fleet/planner_lease_holder.ts";
import type { DutyLease } from "./duty_lease.ts";

/**
 * Right to make the duty calls that belongs to the planner's lease, whose term is the fencing token.
 *
 * A daemon makes no call within `leaseMs` after it has acquired the lease in a new term, also when it held the lease before. Between two calls of one daemon there are thus at least `leaseMs` when another daemon has made calls in between.
 */
export class PlannerDutyLease implements DutyLease {
  readonly #holder: string;
  readonly #lease: Pick<
    PlannerLeaseHolder,
    "getTerm" | "getTermAgeMs" | "drop"
  >;
  readonly #leaseMs: number;
  /** Highest token that the platform has refused. */
  #refusedToken = 0;

  /**
   * @param options - Name of this daemon, the planner's lease, and the time between the acquisition of the lease and the first call, in milliseconds.
   */
  constructor(options: {
    holder: string;
    lease: Pick<PlannerLeaseHolder, "getTerm" | "getTermAgeMs" | "drop">;
    leaseMs: number;
  }) {
    this.#holder = options.holder;
    this.#lease = options.lease;
    this.#leaseMs = options.leaseMs;
  }

  getFence(): DutyFence | undefined {
    const token = this.#lease.getTerm();
    if (
      token === undefined || token <= this.#refusedToken ||
      this.#lease.getTermAgeMs() < this.#leaseMs
    ) {
      return undefined;
    }
    return { holder: this.#holder, token };
  }

  recordFenced({ token }: DutyFence): void {
    this.#refusedToken = Math.max(this.#refusedToken, token);
    if (this.#lease.getTerm() === token) {
      this.#lease.drop(`the platform has refused the token ${token}`);
    }
  }
}
