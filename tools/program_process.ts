import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const STOP_TIMEOUT_MS = 10_000;
const BUILD_ROOT = new URL("../", import.meta.url);

/** Child process that runs a built program of this repository. */
export class ProgramProcess {
  readonly #child: ChildProcess;
  /** Lines that the process has written to standard error. */
  readonly logLines: string[] = [];

  private constructor(child: ChildProcess) {
    this.#child = child;
  }

  /** Gets the process ID, or -1 when the process could not be started. */
  get pid(): number {
    return this.#child.pid ?? -1;
  }

  /** Gets the exit code, or null while the process runs or when a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /**
   * Starts a built program.
   *
   * @param program - Path relative to the build directory `dist/`, for example `fakes/platform_main.js`, or the `file:` URL of a program of another build.
   * @param args - Arguments of the program.
   * @param options - Options with `nodeArgs`, the arguments of Node.js, for example `--cpu-prof`.
   */
  static start(
    program: string,
    args: readonly string[],
    options: { nodeArgs?: readonly string[] } = {},
  ): ProgramProcess {
    const file = fileURLToPath(new URL(program, BUILD_ROOT));
    const child = spawn(process.execPath, [
      ...options.nodeArgs ?? [],
      file,
      ...args,
    ], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const programProcess = new ProgramProcess(child);
    createInterface({ input: child.stderr! }).on(
      "line",
      (line) => programProcess.logLines.push(line),
    );
    return programProcess;
  }

  /**
   * Reads the first line of standard output and parses it as JSON.
   *
   * @throws {Error} When standard output ends before the first line.
   */
  async readFirstLine<T>(): Promise<T> {
    const lines = createInterface({ input: this.#child.stdout! });
    for await (const line of lines) {
      this.#child.stdout!.resume();
      return JSON.parse(line) as T;
    }
    throw new Error(
      `The process exited before it printed a line; its standard error: ${
        this.logLines.join(" | ")
      }`,
    );
  }

  /**
   * Sends a signal to the process.
   *
   * @param signalName - Name of the signal.
   */
  sendSignal(signalName: NodeJS.Signals): void {
    this.#child.kill(signalName);
  }

  /** Stops the process with SIGTERM, or with SIGKILL after a timeout, and returns its exit code, or null when a signal ended it. */
  async dispose(): Promise<number | null> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
      return this.#child.exitCode;
    }
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGTERM");
    const killTimer = setTimeout(
      () => this.#child.kill("SIGKILL"),
      STOP_TIMEOUT_MS,
    );
    await exited;
    clearTimeout(killTimer);
    return this.#child.exitCode;
  }
}
