import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import { RetainedModels } from "../placement/retained_models.ts";
import {
  ReportedGroups,
  type ReportedGroupsOptions,
} from "./reported_groups.ts";

/** Time for which the number of fabric domains has to stay the same before the domains of a new fleet count as complete, in milliseconds. Each domain is assigned a model once, so all domains have to be known first. */
const DOMAIN_SETTLE_MS = 300;

/** What the planner has observed and decided for one service. */
export class ServiceState {
  readonly reportedGroups: ReportedGroups;
  /** Model assigned to each fabric domain. */
  assignments: ReadonlyMap<string, string> = new Map();
  /** Models that domains keep while too few of their servers are registered. */
  retainedModels: RetainedModels;
  readonly #logger: Logger;
  #domainCount = 0;
  #domainCountChangedAtMs = performance.now();

  constructor(options: ReportedGroupsOptions) {
    this.#logger = options.logger;
    this.reportedGroups = new ReportedGroups(options);
    this.retainedModels = new RetainedModels(options);
  }

  /** Forgets what an earlier term has decided, since another planner may have changed it. */
  startTerm(): void {
    this.assignments = new Map();
    this.retainedModels = new RetainedModels({ logger: this.#logger });
  }

  /**
   * Gets whether the number of fabric domains of the service has not changed for `DOMAIN_SETTLE_MS`.
   *
   * @param servers - Servers of the service.
   */
  isDomainCountSettled(servers: readonly BackendServer[]): boolean {
    const domainCount = new Set(servers.map(({ domain }) => domain)).size;
    if (domainCount !== this.#domainCount) {
      this.#domainCount = domainCount;
      this.#domainCountChangedAtMs = performance.now();
    }
    return performance.now() - this.#domainCountChangedAtMs >= DOMAIN_SETTLE_MS;
  }
}
