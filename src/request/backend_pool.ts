import type { VmTable } from "../process/vm_table.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import type { ZonePolicy } from "../version/zone_policy.ts";

/** Time for which a backend server is avoided after a failed attempt, in milliseconds. */
const FAILED_BACKEND_AVOIDANCE_MS = 2_000;

/** Reserved slot for one attempt at a backend server. */
export interface BackendLease {
  readonly address: string;
  /**
   * Releases the slot. Further calls have no effect.
   *
   * @param outcome - How the attempt ended.
   */
  release(outcome: "answered" | "failed" | "cancelled"): void;
}

/** Load balancer for the backend servers of services. */
export class BackendPool {
  readonly #zonePolicy: ZonePolicy;
  readonly #vmTable: VmTable;
  readonly #runningCounts = new Map<string, number>();
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: { zonePolicy: ZonePolicy; vmTable: VmTable }) {
    this.#zonePolicy = options.zonePolicy;
    this.#vmTable = options.vmTable;
  }

  /**
   * Reserves a slot at the backend server with the fewest running calls. Backend servers that failed recently or were tried before come last; those on leaving VMs and in zones that take no new work are skipped.
   *
   * @param service - Service to call.
   * @param triedAddresses - Addresses of earlier attempts of the same call.
   * @returns The lease of the slot, or undefined when no backend server has a free slot.
   */
  tryAcquire(
    service: ServiceConfig,
    triedAddresses: ReadonlySet<string>,
  ): BackendLease | undefined {
    const leavingAddresses = this.#getLeavingAddresses();
    const candidates = service.backends
      .filter((b) => this.#zonePolicy.takesNewWork(b.zone))
      .map((b) => b.address)
      .filter((a) => !leavingAddresses.has(a))
      .filter((a) => this.getRunningCount(a) < service.maxConcurrent)
      .map((address) => ({
        address,
        penalty: (triedAddresses.has(address) ? 2 : 0) +
          (this.#isAvoided(address) ? 1 : 0),
        runningCount: this.getRunningCount(address),
        // Ties are broken at random, so that not all daemons prefer the first backend server.
        tieBreaker: Math.random(),
      }));
    candidates.sort((a, b) =>
      a.penalty - b.penalty || a.runningCount - b.runningCount ||
      a.tieBreaker - b.tieBreaker
    );
    const bestCandidate = candidates.at(0);
    return bestCandidate === undefined
      ? undefined
      : this.#createLease(bestCandidate.address);
  }

  /**
   * Returns the number of calls that this daemon is running at a backend server.
   *
   * @param address - Address as `host:port`.
   */
  getRunningCount(address: string): number {
    return this.#runningCounts.get(address) ?? 0;
  }

  #createLease(address: string): BackendLease {
    this.#runningCounts.set(address, this.getRunningCount(address) + 1);
    let isReleased = false;
    return {
      address,
      release: (outcome) => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        this.#releaseSlot(address);
        if (outcome === "failed") {
          this.#avoidedUntilMs.set(
            address,
            performance.now() + FAILED_BACKEND_AVOIDANCE_MS,
          );
        } else if (outcome === "answered") {
          this.#avoidedUntilMs.delete(address);
        }
      },
    };
  }

  #releaseSlot(address: string): void {
    const runningCount = this.getRunningCount(address) - 1;
    if (runningCount > 0) {
      this.#runningCounts.set(address, runningCount);
    } else {
      this.#runningCounts.delete(address);
    }
  }

  #isAvoided(address: string): boolean {
    const untilMs = this.#avoidedUntilMs.get(address);
    if (untilMs !== undefined && untilMs <= performance.now()) {
      this.#avoidedUntilMs.delete(address);
      return false;
    }
    return untilMs !== undefined;
  }

  #getLeavingAddresses(): ReadonlySet<string> {
    return new Set(
      this.#vmTable.getVms()
        .filter((vm) => vm.role === "backend" && vm.state === "leaving")
        .map((vm) => vm.address),
    );
  }
}
