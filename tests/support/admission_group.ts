import { setMaxListeners } from "node:events";
import type { Vm } from "../../src/connection/vm_directory.ts";
import type { Grant } from "../../src/process/admission.ts";
import { SharedAdmission } from "../../src/process/admission/shared_admission.ts";
import type { LoanChannel } from "../../src/process/admission/loan_messages.ts";
import { GroupDirectory } from "../../src/process/group_directory.ts";
import {
  type GroupHealthState,
  GroupHealthTable,
} from "../../src/process/group_health.ts";
import { VmTable } from "../../src/process/vm_table.ts";
import { delay } from "../../src/shared/delay.ts";
import { ConfigHolder } from "../../src/version/config_holder.ts";
import {
  type ConfigDocument,
  configSchema,
  type ModelConfig,
} from "../../src/version/config_schema.ts";
import { PlacementHolder } from "../../src/version/placement_holder.ts";

/** Longest lag of the VM list in the tests, in milliseconds. */
export const LIST_LAG_MS = 400;
const LIST_INTERVAL_MS = 100;
/** Age of a routine health observation, in milliseconds. An observation of a state change has age 0, so that it replaces a routine observation of the same millisecond of the paused clock. */
const ROUTINE_HEALTH_AGE_MS = 1;
const LONGEST_REQUEST_MS = 5_000;
const GROUP_ID = "rack-1-1";
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Simulated daemon: its admission and its own view of the VM list and of the group's health. */
export interface AdmissionMember {
  readonly name: string;
  readonly admission: SharedAdmission;
  readonly abort: AbortController;
  readonly healthTable: GroupHealthTable;
  readonly vmTable: VmTable;
  /** Index of the VM list that the daemon has read last. */
  listIndex: number;
  readonly grants: Set<Grant>;
}

/** Faults of the channel between the daemons. */
export interface AdmissionFaults {
  /** Whether requests to peers are lost. */
  loseRequests: boolean;
  /** Whether responses of peers are lost after the request took effect. */
  loseResponses: boolean;
  /** Names of the daemons that do not respond to settlement requests. */
  readonly silentPeers: Set<string>;
}

/** Settings of the group of daemons. */
export interface AdmissionGroupOptions {
  readonly model: Partial<ModelConfig>;
  readonly random: () => number;
  /** Longest lag of the VM list in milliseconds. */
  readonly listLagMs?: number;
  /** Lag and read interval of the VM list from which the daemons compute their hold-down, in milliseconds. Default: the actual lag and interval. */
  readonly holdDownSettings?: { vmListLagMs: number; vmListIntervalMs: number };
  /** Gets the lag of a daemon's next read of the VM list, in milliseconds. Default: random up to the longest lag. */
  getLagMs?(name: string): number;
}

/** Admissions of several daemons that share the capacity of one group. Runs on the test's paused clock. */
export class AdmissionGroup {
  readonly faults: AdmissionFaults = {
    loseRequests: false,
    loseResponses: false,
    silentPeers: new Set(),
  };
  readonly members = new Map<string, AdmissionMember>();
  readonly model: ModelConfig;
  state: GroupHealthState = "ready";
  bootId = "boot-1";
  peakSlots = 0;
  peakTokens = 0;
  grantCount = 0;
  /** Number of grants after which a request that has to run alone ran beside another one. */
  aloneViolations = 0;
  aloneGrantCount = 0;
  /** Largest excess of the running requests over the bound of the warm-up limiter while the group was cold. */
  peakColdExcess = 0;
  coldGrantCount = 0;
  #finishedWhileCold = 0;
  readonly #document: ConfigDocument;
  readonly #options: AdmissionGroupOptions;
  readonly #random: () => number;
  readonly #vmLists: { atMs: number; vms: Vm[] }[] = [];
  readonly #aloneGrants = new Set<Grant>();
  readonly #tokensByGrant = new Map<Grant, number>();
  #sequence = 0;

