import type { BackendTransport } from "../connection/backend_transport.ts";
import type { LifeCycleManager } from "../shared/life_cycle_manager.ts";
import type { Logger } from "../shared/logger.ts";
import type { RouteTable } from "../version/route_table.ts";
import type { LearnedConcurrency } from "./concurrency/learned_concurrency.ts";
import type { BackendDirectory } from "./fleet/backend_directory.ts";
import type { ColdLimits } from "./fleet/cold_limits.ts";
import type { CrashCounter } from "./fleet/crash_counter.ts";
import type { GroupAdmission } from "./fleet/group_admission.ts";
import type { GroupFailureDetector } from "./fleet/group_failure_detector.ts";
import type { GroupTable } from "./fleet/group_table.ts";
import type { PromptPartQuarantine } from "./fleet/prompt_part_quarantine.ts";
import type { ServiceRetryBudget } from "./fleet/service_retry_budget.ts";
import type { ServerLimits } from "./fleet/server_limits.ts";
import type { StreamAttempts } from "./fleet/stream_attempts.ts";
import type { ServerStatements } from "./fleet/server_statements.ts";
import type { ServerLoads } from "./fleet/server_loads.ts";
import type { Metrics } from "./metrics.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { RoutingSettings } from "./routing_settings.ts";
import type { UsageRecorder } from "./usage/usage_part.ts";
import type { RefusalRecord } from "./waiting/refusal_record.ts";
import type { ServiceWaits } from "./waiting/service_waits.ts";

/** Components of a routing daemon that its request handlers share. */
export interface RoutingContext {
  readonly settings: RoutingSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly lifeCycle: LifeCycleManager;
  readonly transport: BackendTransport;
  readonly directory: BackendDirectory;
  readonly groups: GroupTable;
  readonly admission: GroupAdmission;
  readonly attempts: StreamAttempts;
  readonly groupFailureDetector: GroupFailureDetector;
  readonly serverLoads: ServerLoads;
  /** Observes the responses of servers; undefined when the settings turn it off. */
  readonly concurrency?: LearnedConcurrency;
  readonly coldLimits: ColdLimits;
  readonly serverLimits: ServerLimits;
  readonly serverStatements: ServerStatements;
  readonly crashes: CrashCounter;
  readonly promptParts: PromptPartQuarantine;
  readonly plannedStop: PlannedStop;
  /** Record of refused callers; undefined when waits are not estimated. */
  readonly refusals?: RefusalRecord;
  /** Durations of plain services; undefined when waits are not estimated. */
  readonly serviceWaits?: ServiceWaits;
  /** Gets the route table of the configuration in force; undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
  /** Gets the zones whose backend servers receive no requests. */
  getExcludedZones(): ReadonlySet<string>;
  /** Gets the budget for retries of requests to a service. */
  getRetryBudget(service: string): ServiceRetryBudget;
  /** Gets the counter of the requests of client accounts; undefined when usage is not reported. */
  getUsageRecorder(): UsageRecorder | undefined;
}
