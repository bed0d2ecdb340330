import type { Logger } from "../../shared/logger.ts";
import type { Evidence } from "./evidence.ts";
import type { EstimateChange } from "./server_estimator.ts";
import type { ServerRecord } from "./server_record.ts";

/** Maximum number of lines in a period, so that a slowdown of the whole fleet does not fill the log. */
const MAX_LINES = 50;
/** Length of the period, in milliseconds. */
const PERIOD_MS = 10_000;

/** Evidence of a change. */
export interface ChangeEvidence {
  /** Evidence of this daemon and its peers, in multiples of the baseline. */
  readonly evidence: Evidence;
  /** Evidence of this daemon. */
  readonly own: Evidence;
  /** Ratio of observed to expected durations that is usual. */
  readonly baseline: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Writes a line when a server begins or ends to deviate from the others, at most 50 in 10 s. */
export class EstimateLog {
  readonly #logger: Logger;
  #lineCount = 0;
  #periodStartMs = Number.NEGATIVE_INFINITY;

  constructor(options: { logger: Logger }) {
    this.#logger = options.logger;
  }

  /** Writes the line of a change. */
  write(
    change: EstimateChange,
    { key, estimator, expectedMs, observedAtMs }: ServerRecord,
    { evidence, own, baseline, nowMs }: ChangeEvidence,
  ): void {
    if (nowMs - this.#periodStartMs >= PERIOD_MS) {
      this.#periodStartMs = nowMs;
      this.#lineCount = 0;
    }
    if (this.#lineCount++ >= MAX_LINES) {
      return;
    }
    const { speed, limit } = estimator;
    const hasOwn = own.weight > 0;
    const usualMs = expectedMs * baseline;
    const isBegin = change === "begun";
    this.#logger.write("info", isBegin ? "server-slow" : "server-not-slow", {
      server: key,
      reason: isBegin ? undefined : change,
      ratio: evidence.weight > 0
        ? formatFigure(evidence.ratios / evidence.expected)
        : undefined,
      expectedMs: hasOwn ? Math.round(usualMs) : undefined,
      observedMs: hasOwn
        ? Math.round(usualMs * own.ratios / own.expected)
        : undefined,
      evidence: formatFigure(evidence.weight),
      ownEvidence: formatFigure(own.weight),
      ageMs: hasOwn ? Math.round(nowMs - observedAtMs) : undefined,
      speed: formatFigure(speed),
      limit: Number.isFinite(limit) ? formatFigure(limit) : undefined,
      origin: own.weight * 2 >= evidence.weight ? "own" : "peer",
    });
  }
}

function formatFigure(value: number): number {
  return Math.round(value * 100) / 100;
}
