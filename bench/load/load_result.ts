/**
 * How a request of a load ended.
 *
 * - `whole`: the whole right answer arrived before the deadline.
 * - `late`: the whole right answer arrived after the deadline.
 * - `cut`: an accepted answer ended early.
 * - `wrong`: the answer had other content.
 * - `refused`: a refusal with the verdict `not-run`.
 * - `uncertain`: an error with another verdict.
 * - `unanswered`: the connection failed before an answer.
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
  /** Time of the request since the start of the load, in milliseconds. */
  readonly startedAtMs: number;
  readonly outcome: LoadOutcome;
  /** Code of a refusal or an error. */
  readonly code?: string;
  readonly firstTokenMs?: number;
  readonly durationMs: number;
  /** Gaps between the arrivals of two pieces of the answer, in milliseconds. */
  readonly gapsMs: readonly number[];
}
