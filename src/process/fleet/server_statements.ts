import type {
  BackendResponse,
  PauseStatement,
} from "../../connection/backend_transport.ts";
import type {
  LeavingServerNotice,
  PeerRelation,
} from "../../connection/peer_notice.ts";
import type { BackendServer } from "../../shared/backend_server.ts";
import type { Logger } from "../../shared/logger.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import type { TimedSendLimit } from "./send_limit.ts";

/** Longest pause that a server can state, in milliseconds. */
const MAX_PAUSE_MS = 300_000;
/** Maximum number of servers whose statements are kept. */
const MAX_SERVERS = 2_000;
/** Time for which the statement of a server that is missing in the directory is kept, in milliseconds. An entry that expired during a store outage may return while the process still runs. */
const MISSING_RETENTION_MS = 60_000;
/** Minimum time between two log lines on pauses that cannot be used, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

type Origin = "own" | "member" | "other";

/** What a process of a server has stated. */
interface Statement {
  /** Start of the server's process; a later process with the same id inherits nothing. */
  readonly startedAtMs: number;
  readonly isLeaving: boolean;
  /** Whether this daemon, one of its members, or another daemon was the first to get the statement that the server leaves. */
  readonly origin: Origin;
  /** Monotonic time until which the server wants no request from this daemon, in milliseconds. */
  readonly pausedUntilMs: number;
  /** Monotonic time since which the server is missing in the directory, in milliseconds. */
  readonly missingSinceMs: number | undefined;
}

/**
 * Keeps requests from backend servers that state in their responses that they are about to stop, or that they want no further request for some time.
 *
 * A server that leaves gets no request until its process has ended. A pause concerns this daemon only.
 *
 * @example
 * ```ts
 * statements.recordResponse(server, response);
 * if (statements.isBelowLimit(server)) {
 *   // The server may get a request.
 * }
 * ```
 */
