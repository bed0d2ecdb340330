import type { EngineStatus } from "../../connection/engine_client.ts";
import type { MemberView } from "./member_view.ts";

/** Status requests in a row without an answer that confirm a loss. */
export const LOSS_CONFIRMATIONS = 3;
/** Time after which an earlier failure of a server no longer counts, in milliseconds. */
export const FLAP_MEMORY_MS = 600_000;
const FIRST_BACK_OFF_MS = 5_000;
const MAX_BACK_OFF_MS = 300_000;

/** Outcome of one status request. */
export interface MemberObservation {
  readonly name: string;
  /** Status, or undefined when the server did not answer. */
  readonly status?: EngineStatus;
  /** Whether the server's address is known, so that the request was really sent. */
  readonly hasAddress: boolean;
}

interface TrackedMember {
  status?: EngineStatus;
  bootId?: string;
  failures: number;
  failingSinceMs: number;
  lost: boolean;
  failedAtMs: number[];
}

/** Tracks losses, returns and restarts of backend servers on the monotonic clock. */
export class MemberTracker {
  readonly #vmListLagMs: number;
  readonly #members = new Map<string, TrackedMember>();

  constructor(options: { vmListLagMs: number }) {
    this.#vmListLagMs = options.vmListLagMs;
  }

  /**
   * Records the outcome of one status request.
   *
   * @param observation - Outcome of the request.
   */
  record(observation: MemberObservation): void {
    const member = this.#getMember(observation.name);
    if (observation.status === undefined) {
      this.#recordFailure(member, observation.hasAddress);
      return;
    }
    const restarted = member.bootId !== undefined &&
      member.bootId !== observation.status.bootId;
    if (restarted && !member.lost) {
      this.#recordFlap(member);
    }
    member.status = observation.status;
    member.bootId = observation.status.bootId;
    member.failures = 0;
    member.lost = false;
  }

  /**
   * Records that a server need not be asked, since the health of its group tells that it answers.
   *
   * @param name - Name of the VM.
   */
  recordHealthy(name: string): void {
    const member = this.#getMember(name);
    // An old status would contradict the placement once the group has changed.
    member.status = undefined;
    member.failures = 0;
    member.lost = false;
  }

  /**
   * Gets what is known about a server, or undefined when it was never asked.
   *
   * @param name - Name of the VM.
   */
  getView(name: string): MemberView | undefined {
    const member = this.#members.get(name);
    return member && {
      status: member.status,
      lost: member.lost,
      backedOff: this.#isBackedOff(member),
    };
  }

  /** Gets what is known about all servers. */
  getViews(): Map<string, MemberView> {
    return new Map(
      [...this.#members.keys()].map((name) => [name, this.getView(name)!]),
    );
  }

  /**
   * Forgets all servers but the given ones.
   *
   * @param names - Servers that are listed or placed.
   */
  trim(names: ReadonlySet<string>): void {
    for (const name of this.#members.keys()) {
      if (!names.has(name)) {
        this.#members.delete(name);
      }
    }
  }

  /** Forgets the statuses, which are out of date after a time without observation. */
  clearStatuses(): void {
    for (const member of this.#members.values()) {
      member.status = undefined;
      member.failures = 0;
      member.lost = false;
    }
  }

  #getMember(name: string): TrackedMember {
    let member = this.#members.get(name);
    if (member === undefined) {
      member = {
        failures: 0,
        failingSinceMs: 0,
        lost: false,
        failedAtMs: [],
      };
      this.#members.set(name, member);
    }
    return member;
  }

  #recordFailure(member: TrackedMember, hasAddress: boolean): void {
    if (member.failures === 0) {
      member.failingSinceMs = performance.now();
    }
    member.failures++;
    member.status = undefined;
    const failingForMs = performance.now() - member.failingSinceMs;
    // Without an address no request was sent, so that only a VM list newer than its lag counts.
    const confirmed = member.failures >= LOSS_CONFIRMATIONS &&
      (hasAddress || failingForMs >= this.#vmListLagMs);
    if (confirmed && !member.lost) {
      member.lost = true;
      this.#recordFlap(member);
    }
  }

  #recordFlap(member: TrackedMember): void {
    const now = performance.now();
    member.failedAtMs = member.failedAtMs
      .filter((atMs) => now - atMs < FLAP_MEMORY_MS);
    member.failedAtMs.push(now);
  }

  #isBackedOff(member: TrackedMember): boolean {
    const now = performance.now();
    const recent = member.failedAtMs
      .filter((atMs) => now - atMs < FLAP_MEMORY_MS);
    if (recent.length < 2) {
      return false;
    }
    const backOffMs = Math.min(
      FIRST_BACK_OFF_MS * 2 ** (recent.length - 2),
      MAX_BACK_OFF_MS,
    );
    return now - recent.at(-1)! < backOffMs;
  }
}
