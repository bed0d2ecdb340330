import type { Container } from "inversify";
import { createCallerApp } from "../connection/caller_app.ts";
import { HttpServer } from "../connection/http_server.ts";
import { createOperatorApp } from "../connection/operator_app.ts";
import { createPeerApp } from "../connection/peer_app.ts";
import { ClaimSweepTask } from "./claim_sweep_task.ts";
import { ConfigAnnouncer } from "./config_announcer.ts";
import { createContainer, SERVICES } from "./container.ts";
import type { DaemonAddresses } from "./daemon_addresses.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { DaemonSettings } from "./daemon_settings.ts";
import { GroupMonitorTask } from "./group_monitor_task.ts";
import { OutOfServiceTask } from "./out_of_service_task.ts";
import { PeerExchangeSupervisor } from "./peer_exchange_task.ts";
import { PlannerTask } from "./planner_task.ts";
import { QuarantineSyncTask } from "./quarantine_sync_task.ts";
import { StoreSyncTask } from "./store_sync_task.ts";
import { TelemetryTask } from "./telemetry_task.ts";

/** Options of a daemon. */
export interface DaemonOptions {
  /** Changes the bindings of the container before the daemon uses them. */
  readonly configureContainer?: (container: Container) => void;
}

/** Daemon that consists of its listeners and its background tasks. */
export class Daemon {
  readonly context: DaemonContext;
  readonly #callerServer: HttpServer;
  readonly #peerServer: HttpServer;
  readonly #operatorServer: HttpServer;
  readonly #configAnnouncer: ConfigAnnouncer;
  #stopPromise: Promise<void> | undefined;

  constructor(settings: DaemonSettings, options: DaemonOptions = {}) {
    const container = createContainer(settings);
    options.configureContainer?.(container);
    this.context = container.get(SERVICES.context);
    const { gracefulStop, sharedAdmission } = this.context;
    gracefulStop.addHook({
      name: "admission",
      release: () => sharedAdmission.repayAll(),
    });
    this.#configAnnouncer = container.get(ConfigAnnouncer);
    this.#callerServer = new HttpServer(createCallerApp(this.context), {
      requestTimeoutMs: settings.bodyTimeoutMs,
      maxConnections: settings.maxConnections,
    });
    this.#peerServer = new HttpServer(createPeerApp(this.context));
    this.#operatorServer = new HttpServer(createOperatorApp(this.context));
  }

  /** Gets the address of the caller port as `host:port`. */
  get callerAddress(): string {
    return this.#callerServer.address;
  }

  /** Gets the address of the peer port as `host:port`. */
  get peerAddress(): string {
    return this.#peerServer.address;
  }

  /** Gets the address of the operator port as `host:port`. */
  get operatorAddress(): string {
    return this.#operatorServer.address;
  }

  /** Gets the addresses of all listeners. */
  getAddresses(): DaemonAddresses {
    return {
      caller: this.callerAddress,
      peer: this.peerAddress,
      operator: this.operatorAddress,
    };
  }

  /** Starts the listeners and the background tasks. */
  async start(): Promise<void> {
    const { settings, lifeCycle, logger } = this.context;
    await this.#peerServer.listen(settings.peer);
    lifeCycle.add(this.#peerServer);
    await this.#operatorServer.listen(settings.operator);
    lifeCycle.add(this.#operatorServer);
    await this.#callerServer.listen(settings.caller);
    lifeCycle.add(this.#callerServer);
    this.#startTask("observation", new TelemetryTask(this.context));
    this.#configAnnouncer.start();
    this.#startTask("peer-exchange", new PeerExchangeSupervisor(this.context));
    this.#startTask("store-sync", new StoreSyncTask(this.context));
    this.#startTask("group-monitor", new GroupMonitorTask(this.context));
    this.#startTask("admission", this.context.sharedAdmission);
    this.#startTask("out-of-service", new OutOfServiceTask(this.context));
    this.#startTask("planner", new PlannerTask(this.context));
    this.#startTask("quarantine-sync", new QuarantineSyncTask(this.context));
    this.#startTask("claim-sweep", new ClaimSweepTask(this.context));
    logger.write("info", "daemon-started", { ...this.getAddresses() });
  }

  /** Stops gracefully: refuses new requests after the load balancer's lag, lets requests in flight complete, runs the release hooks, then disposes of the tasks and listeners. Later calls return the same promise. */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stopOnce();
    return this.#stopPromise;
  }

  /** Stops the tasks and the listeners immediately, without waiting for requests in flight. */
  async dispose(): Promise<void> {
    await this.context.lifeCycle.dispose();
    this.context.logger.write("info", "daemon-stopped");
  }

  async #stopOnce(): Promise<void> {
    await this.context.gracefulStop.run(() =>
      this.#callerServer.stopListening()
    );
    await this.dispose();
  }

  #startTask(name: string, task: { run(): Promise<void> }): void {
    task.run().catch((error: unknown) => {
      this.context.logger.write("error", "task-failed", {
        task: name,
        message: String(error),
      });
    });
  }
}
