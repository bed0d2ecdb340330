import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import got from "got";
import type { Vm } from "../../src/connection/vm_directory.ts";
import type { DaemonSettingsInput } from "../../src/process/daemon_settings.ts";
import { delay } from "../../src/shared/delay.ts";
import { LifeCycleManager } from "../../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "../../tools/program_process.ts";
import type { DeploymentProfile } from "../load/deployment_profile.ts";
import type { StatusView } from "./status_sample.ts";

export const BENCH_MODEL = "bench-model";
export const BENCH_SERVICE = "bookings";
const DOMAINS_PER_ZONE = 2;
const READY_TIMEOUT_MS = 40_000;
const POLL_MS = 100;
/** Timeout of a status request, in milliseconds. It is long enough for a daemon that gets little CPU time on a busy machine. */
const STATUS_TIMEOUT_MS = 10_000;
/** Interval at which group members check each other, in milliseconds. With 40 engines, the default of 100 ms in the fakes would take more than one CPU core. */
const MEMBER_CHECK_INTERVAL_MS = 500;
const WARM_UP_REQUESTS = 10;
const CONCURRENT_WEIGHT_LOADS = 4;
const MAX_HELD_BYTES_WITHOUT_PARKING = 1_073_741_824;

/** Policy that is measured: `policy` is that of the product, `baseline` that of the baseline daemon. */
export type BenchPolicy = "policy" | "baseline";

/** Options of a deployment that is measured. */
export interface BenchDeploymentOptions {
  readonly profile: DeploymentProfile;
  readonly policy: BenchPolicy;
  /** Number of groups that the configuration declares. */
  readonly groups: number;
  readonly tokenIntervalMs: number;
  readonly tokensPerInterval: number;
  readonly settings: Partial<DaemonSettingsInput>;
  readonly coldSlots: number;
  readonly contextTokens: number;
}

/** Addresses and process of a daemon. */
export interface BenchDaemon {
  readonly name: string;
  readonly pid: number;
  readonly caller: string;
  readonly operator: string;
}

interface DaemonAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly operator: string;
}

interface PlacementObject {
  readonly value: { readonly groupByVm: Readonly<Record<string, string>> };
}

/** Deployment of separate processes: platform, services, engines and daemons. */
export class BenchDeployment {
  readonly #options: BenchDeploymentOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #vms: Vm[] = [];
  readonly #processes: ProgramProcess[] = [];
  readonly daemons: BenchDaemon[] = [];
  #platformUrl = "";
  #serviceBackends: { address: string; zone: string }[] = [];

  private constructor(options: BenchDeploymentOptions) {
    this.#options = options;
  }

  /** Gets the profile. */
  get profile(): DeploymentProfile {
    return this.#options.profile;
  }

  /**
   * Starts the processes and waits until all groups are complete and all daemons are ready.
   *
   * @param options - Profile, policy and settings.
   */
  static async start(
    options: BenchDeploymentOptions,
  ): Promise<BenchDeployment> {
    const deployment = new BenchDeployment(options);
    try {
      await deployment.#startProcesses();
    } catch (error) {
      await deployment.dispose();
      throw error;
    }
    return deployment;
  }

  /** Stops all processes and deletes the settings of the daemons. */
  async dispose(): Promise<void> {
    await Promise.all(this.#processes.map((program) => program.dispose()));
    await this.#lifeCycle.dispose();
  }

  /** Gets the status of a daemon. */
  async getStatus(daemon = this.daemons[0]): Promise<StatusView> {
    return await got(`http://${daemon.operator}/api/status`, {
      timeout: { request: STATUS_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<StatusView>();
  }

  /** Gets the members of each placed group; groups and members are sorted by name. */
  async getPlacedMembers(): Promise<string[][]> {
    const { objects } = await got(
      `${this.#platformUrl}/v1/objects/placement`,
    ).json<{ objects: PlacementObject[] }>();
    const membersByGroup = new Map<string, string[]>();
    for (const { value } of objects) {
      for (const [vm, groupId] of Object.entries(value.groupByVm)) {
        membersByGroup.set(groupId, [...membersByGroup.get(groupId) ?? [], vm]);
      }
    }
    return [...membersByGroup.entries()]
      .sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, members]) => members.sort());
  }

  /** Gets the names of all engines in the fabric domain of an engine. */
  getDomainMembers(name: string): string[] {
    const domain = this.#vms.find((vm) => vm.name === name)?.fabricDomain;
    return this.#vms.filter((vm) => vm.fabricDomain === domain)
      .map((vm) => vm.name);
  }

  /** Crashes an engine, which restarts without loaded weights or a group. */
  async crashEngine(name: string): Promise<void> {
    await got.post(`http://${this.#getEngineAddress(name)}/control/crash`);
  }

  /** Sets fault flags of an engine. */
  async setEngineFaults(name: string, faults: unknown): Promise<void> {
    await got.post(`http://${this.#getEngineAddress(name)}/control/faults`, {
      json: faults,
    });
  }

  /** Counts the crashes of all engines. */
  async countCrashes(): Promise<number> {
    const records = await Promise.all(
      this.#vms.filter((vm) => vm.role === "backend").map((vm) =>
        got(`http://${vm.address}/control/record`).json<{ crashes: number }>()
      ),
    );
    return records.reduce((sum, record) => sum + record.crashes, 0);
  }

