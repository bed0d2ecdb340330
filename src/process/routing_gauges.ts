import type { Metrics } from "./metrics.ts";

/** Figures of a routing daemon that its gauges show. */
export interface RoutingFigures {
  countServingGroups(): number;
  countWaitingRequests(): number;
  countLimitedServers(): number;
  countLeavingServers(): number;
  countPausedServers(): number;
  /** Gets the number of listed backend servers, and the revision of the store up to which the list is complete. */
  getServerList(): { readonly size: number; readonly revision: number };
  getConfigVersion(): number;
  getStoreGeneration(): number;
  countPeers(): number;
}

/** Adds the gauges that every routing daemon has. */
export function addRoutingGauges(
  metrics: Metrics,
  figures: RoutingFigures,
): void {
  metrics.addGauge({
    name: "serving_groups",
    help: "Groups that accept requests",
    getValue: () => figures.countServingGroups(),
  });
  metrics.addGauge({
    name: "listed_servers",
    help: "Backend servers in the list of this daemon",
    getValue: () => figures.getServerList().size,
  });
  metrics.addGauge({
    name: "server_list_revision",
    help: "Revision of the store up to which the list of servers is complete",
    getValue: () => figures.getServerList().revision,
  });
  metrics.addGauge({
    name: "waiting_requests",
    help: "Requests that wait for a slot in a group",
    getValue: () => figures.countWaitingRequests(),
  });
  metrics.addGauge({
    name: "limited_servers",
    help: "Backend servers that state a limit of their request rate",
    getValue: () => figures.countLimitedServers(),
  });
  metrics.addGauge({
    name: "leaving_servers",
    help: "Backend servers that state that they are about to stop",
    getValue: () => figures.countLeavingServers(),
  });
  metrics.addGauge({
    name: "paused_servers",
    help: "Backend servers that want no request from this daemon for a time",
    getValue: () => figures.countPausedServers(),
  });
  metrics.addGauge({
    name: "config_version",
    help: "Version of the configuration in force",
    getValue: () => figures.getConfigVersion(),
  });
  metrics.addGauge({
    name: "store_generation",
    help:
      "Generation of the store, which rises when it is restored from a copy",
    getValue: () => figures.getStoreGeneration(),
  });
  metrics.addGauge({
    name: "peers",
    help: "Other daemons that are linked with this one",
    getValue: () => figures.countPeers(),
  });
}
