import { EventEmitter } from "node:events";
import { getHash32 } from "../shared/rendezvous_hash.ts";

/**
 * Health of a group as its monitors see it.
 *
 * - `incomplete`: a member is missing or has another generation; the group serves nothing.
 * - `cold`: complete, bears only a little.
 * - `ready`: complete and warm.
 */
export type GroupHealthState = "incomplete" | "cold" | "ready";

/** Age above which an observation of a group no longer counts, in milliseconds. */
export const HEALTH_EXPIRY_MS = 3_000;

/** One observation of a group. */
export interface GroupHealth {
  readonly groupId: string;
  /** Generation that all members reported. */
  readonly generation: number;
  readonly state: GroupHealthState;
  /** Boot id of the leader. */
  readonly bootId: string;
  /** Name of the daemon that observed it. */
  readonly observer: string;
  /** Order of the observations of one observer for one group. */
  readonly sequence: number;
  /** Age of the observation in milliseconds when it was sent; receivers add the time since. */
  readonly ageMs: number;
  readonly runningRequests: number;
  readonly heldTokens: number;
  readonly maxTokens: number;
  readonly tokenIntervalMs?: number;
  /** Whether a member takes far longer for a token than the group's recent median. */
  readonly straggler?: boolean;
  /** Changes of a member's boot id that the observer saw in this generation. */
  readonly restarts?: number;
}

/** Health with the time at which it was received. */
export interface ReceivedGroupHealth extends GroupHealth {
  /** Monotonic time of the observation, in milliseconds of `performance.now()`. */
  readonly observedAtMs: number;
}

/** Events of the table. */
interface GroupHealthEvents {
  change: [ReceivedGroupHealth];
  doubt: [string];
}

/** Holds the newest health of each group. */
export class GroupHealthTable {
  readonly #self: string | undefined;
  readonly #byGroup = new Map<string, ReceivedGroupHealth>();
  readonly #emitter = new EventEmitter<GroupHealthEvents>();
  #digest: number | undefined;

  /** @param self - Name of this daemon, whose own observations take precedence. */
  constructor(self?: string) {
    this.#self = self;
  }

  /**
   * Gets the newest health of a group, or undefined when none is known.
   *
   * @param groupId - Group to look up.
   */
  getHealth(groupId: string): ReceivedGroupHealth | undefined {
    return this.#byGroup.get(groupId);
  }

  /** Gets the health of all groups. */
  getAll(): ReceivedGroupHealth[] {
    return [...this.#byGroup.values()];
  }

  /**
   * Gets the part of a group's health that is spread when it changes; load figures are not part of it.
   *
   * @param groupId - Group to look up.
   */
  getGroupDigest(groupId: string): string {
    const health = this.#byGroup.get(groupId);
    return health === undefined
      ? ""
      : `${health.generation} ${health.state} ${health.bootId}`;
  }

  /** Gets a hash of the health of all groups without load figures and ages. */
  getDigest(): number {
    this.#digest ??= getHash32(
      [...this.#byGroup.keys()].sort()
        .map((id) => `${id} ${this.getGroupDigest(id)}`).join("|"),
    );
    return this.#digest;
  }

  /**
   * Calls a function after each change of a group's generation, state or boot id.
   *
   * @param listener - Gets the new health.
   */
  onChange(listener: (health: ReceivedGroupHealth) => void): void {
    this.#emitter.on("change", listener);
  }

  /**
   * Calls a function when another daemon reports a group as incomplete that counts as complete here.
   *
   * @param listener - Gets the group.
   */
  onReportedLoss(listener: (groupId: string) => void): void {
    this.#emitter.on("doubt", listener);
  }

  /**
   * Takes an observation over if it is newer than the known one: a higher generation, or the same generation and a later observation. Another daemon's report of an incomplete group only makes this daemon ask the members itself: a daemon that is cut off from the engines would otherwise take the group from all others. Nor does another daemon's report end a loss that this daemon saw itself.
   *
   * @param health - Observation of this daemon or of a peer.
   * @returns Whether it was taken over.
   */
  offer(health: GroupHealth): boolean {
    const observedAtMs = performance.now() - health.ageMs;
    const current = this.#byGroup.get(health.groupId);
    // This daemon's own observations come in order; two of them may rest on the same old status of a silent member.
    const isOwnSuccessor = this.#isOwnObservation(health) &&
      this.#isOwnObservation(current);
    const isOutdated = current !== undefined &&
      (health.generation < current.generation ||
        (health.generation === current.generation && !isOwnSuccessor &&
          observedAtMs <= current.observedAtMs));
    if (isOutdated) {
      return false;
    }
    if (current !== undefined && this.#isConflicting(current, health)) {
      if (health.state === "incomplete") {
        this.#emitter.emit("doubt", health.groupId);
      }
      return false;
    }
    const previousDigest = this.getGroupDigest(health.groupId);
    const received = { ...health, observedAtMs };
    this.#byGroup.set(health.groupId, received);
    if (this.getGroupDigest(health.groupId) !== previousDigest) {
      this.#digest = undefined;
      this.#emitter.emit("change", received);
    }
    return true;
  }

  /**
   * Takes a peer's report over like {@link offer}, unless it is an observation of this daemon that the peer returns: that is never newer than the own record, but as a report of this daemon it would be taken for the next one.
   *
   * @param health - Observation that a peer sent.
   * @returns Whether it was taken over.
   */
  offerFromPeer(health: GroupHealth): boolean {
    return !this.#isOwnObservation(health) && this.offer(health);
  }

  #isOwnObservation(health: GroupHealth | undefined): boolean {
    return health !== undefined && health.observer === this.#self;
  }

  /** Another daemon's loss is disputed by any complete observation that counts, another daemon's completeness only by an own loss. */
  #isConflicting(current: ReceivedGroupHealth, offered: GroupHealth): boolean {
    const isComparable = this.#self !== undefined &&
      !this.#isOwnObservation(offered) &&
      offered.generation === current.generation &&
      performance.now() - current.observedAtMs <= HEALTH_EXPIRY_MS;
    if (!isComparable) {
      return false;
    }
    return current.state === "incomplete"
      ? this.#isOwnObservation(current) && offered.state !== "incomplete"
      : offered.state === "incomplete";
  }

  /**
   * Forgets a group that is no longer placed.
   *
   * @param groupId - Group to forget.
   */
  remove(groupId: string): void {
    this.#byGroup.delete(groupId);
    this.#digest = undefined;
  }
}
