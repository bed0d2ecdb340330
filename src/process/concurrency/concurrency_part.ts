import type { Logger } from "../../shared/logger.ts";
import type { RoutingPart } from "../routing_parts.ts";
import { ConcurrencyReports } from "./concurrency_reports.ts";
import { LearnedConcurrency } from "./learned_concurrency.ts";

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
    },
  };
}
