import type { Metrics } from "../metrics.ts";
import type { NoticeSection } from "../notices/notice_section.ts";
import type { RoutingPart } from "../routing_parts.ts";
import type { BackgroundTask } from "../task_supervisor.ts";
import type { RoutingSettings } from "../routing_settings.ts";
import { RefusalRecord } from "./refusal_record.ts";
import { ServiceWaits } from "./service_waits.ts";
import { WaitingNumbers } from "./waiting_numbers.ts";
import { WaitEstimates, type WaitEstimatesOptions } from "./wait_estimates.ts";

/** Options of the part. */
export type WaitingPartOptions = Omit<WaitEstimatesOptions, "numbers">;

/** Part of a routing daemon that estimates the waits of requests, refuses those without a chance, and tells their callers when to return. */
export class WaitingPart implements RoutingPart {
  readonly name = "waiting";
  readonly sections: readonly NoticeSection[];
  readonly tasks: ReadonlyMap<string, BackgroundTask> = new Map();
  readonly estimates: WaitEstimates;
  readonly refusals = new RefusalRecord();
  readonly services = new ServiceWaits();

  constructor(options: WaitingPartOptions) {
    const numbers = new WaitingNumbers();
    this.sections = [numbers, this.refusals];
    this.estimates = new WaitEstimates({ ...options, numbers });
  }

  addGauges(metrics: Metrics): void {
    metrics.addGauge({
      name: "promised_slots_ms",
      help:
        "Milliseconds until the last slot that is promised to a refused caller",
      getValue: () => this.estimates.promisedMs,
    });
    metrics.addGauge({
      name: "recorded_refusals",
      help: "Refused callers that are preferred when they return in time",
      getValue: () => this.refusals.count,
    });
  }
}

/** Creates the part; undefined unless the settings turn it on. */
export function createWaitingPart(
  { waitEstimates = false, sendsBeyondSlots }: Pick<
    RoutingSettings,
    "waitEstimates" | "sendsBeyondSlots"
  >,
  options: WaitingPartOptions,
): WaitingPart | undefined {
  return waitEstimates
    ? new WaitingPart({ ...options, sendsBeyondSlots })
    : undefined;
}
