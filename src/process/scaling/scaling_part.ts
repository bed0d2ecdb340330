import type { Metrics } from "../metrics.ts";
import type { RoutingPart } from "../routing_parts.ts";
import { ScalingTask, type ScalingTaskOptions } from "./scaling_task.ts";
import { WaitingSection } from "./waiting_section.ts";

/** Creates the part that orders the number of servers. */
export function createScalingPart(
  options: Omit<ScalingTaskOptions, "section">,
): RoutingPart {
  const section = new WaitingSection();
  const task = new ScalingTask({ ...options, section });
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
