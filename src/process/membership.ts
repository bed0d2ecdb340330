import type { Vm } from "../connection/vm_directory.ts";
import { choosePeers } from "./peer_selection.ts";
import type { VmTable } from "./vm_table.ts";

/** Age of a daemon's newest report above which the daemon counts as unreachable, as a multiple of the age above which it is a suspect. */
const UNREACHABLE_AFTER_LIMITS = 3;

/**
 * State of a daemon, derived from its newest report to this daemon and from the VM list.
 *
 * - `alive`: the newest report is no older than the limit.
 * - `suspect`: the newest report is older than the limit.
 * - `unreachable`: the newest report is older than three times the limit, or there is none.
 * - `leaving`: the VM list or the daemon's own report marks it as leaving.
 */
export type MemberState = "alive" | "suspect" | "unreachable" | "leaving";

/** Report of a daemon about itself, from the response of an exchange. */
export interface MemberReport {
  readonly name: string;
  /** Random id of the process, which distinguishes it from earlier processes of the same name. */
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly configVersion: number;
  /** Time at which the report was requested, in milliseconds of `performance.now()`. */
  readonly requestedAtMs: number;
}

/** State of the other daemons, from the VM list, which lags behind, and from the reports of exchanges. */
export interface Membership {
  /** Gets the peers with which this daemon exchanges state. */
  getPeers(): Vm[];
  /**
   * Gets the state of a daemon.
   *
   * @param name - Name of the entry VM.
   */
  getState(name: string): MemberState;
  /**
   * Gets the newest report of a daemon, or undefined if there is none.
   *
   * @param name - Name of the entry VM.
   */
  getReport(name: string): MemberReport | undefined;
  /** Gets the sorted names of the daemons in the VM list and of this daemon; empty before the first VM list. */
  getListedNames(): readonly string[];
  /**
   * Records the report of a daemon, unless a newer one is recorded.
   *
   * @param report - Report of the daemon.
   * @returns Whether the report is the first one of a process.
   */
  recordReport(report: MemberReport): boolean;
}

/** Options of the membership of one daemon. */
export interface ExchangeMembershipOptions {
  /** Name of this daemon. */
  readonly ownName: string;
  /** Zone of this daemon. */
  readonly zone: string;
  readonly vmTable: VmTable;
  /** Age of a report above which its daemon is a suspect, in milliseconds. */
  readonly limitMs: number;
}

/** Membership from the VM list and from this daemon's own exchanges. */
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
    const { ownName, zone, vmTable } = this.#options;
    if (vmTable.getDigest() !== this.#peersDigest) {
      this.#peersDigest = vmTable.getDigest();
      this.#peers = choosePeers({
        ownName,
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
    if (name === this.#options.ownName) {
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
    const { vmTable, ownName } = this.#options;
    if (vmTable.getDigest() !== this.#listedNamesDigest) {
      this.#listedNamesDigest = vmTable.getDigest();
      const names = new Set(vmTable.getEntryVms().map((vm) => vm.name));
      this.#listedNames = names.size === 0
        ? []
        : [...names.add(ownName)].sort();
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
    const maxAgeMs = this.#options.limitMs * UNREACHABLE_AFTER_LIMITS;
    for (const [name, report] of this.#reports) {
      if (
        vmTable.getVm(name) === undefined &&
        performance.now() - report.requestedAtMs > maxAgeMs
      ) {
        this.#reports.delete(name);
      }
    }
  }
}
