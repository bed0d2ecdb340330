/**
 * How a request of a load ended.
 *
 * - `whole`: the complete expected response arrived before the deadline.
 * - `late`: the complete expected response arrived after the deadline.
 * - `cut`: the response started with status 200 and ended before it was complete.
 * - `wrong`: the response had unexpected content.
 * - `refused`: an error response with the verdict `not-run`.
 * - `uncertain`: an error response with another verdict.
 * - `unanswered`: the connection failed before a response, or the error response could not be parsed.
 */
export type LoadOutcome =
  | "whole"
  | "late"
  | "cut"
  | "wrong"
  | "refused"
  | "uncertain"
  | "unanswered";

/** Outcomes in the order in which reports list them. */
export const LOAD_OUTCOMES: readonly LoadOutcome[] = [
  "whole",
  "late",
  "refused",
  "uncertain",
  "unanswered",
  "cut",
  "wrong",
];

/** Result of one request of a load. */
export interface LoadResult {
  readonly id: string;
  readonly kind: "chat" | "call";
  /** Time from the start of the load until the request was sent, in milliseconds. */
  readonly startedAtMs: number;
  readonly outcome: LoadOutcome;
  /** Error code of the response. */
  readonly code?: string;
  readonly firstTokenMs?: number;
  readonly durationMs: number;
  /** Times between consecutive response chunks with content, in milliseconds. */
  readonly gapsMs: readonly number[];
}