  constructor(options: AdmissionGroupOptions) {
    this.#options = options;
    this.#random = options.random;
    this.#document = configSchema.parse({
      schemaVersion: 1,
      zones: ZONES.map((name) => ({ name, region: "region-1" })),
      models: [{
        name: "model-1",
        groupSizeVms: 1,
        placements: [{ zones: ["zone-a"], count: 1 }],
        slotsPerGroup: 10,
        kvTokensPerGroup: 1_000,
        ...options.model,
      }],
      clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
    });
    this.model = this.#document.models[0];
    this.#publishVmList();
  }

  /** Starts a daemon without state, under a new name or the name of an earlier one. */
  start(name: string): AdmissionMember {
    this.stop(name);
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    const healthTable = new GroupHealthTable();
    const vmTable = new VmTable();
    const member: AdmissionMember = {
      name,
      admission: this.#createAdmission(name, { abort, healthTable, vmTable }),
      abort,
      healthTable,
      vmTable,
      listIndex: 0,
      grants: new Set(),
    };
    this.members.set(name, member);
    this.#publishVmList();
    void this.#syncMember(member);
    void member.admission.run();
    return member;
  }

  /** Kills a daemon. Its connections close, which ends its requests. */
  stop(name: string): void {
    const member = this.members.get(name);
    if (member !== undefined) {
      this.members.delete(name);
      member.abort.abort();
      member.grants.clear();
    }
  }

  /** Removes a killed daemon from the VM list. */
  remove(name: string): void {
    this.stop(name);
    this.#publishVmList();
  }

  /** Acquires a grant, holds it for the given time and returns the outcome. */
  async request(
    member: AdmissionMember,
    options: { tokens: number; durationMs: number; alone?: boolean },
  ): Promise<string> {
    const outcome = await member.admission.acquire({
      requestId: "request",
      model: this.model,
      account: this.#document.clientAccounts[0],
      kvTokens: options.tokens,
      prefixHash: 0,
      deadlineAtMs: performance.now() + LONGEST_REQUEST_MS,
      excludedGroupIds: new Set(),
      alone: options.alone ?? false,
    }, member.abort.signal);
    if (outcome.isLeft() || this.members.get(member.name) !== member) {
      return outcome.isLeft() ? String(outcome.extract()) : "stopped";
    }
    const grant = outcome.unsafeCoerce();
    this.grantCount++;
    member.grants.add(grant);
    this.#tokensByGrant.set(grant, options.tokens);
    if (options.alone) {
      this.aloneGrantCount++;
      this.#aloneGrants.add(grant);
    }
    this.#recordPeaks();
    await delay(options.durationMs, member.abort.signal);
    const wasRunning = member.grants.delete(grant);
    if (wasRunning && this.state === "cold") {
      this.#finishedWhileCold++;
    }
    this.#tokensByGrant.delete(grant);
    if (this.members.get(member.name) === member) {
      grant.release("finished");
    }
    return "finished";
  }

  /** Restarts the engine. Its requests fail, and every daemon receives the cold state immediately. */
  turnCold(): void {
    this.state = "cold";
    this.bootId = `boot-${++this.#sequence}`;
    this.#finishedWhileCold = 0;
    for (const member of this.members.values()) {
      for (const grant of member.grants) {
        this.#tokensByGrant.delete(grant);
      }
      const failedGrants = [...member.grants];
      member.grants.clear();
      this.#offerHealth(member, 0);
      failedGrants.forEach((grant) => grant.release("cancelled"));
    }
  }

  /** Sets the group's state to ready, which every daemon receives immediately. */
  turnReady(): void {
    this.state = "ready";
    this.members.forEach((member) => this.#offerHealth(member, 0));
  }

  /** Gets the number of running requests of all daemons. */
  countRunningRequests(): number {
    let count = 0;
    for (const member of this.members.values()) {
      count += member.grants.size;
    }
    return count;
  }

  #recordPeaks(): void {
    let tokens = 0;
    for (const member of this.members.values()) {
      for (const grant of member.grants) {
        tokens += this.#tokensByGrant.get(grant) ?? 0;
      }
    }
    const hasAloneRequest = [...this.members.values()].some((m) =>
      [...m.grants].some((g) => this.#aloneGrants.has(g))
    );
    if (hasAloneRequest && this.countRunningRequests() > 1) {
      this.aloneViolations++;
    }
    if (this.state === "cold") {
      this.coldGrantCount++;
      const limit = this.model.coldSlots +
        Math.floor(this.#finishedWhileCold / 2);
      const excess = this.countRunningRequests() - limit;
      this.peakColdExcess = Math.max(this.peakColdExcess, excess);
    }
    this.peakSlots = Math.max(this.peakSlots, this.countRunningRequests());
    this.peakTokens = Math.max(this.peakTokens, tokens);
  }

  #publishVmList(): void {
    const entryVms = [...this.members.keys()].map((name): Vm => ({
      name,
      role: "entry",
      address: "127.0.0.1:1",
      zone: ZONES[Number(name.slice(1)) % ZONES.length],
      state: "live",
    }));
    const backendVm: Vm = {
      name: "gpu-1",
      role: "backend",
      address: "127.0.0.1:2",
      zone: "zone-a",
      fabricDomain: "rack-1",
      state: "live",
    };
    this.#vmLists.push({
      atMs: performance.now(),
      vms: [backendVm, ...entryVms],
    });
  }

  async #syncMember(member: AdmissionMember): Promise<void> {
    do {
      const lagMs = this.#options.getLagMs?.(member.name) ??
        this.#random() * (this.#options.listLagMs ?? LIST_LAG_MS);
      const atMs = performance.now() - lagMs;
      const index = this.#vmLists.findLastIndex((l) => l.atMs <= atMs);
      member.listIndex = Math.max(index, 0);
      member.vmTable.replace(this.#vmLists[member.listIndex].vms);
      this.#offerHealth(member, ROUTINE_HEALTH_AGE_MS);
    } while (await delay(LIST_INTERVAL_MS, member.abort.signal));
  }

  #offerHealth(member: AdmissionMember, ageMs: number): void {
    member.healthTable.offer({
      groupId: GROUP_ID,
      generation: 1,
      state: this.state,
      bootId: this.bootId,
      observer: member.name,
      sequence: ++this.#sequence,
      ageMs,
      runningRequests: 0,
      heldTokens: 0,
      maxTokens: 1_000,
    });
  }

  #createAdmission(
    name: string,
    components: {
      abort: AbortController;
      healthTable: GroupHealthTable;
      vmTable: VmTable;
    },
  ): SharedAdmission {
    const { healthTable, vmTable } = components;
    const configHolder = new ConfigHolder();
    configHolder.offer({ version: 1, document: this.#document });
    const placementHolder = new PlacementHolder();
    placementHolder.offer({
      objectVersion: 1,
      placement: {
        fabricDomain: "rack-1",
        zone: "zone-a",
        lastGeneration: 1,
        groupByVm: { "gpu-1": GROUP_ID },
        groups: {
          [GROUP_ID]: {
            groupId: GROUP_ID,
            model: "model-1",
            modelVersion: "1",
            zone: "zone-a",
            fabricDomain: "rack-1",
            generation: 1,
            phase: "serving",
            leader: "gpu-1",
            sizeVms: 1,
          },
        },
      },
    });
    return new SharedAdmission({
      name,
      zone: "zone-a",
      vmListLagMs: this.#options.listLagMs ?? LIST_LAG_MS,
      vmListIntervalMs: LIST_INTERVAL_MS,
      ...this.#options.holdDownSettings,
      longestRequestMs: LONGEST_REQUEST_MS,
      directory: new GroupDirectory({
        configHolder,
        placementHolder,
        healthTable,
        vmTable,
        zonePolicy: {
          takesNewWork: () => true,
          getNextChange: () => undefined,
        },
        freshness: { getState: () => "fresh" },
      }),
      configHolder,
      placementHolder,
      healthTable,
      vmTable,
      channel: this.#createChannel(),
      signal: components.abort.signal,
    });
  }

  #createChannel(): LoanChannel {
    return {
      sendLoans: (peer, batch) =>
        this.#sendTo(peer, (a) => a.handleLoanBatch(batch)),
      sendSettlement: (peer, request) =>
        this.faults.silentPeers.has(peer)
          ? Promise.reject(new Error("The peer does not respond"))
          : this.#sendTo(peer, (a) => a.handleSettlementRequest(request)),
    };
  }

  async #sendTo<T>(
    peer: string,
    handle: (admission: SharedAdmission) => T,
  ): Promise<T> {
    await delay(this.#random() * 5);
    const member = this.members.get(peer);
    if (member === undefined || this.faults.loseRequests) {
      throw new Error("The peer is not reachable");
    }
    const result = structuredClone(handle(member.admission));
    await delay(this.#random() * 5);
    if (this.faults.loseResponses) {
      throw new Error("The response of the peer was lost");
    }
    return result;
  }
}
