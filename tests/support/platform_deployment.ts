import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { createPlatformAdapter } from "../../platform/adapter.ts";
import { parseSettings } from "../../platform/settings.ts";
import {
  createClientHeaders,
  createPlatformConfig,
  createPlatformSettings,
  MODEL_HEADERS,
  type PlatformDuties,
} from "../../fakes/platform_documents.ts";
import {
  FakeBackendServer,
  type FakeServerRun,
} from "../../fakes/fake_backend_server.ts";
import { FakeObjectStore } from "../../fakes/fake_object_store.ts";
import { Metrics } from "../../src/process/metrics.ts";
import { RoutingDaemon } from "../../src/process/routing_daemon.ts";
import type { RoutingSettings } from "../../src/process/routing_settings.ts";
import { delay } from "../../src/shared/delay.ts";
import type { LogFields, Logger } from "../../src/shared/logger.ts";

/** Response as a caller receives it. */
export interface CallerResponse {
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the response arrived completely and with status 200. */
  readonly isWhole: boolean;
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Object store, backend servers and daemons of a test, with the same settings as on the platform. */
export class PlatformDeployment {
  readonly store = new FakeObjectStore();
  readonly fleet = new Map<string, FakeBackendServer>();
  readonly runs: FakeServerRun[] = [];
  readonly daemons: RoutingDaemon[] = [];
  /** Metrics of the daemons, in the order of their starts. */
  readonly metrics: Metrics[] = [];
  readonly callerAddresses: string[] = [];
  readonly readyAddresses: string[] = [];
  readonly metricsAddresses: string[] = [];
  readonly events: { event: string; fields: LogFields }[] = [];
  /** Duties of the daemons that are started from now on; none by default. */
  duties: PlatformDuties | undefined;
  #version = 1;
  #requestCount = 0;
  /** Settings of the daemons that differ from those of the platform. */
  #settings: Partial<RoutingSettings> = {};

  /** Starts the store, the servers and the daemons. */
  async start(
    options: {
      daemons: number;
      models: number;
      eventMs?: number;
      settings?: Partial<RoutingSettings>;
    },
  ): Promise<void> {
    this.#settings = options.settings ?? {};
    await this.store.start();
    this.writeConfig({});
    for (let i = 0; i < options.models; i++) {
      await this.addServer({
        id: `m${i}`,
        service: "models",
        zone: i % 2 === 0 ? "z1" : "z2",
        domain: i % 2 === 0 ? "z1-d0" : "z2-d0",
        eventMs: options.eventMs,
      });
    }
    for (const id of ["p0", "p1"]) {
      await this.addServer({ id, service: "app", zone: "z1" });
    }
    for (let i = 0; i < options.daemons; i++) {
      await this.startDaemon(`entry-${i}`);
    }
  }

  /** Starts a backend server, which registers itself in the store. */
  async addServer(
    server: {
      id: string;
      service: string;
      zone: string;
      domain?: string;
      eventMs?: number;
    },
  ): Promise<FakeBackendServer> {
    const { store, fleet, runs } = this;
    const backendServer = new FakeBackendServer({
      ...server,
      store,
      fleet,
      runs,
    });
    await backendServer.start();
    return backendServer;
  }

  /** Starts a daemon with the platform's settings. */
  async startDaemon(name: string): Promise<void> {
    const [callerPort, readyPort, peerPort, metricsPort] = await findFreePorts(
      4,
    );
    const settings = parseSettings(createPlatformSettings({
      name,
      zone: "z1",
      ip: "127.0.0.1",
      caller: `127.0.0.1:${callerPort}`,
      ready: `127.0.0.1:${readyPort}`,
      peerPort,
      store: this.store.address,
      duties: this.duties,
    }));
    const daemonMetrics = new Metrics();
    const daemon = new RoutingDaemon({
      settings: {
        ...settings.daemon,
        ...this.#settings,
        metrics: { host: "127.0.0.1", port: metricsPort },
      },
      platform: createPlatformAdapter({ settings, metrics: daemonMetrics }),
      logger: this.#createLogger(),
      metrics: daemonMetrics,
    });
    await daemon.start();
    this.daemons.push(daemon);
    this.metrics.push(daemonMetrics);
    this.callerAddresses.push(`127.0.0.1:${callerPort}`);
    this.readyAddresses.push(`127.0.0.1:${readyPort}`);
    this.metricsAddresses.push(`127.0.0.1:${metricsPort}`);
  }

  /** Writes the next version of the configuration. */
  writeConfig(change: Record<string, unknown>): void {
    this.store.putObject("config", "main", {
      ...createPlatformConfig(this.#version++),
      ...change,
    });
  }

  /** Waits until each daemon has completed a model request. */
  async waitUntilServing(): Promise<void> {
    for (const callerAddress of this.callerAddresses) {
      await waitUntil(async () =>
        (await this.callModel(callerAddress)).isWhole
      );
    }
  }

  /**
   * Sends a model request.
   *
   * @param callerAddress - Daemon that receives the request.
   * @param options - Path, and headers to add.
   */
  callModel(
    callerAddress = this.callerAddresses[0],
    options: { path?: string; headers?: Record<string, string> } = {},
  ): Promise<CallerResponse> {
    return this.call(callerAddress, {
      method: "POST",
      path: options.path ?? "/model/1",
      headers: {
        ...MODEL_HEADERS,
        "Deadline-Ms": "6000",
        ...options.headers,
      },
    });
  }

  /** Counts the links that the daemons have opened and accepted; each link counts at both ends. */
  countLinks(): number {
    return this.events.filter(({ event }) => event === "peer-linked").length;
  }

  /** Waits until every daemon is linked with every other one. */
  async waitUntilLinked(timeoutMs?: number): Promise<void> {
    const daemonCount = this.daemons.length;
    await waitUntil(
      () => this.countLinks() >= daemonCount * (daemonCount - 1),
      timeoutMs,
    );
  }

  /** Sends a request. */
  call(callerAddress: string, options: {
    method: string;
    path: string;
    headers?: Record<string, string>;
  }): Promise<CallerResponse> {
    const [host, port] = callerAddress.split(":");
    return new Promise((resolve) => {
      let body = "";
      const req = request({
        host,
        port,
        method: options.method,
        path: options.path,
        agent: false,
        headers: {
          ...createClientHeaders(`r${++this.#requestCount}`, "key-1", 2_000),
          ...options.headers,
        },
      }, (res) => {
        const settle = () =>
          resolve({
            status: res.statusCode,
            body,
            isWhole: res.complete && res.statusCode === 200,
            headers: res.headers,
          });
        res.on("data", (chunk) => body += chunk);
        res.on("end", settle);
        res.on("error", settle);
      });
      req.on(
        "error",
        () => resolve({ status: undefined, body, isWhole: false, headers: {} }),
      );
      req.end(options.method === "POST" ? "body" : undefined);
    });
  }

  /** Stops the daemons, then the backend servers, then the store. */
  async dispose(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    await Promise.all([...this.fleet.values()].map((s) => s.dispose()));
    await this.store.dispose();
  }

  #createLogger(): Logger {
    return {
      write: (_level, event, fields = {}) => {
        this.events.push({ event, fields });
      },
    };
  }
}

/** Waits until a condition holds. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > deadlineAtMs) {
      throw new Error(`The condition did not hold within ${timeoutMs} ms`);
    }
    await delay(50);
  }
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise<number>((resolve) =>
        server.listen(
          0,
          "127.0.0.1",
          () => resolve((server.address() as AddressInfo).port),
        )
      )
    ),
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
