import {
  getLaneOwners,
  type HomeCandidate,
  type HomeKey,
} from "./home_selection.ts";

/** Settings of the share calculator. */
export interface ShareCalculatorOptions {
  /** Name of the daemon whose shares are computed. */
  readonly name: string;
  /**
   * Time in milliseconds for which a VM keeps its lanes after it was last listed, and for which the daemon itself has to be listed before it owns a lane. At least twice the longest lag of the list, see docs/decisions/admission.md.
   */
  readonly holdDownMs: number;
}

interface SeenVm {
  readonly candidate: HomeCandidate;
  lastSeenAtMs: number;
}

/**
 * Computes which lanes of a group a daemon owns, from the lists of entry VMs that it has seen.
 *
 * A lane is owned when the daemon ranks highest among all VMs that any list of the hold-down named, and every list of the hold-down named the daemon itself. A lane is lost at once when a VM that ranks higher appears.
 */
export class ShareCalculator {
  readonly #options: ShareCalculatorOptions;
  readonly #seen = new Map<string, SeenVm>();
  readonly #ownersByGroup = new Map<string, string[]>();
  #candidates: HomeCandidate[] = [];
  #listedSinceMs: number | undefined;
  #listedCount = 0;

  constructor(options: ShareCalculatorOptions) {
    this.#options = options;
  }

  /**
   * Takes note of the list that is in force now. Has to be called often, since the hold-down counts from the observations.
   *
   * @param listed - Entry VMs of the newest list.
   */
  observe(listed: readonly HomeCandidate[]): void {
    const now = performance.now();
    let changed = false;
    for (const candidate of listed) {
      const seen = this.#seen.get(candidate.name);
      if (seen === undefined || seen.candidate.zone !== candidate.zone) {
        const { name, zone } = candidate;
        this.#seen.set(name, { candidate: { name, zone }, lastSeenAtMs: now });
        changed = true;
      } else {
        seen.lastSeenAtMs = now;
      }
    }
    for (const [name, seen] of this.#seen) {
      if (now - seen.lastSeenAtMs > this.#options.holdDownMs) {
        this.#seen.delete(name);
        changed = true;
      }
    }
    this.#listedCount = listed.length;
    const isListed = listed.some((c) => c.name === this.#options.name);
    this.#listedSinceMs = isListed ? this.#listedSinceMs ?? now : undefined;
    if (changed) {
      this.#candidates = [...this.#seen.values()].map((s) => s.candidate);
      this.#ownersByGroup.clear();
    }
  }

  /** Gets whether the daemon has not been listed for the whole hold-down, so that it owns no lane yet. */
  isHeldDown(): boolean {
    return this.#listedSinceMs === undefined ||
      performance.now() - this.#listedSinceMs < this.#options.holdDownMs;
  }

  /** Gets whether a VM keeps lanes although the newest list does not name it. */
  hasUnlistedNames(): boolean {
    return this.#seen.size > this.#listedCount;
  }

  /** Gets the names of all VMs that a list of the hold-down named. */
  getKnownNames(): string[] {
    return this.#candidates.map((c) => c.name);
  }

  /**
   * Gets the owner of each lane among the VMs of the hold-down.
   *
   * @param key - Group.
   */
  getOwners(key: HomeKey): readonly string[] {
    let owners = this.#ownersByGroup.get(key.groupId);
    if (owners === undefined) {
      owners = getLaneOwners(key, this.#candidates);
      this.#ownersByGroup.set(key.groupId, owners);
    }
    return owners;
  }

  /**
   * Gets the lanes that the daemon owns now.
   *
   * @param key - Group.
   */
  getOwnLanes(key: HomeKey): number[] {
    if (this.isHeldDown()) {
      return [];
    }
    const lanes: number[] = [];
    this.getOwners(key).forEach((owner, lane) => {
      if (owner === this.#options.name) {
        lanes.push(lane);
      }
    });
    return lanes;
  }
}
