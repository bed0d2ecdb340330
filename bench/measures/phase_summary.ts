import type { LoadResult } from "../load/load_result.ts";
import { createLoadSummary, type LoadSummary } from "../load/load_summary.ts";

/** Named period of a load. */
export interface LoadPhase {
  readonly name: string;
  /** Time from the start of the load to the start of the phase, in milliseconds. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** Summary of the requests that started in a phase. */
export interface PhaseSummary {
  readonly phase: string;
  readonly summary: LoadSummary;
}

/**
 * Summarises results by the phase in which the request started.
 *
 * @param results - Results of the load.
 * @param phases - Phases with exclusive end times.
 */
export function createPhaseSummaries(
  results: readonly LoadResult[],
  phases: readonly LoadPhase[],
): PhaseSummary[] {
  return phases.map((phase) => ({
    phase: phase.name,
    summary: createLoadSummary(
      results.filter((r) =>
        r.startedAtMs >= phase.fromMs && r.startedAtMs < phase.toMs
      ),
    ),
  }));
}
