import { WireServer } from "../../fakes/wire_server.ts";
import {
  createWireConfig,
  WIRE_EXCLUSION_KIND,
} from "../../fakes/wire_settings.ts";
import { WireStore } from "../../fakes/wire_store.ts";
import { delay } from "../../src/shared/delay.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { SoakDaemon } from "./soak_daemon.ts";
import { PLAIN_SERVER_COUNT } from "./soak_plan.ts";
import type { SoakRecord } from "./soak_record.ts";

const ZONES = ["z1", "z2"];
/** Time for which the entry of a crashed server stays in the list, in milliseconds. */
const ENTRY_RETENTION_MS = 2_000;
/** Time that a leaving server goes on serving, in milliseconds: longer than it may get requests. */
const DRAINING_MS = 4_000;
/** Time between two questions of the balancer, in milliseconds. */
const READINESS_POLL_MS = 500;
/** Parts of the calls that use a key that was removed, and the newest one. */
const REMOVED_KEY_SHARE = 0.05;
const NEWEST_KEY_SHARE = 0.1;
/** Misses after which the balancer turns away. */
const FAILURE_THRESHOLD = 2;

/** Server with the proxy in front of it. */
export interface SoakServer {
  readonly server: WireServer;
  readonly proxy: FaultProxy;
  readonly id: string;
}

/** Store, backend servers and daemons of a soak, with a proxy on each link that can be harmed. */
export class SoakFleet {
  readonly store = new WireStore();
  readonly daemons: SoakDaemon[] = [];
  readonly storeProxies: FaultProxy[] = [];
  /** Servers by place; a place gets a new server when its server is lost. */
  readonly servers: SoakServer[] = [];
  readonly #serversById = new Map<string, WireServer>();
  readonly #record: SoakRecord;
  readonly #keys: string[] = ["key-1"];
  readonly #allServers: SoakServer[] = [];
  #nextConfigVersion = 1;
  #startedServerCount = 0;

  constructor(record: SoakRecord) {
    this.#record = record;
  }

  /**
   * Gets a key for a caller: mostly one that is in force for long, at times the newest or one that was removed.
   *
   * @param random - Random number from 0 to 1.
   */
  getKey(random: number): string {
    const removed = this.#record.keyChanges.at(-1)?.removed;
    if (random < REMOVED_KEY_SHARE && removed !== undefined) {
      return removed;
    }
    return random > 1 - NEWEST_KEY_SHARE ? this.#keys.at(-1)! : this.#keys[0];
  }

  /** Starts everything; the daemons write settings and logs to the directory. */
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
      const link = new FaultProxy(this.store.address);
      await link.listen();
      this.storeProxies.push(link);
      const daemon = new SoakDaemon({
        index,
        zone: ZONES[index % ZONES.length],
        directory: options.directory,
        storeAddress: link.address,
        program: options.program,
      });
      this.daemons.push(daemon);
      await daemon.start();
    }
  }

  /** Starts a new server at a place. */
  async startServer(serverIndex: number, modelServers: number): Promise<void> {
    const id = `s${serverIndex}-${++this.#startedServerCount}`;
    const zone = ZONES[serverIndex % ZONES.length];
    const isModelServer = serverIndex < modelServers;
    const links: FaultProxy[] = [];
    const server = new WireServer({
      id,
      zone,
      service: isModelServer ? "models" : "app",
      domain: isModelServer ? `${zone}-d0` : undefined,
      store: this.store,
      fleet: this.#serversById,
      runs: this.#record.runs,
      getPublicAddress: () => links[0].address,
    });
    await server.listen();
    const proxy = new FaultProxy(server.address);
    links.push(proxy);
    await proxy.listen();
    server.publishEntry();
    this.servers[serverIndex] = { server, proxy, id };
    this.#allServers.push(this.servers[serverIndex]);
  }

  /** Lets a server vanish, and another one take its place later. */
  async crashServer(serverIndex: number, modelServers: number): Promise<void> {
    const { server, id } = this.servers[serverIndex];
    server.crash();
    await delay(ENTRY_RETENTION_MS);
    this.store.deleteObject("servers", id);
    await this.startServer(serverIndex, modelServers);
  }

  /** Lets a server announce that it leaves, serve on for a while and end. */
  async drainServer(serverIndex: number, modelServers: number): Promise<void> {
    const { server, id } = this.servers[serverIndex];
    const exclusion = {
      serverId: id,
      fromMs: Date.now(),
      untilMs: Number.POSITIVE_INFINITY,
    };
    server.drain();
    this.#record.exclusions.push(exclusion);
    await delay(DRAINING_MS);
    exclusion.untilMs = Date.now();
    server.crash();
    this.store.deleteObject("servers", id);
    await this.startServer(serverIndex, modelServers);
  }

  /** Adds a key for callers and removes the one before the last. */
  changeKeys(): void {
    const added = `key-${this.#nextConfigVersion + 1}`;
    this.#keys.push(added);
    const removed = this.#keys.length > 2 ? this.#keys.shift() : undefined;
    this.#writeConfig();
    this.#record.keyChanges.push({ atMs: Date.now(), added, removed });
  }

  /** Takes a zone out of service for a while. */
  async excludeZone(zone: string, forMs: number): Promise<void> {
    if (this.store.getObject(WIRE_EXCLUSION_KIND, zone) !== undefined) {
      return;
    }
    const exclusion = {
      zone,
      fromMs: Date.now(),
      untilMs: Number.POSITIVE_INFINITY,
    };
    this.store.putObject(WIRE_EXCLUSION_KIND, zone, {});
    this.#record.exclusions.push(exclusion);
    await delay(forMs);
    exclusion.untilMs = Date.now();
    this.store.deleteObject(WIRE_EXCLUSION_KIND, zone);
  }

  /** Asks the daemons whether they take callers until the signal aborts. */
  async runBalancer(signal: AbortSignal): Promise<void> {
    await Promise.all(this.daemons.map(async (daemon) => {
      let failedPolls = FAILURE_THRESHOLD;
      do {
        failedPolls = await daemon.isReady() ? 0 : failedPolls + 1;
        daemon.isInRotation = failedPolls < FAILURE_THRESHOLD;
      } while (await delay(READINESS_POLL_MS, signal));
    }));
  }

  /** Ends everything that the soak started. */
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
    await Promise.all(this.storeProxies.map((link) => link.dispose()));
    await this.store.dispose();
  }

  #writeConfig(): void {
    const config = createWireConfig(this.#nextConfigVersion++, [...this.#keys]);
    this.store.putObject("config", "main", config);
  }
}
