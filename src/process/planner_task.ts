import { delay } from "../shared/delay.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { DomainReconciler } from "./planner/domain_reconciler.ts";
import { ServerStatusPoller } from "./planner/server_status_poller.ts";
import { getAcquisitionDelayMs } from "./planner/lease_candidates.ts";
import { PlannerLease } from "./planner/planner_lease.ts";

/** Number of checks of each lease within its duration. A renewal is due after a third of the duration. */
const LEASE_CHECKS_PER_DURATION = 6;

interface ZonePlanner {
  readonly zone: string;
  readonly lease: PlannerLease;
  readonly statusPoller: ServerStatusPoller;
}

/** Task that acquires the planner leases of zones and plans the fabric domains of each zone whose lease this daemon holds. */
export class PlannerTask {
  readonly #context: DaemonContext;
  readonly #planners = new Map<string, ZonePlanner>();

  constructor(context: DaemonContext) {
    this.#context = context;
    context.lifeCycle.addCallback(() => this.releaseLeases());
  }

  /** Refreshes leases and plans periodically until the daemon stops. */
  async run(): Promise<void> {
    await Promise.all([this.#runLeaseLoop(), this.#runPlanLoop()]);
  }

  /** Checks the leases of all zones once: acquires free ones and renews those that are held. */
  async refreshLeases(): Promise<void> {
    await Promise.all(
      this.#getZones().map((zone) => this.#refreshLease(zone)),
    );
  }

  /** Runs the planner once for each zone whose lease this daemon holds. */
  async planOnce(): Promise<void> {
    await Promise.all(
      [...this.#planners.values()].map((planner) => this.#planZone(planner)),
    );
  }

  /** Releases all leases. */
  async releaseLeases(): Promise<void> {
    await Promise.all(
      [...this.#planners.values()].map((planner) => planner.lease.release()),
    );
  }

  async #runLeaseLoop(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      await this.#tryRun("lease-failed", () => this.refreshLeases());
    } while (
      await delay(
        settings.leaseDurationMs / LEASE_CHECKS_PER_DURATION,
        lifeCycle.signal,
      )
    );
  }

  async #runPlanLoop(): Promise<void> {
    const { settings, lifeCycle } = this.#context;
    do {
      await this.#tryRun("plan-failed", () => this.planOnce());
    } while (await delay(settings.planIntervalMs, lifeCycle.signal));
  }

  async #tryRun(event: string, run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      this.#context.logger.write("error", event, { message: String(error) });
    }
  }

  /** Gets the zones of the configuration, the backend servers and the placements. */
  #getZones(): string[] {
    const { configHolder, vmTable, placementHolder } = this.#context;
    return [
      ...new Set([
        ...(configHolder.getCurrent()?.document.zones ?? []).map((z) => z.name),
        ...vmTable.getBackendVms().map((vm) => vm.zone),
        ...placementHolder.getPlacements().map((p) => p.placement.zone),
      ]),
    ];
  }

  async #refreshLease(zone: string): Promise<void> {
    const { settings, vmTable, lifeCycle, events } = this.#context;
    const delayMs = getAcquisitionDelayMs(zone, {
      name: settings.name,
      entryVms: vmTable.getEntryVms(),
      durationMs: settings.leaseDurationMs,
    });
    const planner = this.#getPlanner(zone);
    const isCandidate = delayMs !== undefined || planner.lease.isHeld();
    if (!isCandidate || lifeCycle.signal.aborted) {
      return;
    }
    if (await planner.lease.refresh(delayMs)) {
      planner.statusPoller.clear();
      events.record("info", { event: "lease-acquired", fields: { zone } });
    }
  }

  #getPlanner(zone: string): ZonePlanner {
    let planner = this.#planners.get(zone);
    if (planner === undefined) {
      const { store, settings } = this.#context;
      planner = {
        zone,
        lease: new PlannerLease({
          store,
          zone,
          holder: settings.name,
          durationMs: settings.leaseDurationMs,
        }),
        statusPoller: new ServerStatusPoller(this.#context),
      };
      this.#planners.set(zone, planner);
    }
    return planner;
  }

  async #planZone(planner: ZonePlanner): Promise<void> {
    const { vmTable, placementHolder } = this.#context;
    const { zone, lease, statusPoller } = planner;
    if (!lease.isHeld()) {
      return;
    }
    const vms = vmTable.getBackendVms().filter((vm) => vm.zone === zone);
    await statusPoller.refreshStatuses(vms, zone);
    const domains = new Set([
      ...vms.flatMap((vm) => vm.fabricDomain ?? []),
      ...placementHolder.getPlacements()
        .filter((p) => p.placement.zone === zone)
        .map((p) => p.placement.fabricDomain),
    ]);
    const reconciler = new DomainReconciler({
      context: this.#context,
      ...planner,
    });
    for (const domain of [...domains].sort()) {
      if (lease.isHeld()) {
        await reconciler.run(domain);
      }
    }
  }
}
