import type { EngineError, EngineStatus } from "../connection/engine_client.ts";
import type { Either } from "purify-ts";

/** Number of consecutive failed status requests after which a member counts as missing. */
export const MISSED_STATUS_LIMIT = 3;
/** Multiple of the median token interval above which an interval indicates a slow member. */
const STRAGGLER_FACTOR = 3;
/** Number of newest token intervals from which the median is computed. */
const MAX_MEDIAN_SAMPLES = 60;
/** Number of token intervals below which no interval counts as slow. */
const MIN_MEDIAN_SAMPLES = 8;

interface ObservedMember {
  /** Newest status of the member. */
  status?: EngineStatus;
  /** Time at which the status was requested, in milliseconds of `performance.now()`; without a status, the time of the first request. */
  requestedAtMs: number;
  bootId?: string;
  consecutiveMisses: number;
}

/** Records the results of the status requests to the members of one generation of a group. */
export class GroupObserver {
  readonly generation: number;
  readonly #members = new Map<string, ObservedMember>();
  readonly #tokenIntervalsMs: number[] = [];
  #restarts = 0;
  #straggler = false;

  constructor(generation: number) {
    this.generation = generation;
  }

  /** Gets the number of member restarts, which are detected by a changed boot id. */
  get restarts(): number {
    return this.#restarts;
  }

  /** Gets whether the newest token interval is far above the recent median. */
  get straggler(): boolean {
    return this.#straggler;
  }

  /** Gets whether the last status request to any member failed. */
  hasMissedStatus(): boolean {
    return [...this.#members.values()].some((member) =>
      member.consecutiveMisses > 0
    );
  }

  /** Gets the request time of the oldest status among the members that don't count as missing, in milliseconds of `performance.now()`; infinite if there is no such member. */
  getOldestStatusRequestMs(): number {
    const times = [...this.#members.values()]
      .filter((member) => member.consecutiveMisses < MISSED_STATUS_LIMIT)
      .map((member) => member.requestedAtMs);
    return Math.min(Infinity, ...times);
  }

  /**
   * Records the result of a status request to a member. A refused connection makes the member count as missing at once, since its process does not listen.
   *
   * @param name - Name of the member.
   * @param result - Status or error of the request, or undefined if the member's address is unknown.
   * @param requestedAtMs - Time of the request, in milliseconds of `performance.now()`.
   * @returns The member's newest status, or undefined if there is none or the member counts as missing.
   */
  recordStatusResult(
    name: string,
    result: Either<EngineError, EngineStatus> | undefined,
    requestedAtMs = performance.now(),
  ): EngineStatus | undefined {
    const member = this.#members.get(name) ??
      { consecutiveMisses: 0, requestedAtMs };
    this.#members.set(name, member);
    const status = result?.toMaybe().extract();
    if (status !== undefined) {
      this.#recordStatus(member, status);
      member.requestedAtMs = requestedAtMs;
      return status;
    }
    const error = result?.swap().toMaybe().extract();
    member.consecutiveMisses +=
      error !== undefined && isConnectionRefused(error)
        ? MISSED_STATUS_LIMIT
        : 1;
    return member.consecutiveMisses < MISSED_STATUS_LIMIT
      ? member.status
      : undefined;
  }

  /**
   * Records the token interval of one observation and compares it with the median of the earlier ones.
   *
   * @param intervalMs - Longest token interval among the members in milliseconds, or undefined if unknown.
   */
  recordTokenInterval(intervalMs: number | undefined): void {
    if (intervalMs === undefined) {
      return;
    }
    const sortedMs = this.#tokenIntervalsMs.toSorted((a, b) => a - b);
    const medianMs = sortedMs[Math.floor(sortedMs.length / 2)];
    this.#straggler = sortedMs.length >= MIN_MEDIAN_SAMPLES &&
      intervalMs > medianMs * STRAGGLER_FACTOR;
    this.#tokenIntervalsMs.push(intervalMs);
    if (this.#tokenIntervalsMs.length > MAX_MEDIAN_SAMPLES) {
      this.#tokenIntervalsMs.shift();
    }
  }

  #recordStatus(member: ObservedMember, status: EngineStatus): void {
    if (member.bootId !== undefined && member.bootId !== status.bootId) {
      this.#restarts++;
    }
    member.bootId = status.bootId;
    member.status = status;
    member.consecutiveMisses = 0;
  }
}

/**
 * Gets whether the server refused the connection, which means that no process listens on its port.
 *
 * @param error - Error of a request.
 */
export function isConnectionRefused(error: EngineError): boolean {
  const { cause } = error;
  return typeof cause === "object" && cause !== null && "code" in cause &&
    cause.code === "ECONNREFUSED";
}
