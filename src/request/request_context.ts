import type { ClientAccountConfig } from "../version/config_schema.ts";

/** What one caller's request carries along its way. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: ClientAccountConfig;
  /** Monotonic time by which the request has to end, in milliseconds of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Aborts when the caller goes away or the deadline passes. */
  readonly signal: AbortSignal;
}
