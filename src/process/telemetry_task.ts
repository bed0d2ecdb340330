import { monitorEventLoopDelay } from "node:perf_hooks";
import { delay } from "../shared/delay.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { ReceivedGroupHealth } from "./group_health.ts";

/** Sampling interval of the event loop delay in milliseconds. It is coarse, since each sample wakes an idle process. */
const LOOP_DELAY_RESOLUTION_MS = 100;
const NANOSECONDS_PER_MS = 1_000_000;
/** Maximum number of events that are recorded for one change of the quarantine list. */
const MAX_EVENTS_PER_CHANGE = 64;

/** Task that records the metrics and events that don't belong to a single request: gauges, the event loop delay, and changes of the configuration, group health and quarantine list. */
export class TelemetryTask {
  readonly #context: DaemonContext;
  readonly #servingGroupIds = new Set<string>();
  #quarantinedFingerprints = new Set<string>();

  constructor(context: DaemonContext) {
    this.#context = context;
    this.#addGauges();
    context.configHolder.onChange(({ version }) => {
      context.metrics.count("config_changes");
      // The log line is written by the code that applies the configuration, which also knows its source.
      context.timeline.record({ event: "config-applied", fields: { version } });
    });
    context.healthTable.onChange((health) => this.#recordHealthChange(health));
    context.quarantine.onChange(() => this.#recordQuarantineChange());
  }

  /** Runs until the daemon stops. */
  async run(): Promise<void> {
    const { settings, lifeCycle, metrics } = this.#context;
    const monitor = monitorEventLoopDelay({
      resolution: LOOP_DELAY_RESOLUTION_MS,
    });
    monitor.enable();
    while (await delay(settings.exchangeIntervalMs, lifeCycle.signal)) {
      // The monitor measures the time between two samples, so each value includes the sampling interval.
      const maxDelayMs = monitor.max / NANOSECONDS_PER_MS -
        LOOP_DELAY_RESOLUTION_MS;
      metrics.record("event_loop_delay", Math.max(0, maxDelayMs));
      monitor.reset();
    }
    monitor.disable();
  }

  #addGauges(): void {
    const { metrics, heldBytes, inFlightStreams, configHolder } = this.#context;
    metrics.addGauge({
      name: "held_bytes",
      help: "Bytes buffered for callers and engines.",
      getValue: () => heldBytes.getHeldBytes().processBytes,
    });
    metrics.addGauge({
      name: "chat_requests_in_flight",
      help: "Chat requests in flight.",
      getValue: () => inFlightStreams.getStreams().length,
    });
    metrics.addGauge({
      name: "config_version",
      help: "Version of the configuration in force.",
      getValue: () => configHolder.getVersion(),
    });
    metrics.addGauge({
      name: "free_share_slots",
      help:
        "Free slots of this daemon's shares and loans, summed over all groups.",
      getValue: () => this.#getFreeSlots(),
    });
  }

  #getFreeSlots(): number {
    const { ledger } = this.#context.sharedAdmission;
    return ledger.getGroupIds().reduce(
      (sum, groupId) =>
        sum + ledger.getFreeCapacity(groupId, Number.NEGATIVE_INFINITY).slots,
      0,
    );
  }

  #recordHealthChange(health: ReceivedGroupHealth): void {
    const { groupId, generation, state, observer } = health;
    if (state !== "incomplete") {
      this.#servingGroupIds.add(groupId);
    } else if (this.#servingGroupIds.delete(groupId)) {
      this.#context.metrics.count("group_losses");
      this.#context.events.record("warn", {
        event: "group-lost",
        fields: { group: groupId, generation, observer },
      });
    }
  }

  #recordQuarantineChange(): void {
    const quarantinedRequests = this.#context.quarantine.getQuarantined();
    const addedRequests = quarantinedRequests.filter((r) =>
      !this.#quarantinedFingerprints.has(r.fingerprint)
    );
    this.#quarantinedFingerprints = new Set(
      quarantinedRequests.map((r) => r.fingerprint),
    );
    for (const request of addedRequests.slice(0, MAX_EVENTS_PER_CHANGE)) {
      this.#context.events.record("warn", {
        event: "quarantine-added",
        fields: {
          fingerprint: request.fingerprint,
          groups: request.groups.join(","),
        },
      });
    }
  }
}
