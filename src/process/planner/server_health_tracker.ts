import type { EngineStatus } from "../../connection/engine_client.ts";
import type { ServerHealth } from "./server_health.ts";

/** Number of consecutive failed status requests after which a server counts as lost. */
export const LOSS_FAILURE_THRESHOLD = 3;
/** Time for which a loss or restart of a server counts towards its back-off, in milliseconds. */
export const FLAP_WINDOW_MS = 600_000;
/** Back-off after the second loss or restart within the window, in milliseconds; doubles with each further one. */
const FIRST_BACK_OFF_MS = 5_000;
/** Upper limit of the back-off, in milliseconds. */
const MAX_BACK_OFF_MS = 300_000;

/** Result of one status request. */
export interface StatusRequestResult {
  /** Name of the VM. */
  readonly name: string;
  /** Status, or undefined when the server did not respond. */
  readonly status?: EngineStatus;
  /** Whether the server's address is known; if not, no request was sent. */
  readonly hasAddress: boolean;
}

interface TrackedServer {
  status?: EngineStatus;
  bootId?: string;
  consecutiveFailures: number;
  firstFailureAtMs: number;
  isLost: boolean;
  flapTimesMs: number[];
}

/** Detects losses, recoveries and restarts of backend servers from status requests, and backs off servers that fail repeatedly. Uses the monotonic clock. */
export class ServerHealthTracker {
  readonly #vmListLagMs: number;
  readonly #servers = new Map<string, TrackedServer>();

  constructor(options: { vmListLagMs: number }) {
    this.#vmListLagMs = options.vmListLagMs;
  }

  /**
   * Records the result of one status request.
   *
   * @param result - Result of the request.
   */
  record(result: StatusRequestResult): void {
    const server = this.#getServer(result.name);
    if (result.status === undefined) {
      this.#recordFailure(server, result.hasAddress);
      return;
    }
    const hasRestarted = server.bootId !== undefined &&
      server.bootId !== result.status.bootId;
    if (hasRestarted && !server.isLost) {
      this.#recordFlap(server);
    }
    server.status = result.status;
    server.bootId = result.status.bootId;
    server.consecutiveFailures = 0;
    server.isLost = false;
  }

  /**
   * Records that a server is up without a status request, since its group is healthy.
   *
   * @param name - Name of the VM.
   */
  recordHealthy(name: string): void {
    const server = this.#getServer(name);
    // The last received status would contradict the placement after the group changes.
    server.status = undefined;
    server.consecutiveFailures = 0;
    server.isLost = false;
  }

  /**
   * Gets the health of a server, or undefined when it was never observed.
   *
   * @param name - Name of the VM.
   */
  getHealth(name: string): ServerHealth | undefined {
    const server = this.#servers.get(name);
    return server && {
      status: server.status,
      isLost: server.isLost,
      isBackedOff: this.#isBackedOff(server),
    };
  }

  /** Gets the health of all observed servers, by VM name. */
  getHealthByName(): Map<string, ServerHealth> {
    return new Map(
      [...this.#servers.keys()].map((name) => [name, this.getHealth(name)!]),
    );
  }

  /**
   * Removes all servers except the given ones.
   *
   * @param names - Servers that are listed or placed.
   */
  trim(names: ReadonlySet<string>): void {
    for (const name of this.#servers.keys()) {
      if (!names.has(name)) {
        this.#servers.delete(name);
      }
    }
  }

  /** Clears the statuses, failure counts and losses, which are out of date after a period without polling. Keeps the times of flaps. */
  clearStatuses(): void {
    for (const server of this.#servers.values()) {
      server.status = undefined;
      server.consecutiveFailures = 0;
      server.isLost = false;
    }
  }

  #getServer(name: string): TrackedServer {
    let server = this.#servers.get(name);
    if (server === undefined) {
      server = {
        consecutiveFailures: 0,
        firstFailureAtMs: 0,
        isLost: false,
        flapTimesMs: [],
      };
      this.#servers.set(name, server);
    }
    return server;
  }

  #recordFailure(server: TrackedServer, hasAddress: boolean): void {
    if (server.consecutiveFailures === 0) {
      server.firstFailureAtMs = performance.now();
    }
    server.consecutiveFailures++;
    server.status = undefined;
    const failingForMs = performance.now() - server.firstFailureAtMs;
    // Without an address no request was sent. The server then counts as lost only after it was missing for longer than the VM list may lag.
    const isLossConfirmed =
      server.consecutiveFailures >= LOSS_FAILURE_THRESHOLD &&
      (hasAddress || failingForMs >= this.#vmListLagMs);
    if (isLossConfirmed && !server.isLost) {
      server.isLost = true;
      this.#recordFlap(server);
    }
  }

  /** Records a loss or restart and drops those older than the window. */
  #recordFlap(server: TrackedServer): void {
    const now = performance.now();
    server.flapTimesMs = server.flapTimesMs
      .filter((atMs) => now - atMs < FLAP_WINDOW_MS);
    server.flapTimesMs.push(now);
  }

  #isBackedOff(server: TrackedServer): boolean {
    const now = performance.now();
    const recentFlapTimesMs = server.flapTimesMs
      .filter((atMs) => now - atMs < FLAP_WINDOW_MS);
    if (recentFlapTimesMs.length < 2) {
      return false;
    }
    const backOffMs = Math.min(
      FIRST_BACK_OFF_MS * 2 ** (recentFlapTimesMs.length - 2),
      MAX_BACK_OFF_MS,
    );
    return now - recentFlapTimesMs.at(-1)! < backOffMs;
  }
}