  /** Writes the configuration, with the given availability zones marked as out of service. */
  async putConfig(excludedZones: readonly string[]): Promise<void> {
    const url = `${this.#platformUrl}/v1/objects/config/main`;
    const current = await got(url, { throwHttpErrors: false });
    const headers: Record<string, string> = current.statusCode === 200
      ? {
        "if-match": String(
          (JSON.parse(current.body) as { version: number }).version,
        ),
      }
      : { "if-none-match": "*" };
    await got.put(url, { json: this.#createConfig(excludedZones), headers });
  }

  #getEngineAddress(name: string): string {
    return this.#vms.find((vm) => vm.name === name)!.address;
  }

  async #startProcesses(): Promise<void> {
    const { profile } = this.#options;
    const platform = await this.#startProgram<{ url: string }>(
      "fakes/platform_main.js",
      [],
    );
    this.#platformUrl = platform.result.url;
    await Promise.all(profile.zones.map((zone) => this.#startZone(zone)));
    this.#serviceBackends.sort((a, b) => a.zone < b.zone ? -1 : 1);
    await this.#startDaemons();
    await got.post(`${this.#platformUrl}/control/vms`, { json: this.#vms });
    await this.putConfig([]);
    await this.#waitUntilReady(["cold", "ready"]);
    await this.#sendWarmUpRequests();
    await this.#waitUntilReady(["ready"]);
  }

  /** Sends short requests directly to the engines so that both policies start with warm groups. */
  async #sendWarmUpRequests(): Promise<void> {
    const { groups } = await this.getStatus();
    await Promise.all(groups.map(async (group) => {
      const url = `http://${
        this.#getEngineAddress(group.leader)
      }/v1/chat/completions`;
      const deadlineMs = performance.now() + READY_TIMEOUT_MS;
      let completedRequests = 0;
      for (let index = 0; completedRequests < WARM_UP_REQUESTS; index++) {
        const response = await got.post(url, {
          json: {
            request_id: `warm-up-${group.leader}-${index}`,
            messages: [{ role: "user", content: "tokens=1" }],
          },
          throwHttpErrors: false,
        });
        // A leader refuses requests until it has checked the members of its group.
        if (response.statusCode === 200) {
          completedRequests++;
        } else if (performance.now() > deadlineMs) {
          throw new Error(
            `The group with the leader ${group.leader} did not complete its warm-up requests before the timeout`,
          );
        } else {
          await delay(POLL_MS);
        }
      }
    }));
  }

  async #startZone(zone: string): Promise<void> {
    const { profile } = this.#options;
    const service = await this.#startProgram<{ address: string }>(
      "fakes/service_main.js",
      [],
    );
    this.#serviceBackends.push({ address: service.result.address, zone });
    const names = Array.from(
      { length: profile.enginesPerZone },
      (_, index) => `${zone}-gpu-${String(index + 1).padStart(2, "0")}`,
    );
    const engines = await this.#startProgram<
      { addresses: Record<string, string> }
    >("fakes/engine_main.js", [
      ...["--names", names.join(","), "--platform-url", this.#platformUrl],
      ...["--max-running", String(profile.slotsPerGroup)],
      ...["--token-interval-ms", String(this.#options.tokenIntervalMs)],
      ...["--tokens-per-interval", String(this.#options.tokensPerInterval)],
      ...["--member-check-ms", String(MEMBER_CHECK_INTERVAL_MS)],
    ]);
    names.forEach((name, index) =>
      this.#vms.push({
        name,
        role: "backend",
        address: engines.result.addresses[name],
        zone,
        fabricDomain: `${zone}-rack-${index % DOMAINS_PER_ZONE + 1}`,
        state: "live",
      })
    );
  }

  async #startDaemons(): Promise<void> {
    const { profile, policy } = this.#options;
    const directory = await mkdtemp(join(tmpdir(), "tarragontally-measures-"));
    this.#lifeCycle.addCallback(() => rm(directory, { recursive: true }));
    const program = policy === "policy"
      ? "src/process/daemon_main.js"
      : "bench/measures/baseline_daemon_main.js";
    const indexes = Array.from({ length: profile.daemons }, (_, i) => i);
    const daemons = await Promise.all(indexes.map(async (index) => {
      const name = `entry-${index + 1}`;
      const zone = profile.zones[index % profile.zones.length];
      const settingsPath = join(directory, `${name}.jsonc`);
      await writeFile(
        settingsPath,
        JSON.stringify(this.#createSettings(name, zone)),
      );
      const daemonProgram = await this.#startProgram<DaemonAddresses>(
        program,
        ["--settings", settingsPath, "--print-addresses"],
      );
      return { name, zone, pid: daemonProgram.pid, ...daemonProgram.result };
    }));
    for (const daemon of daemons) {
      this.daemons.push(daemon);
      this.#vms.push({
        name: daemon.name,
        role: "entry",
        address: daemon.peer,
        zone: daemon.zone,
        state: "live",
      });
    }
  }

