import type { Logger } from "../../shared/logger.ts";
import type { RoutingPart } from "../routing_parts.ts";
import { ConcurrencyReports } from "./concurrency_reports.ts";
import {
  type DeviatingServer,
  LearnedConcurrency,
} from "./learned_concurrency.ts";

/** Part that learns the speed and the concurrency limit of servers and groups. */
export interface ConcurrencyPart extends RoutingPart {
  readonly concurrency: LearnedConcurrency;
}

/**
 * Creates the part of a daemon that learns the speed and the concurrency limit of servers and groups.
 *
 * @param options.getLoad - Gets the number of requests in flight in a group, over all daemons.
 * @param options.onReportChange - Called when there is a changed report to send.
 * @example
 * ```ts
 * const { concurrency } = createConcurrencyPart(options);
 * ```
 */
export function createConcurrencyPart(options: {
  logger: Logger;
  getLoad(groupKey: string): number;
  onReportChange(): void;
}): ConcurrencyPart {
  const reports = new ConcurrencyReports(options);
  const concurrency = new LearnedConcurrency({ ...options, reports });
  reports.onPeerReport(() => concurrency.applyPeerReports());
  return {
    name: "concurrency",
    concurrency,
    sections: [reports],
    tasks: new Map([["concurrency", concurrency]]),
    addGauges(metrics) {
      metrics.addGauge({
        name: "slow_servers",
        help: "Servers and groups that are found slower than their peers",
        getValue: () => concurrency.slowCount,
      });
      metrics.addGauge({
        name: "concurrency_limited_servers",
        help: "Servers and groups with a learned concurrency limit",
        getValue: () => concurrency.limitedCount,
      });
      const addServerGauge = (
        name: string,
        help: string,
        getValue: (server: DeviatingServer) => number,
      ) =>
        metrics.addLabeledGauge({
          name,
          help,
          label: "server",
          listValues: () =>
            concurrency.listEstimates().map((server) => [
              server.key,
              getValue(server),
            ]),
        });
      addServerGauge(
        "server_speed",
        "Speed of a server or group that deviates, 1 when as its peers",
        ({ speed }) => Math.round(speed * 1_000) / 1_000,
      );
      addServerGauge(
        "server_concurrency_limit",
        "Concurrent requests that a server or group handles well",
        ({ limit }) => limit,
      );
      addServerGauge(
        "server_evidence",
        "Weight of the evidence about a server or group, about 1 for a request",
        ({ evidence }) => evidence,
      );
      addServerGauge(
        "server_evidence_age_seconds",
        "Time since the newest observation of a server or group",
        ({ ageMs }) => ageMs / 1_000,
      );
    },
  };
}
