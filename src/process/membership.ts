import type { Vm } from "../connection/vm_directory.ts";
import { choosePeers } from "./peer_selection.ts";
import type { VmTable } from "./vm_table.ts";

const UNREACHABLE_AFTER_LIMITS = 3;

/**
 * State of another daemon as this one sees it.
 *
 * - `alive`: heard within the freshness limit.
 * - `suspect`: not heard within the limit.
 * - `unreachable`: not heard for three limits, or never.
 * - `leaving`: the VM list or the daemon itself says that it leaves.
 */
export type MemberState = "alive" | "suspect" | "unreachable" | "leaving";

/** What a daemon reported of itself. */
export interface MemberReport {
  readonly name: string;
  /** Id of the process, which tells a replaced daemon of the same name apart. */
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly configVersion: number;
  /** Time at which the report was requested, in milliseconds of `performance.now()`. */
  readonly requestedAtMs: number;
}

/** Joins the lagging VM list with what the exchanges show. */
export interface Membership {
  /** Gets the peers that this daemon exchanges with. */
  getPeers(): Vm[];
  /**
   * Gets the state of a daemon.
   *
   * @param name - Name of the entry VM.
   */
  getState(name: string): MemberState;
  /**
   * Gets the newest report of a daemon, or undefined when it was never heard.
   *
   * @param name - Name of the entry VM.
   */
  getReport(name: string): MemberReport | undefined;
  /** Gets the names of the listed daemons, this one included, in order; none before the first VM list. */
  getListedNames(): readonly string[];
  /**
   * Records what a daemon reported.
   *
   * @param report - Report of the daemon.
   * @returns Whether the daemon is a new process.
   */
  recordReport(report: MemberReport): boolean;
}

/** Options of the membership of one daemon. */
export interface ExchangeMembershipOptions {
  readonly self: string;
  readonly zone: string;
  readonly vmTable: VmTable;
  /** Age of a report above which its daemon is a suspect, in milliseconds. */
  readonly limitMs: number;
}

/** Membership from the VM list and the direct exchanges. */
export class ExchangeMembership implements Membership {
  readonly #options: ExchangeMembershipOptions;
  readonly #reports = new Map<string, MemberReport>();
  #listedNames: string[] = [];
  #listedNamesDigest: number | undefined;
  #peers: Vm[] = [];
  #peersDigest: number | undefined;

  constructor(options: ExchangeMembershipOptions) {
    this.#options = options;
  }

  getPeers(): Vm[] {
    const { self, zone, vmTable } = this.#options;
    if (vmTable.getDigest() !== this.#peersDigest) {
      this.#peersDigest = vmTable.getDigest();
      this.#peers = choosePeers({
        self,
        zone,
        entryVms: vmTable.getEntryVms(),
      });
    }
    return [...this.#peers];
  }

  getState(name: string): MemberState {
    const report = this.#reports.get(name);
    const listedVm = this.#options.vmTable.getVm(name);
    if (listedVm?.state === "leaving" || report?.leaving) {
      return "leaving";
    }
    if (name === this.#options.self) {
      return "alive";
    }
    const ageMs = performance.now() - (report?.requestedAtMs ?? -Infinity);
    if (ageMs <= this.#options.limitMs) {
      return "alive";
    }
    return ageMs <= this.#options.limitMs * UNREACHABLE_AFTER_LIMITS
      ? "suspect"
      : "unreachable";
  }

  getReport(name: string): MemberReport | undefined {
    return this.#reports.get(name);
  }

  getListedNames(): readonly string[] {
    const { vmTable, self } = this.#options;
    if (vmTable.getDigest() !== this.#listedNamesDigest) {
      this.#listedNamesDigest = vmTable.getDigest();
      const names = new Set(vmTable.getEntryVms().map((vm) => vm.name));
      this.#listedNames = names.size === 0 ? [] : [...names.add(self)].sort();
    }
    return this.#listedNames;
  }

  recordReport(report: MemberReport): boolean {
    const knownReport = this.#reports.get(report.name);
    if (
      knownReport !== undefined &&
      knownReport.requestedAtMs > report.requestedAtMs
    ) {
      return false;
    }
    this.#reports.set(report.name, report);
    this.#dropUnlistedReports();
    return knownReport?.incarnation !== report.incarnation;
  }

  #dropUnlistedReports(): void {
    const { vmTable } = this.#options;
    const forgetAfterMs = this.#options.limitMs * UNREACHABLE_AFTER_LIMITS;
    for (const [name, report] of this.#reports) {
      if (
        vmTable.getVm(name) === undefined &&
        performance.now() - report.requestedAtMs > forgetAfterMs
      ) {
        this.#reports.delete(name);
      }
    }
  }
}
