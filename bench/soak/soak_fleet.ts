import { FakeBackendServer } from "../../fakes/fake_backend_server.ts";
import {
  createPlatformConfig,
  EXCLUDED_ZONE_KIND,
} from "../../fakes/platform_documents.ts";
import { FakeObjectStore } from "../../fakes/fake_object_store.ts";
import { delay } from "../../src/shared/delay.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { SoakDaemon } from "./soak_daemon.ts";
import { PLAIN_SERVER_COUNT } from "./soak_plan.ts";
import type { SoakRecord } from "./soak_record.ts";

const ZONES = ["z1", "z2"];
/** Kind and name of the store object with the planner's lease. */
const LEASE_KIND = "tarragontally-leases";
const LEASE_NAME = "planner";
/** Time for which the store keeps the entry of a crashed server, in milliseconds. */
const ENTRY_RETENTION_MS = 2_000;
/** Time for which a draining server keeps serving, in milliseconds. It exceeds the time for which daemons may still send it requests. */
const DRAINING_MS = 4_000;
/** Interval of the balancer's readiness checks, in milliseconds. */
const READINESS_POLL_MS = 500;
/** Share of the calls that use the last removed key. */
const REMOVED_KEY_SHARE = 0.05;
/** Share of the calls that use the newest key. */
const NEWEST_KEY_SHARE = 0.1;
/** Consecutive failed readiness checks after which the balancer takes a daemon out of rotation. */
const FAILURE_THRESHOLD = 2;

/** Backend server with the proxy in front of it. */
export interface SoakServer {
  readonly server: FakeBackendServer;
  readonly proxy: FaultProxy;
  readonly id: string;
}

/** Store, backend servers and daemons of a soak, with a proxy on each link into which faults are injected. */
export class SoakFleet {
  readonly store = new FakeObjectStore();
  readonly daemons: SoakDaemon[] = [];
  readonly storeProxies: FaultProxy[] = [];
  /** Servers by index; a replacement takes the index of the server that it replaces. */
  readonly servers: SoakServer[] = [];
  readonly #serversById = new Map<string, FakeBackendServer>();
  readonly #record: SoakRecord;
  readonly #keys: string[] = ["key-1"];
  readonly #allServers: SoakServer[] = [];
  #hasAccounts = true;
  #nextConfigVersion = 1;
  #startedServerCount = 0;

  constructor(record: SoakRecord) {
    this.#record = record;
  }

  /**
   * Chooses an API key for a call: usually the oldest valid key, sometimes the newest or the last removed one.
   *
   * @param random - Random number from 0 to 1.
   */
  chooseKey(random: number): string {
    const removed = this.#record.keyChanges.at(-1)?.removed;
    if (random < REMOVED_KEY_SHARE && removed !== undefined) {
      return removed;
    }
    return random > 1 - NEWEST_KEY_SHARE ? this.#keys.at(-1)! : this.#keys[0];
  }

  /** Starts the store, the backend servers and the daemons. Settings and logs of the daemons go to the directory. */
  async start(
    options: {
      daemons: number;
      servers: number;
      directory: string;
      /** Path of the built daemon. */
      program: string;
    },
  ): Promise<void> {
    await this.store.start();
    this.#writeConfig();
    for (
      let serverIndex = 0;
      serverIndex < options.servers + PLAIN_SERVER_COUNT;
      serverIndex++
    ) {
      await this.startServer(serverIndex, options.servers);
    }
    for (let index = 0; index < options.daemons; index++) {
      const proxy = new FaultProxy(this.store.address);
      await proxy.listen();
      this.storeProxies.push(proxy);
      const daemon = new SoakDaemon({
        index,
        zone: ZONES[index % ZONES.length],
        directory: options.directory,
        storeAddress: proxy.address,
        program: options.program,
      });
      this.daemons.push(daemon);
      await daemon.start();
    }
  }

  /** Starts a new server at an index. Servers whose index is below the number of model servers are model servers, the others plain servers. */
  async startServer(
    serverIndex: number,
    modelServerCount: number,
  ): Promise<void> {
    const id = `s${serverIndex}-${++this.#startedServerCount}`;
    const zone = ZONES[serverIndex % ZONES.length];
    const isModelServer = serverIndex < modelServerCount;
    const proxies: FaultProxy[] = [];
    const server = new FakeBackendServer({
      id,
      zone,
      service: isModelServer ? "models" : "app",
      domain: isModelServer ? `${zone}-d0` : undefined,
      store: this.store,
      fleet: this.#serversById,
      runs: this.#record.runs,
      getPublicAddress: () => proxies[0].address,
    });
    await server.listen();
    const proxy = new FaultProxy(server.address);
    proxies.push(proxy);
    await proxy.listen();
    server.publishEntry();
    this.servers[serverIndex] = { server, proxy, id };
    this.#allServers.push(this.servers[serverIndex]);
  }

