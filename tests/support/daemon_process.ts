import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import got from "got";
import type { DaemonSettingsInput } from "../../src/process/daemon_settings.ts";
import { ProgramProcess } from "../../tools/program_process.ts";
import { waitUntil } from "./test_deployment.ts";

const READY_TIMEOUT_MS = 15_000;

/** Daemon that runs in a separate process, so that a test can pause, kill or stop it. */
export class DaemonProcess {
  readonly process: ProgramProcess;
  readonly name: string;
  callerAddress = "";
  peerAddress = "";
  operatorAddress = "";
  readonly #directory: string;

  private constructor(
    options: { name: string; directory: string; process: ProgramProcess },
  ) {
    this.name = options.name;
    this.#directory = options.directory;
    this.process = options.process;
  }

  /** Starts the built daemon and waits until it is ready. */
  static async start(settings: DaemonSettingsInput): Promise<DaemonProcess> {
    const directory = await mkdtemp(join(tmpdir(), "tarragontally-"));
    const file = join(directory, "settings.jsonc");
    await writeFile(file, JSON.stringify(settings));
    const process = ProgramProcess.start("dist/src/process/daemon_main.js", [
      "--settings",
      file,
      "--print-addresses",
    ]);
    const daemon = new DaemonProcess({
      name: settings.name,
      directory,
      process,
    });
    const addresses = await process.readFirstLine<
      { caller: string; peer: string; operator: string }
    >();
    daemon.callerAddress = addresses.caller;
    daemon.peerAddress = addresses.peer;
    daemon.operatorAddress = addresses.operator;
    await waitUntil(() => daemon.isReady(), READY_TIMEOUT_MS);
    return daemon;
  }

  /** Gets whether the daemon's `/readyz` endpoint returns 200. */
  async isReady(): Promise<boolean> {
    try {
      const response = await got(`http://${this.operatorAddress}/readyz`, {
        throwHttpErrors: false,
        retry: { limit: 0 },
        timeout: { request: 1_000 },
      });
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  async dispose(): Promise<void> {
    this.process.sendSignal("SIGCONT");
    await this.process.dispose();
    await rm(this.#directory, { recursive: true, force: true });
  }
}
