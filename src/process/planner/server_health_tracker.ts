import type { EngineStatus } from "../../connection/engine_client.ts";
import type { ServerHealth } from "./server_health.ts";

/** Status requests in a row without an answer that confirm a loss. */
export const LOSS_FAILURE_THRESHOLD = 3;
/** Time after which an earlier failure of a server no longer counts, in milliseconds. */
export const FLAP_WINDOW_MS = 600_000;
const FIRST_BACK_OFF_MS = 5_000;
const MAX_BACK_OFF_MS = 300_000;

/** Outcome of one status request. */
export interface StatusRequestResult {
  readonly name: string;
  /** Status, or undefined when the server did not answer. */
  readonly status?: EngineStatus;
  /** Whether the server's address is known, so that the request was really sent. */
  readonly hasAddress: boolean;
}

interface TrackedServer {
  status?: EngineStatus;
  bootId?: string;
  consecutiveFailures: number;
  firstFailureAtMs: number;
  lost: boolean;
  flapTimesMs: number[];
}

/** Tracks losses, returns and restarts of backend servers on the monotonic clock. */
export class ServerHealthTracker {
  readonly #vmListLagMs: number;
  readonly #servers = new Map<string, TrackedServer>();

  constructor(options: { vmListLagMs: number }) {
    this.#vmListLagMs = options.vmListLagMs;
  }

  /**
   * Records the outcome of one status request.
   *
   * @param result - Outcome of the request.
   */
  record(result: StatusRequestResult): void {
    const server = this.#getServer(result.name);
    if (result.status === undefined) {
      this.#recordFailure(server, result.hasAddress);
      return;
    }
    const hasRestarted = server.bootId !== undefined &&
      server.bootId !== result.status.bootId;
    if (hasRestarted && !server.lost) {
      this.#recordFlap(server);
    }
    server.status = result.status;
    server.bootId = result.status.bootId;
    server.consecutiveFailures = 0;
    server.lost = false;
  }

  /**
   * Records that a server need not be asked, since the health of its group tells that it answers.
   *
   * @param name - Name of the VM.
   */
  recordHealthy(name: string): void {
    const server = this.#getServer(name);
    // An old status would contradict the placement once the group has changed.
    server.status = undefined;
    server.consecutiveFailures = 0;
    server.lost = false;
  }

  /**
   * Gets what is known about a server, or undefined when it was never asked.
   *
   * @param name - Name of the VM.
   */
  getHealth(name: string): ServerHealth | undefined {
    const server = this.#servers.get(name);
    return server && {
      status: server.status,
      lost: server.lost,
      backedOff: this.#isBackedOff(server),
    };
  }

  /** Gets what is known about all servers. */
  getHealthByName(): Map<string, ServerHealth> {
    return new Map(
      [...this.#servers.keys()].map((name) => [name, this.getHealth(name)!]),
    );
  }

  /**
   * Forgets all servers but the given ones.
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

  /** Forgets the statuses, which are out of date after a time without observation. */
  clearStatuses(): void {
    for (const server of this.#servers.values()) {
      server.status = undefined;
      server.consecutiveFailures = 0;
      server.lost = false;
    }
  }

  #getServer(name: string): TrackedServer {
    let server = this.#servers.get(name);
    if (server === undefined) {
      server = {
        consecutiveFailures: 0,
        firstFailureAtMs: 0,
        lost: false,
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
    // Without an address no request was sent, so that only a VM list newer than its lag counts.
    const isLossConfirmed =
      server.consecutiveFailures >= LOSS_FAILURE_THRESHOLD &&
      (hasAddress || failingForMs >= this.#vmListLagMs);
    if (isLossConfirmed && !server.lost) {
      server.lost = true;
      this.#recordFlap(server);
    }
  }

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
