import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import got from "got";
import type { Vm } from "../src/connection/vm_directory.ts";
import type { DaemonAddresses } from "../src/process/daemon_addresses.ts";
import type { DaemonSettingsInput } from "../src/process/daemon_settings.ts";
import type { StatusReport } from "../src/process/status_report.ts";
import { delay } from "../src/shared/delay.ts";
import {
  type Disposable,
  LifeCycleManager,
} from "../src/shared/life_cycle_manager.ts";
import { ProgramProcess } from "./program_process.ts";

const DAEMON_PROGRAM = "src/process/daemon_main.js";
const READY_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 100;

/** Options of a local deployment. */
export interface LocalDeploymentOptions {
  /** Names of the availability zones. */
  readonly zones: readonly string[];
  /** Number of engines in the one fabric domain of each zone. */
  readonly enginesPerZone: number;
}

/** Daemon that runs in a separate process. */
export interface LocalDaemon {
  readonly name: string;
  readonly zone: string;
  readonly process: ProgramProcess;
  readonly addresses: DaemonAddresses;
}

/** Platform, engines, booking service and daemons on this machine, each program in a separate process. */
export class LocalDeployment implements Disposable {
  readonly #options: LocalDeploymentOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #engines: Vm[] = [];
  #platformUrl = "";
  #serviceAddress = "";
  #directory = "";

  private constructor(options: LocalDeploymentOptions) {
    this.#options = options;
  }

  /** Starts the fakes. */
  static async start(
    options: LocalDeploymentOptions,
  ): Promise<LocalDeployment> {
    const deployment = new LocalDeployment(options);
    try {
      await deployment.#start();
    } catch (error) {
      await deployment.dispose();
      throw error;
    }
    return deployment;
  }

  /** Gets the engines as they are in the VM list. */
  get engines(): readonly Vm[] {
    return this.#engines;
  }

  /** Gets the address of the booking service. */
  get serviceAddress(): string {
    return this.#serviceAddress;
  }

  /**
   * Starts a daemon and waits until it listens.
   *
   * @param settings - Settings besides the URL of the platform..
   * @param program - Program of the daemon, as for `ProgramProcess.start`; that of this build by default.
   */
  async startDaemon(
    settings: Omit<DaemonSettingsInput, "platformUrl">,
    program = DAEMON_PROGRAM,
  ): Promise<LocalDaemon> {
    const { name, zone } = settings;
    const file = join(this.#directory, `${name}.jsonc`);
    const text = JSON.stringify({
      platformUrl: this.#platformUrl,
      vmListLagMs: 200,
      ...settings,
    });
    await writeFile(file, `// Settings of the daemon on ${name}.\n${text}\n`);
    const { process, firstLine } = await this.#startProgram<DaemonAddresses>(
      program,
      ["--settings", file, "--print-addresses"],
    );
    return { name, zone, process, addresses: firstLine };
  }