export class ServerStatements implements TimedSendLimit {
  readonly #directory: BackendDirectory;
  readonly #logger: Logger;
  readonly #statements = new Map<string, Statement>();
  readonly #listeners = new Set<() => void>();
  #invalidLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: { directory: BackendDirectory; logger: Logger }) {
    this.#directory = options.directory;
    this.#logger = options.logger;
    this.#directory.onChange((changedIds) => this.#applyServers(changedIds));
  }

  /** Gets the number of servers that leave. */
  get leavingCount(): number {
    return this.#countStatements(({ isLeaving }) => isLeaving);
  }

  /** Gets the number of servers that pause. */
  get pausedCount(): number {
    const nowMs = performance.now();
    return this.#countStatements(({ pausedUntilMs }) => pausedUntilMs > nowMs);
  }

  /** Registers a listener that is called when a server leaves or pauses. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  isBelowLimit(server: BackendServer): boolean {
    return this.getWaitMs(server) === 0;
  }

  getWaitMs({ id, startedAtMs }: BackendServer): number {
    const statement = this.#statements.get(id);
    if (statement?.startedAtMs !== startedAtMs) {
      return 0;
    }
    return statement.isLeaving
      ? Number.POSITIVE_INFINITY
      : Math.max(0, statement.pausedUntilMs - performance.now());
  }

  recordRequest(): void {
    // A statement does not depend on the number of requests.
  }

  /**
   * Records what a server states in a response.
   *
   * @param server - Server as it was when the request was sent to it.
   * @param response - Response of the server.
   */
  recordResponse(
    server: BackendServer,
    { isServerLeaving, pause }: Pick<
      BackendResponse,
      "isServerLeaving" | "pause"
    >,
  ): void {
    const pauseMs = this.#getUsablePauseMs(server, pause);
    if (isServerLeaving || pauseMs > 0) {
      this.#applyStatement(server, {
        isLeaving: isServerLeaving,
        pauseMs,
        origin: "own",
      });
    }
  }

  /**
   * Applies the statement of a server that leaves, which a peer reported.
   *
   * @param notice - Process of the server.
   * @param relation - Role of the peer towards this daemon.
   */
  applyNotice(
    { serverId, startedAtMs }: LeavingServerNotice,
    relation: PeerRelation,
  ): void {
    this.#applyStatement({ id: serverId, startedAtMs }, {
      isLeaving: true,
      pauseMs: 0,
      origin: relation === "member" ? "member" : "other",
    });
  }

  /**
   * Gets the servers that leave, for notices. Hubs do not return to each other what another hub reported. A server that is missing in the directory is left out, so that no report of a process that has ended circulates.
   *
   * @param relation - Role of this daemon towards the receivers.
   */
  getReport(relation: PeerRelation): LeavingServerNotice[] {
    return [...this.#statements].flatMap(
      ([serverId, { startedAtMs, isLeaving, origin, missingSinceMs }]) => {
        const isReported = isLeaving && missingSinceMs === undefined &&
          (relation === "hub" || origin === "own" ||
            (relation === "equal" && origin === "member"));
        return isReported ? [{ serverId, startedAtMs }] : [];
      },
    );
  }

  #applyStatement(
    { id, startedAtMs }: Pick<BackendServer, "id" | "startedAtMs">,
    { isLeaving, pauseMs, origin }: {
      isLeaving: boolean;
      pauseMs: number;
      origin: Origin;
    },
  ): void {
    const listedServer = this.#directory.findServer(id);
    const latest = this.#statements.get(id);
    if (
      startedAtMs < (latest?.startedAtMs ?? 0) ||
      startedAtMs < (listedServer?.startedAtMs ?? 0)
    ) {
      // A later process of the server is known.
      return;
    }
    const known = latest?.startedAtMs === startedAtMs ? latest : undefined;
    const nowMs = performance.now();
    const statement: Statement = {
      startedAtMs,
      isLeaving: isLeaving || known?.isLeaving === true,
      origin: known?.isLeaving === true ? known.origin : origin,
      pausedUntilMs: Math.max(nowMs + pauseMs, known?.pausedUntilMs ?? 0),
      missingSinceMs: listedServer === undefined
        ? known?.missingSinceMs ?? nowMs
        : undefined,
    };
    this.#statements.set(id, statement);
    const isNewlyLeaving = isLeaving && known?.isLeaving !== true;
    if (isNewlyLeaving) {
      this.#logger.write("info", "server-leaving", {
        server: id,
        origin,
      });
    }
    const isNewPause = pauseMs > 0 &&
      statement.pausedUntilMs !== known?.pausedUntilMs;
    if (isNewPause) {
      this.#logger.write("info", "server-paused", {
        server: id,
        pauseMs: Math.round(pauseMs),
      });
    }
    if (isNewlyLeaving || isNewPause) {
      this.#removeOutdated();
      this.#listeners.forEach((listener) => listener());
    }
  }

  /** Gets the pause that a server may state, in milliseconds; 0 without a statement that can be used. */
  #getUsablePauseMs({ id }: BackendServer, pause: PauseStatement): number {
    if (pause === "none") {
      return 0;
    }
    const isUsable = pause !== "invalid" && pause <= MAX_PAUSE_MS;
    const nowMs = performance.now();
    if (
      !isUsable && nowMs - this.#invalidLoggedAtMs >= INVALID_LOG_INTERVAL_MS
    ) {
      this.#invalidLoggedAtMs = nowMs;
      this.#logger.write("info", "server-pause-invalid", {
        server: id,
        pauseMs: pause,
      });
    }
    return pause === "invalid" ? 0 : Math.min(MAX_PAUSE_MS, pause);
  }

  #applyServers(changedIds: ReadonlySet<string>): void {
    if (this.#statements.size === 0) {
      return;
    }
    for (const id of changedIds) {
      const statement = this.#statements.get(id);
      if (statement === undefined) {
        continue;
      }
      const server = this.#directory.findServer(id);
      if ((server?.startedAtMs ?? 0) > statement.startedAtMs) {
        this.#statements.delete(id);
        continue;
      }
      const missingSinceMs = server === undefined
        ? statement.missingSinceMs ?? performance.now()
        : undefined;
      this.#statements.set(id, { ...statement, missingSinceMs });
    }
    this.#removeOutdated();
  }

  /** Removes pauses that have ended, servers that have been missing for long, and the oldest entry when there are too many. */
  #removeOutdated(): void {
    const nowMs = performance.now();
    for (const [id, statement] of this.#statements) {
      const { isLeaving, pausedUntilMs, missingSinceMs } = statement;
      const hasEnded = !isLeaving && pausedUntilMs <= nowMs;
      const isGone = missingSinceMs !== undefined &&
        nowMs - missingSinceMs > MISSING_RETENTION_MS;
      if (hasEnded || isGone) {
        this.#statements.delete(id);
      }
    }
    if (this.#statements.size > MAX_SERVERS) {
      const [oldestId] = this.#statements.keys();
      this.#statements.delete(oldestId);
    }
  }

  #countStatements(isCounted: (statement: Statement) => boolean): number {
    return [...this.#statements.values()].filter(isCounted).length;
  }
}