  #createSettings(name: string, zone: string): DaemonSettingsInput {
    return {
      name,
      zone,
      platformUrl: this.#platformUrl,
      balancerLagMs: 0,
      vmListLagMs: 500,
      stopTimeoutMs: 2_000,
      logLevel: "error",
      ...this.#options.settings,
      ...(this.#options.policy === "baseline"
        ? { maxHeldBytes: MAX_HELD_BYTES_WITHOUT_PARKING, zoneLeaveLeadMs: 0 }
        : {}),
    };
  }

  async #startProgram<T>(
    program: string,
    args: readonly string[],
  ): Promise<{ result: T; pid: number }> {
    const programProcess = ProgramProcess.start(program, args);
    this.#processes.push(programProcess);
    return {
      result: await programProcess.readFirstLine<T>(),
      pid: programProcess.pid,
    };
  }

  #createConfig(excludedZones: readonly string[]): unknown {
    const { profile, policy, groups, coldSlots, contextTokens } = this.#options;
    return {
      schemaVersion: 1,
      weightLoadsAtOnce: CONCURRENT_WEIGHT_LOADS,
      zones: profile.zones.map((name) => ({
        name,
        region: "region-1",
        takenOut: excludedZones.includes(name),
      })),
      models: [{
        name: BENCH_MODEL,
        groupSizeVms: profile.groupSizeVms,
        placements: [{ zones: profile.zones, count: groups }],
        slotsPerGroup: profile.slotsPerGroup,
        coldSlots,
        warmAfterRequests: 8,
        contextTokens,
        kvTokensPerGroup: contextTokens * profile.slotsPerGroup * 2,
        honoursFencing: true,
      }],
      services: [{
        name: BENCH_SERVICE,
        backends: this.#serviceBackends,
        nonRepeatable: [{ method: "POST", path: "/visits" }],
      }],
      clientAccounts: profile.accounts.map(({ name }) => ({
        name,
        apiKeySha256: [
          createHash("sha256").update(getBenchApiKey(name)).digest("hex"),
        ],
        ...(policy === "baseline"
          ? { maxHeldBytes: MAX_HELD_BYTES_WITHOUT_PARKING }
          : {}),
      })),
    };
  }

  async #waitUntilReady(states: readonly string[]): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const { groups } = await this.getStatus();
      const readyGroupCount = groups.filter((g) =>
        g.phase === "serving" && states.includes(g.health)
      ).length;
      const readinessResponses = await Promise.all(
        this.daemons.map((daemon) =>
          got(`http://${daemon.operator}/readyz`, {
            throwHttpErrors: false,
            retry: { limit: 0 },
          })
        ),
      );
      if (
        readyGroupCount >= this.#options.groups &&
        readinessResponses.every((response) => response.statusCode === 200)
      ) {
        return;
      }
      await delay(POLL_MS);
    }
    throw new Error(
      "Not all groups and daemons became ready before the timeout",
    );
  }
}

/** Gets the API key of a client account of the bench. */
export function getBenchApiKey(account: string): string {
  return `key-${account}`;
}
