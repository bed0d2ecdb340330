import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { get } from "node:http";
import { join } from "node:path";
import process from "node:process";
import {
  createPlatformSettings,
  SETTINGS_VARIABLE,
} from "../../fakes/platform_documents.ts";
import { delay } from "../../src/shared/delay.ts";

/** Lowest second octet of the loopback networks. Each soak chooses its octet by process id, so that the addresses of concurrent soaks rarely collide. */
const FIRST_NETWORK_OCTET = 64;
const NETWORK_COUNT = 128;
const CALLER_PORT = 8_227;
const READY_PORT = 8_220;
const PEER_PORT = 7_340;
/** Delay between the exit of a process and its restart, in milliseconds. */
const RESTART_DELAY_MS = 300;
/** Time from SIGTERM to SIGKILL, in milliseconds. */
const STOP_TIMEOUT_MS = 8_000;
const READY_TIMEOUT_MS = 500;

/** Daemon process on a separate loopback address. It is restarted whenever it exits. */
export class SoakDaemon {
  readonly name: string;
  readonly #ip: string;
  readonly #zone: string;
  readonly #directory: string;
  readonly #storeAddress: string;
  readonly #program: string;
  readonly #nodeOptions: readonly string[];
  #child: ChildProcess | undefined;
  #isDisposed = false;
  /** Whether the balancer sends new connections to this daemon. */
  isInRotation = false;

  constructor(options: {
    index: number;
    zone: string;
    /** Directory for settings and logs. */
    directory: string;
    storeAddress: string;
    /** Path of the built daemon. */
    program: string;
    /** Options of Node.js for the process. */
    nodeOptions?: readonly string[];
  }) {
    this.#nodeOptions = options.nodeOptions ?? [];
    this.name = `entry-${options.index}`;
    const networkOctet = FIRST_NETWORK_OCTET + process.pid % NETWORK_COUNT;
    this.#ip = `127.${networkOctet}.0.${options.index + 1}`;
    this.#program = options.program;
    this.#zone = options.zone;
    this.#directory = options.directory;
    this.#storeAddress = options.storeAddress;
  }

  /** Gets the address of the caller port. */
  get callerAddress(): { host: string; port: number } {
    return { host: this.#ip, port: CALLER_PORT };
  }

  /** Gets the id of the running process. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Stops the process gracefully and prevents a restart. */
  async stopForever(): Promise<void> {
    this.#isDisposed = true;
    await this.stop();
  }

  /** Writes the settings and starts the process. */
  async start(): Promise<void> {
    await writeFile(
      this.#settingsFile,
      createPlatformSettings({
        name: this.name,
        zone: this.#zone,
        ip: this.#ip,
        caller: `${this.#ip}:${CALLER_PORT}`,
        ready: `${this.#ip}:${READY_PORT}`,
        peerPort: PEER_PORT,
        store: this.#storeAddress,
      }),
    );
    this.#startProcess();
  }

  /** Sends a signal to the running process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /**
   * Stops the process with SIGTERM, and with SIGKILL after a timeout.
   *
   * @returns The exit code, or null when no process was running or a signal ended it.
   */
  async stop(): Promise<number | null> {
    const child = this.#child;
    if (child === undefined || hasExited(child)) {
      return null;
    }
    const exitEvent = once(child, "exit");
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
    const [exitCode] = await exitEvent;
    clearTimeout(timer);
    return exitCode as number | null;
  }

  /** Requests the readiness endpoint and returns whether the process accepts callers. */
  isReady(): Promise<boolean> {
    const url = `http://${this.#ip}:${READY_PORT}/v1/ready`;
    return new Promise((resolve) => {
      const clientRequest = get(url, {
        agent: false,
        timeout: READY_TIMEOUT_MS,
      });
      clientRequest.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      clientRequest.on("timeout", () => clientRequest.destroy());
      clientRequest.on("error", () => resolve(false));
    });
  }

  /** Kills the process and prevents a restart. */
  async dispose(): Promise<void> {
    this.#isDisposed = true;
    const child = this.#child;
    if (child !== undefined && !hasExited(child)) {
      const exitEvent = once(child, "exit");
      child.kill("SIGKILL");
      await exitEvent;
    }
  }

  get #settingsFile(): string {
    return join(this.#directory, `${this.name}.json`);
  }

  #startProcess(): void {
    const logFile = openSync(join(this.#directory, `${this.name}.log`), "a");
    const child = spawn(
      process.execPath,
      [...this.#nodeOptions, this.#program],
      {
        env: { ...process.env, [SETTINGS_VARIABLE]: this.#settingsFile },
        stdio: ["ignore", logFile, logFile],
      },
    );
    closeSync(logFile);
    this.#child = child;
    child.once("exit", () => void this.#restart());
  }

  async #restart(): Promise<void> {
    await delay(RESTART_DELAY_MS);
    if (!this.#isDisposed) {
      this.#startProcess();
    }
  }
}

function hasExited(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}