  /** Crashes a server, then deletes its entry and starts a replacement. */
  async crashServer(
    serverIndex: number,
    modelServerCount: number,
  ): Promise<void> {
    const { server, id } = this.servers[serverIndex];
    server.crash();
    await delay(ENTRY_RETENTION_MS);
    this.store.deleteObject("servers", id);
    await this.startServer(serverIndex, modelServerCount);
  }

  /**
   * Lets a server leave, stops it after a fixed time and starts a replacement.
   *
   * @param options - With `reportsDrain` set to false, the server removes its entry in place of reporting that it drains.
   */
  async drainServer(
    serverIndex: number,
    options: { modelServerCount: number; reportsDrain: boolean },
  ): Promise<void> {
    const { modelServerCount, reportsDrain } = options;
    const { server, id } = this.servers[serverIndex];
    const exclusion = {
      serverId: id,
      fromMs: Date.now(),
      untilMs: Number.POSITIVE_INFINITY,
    };
    if (reportsDrain) {
      server.drain();
    } else {
      server.removeEntry();
    }
    this.#record.exclusions.push(exclusion);
    await delay(DRAINING_MS);
    exclusion.untilMs = Date.now();
    server.crash();
    this.store.deleteObject("servers", id);
    await this.startServer(serverIndex, modelServerCount);
  }

  /** Adds an API key and removes the oldest one when more than two are valid. */
  changeKeys(): void {
    const added = `key-${this.#nextConfigVersion + 1}`;
    this.#keys.push(added);
    const removed = this.#keys.length > 2 ? this.#keys.shift() : undefined;
    this.#writeConfig();
    this.#record.keyChanges.push({ atMs: Date.now(), added, removed });
  }

  /** Removes all client accounts for a limited time; does nothing when they are removed already. */
  async removeAccounts(forMs: number): Promise<void> {
    if (!this.#hasAccounts) {
      return;
    }
    const removal = { fromMs: Date.now(), untilMs: Number.POSITIVE_INFINITY };
    this.#hasAccounts = false;
    this.#writeConfig();
    this.#record.accountRemovals.push(removal);
    await delay(forMs);
    removal.untilMs = Date.now();
    this.#hasAccounts = true;
    this.#writeConfig();
  }

  /** Finds the index of the daemon that holds the planner's lease; undefined when no daemon does. */
  findPlanner(): number | undefined {
    const lease = this.store.getObject(LEASE_KIND, LEASE_NAME) as
      | { readonly holder: string }
      | undefined;
    const index = this.daemons.findIndex(({ name }) => name === lease?.holder);
    return index < 0 ? undefined : index;
  }

  /** Excludes a zone from service for a limited time; does nothing when it is excluded already. */
  async takeZoneOutOfService(zone: string, forMs: number): Promise<void> {
    if (this.store.getObject(EXCLUDED_ZONE_KIND, zone) !== undefined) {
      return;
    }
    const exclusion = {
      zone,
      fromMs: Date.now(),
      untilMs: Number.POSITIVE_INFINITY,
    };
    this.store.putObject(EXCLUDED_ZONE_KIND, zone, {});
    this.#record.exclusions.push(exclusion);
    await delay(forMs);
    exclusion.untilMs = Date.now();
    this.store.deleteObject(EXCLUDED_ZONE_KIND, zone);
  }

  /** Checks the readiness of each daemon at a fixed interval and updates whether it is in rotation, until the signal aborts. */
  async runBalancer(signal: AbortSignal): Promise<void> {
    await Promise.all(this.daemons.map(async (daemon) => {
      let failedPolls = FAILURE_THRESHOLD;
      do {
        failedPolls = await daemon.isReady() ? 0 : failedPolls + 1;
        daemon.isInRotation = failedPolls < FAILURE_THRESHOLD;
      } while (await delay(READINESS_POLL_MS, signal));
    }));
  }

  /** Stops the daemons, servers, proxies and the store. */
  async dispose(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.dispose()));
    this.#record.conflictingJoins = this.#allServers.reduce(
      (sum, { server }) => sum + server.conflictingJoins,
      0,
    );
    for (const { server, proxy } of this.#allServers) {
      await proxy.dispose();
      await server.dispose();
    }
    await Promise.all(this.storeProxies.map((proxy) => proxy.dispose()));
    await this.store.dispose();
  }

  #writeConfig(): void {
    const config = createPlatformConfig(this.#nextConfigVersion++, [
      ...this.#keys,
    ]);
    this.store.putObject("config", "main", {
      ...config,
      Tenants: this.#hasAccounts ? config.Tenants : [],
    });
  }
}
