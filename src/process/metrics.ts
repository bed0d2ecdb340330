import type { Histogram } from "hdr-histogram-js";
// The index of the library also loads its log writer, whose number formats take a tenth of the start of a daemon.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";

const Int32Histogram = constructorFromBucketSize(32);

const HIGHEST_TRACKABLE_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1_000;
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** Names of the durations that are recorded in histograms. */
export type DurationName =
  | "admission_wait"
  | "time_to_first_token"
  | "time_between_tokens"
  | "chat_duration"
  | "service_duration"
  | "store_call"
  | "peer_exchange"
  | "event_loop_delay";

/** Names of the counters. */
export type CounterName =
  | "chat_requests"
  | "service_requests"
  | "refusals"
  | "resumes"
  | "parks"
  | "group_losses"
  | "tokens"
  | "claims"
  | "orders"
  | "status_requests"
  | "health_checks"
  | "duty_calls"
  | "server_orders"
  | "peer_bytes_sent"
  | "store_reads"
  | "store_writes"
  | "config_changes"
  | "unanswered_ends"
  | "early_refusals"
  | "early_takeovers"
  | "requests_beyond_slots";

/** Gauge whose value is read each time the metrics are rendered. */
export interface Gauge {
  readonly name: string;
  readonly help: string;
  /** Gets the current value. */
  getValue(): number;
}

/** Gauge with a value for each of a bounded number of subjects, which are read each time the metrics are rendered. */
export interface LabeledGauge {
  readonly name: string;
  readonly help: string;
  /** Name of the label that identifies the subject. */
  readonly label: string;
  /** Lists the current values by subject. */
  listValues(): readonly (readonly [subject: string, value: number])[];
}

/** Metrics of one process: counters, gauges and quantiles of durations. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<DurationName, Histogram>();
  readonly #gauges: Gauge[] = [];
  readonly #labeledGauges: LabeledGauge[] = [];

  /**
   * Increments a counter.
   *
   * @param name - Name of the counter.
   * @param options - Label, and amount to add; defaults to no label and an amount of 1.
   * @example
   * ```ts
   * metrics.count("refusals", { label: "no-capacity" });
   * ```
   */
  count(
    name: CounterName,
    options: { label?: string; amount?: number } = {},
  ): void {
    const key = getCounterKey(name, options.label);
    this.#counters.set(
      key,
      (this.#counters.get(key) ?? 0) + (options.amount ?? 1),
    );
  }

  /**
   * Gets the value of a counter; 0 when it has not been incremented.
   *
   * @param name - Name of the counter.
   * @param label - Label of the counter.
   */
  getCount(name: CounterName, label?: string): number {
    return this.#counters.get(getCounterKey(name, label)) ?? 0;
  }

  /**
   * Records a duration.
   *
   * @param name - Name of the duration.
   * @param durationMs - Duration in milliseconds.
   */
  record(name: DurationName, durationMs: number): void {
    const microseconds = Math.max(
      1,
      Math.round(durationMs * MICROSECONDS_PER_MS),
    );
    this.#getHistogram(name).recordValue(
      Math.min(microseconds, HIGHEST_TRACKABLE_MICROSECONDS),
    );
  }

  /**
   * Gets a quantile of a duration in milliseconds; 0 when no value was recorded.
   *
   * @param name - Name of the duration.
   * @param quantile - Quantile from 0 to 1.
   */
  getQuantileMs(name: DurationName, quantile: number): number {
    const histogram = this.#histograms.get(name);
    return histogram === undefined
      ? 0
      : histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS;
  }

  /**
   * Registers a gauge.
   *
   * @param gauge - Gauge to render with the metrics.
   */
  addGauge(gauge: Gauge): void {
    this.#gauges.push(gauge);
  }

  /**
   * Registers a gauge with a value for each of several subjects.
   *
   * @param gauge - Gauge to render with the metrics.
   */
  addLabeledGauge(gauge: LabeledGauge): void {
    this.#labeledGauges.push(gauge);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines = [
      ...this.#renderCounters(),
      ...this.#renderGauges(),
      ...this.#renderLabeledGauges(),
      ...this.#renderHistograms(),
    ];
    return `${lines.join("\n")}\n`;
  }

  #getHistogram(name: DurationName): Histogram {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = new Int32Histogram(
        1,
        HIGHEST_TRACKABLE_MICROSECONDS,
        SIGNIFICANT_DIGITS,
      );
      histogram.autoResize = true;
      this.#histograms.set(name, histogram);
    }
    return histogram;
  }

  #renderCounters(): string[] {
    const lines: string[] = [];
    for (const [key, value] of [...this.#counters].sort()) {
      const [name, label] = key.split("\u0000");
      const labels = label === undefined ? "" : `{kind="${label}"}`;
      lines.push(`tarragontally_${name}_total${labels} ${value}`);
    }
    return lines;
  }

  #renderGauges(): string[] {
    return this.#gauges.flatMap((gauge) => [
      `# HELP tarragontally_${gauge.name} ${gauge.help}`,
      `# TYPE tarragontally_${gauge.name} gauge`,
      `tarragontally_${gauge.name} ${gauge.getValue()}`,
    ]);
  }

  #renderLabeledGauges(): string[] {
    return this.#labeledGauges.flatMap(({ name, help, label, listValues }) => [
      `# HELP tarragontally_${name} ${help}`,
      `# TYPE tarragontally_${name} gauge`,
      // A JSON string escapes quotes and backslashes as a label value does.
      ...listValues().map(([subject, value]) =>
        `tarragontally_${name}{${label}=${JSON.stringify(subject)}} ${
          value === Number.POSITIVE_INFINITY ? "+Inf" : value
        }`
      ),
    ]);
  }

  #renderHistograms(): string[] {
    const lines: string[] = [];
    for (const [name, histogram] of [...this.#histograms].sort()) {
      const metric = `tarragontally_${name}_seconds`;
      lines.push(`# TYPE ${metric} summary`);
      for (const quantile of QUANTILES) {
        const seconds = this.getQuantileMs(name, quantile) / 1_000;
        lines.push(`${metric}{quantile="${quantile}"} ${seconds}`);
      }
      lines.push(`${metric}_count ${histogram.totalCount}`);
    }
    return lines;
  }
}

function getCounterKey(name: CounterName, label: string | undefined): string {
  return label === undefined ? name : `${name}\u0000${label}`;
}