  /** Publishes the VM list, which has the engines and the VMs of the given daemons. */
  async publishVms(daemons: readonly LocalDaemon[]): Promise<void> {
    const entryVms = daemons.map(({ name, zone, addresses }): Vm => ({
      name,
      role: "entry",
      address: addresses.peer,
      zone,
      state: "live",
    }));
    await got.post(`${this.#platformUrl}/control/vms`, {
      json: [...this.#engines, ...entryVms],
    });
  }

  /**
   * Writes the first configuration: one group per zone, the booking service, and one client account.
   *
   * @param config - Values in which deployments differ.
   */
  async writeConfig(config: {
    model: string;
    groupSizeVms: number;
    slotsPerGroup: number;
    account: string;
    apiKey: string;
  }): Promise<void> {
    const { zones } = this.#options;
    const document = {
      schemaVersion: 1,
      zones: zones.map((name) => ({ name, region: "region-1" })),
      models: [{
        name: config.model,
        groupSizeVms: config.groupSizeVms,
        placements: zones.map((zone) => ({ zones: [zone], count: 1 })),
        slotsPerGroup: config.slotsPerGroup,
        kvTokensPerGroup: 100_000,
      }],
      services: [{
        name: "bookings",
        backends: [{ address: this.#serviceAddress, zone: zones[0] }],
        nonRepeatable: [{ method: "POST", path: "/visits" }],
      }],
      clientAccounts: [{
        name: config.account,
        apiKeySha256: [
          createHash("sha256").update(config.apiKey).digest("hex"),
        ],
      }],
    };
    await got.put(`${this.#platformUrl}/v1/objects/config/main`, {
      json: document,
      headers: { "if-none-match": "*" },
    });
  }

  /** Waits until a daemon reports one serving group per zone. */
  async waitUntilGroupsServe(daemon: LocalDaemon): Promise<void> {
    await waitUntil(
      "Timed out waiting for a serving group in every zone",
      READY_TIMEOUT_MS,
      async () => {
        const { groups } = await got(
          `http://${daemon.addresses.operator}/api/status`,
        ).json<Pick<StatusReport, "groups">>();
        const servingGroups = groups.filter(({ health }) =>
          health === "cold" || health === "ready"
        );
        return servingGroups.length === this.#options.zones.length;
      },
    );
  }

  /** Waits until the `/readyz` endpoint of a daemon returns 200. */
  async waitUntilReady(daemon: LocalDaemon): Promise<void> {
    await waitUntil(
      `Timed out waiting for ${daemon.name} to become ready`,
      READY_TIMEOUT_MS,
      async () => {
        const response = await got(
          `http://${daemon.addresses.operator}/readyz`,
          { throwHttpErrors: false, retry: { limit: 0 } },
        );
        return response.statusCode === 200;
      },
    );
  }

  /** Stops all processes, the last one started first, and removes the directory of the settings files. */
  async dispose(): Promise<void> {
    await this.#lifeCycle.dispose();
  }

  async #start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), "tarragontally-"));
    this.#lifeCycle.addCallback(() => rm(this.#directory, { recursive: true }));
    const platform = await this.#startProgram<{ url: string }>(
      "fakes/platform_main.js",
      [],
    );
    this.#platformUrl = platform.firstLine.url;
    const service = await this.#startProgram<{ address: string }>(
      "fakes/service_main.js",
      [],
    );
    this.#serviceAddress = service.firstLine.address;
    for (const zone of this.#options.zones) {
      await this.#startEngines(zone);
    }
  }

  async #startEngines(zone: string): Promise<void> {
    const names = Array.from(
      { length: this.#options.enginesPerZone },
      (_, index) => `${zone}-gpu-${index + 1}`,
    );
    const { firstLine } = await this.#startProgram<
      { addresses: Record<string, string> }
    >(
      "fakes/engine_main.js",
      ["--names", names.join(","), "--platform-url", this.#platformUrl],
    );
    for (const [name, address] of Object.entries(firstLine.addresses)) {
      this.#engines.push({
        name,
        role: "backend",
        address,
        zone,
        fabricDomain: `${zone}-rack-1`,
        state: "live",
      });
    }
  }

  async #startProgram<T>(
    program: string,
    args: readonly string[],
  ): Promise<{ process: ProgramProcess; firstLine: T }> {
    const process = ProgramProcess.start(program, args);
    this.#lifeCycle.addCallback(async () => void await process.dispose());
    return { process, firstLine: await process.readFirstLine<T>() };
  }
}

/**
 * Waits until a condition holds.
 *
 * @throws {Error} With the message, when the condition does not hold within the timeout.
 */
export async function waitUntil(
  message: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > deadlineAtMs) {
      throw new Error(message);
    }
    await delay(POLL_INTERVAL_MS);
  }
}

/** Gets the tokens of a streamed chat response as one text. */
export function getStreamedText(events: string): string {
  return [...events.matchAll(/"content":"([^"]*)"/g)].map((m) => m[1]).join("");
}
