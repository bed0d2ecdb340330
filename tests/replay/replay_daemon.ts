import { setMaxListeners } from "node:events";
import type { Vm } from "../../src/connection/vm_directory.ts";
import type { Admission } from "../../src/process/admission.ts";
import type { LoanChannel } from "../../src/process/admission/loan_messages.ts";
import { SharedAdmission } from "../../src/process/admission/shared_admission.ts";
import { AgreementTable } from "../../src/process/agreement_table.ts";
import { FreshnessTracker } from "../../src/process/freshness_tracker.ts";
import { GroupDirectory } from "../../src/process/group_directory.ts";
import { GroupHealthTable } from "../../src/process/group_health.ts";
import { LocalAdmission } from "../../src/process/local_admission.ts";
import {
  LocalQuarantineList,
  type QuarantineList,
} from "../../src/process/quarantine_list.ts";
import { VmTable } from "../../src/process/vm_table.ts";
import { ConfigHolder } from "../../src/version/config_holder.ts";
import { PlacementHolder } from "../../src/version/placement_holder.ts";
import {
  ConfigZonePolicy,
  type ZonePolicy,
} from "../../src/version/zone_policy.ts";

const FRESHNESS_LIMIT_MS = 3_000;
const VM_LIST_LAG_MS = 200;
const VM_LIST_INTERVAL_MS = 100;
const LONGEST_REQUEST_MS = 25_000;
const QUARANTINE_EXPIRY_MS = 3_600_000;

/** Mechanism that a replay disables, to check that the trace then breaks an invariant. */
export type DisabledMechanism =
  | "shared-admission"
  | "zone-policy"
  | "quarantine";

/** Options of a replayed daemon. */
export interface ReplayDaemonOptions {
  readonly name: string;
  readonly zone: string;
  readonly channel: LoanChannel;
  readonly disabledMechanism?: DisabledMechanism;
}

/** Components of one daemon that make decisions, without network and files. */
export class ReplayDaemon {
  readonly name: string;
  readonly zone: string;
  readonly configHolder = new ConfigHolder();
  readonly placementHolder = new PlacementHolder();
  readonly healthTable = new GroupHealthTable();
  readonly vmTable = new VmTable();
  readonly zonePolicy: ZonePolicy;
  readonly quarantine: QuarantineList = new LocalQuarantineList({
    expiryMs: QUARANTINE_EXPIRY_MS,
    decisionDelayMs: 0,
  });
  readonly agreement: AgreementTable;
  readonly freshness: FreshnessTracker;
  readonly sharedAdmission: SharedAdmission;
  readonly admission: Admission;
  readonly usesQuarantine: boolean;
  readonly #abort = new AbortController();

  constructor(options: ReplayDaemonOptions) {
    const { name, zone, disabledMechanism } = options;
    setMaxListeners(0, this.#abort.signal);
    this.name = name;
    this.zone = zone;
    this.zonePolicy = disabledMechanism === "zone-policy"
      ? { takesNewWork: () => true, getNextChange: () => undefined }
      : new ConfigZonePolicy(this.configHolder);
    this.agreement = new AgreementTable({
      ownName: name,
      limitMs: FRESHNESS_LIMIT_MS,
      configHolder: this.configHolder,
      getListedNames: () =>
        this.vmTable.getEntryVms().map((vm: Vm) => vm.name).sort(),
    });
    this.freshness = new FreshnessTracker({
      limitMs: FRESHNESS_LIMIT_MS,
      hasMajority: () => this.agreement.hasMajority(),
    });
    const directory = new GroupDirectory({
      configHolder: this.configHolder,
      placementHolder: this.placementHolder,
      healthTable: this.healthTable,
      vmTable: this.vmTable,
      zonePolicy: this.zonePolicy,
      freshness: this.freshness,
    });
    this.sharedAdmission = new SharedAdmission({
      name,
      zone,
      vmListLagMs: VM_LIST_LAG_MS,
      vmListIntervalMs: VM_LIST_INTERVAL_MS,
      longestRequestMs: LONGEST_REQUEST_MS,
      directory,
      configHolder: this.configHolder,
      placementHolder: this.placementHolder,
      healthTable: this.healthTable,
      vmTable: this.vmTable,
      channel: options.channel,
      signal: this.#abort.signal,
    });
    this.admission = disabledMechanism === "shared-admission"
      ? new LocalAdmission(directory)
      : this.sharedAdmission;
    this.usesQuarantine = disabledMechanism !== "quarantine";
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  start(): void {
    void this.sharedAdmission.run();
  }

  stop(): void {
    this.#abort.abort();
  }
}
