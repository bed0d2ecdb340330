import { FakeBackendServer } from "../../fakes/fake_backend_server.ts";
import {
  createPlatformConfig,
  EXCLUDED_ZONE_KIND,
} from "../../fakes/platform_documents.ts";
import { FakeObjectStore } from "../../fakes/fake_object_store.ts";
import { delay } from "../../src/shared/delay.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { SoakDaemon } from "./soak_daemon.ts";
import { PLAIN_SERVERS } from "./soak_plan.ts";
import type { SoakRecord } from "./soak_record.ts";

const ZONES = ["z1", "z2"];
/** Time for which the entry of a crashed server stays in the list, in milliseconds. */
const ENTRY_LIFE_MS = 2_000;
/** Time that a leaving server goes on serving, in milliseconds: longer than it may get requests. */
const LEAVING_MS = 4_000;
/** Time between two questions of the balancer, in milliseconds. */
const BALANCER_MS = 500;
/** Parts of the calls that use a key that was removed, and the newest one. */
const REMOVED_KEY_SHARE = 0.05;
const NEWEST_KEY_SHARE = 0.1;
/** Misses after which the balancer turns away. */
const BALANCER_MISSES = 2;

/** Server with the proxy in front of it. */
export interface PlacedServer {
  readonly server: FakeBackendServer;
  readonly proxy: FaultProxy;
  readonly id: string;
}

/** Store, backend servers and daemons of a soak, with a proxy on each link that can be harmed. */
export class SoakFleet {
  readonly store = new FakeObjectStore();
  readonly daemons: SoakDaemon[] = [];
  readonly storeLinks: FaultProxy[] = [];
  /** Servers by place; a place gets a new server when its server is lost. */
  readonly servers: PlacedServer[] = [];
  readonly #byId = new Map<string, FakeBackendServer>();
  readonly #record: SoakRecord;
  readonly #keys: string[] = ["key-1"];
  readonly #all: PlacedServer[] = [];
  #version = 1;
  #started = 0;

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
    for (let place = 0; place < options.servers + PLAIN_SERVERS; place++) {
      await this.startServer(place, options.servers);
    }
    for (let index = 0; index < options.daemons; index++) {
      const link = new FaultProxy(this.store.address);
      await link.listen();
      this.storeLinks.push(link);
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
  async startServer(place: number, modelServers: number): Promise<void> {
    const id = `s${place}-${++this.#started}`;
    const zone = ZONES[place % ZONES.length];
    const isModelServer = place < modelServers;
    const links: FaultProxy[] = [];
    const server = new FakeBackendServer({
      id,
      zone,
      service: isModelServer ? "models" : "app",
      domain: isModelServer ? `${zone}-d0` : undefined,
      store: this.store,
      fleet: this.#byId,
      runs: this.#record.runs,
      getPublicAddress: () => links[0].address,
    });
    await server.listen();
    const proxy = new FaultProxy(server.address);
    links.push(proxy);
    await proxy.listen();
    server.publishEntry();
    this.servers[place] = { server, proxy, id };
    this.#all.push(this.servers[place]);
  }

  /** Lets a server vanish, and another one take its place later. */
  async crashServer(place: number, modelServers: number): Promise<void> {
    const { server, id } = this.servers[place];
    server.crash();
    await delay(ENTRY_LIFE_MS);
    this.store.deleteObject("servers", id);
    await this.startServer(place, modelServers);
  }

  /** Lets a server announce that it leaves, serve on for a while and end. */
  async drainServer(place: number, modelServers: number): Promise<void> {
    const { server, id } = this.servers[place];
    const exclusion = {
      serverId: id,
      fromMs: Date.now(),
      untilMs: Number.POSITIVE_INFINITY,
    };
    server.drain();
    this.#record.exclusions.push(exclusion);
    await delay(LEAVING_MS);
    exclusion.untilMs = Date.now();
    server.crash();
    this.store.deleteObject("servers", id);
    await this.startServer(place, modelServers);
  }

  /** Adds a key for callers and removes the one before the last. */
  changeKeys(): void {
    const added = `key-${this.#version + 1}`;
    this.#keys.push(added);
    const removed = this.#keys.length > 2 ? this.#keys.shift() : undefined;
    this.#writeConfig();
    this.#record.keyChanges.push({ atMs: Date.now(), added, removed });
  }

  /** Takes a zone out of service for a while. */
  async dropZone(zone: string, forMs: number): Promise<void> {
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

  /** Asks the daemons whether they take callers until the signal aborts. */
  async runBalancer(signal: AbortSignal): Promise<void> {
    await Promise.all(this.daemons.map(async (daemon) => {
      let misses = BALANCER_MISSES;
      do {
        misses = await daemon.isReady() ? 0 : misses + 1;
        daemon.isInRotation = misses < BALANCER_MISSES;
      } while (await delay(BALANCER_MS, signal));
    }));
  }

  /** Ends everything that the soak started. */
  async dispose(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.dispose()));
    this.#record.conflictingJoins = this.#all.reduce(
      (sum, { server }) => sum + server.conflictingJoins,
      0,
    );
    for (const { server, proxy } of this.#all) {
      await proxy.dispose();
      await server.dispose();
    }
    await Promise.all(this.storeLinks.map((link) => link.dispose()));
    await this.store.dispose();
  }

  #writeConfig(): void {
    const config = createPlatformConfig(this.#version++, [...this.#keys]);
    this.store.putObject("config", "main", config);
  }
}
