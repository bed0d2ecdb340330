/**
 * Result of a call that is the duty of one daemon at a time.
 *
 * - `done`: the platform has carried out the call.
 * - `fenced`: the platform has seen a higher fencing token, so another daemon holds the duty.
 * - `limited`: the platform refused the call since too many were made, and has not carried it out.
 * - `unknown`: the platform did not respond, or with an error; it may still carry out the call seconds later.
 */
export type DutyCallOutcome = "done" | "fenced" | "limited" | "unknown";

/** Holder of the duties and the fencing token of its lease. */
export interface DutyFence {
  /** Name of the daemon. */
  readonly holder: string;
  /** Token that is higher than those of all previous holders. */
  readonly token: number;
}

/** Requests of each client account that began to run in one window. */
export interface UsageReport {
  /** Number of the window: its begin in Unix time divided by the length of a window. */
  readonly window: number;
  /** Requests by client account. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Order for a number of backend servers. */
export interface ServerCountOrder {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
}

/** Client for the calls to the platform that are the duty of one daemon at a time. */
export interface DutyClient {
  /** Reports the usage of a window. A repetition with the same counts is ignored by the platform. */
  reportUsage(
    report: UsageReport,
    fence: DutyFence,
  ): Promise<DutyCallOutcome>;
  /** Orders a number of servers of a service in a zone. */
  requestServers(
    order: ServerCountOrder,
    fence: DutyFence,
  ): Promise<DutyCallOutcome>;
}
