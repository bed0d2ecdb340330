import type { Metrics } from "./metrics.ts";
import type { NoticeSection } from "./notices/notice_section.ts";
import type { BackgroundTask } from "./task_supervisor.ts";

/** Part of a routing daemon that the configuration and the settings switch on. */
export interface RoutingPart {
  readonly name: string;
  /** Sections that the part adds to the notices between daemons. */
  readonly sections: readonly NoticeSection[];
  /** Tasks that run for the life of the daemon, by name. */
  readonly tasks: ReadonlyMap<string, BackgroundTask>;
  /** Adds the gauges of the part. */
  addGauges(metrics: Metrics): void;
}
