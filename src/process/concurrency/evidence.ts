/** Largest ratio that one observation counts with. A single stall of some seconds is a hundred times the usual pause, and must not outweigh the other observations. */
export const MAX_RATIO = 8;
/** Observed time that gives an observation of a stream the weight 1, in milliseconds. A stream of one second has a weight of 2, whatever the length of its pauses. */
const FULL_WEIGHT_MS = 500;
/** Smallest standard deviation that is assumed of the ratios of single observations. A few equal observations do not prove that a server has no variance. */
const MIN_DEVIATION = 0.3;
/** Number of standard errors by which a mean has to exceed a bound. Each server is evaluated 4 times a second, so that with 1.5, in a trial, chance found servers slow 41 times in a minute among 10 whose durations varied by a factor of 4. */
const STANDARD_ERRORS = 3;
/** Share of the servers, from the fastest on, whose ratio is the usual one. A lower share follows the chance of the single fastest server, a higher one hides a slowdown of the majority. */
const BASELINE_SHARE = 0.2;

/** Sums over observations of the ratio of an observed duration to the expected one. The sums of several daemons are added. */
export interface Evidence {
  /** Sum of the weights of the observations, by the time observed; the weight of a whole request is about 1. */
  readonly weight: number;
  /** Sum of the expected durations, by which the ratios are weighted. The mean ratio is then the total time observed over the total time expected; weighting by the time observed would count long pauses by their square. */
  readonly expected: number;
  /** Weighted sum of the ratios. */
  readonly ratios: number;
  /** Weighted sum of the squared ratios. */
  readonly squares: number;
  /** Weighted sum of the concurrent requests. */
  readonly loads: number;
}

/** Figures derived from evidence. */
export interface Assessment {
  /** Mean ratio; 2 when the server takes twice as long as expected. */
  readonly ratio: number;
  /** Ratio that the true one exceeds very probably. */
  readonly lowRatio: number;
  /** Mean number of concurrent requests. */
  readonly load: number;
}

/** Error of the mean ratio in evidence. */
export interface EvidenceError {
  /** Standard deviation of the ratios of single observations, in multiples of the baseline. It falls with their number. */
  readonly deviation: number;
  /** Standard deviation of the mean of any number of observations, which all of them share. */
  readonly sharedDeviation: number;
}

export const NO_EVIDENCE: Evidence = {
  weight: 0,
  expected: 0,
  ratios: 0,
  squares: 0,
  loads: 0,
};

/** Number of periods that a window keeps. With evaluations each 250 ms, it is 2 s long. */
export const WINDOW_PERIODS = 8;
/** Number of periods that are always used, so that a hiccup of a single period does not count alone. */
const MIN_PERIODS = 2;

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** Collects the evidence of the last periods. An observation costs a few additions; old ones are dropped by whole periods. */
export class EvidenceWindow {
  /** Evidence by period, the current one first. */
  readonly #periods: Mutable<Evidence>[] = [{ ...NO_EVIDENCE }];

