import type { VmTable } from "../process/vm_table.ts";
import type { ServiceConfig } from "../version/config_schema.ts";
import type { ZonePolicy } from "../version/zone_policy.ts";

const AVOID_MS = 2_000;

/** Right to send one attempt to a backend server. */
export interface BackendLease {
  readonly address: string;
  /**
   * Gives the right back. Later calls have no effect.
   *
   * @param outcome - Whether the backend server answered.
   */
  release(outcome: "answered" | "failed" | "cancelled"): void;
}

/** Balances calls over the backend servers of plain services. */
export class BackendPool {
  readonly #zonePolicy: ZonePolicy;
  readonly #vmTable: VmTable;
  readonly #running = new Map<string, number>();
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(parts: { zonePolicy: ZonePolicy; vmTable: VmTable }) {
    this.#zonePolicy = parts.zonePolicy;
    this.#vmTable = parts.vmTable;
  }

  /**
   * Chooses the backend server with the fewest running calls among those that take new work. Ones that failed lately or were tried before come last.
   *
   * @param service - Declared service.
   * @param tried - Addresses of earlier attempts of the same call.
   * @returns The right to send, or undefined when no backend server has room.
   */
  tryAcquire(
    service: ServiceConfig,
    tried: ReadonlySet<string>,
  ): BackendLease | undefined {
    const leaving = this.#getLeavingAddresses();
    const candidates = service.backends
      .filter((b) => this.#zonePolicy.takesNewWork(b.zone))
      .map((b) => b.address)
      .filter((a) => !leaving.has(a))
      .filter((a) => this.getRunning(a) < service.maxConcurrent)
      .map((address) => ({
        address,
        penalty: (tried.has(address) ? 2 : 0) +
          (this.#isAvoided(address) ? 1 : 0),
        running: this.getRunning(address),
        // Breaks ties at random, so that daemons do not all prefer the first backend server.
        draw: Math.random(),
      }));
    candidates.sort((a, b) =>
      a.penalty - b.penalty || a.running - b.running || a.draw - b.draw
    );
    const chosen = candidates.at(0);
    return chosen === undefined ? undefined : this.#grant(chosen.address);
  }

  /**
   * Gets the number of calls that run at a backend server.
   *
   * @param address - Address as `host:port`.
   */
  getRunning(address: string): number {
    return this.#running.get(address) ?? 0;
  }

  #grant(address: string): BackendLease {
    this.#running.set(address, this.getRunning(address) + 1);
    let released = false;
    return {
      address,
      release: (outcome) => {
        if (released) {
          return;
        }
        released = true;
        this.#releaseRunning(address);
        if (outcome === "failed") {
          this.#avoidedUntilMs.set(address, performance.now() + AVOID_MS);
        } else if (outcome === "answered") {
          this.#avoidedUntilMs.delete(address);
        }
      },
    };
  }

  #releaseRunning(address: string): void {
    const running = this.getRunning(address) - 1;
    if (running > 0) {
      this.#running.set(address, running);
    } else {
      this.#running.delete(address);
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
