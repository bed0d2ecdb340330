import { createHash } from "node:crypto";
import got, { type Response } from "got";
import type { Container } from "inversify";
import { FakeEngine, type FakeEngineOptions } from "../../fakes/fake_engine.ts";
import { FakePlatform } from "../../fakes/fake_platform.ts";
import { FakeService } from "../../fakes/fake_service.ts";
import type { Vm } from "../../src/connection/vm_directory.ts";
import { Daemon } from "../../src/process/daemon.ts";
import {
  type DaemonSettings,
  type DaemonSettingsInput,
  daemonSettingsSchema,
} from "../../src/process/daemon_settings.ts";
import { delay } from "../../src/shared/delay.ts";
import { LifeCycleManager } from "../../src/shared/life_cycle_manager.ts";
import {
  type ConfigDocument,
  configSchema,
} from "../../src/version/config_schema.ts";

/** API key of the test client account. */
export const TEST_API_KEY = "test-key";
/** Name of the test model. */
export const TEST_MODEL = "test-model";

/**
 * Default intervals and limits of a daemon, for tests with many daemons. At the short intervals of the smaller deployments, seven daemons in one test process occupy a core, so that a slower machine misses the limits that the test checks.
 */
export const DEFAULT_INTERVALS = getIntervals(
  daemonSettingsSchema.parse({
    name: "defaults",
    zone: "zone-a",
    platformUrl: "http://127.0.0.1:9",
  }),
);

/** Options of a test deployment. */
export interface TestDeploymentOptions {
  /** Names of the availability zones. */
  readonly zones?: readonly string[];
  /** Number of daemons, assigned to the zones in turn. */
  readonly daemons?: number;
  /** Number of engines in the one fabric domain of each zone. */
  readonly enginesPerZone?: number;
  /** Number of VMs of a group. */
  readonly groupSizeVms?: number;
  readonly engine?: Partial<FakeEngineOptions>;
  readonly settings?: Partial<DaemonSettingsInput>;
  /** Replaces components in a daemon's dependency injection container before the daemon starts. */
  readonly configureContainer?: (
    container: Container,
    settings: DaemonSettings,
  ) => void;
  /** Changes the configuration document before it is stored. */
  readonly configure?: (document: ConfigDocument) => void;
}

/** Fakes and daemons of one test, which all run in the test's process. */
export class TestDeployment {
  readonly platform = new FakePlatform();
  readonly service = new FakeService();
  readonly engines: FakeEngine[] = [];
  readonly daemons: Daemon[] = [];
  readonly #options: TestDeploymentOptions;
  readonly #lifeCycle = new LifeCycleManager();
  readonly #vms: Vm[] = [];

  private constructor(options: TestDeploymentOptions) {
    this.#options = options;
  }

  /** Starts a deployment and waits until a group serves in every zone. */
  static async start(
    options: TestDeploymentOptions = {},
  ): Promise<TestDeployment> {
    const deployment = new TestDeployment(options);
    try {
      await deployment.#start();
    } catch (error) {
      // Daemons that keep running would slow down every later test of the file.
      await deployment.dispose();
      throw error;
    }
    return deployment;
  }

  get zones(): readonly string[] {
    return this.#options.zones ?? ["zone-a", "zone-b"];
  }

  async dispose(): Promise<void> {
    await this.#lifeCycle.dispose();
  }

