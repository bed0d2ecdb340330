/**
 * Whether a backend server may have run a request.
 *
 * - `not-run`: no byte of the request reached a backend server.
 * - `may-have-run`: a backend server may have run it; the outcome is unknown.
 * - `ran`: a backend server ran it and reported an outcome.
 */
export type Verdict = "not-run" | "may-have-run" | "ran";

const VERDICT_ORDER: readonly Verdict[] = ["not-run", "may-have-run", "ran"];

/**
 * Combines the verdicts of two attempts of one request into the verdict of the request.
 *
 * @param first - Verdict of one attempt.
 * @param second - Verdict of another attempt.
 * @returns The verdict that comes later in the order `not-run`, `may-have-run`, `ran`.
 * @example
 * ```ts
 * combineVerdicts("not-run", "may-have-run"); // "may-have-run"
 * ```
 */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
  return VERDICT_ORDER.indexOf(first) >= VERDICT_ORDER.indexOf(second)
    ? first
    : second;
}
