import { EventEmitter } from "node:events";
import { getHash32 } from "../shared/rendezvous_hash.ts";

/**
 * Health state of a group, derived from the statuses of its members.
 *
 * - `incomplete`: a member is missing or has another generation; the group serves no requests.
 * - `cold`: all members are present, but the group can take only a few requests at a time until it is warm.
 * - `ready`: all members are present and the group is warm.
 */
export type GroupHealthState = "incomplete" | "cold" | "ready";

/** Maximum age of a group's health, in milliseconds. Older health no longer counts, so that the group takes no new requests. */
export const HEALTH_EXPIRY_MS = 3_000;

/** Health of a group, as one daemon observed it and sends it to its peers. */
export interface GroupHealth {
  readonly groupId: string;
  /** Generation of the placed group that was observed. */
  readonly generation: number;
  readonly state: GroupHealthState;
  /** Boot id of the leader; empty when the leader's status is unknown. */
  readonly bootId: string;
  /** Name of the daemon that made the observation. */
  readonly observer: string;
  /** Sequence number of the observation, which increases with each observation of one observer. */
  readonly sequence: number;
  /** Age of the observation when it was sent, in milliseconds. The receiver adds the time that has passed since its request. */
  readonly ageMs: number;
  readonly runningRequests: number;
  readonly heldTokens: number;
  readonly maxTokens: number;
  readonly tokenIntervalMs?: number;
  /** Whether the newest token interval is far above the group's recent median, which indicates a slow member. */
  readonly straggler?: boolean;
  /** Number of member restarts that the observer detected in this generation, by a changed boot id. */
  readonly restarts?: number;
}

/** Health of a group with the time of the observation on this daemon's clock. */
export interface ReceivedGroupHealth extends GroupHealth {
  /** Time of the observation, in milliseconds of this process's `performance.now()`. */
  readonly observedAtMs: number;
}

/** Events that the table emits. */
interface GroupHealthEvents {
  change: [ReceivedGroupHealth];
  /** Emitted with the group's id when another daemon reports a group as incomplete that is recorded as complete here. */
  reportedLoss: [string];
}

/** Stores the newest health of each group, from this daemon's observations and from its peers. */
export class GroupHealthTable {
  readonly #ownName: string | undefined;
  readonly #byGroup = new Map<string, ReceivedGroupHealth>();
  readonly #emitter = new EventEmitter<GroupHealthEvents>();
  #digest: number | undefined;

  /** @param ownName - Name of this daemon. Its own observations take precedence over those of its peers. */
  constructor(ownName?: string) {
    this.#ownName = ownName;
  }

  /**
   * Gets the newest health of a group, or undefined if none is known.
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
   * Gets the generation, state and boot id of a group as one string, which is empty if the health is unknown. A change of this string is announced to peers. Load figures are left out because they change all the time.
   *
   * @param groupId - Group to look up.
   */
  getGroupDigest(groupId: string): string {
    const health = this.#byGroup.get(groupId);
    return health === undefined
      ? ""
      : `${health.generation} ${health.state} ${health.bootId}`;
  }

  /** Gets a hash of the generation, state and boot id of all groups. Peers compare it to find out whether their tables differ. */
  getDigest(): number {
    this.#digest ??= getHash32(
      [...this.#byGroup.keys()].sort()
        .map((id) => `${id} ${this.getGroupDigest(id)}`).join("|"),
    );
    return this.#digest;
  }

  /**
   * Registers a listener that is called after each change of a group's generation, state or boot id.
   *
   * @param listener - Receives the new health.
   */
  onChange(listener: (health: ReceivedGroupHealth) => void): void {
    this.#emitter.on("change", listener);
  }

  /**
   * Registers a listener that is called when another daemon reports a group as incomplete that is recorded as complete here.
   *
   * @param listener - Receives the id of the group.
   */
  onReportedLoss(listener: (groupId: string) => void): void {
    this.#emitter.on("reportedLoss", listener);
  }

  /**
   * Stores an observation if it is newer than the stored one, which means a higher generation, or the same generation and a later time. While the stored observation has not expired, the following reports of other daemons about the same generation are not stored:
   *
   * - A report that the group is incomplete, if it is recorded as complete here. The report only makes this daemon request the members' statuses itself, because a daemon that lost its connection to the engines would otherwise take the group out of service for all daemons.
   * - A report that the group is complete, if this daemon itself observed it as incomplete.
   *
   * @param health - Observation of this daemon or of a peer.
   * @returns Whether the observation was stored.
   */
  offer(health: GroupHealth): boolean {
    const observedAtMs = performance.now() - health.ageMs;
    const storedHealth = this.#byGroup.get(health.groupId);
    // This daemon's own observations arrive in order, but two of them can have the same time when both use the last status of a member that has stopped responding.
    const isOwnSuccessor = this.#isOwnObservation(health) &&
      this.#isOwnObservation(storedHealth);
    const isOutdated = storedHealth !== undefined &&
      (health.generation < storedHealth.generation ||
        (health.generation === storedHealth.generation && !isOwnSuccessor &&
          observedAtMs <= storedHealth.observedAtMs));
    if (isOutdated) {
      return false;
    }
    if (
      storedHealth !== undefined && this.#isConflicting(storedHealth, health)
    ) {
      if (health.state === "incomplete") {
        this.#emitter.emit("reportedLoss", health.groupId);
      }
      return false;
    }
    const previousDigest = this.getGroupDigest(health.groupId);
    const receivedHealth = { ...health, observedAtMs };
    this.#byGroup.set(health.groupId, receivedHealth);
    if (this.getGroupDigest(health.groupId) !== previousDigest) {
      this.#digest = undefined;
      this.#emitter.emit("change", receivedHealth);
    }
    return true;
  }

  /**
   * Stores an observation that a peer sent, like {@link offer}, unless this daemon made it. An observation that a peer sends back is never newer than the stored one, but {@link offer} would accept it as this daemon's next observation.
   *
   * @param health - Observation that a peer sent.
   * @returns Whether the observation was stored.
   */
  offerFromPeer(health: GroupHealth): boolean {
    return !this.#isOwnObservation(health) && this.offer(health);
  }

  #isOwnObservation(health: GroupHealth | undefined): boolean {
    return health !== undefined && health.observer === this.#ownName;
  }

  /** Gets whether an observation of another daemon conflicts with the stored one and so must not replace it. An incomplete state conflicts with any unexpired complete state; a complete state conflicts only with an incomplete state that this daemon observed itself. */
  #isConflicting(
    storedHealth: ReceivedGroupHealth,
    offeredHealth: GroupHealth,
  ): boolean {
    const isComparable = this.#ownName !== undefined &&
      !this.#isOwnObservation(offeredHealth) &&
      offeredHealth.generation === storedHealth.generation &&
      performance.now() - storedHealth.observedAtMs <= HEALTH_EXPIRY_MS;
    if (!isComparable) {
      return false;
    }
    return storedHealth.state === "incomplete"
      ? this.#isOwnObservation(storedHealth) &&
        offeredHealth.state !== "incomplete"
      : offeredHealth.state === "incomplete";
  }

  /**
   * Removes the health of a group that is no longer placed.
   *
   * @param groupId - Group to remove.
   */
  remove(groupId: string): void {
    this.#byGroup.delete(groupId);
    this.#digest = undefined;
  }
}
