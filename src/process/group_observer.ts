import type { EngineError, EngineStatus } from "../connection/engine_client.ts";
import type { Either } from "purify-ts";

/** Status requests in a row without an answer after which a member counts as missing. */
export const MISSED_STATUS_LIMIT = 3;
const STRAGGLER_FACTOR = 3;
const MAX_MEDIAN_SAMPLES = 60;
const MIN_MEDIAN_SAMPLES = 8;

interface ObservedMember {
  status?: EngineStatus;
  /** Time at which the status was requested, in milliseconds of `performance.now()`. */
  requestedAtMs: number;
  bootId?: string;
  consecutiveMisses: number;
}

/** Combines the status requests to the members of one generation of a group. */
export class GroupObserver {
  readonly generation: number;
  readonly #members = new Map<string, ObservedMember>();
  readonly #tokenIntervalsMs: number[] = [];
  #restarts = 0;
  #straggler = false;

  constructor(generation: number) {
    this.generation = generation;
  }

  /** Gets the changes of a member's boot id. */
  get restarts(): number {
    return this.#restarts;
  }

  /** Gets whether the newest token interval is far above the recent median. */
  get straggler(): boolean {
    return this.#straggler;
  }

  /** Gets whether the last request to a member had no answer. */
  hasMissedStatus(): boolean {
    return [...this.#members.values()].some((member) =>
      member.consecutiveMisses > 0
    );
  }

  /** Gets when the oldest status that still stands for a member was requested, in milliseconds of `performance.now()`; infinite without one. */
  getOldestStatusRequestMs(): number {
    const times = [...this.#members.values()]
      .filter((member) => member.consecutiveMisses < MISSED_STATUS_LIMIT)
      .map((member) => member.requestedAtMs);
    return Math.min(Infinity, ...times);
  }

  /**
   * Records the outcome of a status request to a member.
   *
   * @param name - Name of the member.
   * @param result - Status, the failure, or undefined when the address is not known.
   * @param requestedAtMs - Time of the request, in milliseconds of `performance.now()`.
   * @returns The newest status, or undefined when the member counts as missing.
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
   * Records the token interval of one observation.
   *
   * @param intervalMs - Longest time for a token of any member in milliseconds, if known.
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
 * Gets whether the server refused the connection, so that no process listens.
 *
 * @param error - Failure of a request.
 */
export function isConnectionRefused(error: EngineError): boolean {
  const { cause } = error;
  return typeof cause === "object" && cause !== null && "code" in cause &&
    cause.code === "ECONNREFUSED";
}
