import type { ClientAccountConfig } from "../version/config_schema.ts";

/** Context of a caller's request. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: ClientAccountConfig;
  /** Deadline of the request, in milliseconds of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}