  /** Starts one more daemon and adds it to the VM list. */
  async startDaemon(
    settings: Partial<DaemonSettingsInput> = {},
  ): Promise<Daemon> {
    const index = this.daemons.length;
    const name = settings.name ?? `entry-${index + 1}`;
    const zone = settings.zone ?? this.zones[index % this.zones.length];
    const parsedSettings = daemonSettingsSchema.parse({
      name,
      zone,
      platformUrl: this.platform.url,
      logLevel: "error",
      balancerLagMs: 0,
      vmListLagMs: 200,
      exchangeIntervalMs: 100,
      freshnessLimitMs: 1_500,
      statusIntervalMs: 100,
      planIntervalMs: 100,
      leaseDurationMs: 1_000,
      ...this.#options.settings,
      ...settings,
    });
    const daemon = new Daemon(parsedSettings, {
      configureContainer: (container) =>
        this.#options.configureContainer?.(container, parsedSettings),
    });
    await daemon.start();
    this.#lifeCycle.add(daemon);
    this.daemons.push(daemon);
    this.#vms.push({
      name,
      role: "entry",
      address: daemon.peerAddress,
      zone,
      state: "live",
    });
    this.publishVms();
    return daemon;
  }

  /** Changes the VM list with a function and publishes it. */
  changeVms(change: (vms: Vm[]) => Vm[]): void {
    const changedVms = change([...this.#vms]);
    this.#vms.splice(0, this.#vms.length, ...changedVms);
    this.publishVms();
  }

  publishVms(): void {
    this.platform.setVms(this.#vms);
  }

  /** Writes a changed configuration document directly to the store. */
  setConfig(change: (document: ConfigDocument) => void): number {
    const storedConfig = this.platform.getObject("config", "main");
    const value = structuredClone(storedConfig?.value) as
      & ConfigDocument
      & { document?: ConfigDocument };
    const document = value.document ?? value;
    change(document);
    return this.platform.setObject("config", "main", document).version;
  }

  /** Finds the engine that leads a group. */
  getLeader(groupId: string): FakeEngine {
    const group = this.daemons[0].context.placementHolder.getGroup(groupId);
    return this.engines.find((e) => e.name === group?.leader)!;
  }

  /** Sends a chat request to a daemon and reads the whole response. */
  async requestChat(
    daemon: Daemon,
    content: string,
    options: {
      headers?: Record<string, string>;
      stream?: boolean;
      systemMessage?: string;
    } = {},
  ): Promise<Response<string>> {
    const { systemMessage } = options;
    return await got.post(
      `http://${daemon.callerAddress}/v1/chat/completions`,
      {
        json: {
          model: TEST_MODEL,
          messages: [
            ...(systemMessage === undefined
              ? []
              : [{ role: "system", content: systemMessage }]),
            { role: "user", content },
          ],
          stream: options.stream ?? false,
        },
        headers: {
          authorization: `Bearer ${TEST_API_KEY}`,
          ...options.headers,
        },
        throwHttpErrors: false,
        retry: { limit: 0 },
      },
    );
  }

  /** Calls the test service through a daemon. */
  async callService(
    daemon: Daemon,
    path: string,
    options: { key?: string; body?: string; method?: "GET" | "POST" } = {},
  ): Promise<Response<string>> {
    return await got(
      `http://${daemon.callerAddress}/services/bookings${path}`,
      {
        method: options.method ?? "POST",
        body: options.body,
        headers: {
          authorization: `Bearer ${TEST_API_KEY}`,
          "idempotency-key": options.key,
        },
        throwHttpErrors: false,
        retry: { limit: 0 },
      },
    );
  }

  /** Waits until every daemon has confirmed shares and a serving group in each of the given zones. */
  async waitUntilServing(
    zones: readonly string[] = this.zones,
    timeoutMs = 10_000,
  ): Promise<void> {
    await waitUntil(() =>
      this.daemons.every((daemon) => {
        const { groupDirectory, sharedAdmission } = daemon.context;
        const servingGroups = groupDirectory.getServingGroups(TEST_MODEL);
        return sharedAdmission.hasConfirmedShares() &&
          zones.every((z) => servingGroups.some((s) => s.group.zone === z));
      }), timeoutMs);
  }

  async #start(): Promise<void> {
    await this.platform.start();
    this.#lifeCycle.add(this.platform);
    this.platform.weightFetchMs = 5;
    await this.service.start();
    this.#lifeCycle.add(this.service);
    for (const zone of this.zones) {
      await this.#startEngines(zone);
    }
    const document = this.#createConfig();
    this.#options.configure?.(document);
    this.platform.setObject("config", "main", document);
    for (let index = 0; index < (this.#options.daemons ?? 2); index++) {
      await this.startDaemon();
    }
    await this.waitUntilServing();
  }

  async #startEngines(zone: string): Promise<void> {
    for (
      let index = 1;
      index <= (this.#options.enginesPerZone ?? 2);
      index++
    ) {
      const name = `${zone}-gpu-${index}`;
      const engine = new FakeEngine({
        name,
        platformUrl: this.platform.url,
        tokenIntervalMs: 5,
        warmAfterRequests: 2,
        ...this.#options.engine,
      });
      const address = await engine.start();
      this.#lifeCycle.add(engine);
      this.engines.push(engine);
      this.#vms.push({
        name,
        role: "backend",
        address,
        zone,
        fabricDomain: `${zone}-rack-1`,
        state: "live",
      });
    }
  }

  #createConfig(): ConfigDocument {
    const groupSizeVms = this.#options.groupSizeVms ?? 2;
    const enginesPerZone = this.#options.enginesPerZone ?? 2;
    return configSchema.parse({
      schemaVersion: 1,
      zones: this.zones.map((name) => ({ name, region: "region-1" })),
      models: [{
        name: TEST_MODEL,
        groupSizeVms,
        placements: this.zones.map((zone) => ({
          zones: [zone],
          count: Math.floor(enginesPerZone / groupSizeVms),
        })),
        slotsPerGroup: 16,
        contextTokens: 400_000,
        kvTokensPerGroup: 1_000_000,
        warmAfterRequests: 2,
        honoursFencing: true,
      }],
      services: [{
        name: "bookings",
        backends: [{ address: this.service.address, zone: this.zones[0] }],
        nonRepeatable: [{ method: "POST", path: "/visits*" }],
      }],
      clientAccounts: [{
        name: "account-1",
        apiKeySha256: [
          createHash("sha256").update(TEST_API_KEY).digest("hex"),
        ],
      }],
    });
  }
}

function getIntervals(settings: DaemonSettings) {
  return {
    exchangeIntervalMs: settings.exchangeIntervalMs,
    freshnessLimitMs: settings.freshnessLimitMs,
    statusIntervalMs: settings.statusIntervalMs,
    planIntervalMs: settings.planIntervalMs,
    leaseDurationMs: settings.leaseDurationMs,
  };
}

/**
 * Waits until a condition holds.
 *
 * @throws When the condition does not hold within the timeout.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 5_000,
): Promise<void> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > deadlineAtMs) {
      throw new Error(`The condition did not hold within ${timeoutMs} ms`);
    }
    await delay(10);
  }
}
