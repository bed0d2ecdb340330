import type { DutyClient } from "../../connection/duty_client.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { Metrics } from "../metrics.ts";
import type { RoutingPart } from "../routing_parts.ts";
import type { DutySettings } from "../routing_settings.ts";
import { ScalingTask, type ScalingTaskOptions } from "./scaling_task.ts";
import { WaitingSection } from "./waiting_section.ts";

/** Options of the part that orders servers, of which some are missing where it is off. */
export interface ScalingPartOptions
  extends Omit<ScalingTaskOptions, "section" | "client" | "lease"> {
  readonly duties: DutySettings | undefined;
  readonly client: DutyClient | undefined;
  readonly lease: DutyLease | undefined;
}

/** Creates the part that orders the number of servers; undefined when the settings do not contain the duty, or the platform has no calls for it. */
export function createScalingPart(
  { duties, client, lease, ...options }: ScalingPartOptions,
): RoutingPart | undefined {
  const isOn = duties?.kinds.includes("server-scaling") === true;
  if (!isOn || client === undefined || lease === undefined) {
    return undefined;
  }
  const section = new WaitingSection();
  const task = new ScalingTask({ ...options, client, lease, section });
  return {
    name: "server-scaling",
    sections: [section],
    tasks: new Map([["scaling", task]]),
    addGauges: (metrics: Metrics) => {
      metrics.addGauge({
        name: "kept_servers",
        help:
          "Servers to keep in each zone for the demand; 0 at daemons that do not hold the duty",
        getValue: () => task.keptServers,
      });
      metrics.addGauge({
        name: "reported_daemons",
        help: "Daemons whose waiting requests are known, with this one",
        getValue: () => section.getTotal().daemons,
      });
    },
  };
}
