import { build } from "hdr-histogram-js";
import {
  LOAD_OUTCOMES,
  type LoadOutcome,
  type LoadResult,
} from "./load_result.ts";

const MICROSECONDS_PER_MS = 1_000;

/** Quantiles of a duration in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Counts and latency quantiles of the requests of one phase. */
export interface LoadSummary {
  readonly requests: number;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  /** Share of the requests with the outcome `whole`, from 0 to 1; 1 when there are no requests. */
  readonly wholeShare: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
  /** Number of error responses by code. */
  readonly codes: Readonly<Record<string, number>>;
}

/**
 * Summarises results.
 *
 * @param results - Results of one phase.
 */
export function createLoadSummary(
  results: readonly LoadResult[],
): LoadSummary {
  const outcomes = Object.fromEntries(
    LOAD_OUTCOMES.map((
      o,
    ) => [o, results.filter((r) => r.outcome === o).length]),
  ) as Record<LoadOutcome, number>;
  const codes: Record<string, number> = {};
  for (const { code } of results) {
    if (code !== undefined) {
      codes[code] = (codes[code] ?? 0) + 1;
    }
  }
  return {
    requests: results.length,
    outcomes,
    wholeShare: results.length === 0 ? 1 : outcomes.whole / results.length,
    firstTokenMs: getQuantiles(
      results.flatMap((r) => r.firstTokenMs ?? []),
    ),
    betweenTokensMs: getQuantiles(results.flatMap((r) => r.gapsMs)),
    codes,
  };
}

/**
 * Gets the quantiles of durations.
 *
 * @param durationsMs - Durations in milliseconds.
 */
export function getQuantiles(durationsMs: readonly number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const durationMs of durationsMs) {
    histogram.recordValue(
      Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
    );
  }
  const getMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50: getMs(50), p95: getMs(95), p99: getMs(99) };
}
