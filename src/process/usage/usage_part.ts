import type { DutyClient } from "../../connection/duty_client.ts";
import type { SnapshotStore } from "../../connection/object_store.ts";
import { delay } from "../../shared/delay.ts";
import type { Logger } from "../../shared/logger.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { Metrics } from "../metrics.ts";
import type { RoutingPart } from "../routing_parts.ts";
import type { DutySettings } from "../routing_settings.ts";
import type { BackgroundTask } from "../task_supervisor.ts";
import { SharedClock } from "./shared_clock.ts";
import { UsageCounter } from "./usage_counter.ts";
import { UsageExchange } from "./usage_exchange.ts";
import { UsageRecordStore } from "./usage_record.ts";
import { type LeaseTimes, UsageReportTask } from "./usage_report_task.ts";

/** Interval at which the end of a window is noticed, in milliseconds. It is that of the notices. */
const REFRESH_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/** Counts the requests of client accounts that have begun to run. */
export interface UsageRecorder {
  /** Counts one request of a client account. */
  recordRequest(account: string): void;
}

/** Components of the daemon that the usage reports need. */
export interface UsagePartOptions {
  readonly settings: DutySettings;
  readonly client: DutyClient;
  readonly lease: DutyLease;
  /** Times of the lease on which the duty rests. */
  readonly leaseTimes: LeaseTimes;
  readonly store: SnapshotStore;
  readonly logger: Logger;
  /** Gets the generation of the store that this daemon knows. */
  getStoreGeneration(): number;
  /** Sends the changes of the notices soon. */
  scheduleNotices(): void;
  /** Sends the changes of the notices at once. */
  announce(): void;
}

/** Part of a daemon that counts requests by client account and window, and reports the windows while the daemon holds the duty. */
export class UsagePart implements RoutingPart {
  readonly name = "usage-report";
  readonly sections: readonly UsageExchange[];
  readonly tasks: ReadonlyMap<string, BackgroundTask>;
  readonly recorder: UsageRecorder;
  readonly #reportTask: UsageReportTask;

  constructor(options: UsagePartOptions) {
    const { settings, client, lease, leaseTimes, store, logger } = options;
    const { usageWindowMs: windowMs, usageDueMs: dueMs } = settings;
    const clock = new SharedClock();
    const counter = new UsageCounter({ clock, windowMs });
    const exchange = new UsageExchange({
      clock,
      counter,
      onChange: options.scheduleNotices,
    });
    this.recorder = counter;
    this.sections = [exchange];
    this.#reportTask = new UsageReportTask({
      records: new UsageRecordStore(store),
      client,
      lease,
      leaseTimes,
      leaseMs: settings.leaseMs,
      clock,
      logger,
      windowMs,
      dueMs,
      counts: exchange,
      getStoreGeneration: options.getStoreGeneration,
    });
    this.tasks = new Map<string, BackgroundTask>([
      ["usage-exchange", {
        run: (signal) => runExchange(exchange, options.announce, signal),
      }],
      ["usage-report", this.#reportTask],
    ]);
  }

  addGauges(metrics: Metrics): void {
    metrics.addGauge({
      name: "usage_report_age_seconds",
      help:
        "Time since the end of the last window of usage that this daemon reported; -1 before the first one",
      getValue: () => {
        const ageMs = this.#reportTask.getReportAgeMs();
        return ageMs === undefined ? -1 : ageMs / MS_PER_SECOND;
      },
    });
    metrics.addGauge({
      name: "usage_windows_skipped",
      help: "Windows of usage that this daemon did not report",
      getValue: () => this.#reportTask.skippedCount,
    });
  }
}

/** Reports the counts of this daemon until the signal aborts, and then those of the current window while the links are still open. */
async function runExchange(
  exchange: UsageExchange,
  announce: () => void,
  signal: AbortSignal,
): Promise<void> {
  signal.addEventListener("abort", () => {
    exchange.finish();
    announce();
  }, { once: true });
  while (await delay(REFRESH_INTERVAL_MS, signal)) {
    exchange.refresh();
  }
}