  /**
   * Adds an observation.
   *
   * @param ratio - Observed duration divided by the expected one.
   * @param expected - Share of a whole request that was expected in the observed time.
   * @param weight - Weight of the observation, from 0 to 1.
   * @param load - Number of concurrent requests at the server.
   */
  add(ratio: number, expected: number, weight: number, load: number): void {
    addObservation(this.#periods[0], ratio, expected, weight, load);
  }

  /** Ends a period, and drops the oldest one. */
  sweep(): void {
    this.#periods.unshift({ ...NO_EVIDENCE });
    if (this.#periods.length > WINDOW_PERIODS) {
      this.#periods.pop();
    }
  }

  /**
   * Gets the evidence of the newest periods that together have a sufficient weight. A change of the speed thereby shows as soon as there is enough evidence after it.
   *
   * @param sufficientWeight - Weight from which older periods are left out.
   * @param maxPeriods - Number of periods that are used if their weight is not sufficient.
   */
  getEvidence(
    sufficientWeight: number,
    maxPeriods: number,
  ): Mutable<Evidence> {
    const evidence: Mutable<Evidence> = { ...NO_EVIDENCE };
    const count = Math.min(maxPeriods, this.#periods.length);
    for (let i = 0; i < count; i++) {
      if (i >= MIN_PERIODS && evidence.weight >= sufficientWeight) {
        break;
      }
      const period = this.#periods[i];
      evidence.weight += period.weight;
      evidence.expected += period.expected;
      evidence.ratios += period.ratios;
      evidence.squares += period.squares;
      evidence.loads += period.loads;
    }
    return evidence;
  }
}

/** Adds an observation to evidence. */
export function addObservation(
  evidence: Mutable<Evidence>,
  ratio: number,
  expected: number,
  weight: number,
  load: number,
): void {
  const boundedRatio = Math.min(MAX_RATIO, ratio);
  const weighted = boundedRatio * expected;
  evidence.weight += weight;
  evidence.expected += expected;
  evidence.ratios += weighted;
  evidence.squares += weighted * boundedRatio;
  evidence.loads += load * weight;
}

/** Adds two sums of evidence. */
export function combineEvidence(a: Evidence, b: Evidence): Evidence {
  return {
    weight: a.weight + b.weight,
    expected: a.expected + b.expected,
    ratios: a.ratios + b.ratios,
    squares: a.squares + b.squares,
    loads: a.loads + b.loads,
  };
}

/** Multiplies the weight of evidence, which leaves its means unchanged. */
export function limitWeight(evidence: Evidence, maxWeight: number): Evidence {
  const factor = Math.min(1, maxWeight / Math.max(1e-9, evidence.weight));
  return factor === 1 ? evidence : {
    weight: evidence.weight * factor,
    expected: evidence.expected * factor,
    ratios: evidence.ratios * factor,
    squares: evidence.squares * factor,
    loads: evidence.loads * factor,
  };
}

/** Converts evidence to multiples of a baseline. */
export function convertToBaseline(
  evidence: Evidence,
  baseline: number,
): Evidence {
  return {
    ...evidence,
    ratios: evidence.ratios / baseline,
    squares: evidence.squares / (baseline * baseline),
  };
}

/**
 * Gets the weight of a part of a stream.
 *
 * @param partMs - Observed or expected duration, in milliseconds.
 */
export function getStreamWeight(partMs: number): number {
  return Math.min(1, partMs / FULL_WEIGHT_MS);
}

/**
 * Assesses evidence.
 *
 * The lower ratio is the mean less a few standard errors. Their standard deviation is that of the servers with which this one is compared: a few observations say little about their own variance, and those of a server that has just become slow are partly usual and partly slow.
 *
 * @param evidence - Evidence of at least one observation.
 * @param error - Error of its mean ratio.
 * @example
 * ```ts
 * measureEvidence(evidence, { deviation: 0.3, sharedDeviation: 0.1 });
 * ```
 */
export function measureEvidence(
  { weight, expected, ratios, loads }: Evidence,
  { deviation, sharedDeviation }: EvidenceError,
): Assessment {
  const ratio = ratios / expected;
  const error = Math.hypot(deviation / Math.sqrt(weight), sharedDeviation);
  return {
    ratio,
    lowRatio: ratio - STANDARD_ERRORS * error,
    load: loads / weight,
  };
}

/** Gets the standard deviation of the ratios in evidence, which is at least a share of their mean. */
export function getDeviation({ expected, ratios, squares }: Evidence): number {
  const ratio = ratios / expected;
  return Math.max(
    MIN_DEVIATION * ratio,
    Math.sqrt(Math.max(0, squares / expected - ratio * ratio)),
  );
}

/** What is usual among the servers of one service, or the groups of one model. */
export interface UsualFigures {
  /** Ratio that counts as usual. */
  readonly baseline: number;
  /** Standard deviation of single observations, in multiples of the baseline. */
  readonly deviation: number;
}

/** Figures without evidence: the expected durations are right. */
export const DEFAULT_USUAL_FIGURES: UsualFigures = {
  baseline: 1,
  deviation: MIN_DEVIATION,
};

/**
 * Gets what is usual among servers: their baseline, and the median of their deviations.
 *
 * @param evidence - Sufficient evidence of each server.
 */
export function getUsualFigures(evidence: readonly Evidence[]): UsualFigures {
  const baseline = getBaseline(
    evidence.map(({ ratios, expected }) => ratios / expected),
  );
  const deviations = evidence.map((one) => getDeviation(one) / baseline)
    .sort((a, b) => a - b);
  return {
    baseline,
    deviation: Math.max(
      MIN_DEVIATION,
      deviations[Math.floor((deviations.length - 1) / 2)],
    ),
  };
}

/**
 * Gets the ratio that counts as usual among the servers of one service, or the groups of one model. It is 1 when the expected durations are right. When all servers differ from them alike, for example because the network adds to each pause, it is the ratio of the faster servers, so that no server is slow only since the expectation is wrong.
 *
 * @param ratios - Ratios of the servers with sufficient evidence.
 */
function getBaseline(ratios: readonly number[]): number {
  if (ratios.length < 2) {
    return 1;
  }
  const sortedRatios = [...ratios].sort((a, b) => a - b);
  const usual = sortedRatios[
    Math.floor((sortedRatios.length - 1) * BASELINE_SHARE)
  ];
  // A majority of slow servers must not hide that the others are as fast as expected.
  return usual <= 1 ? usual : Math.max(1, sortedRatios[0]);
}
