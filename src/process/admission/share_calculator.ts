import {
  getPartitionOwners,
  type GroupLocation,
  type HomeCandidate,
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
  readonly #seenVms = new Map<string, SeenVm>();
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
  observeVmList(listed: readonly HomeCandidate[]): void {
    const now = performance.now();
    let hasChanged = false;
    for (const candidate of listed) {
      const seen = this.#seenVms.get(candidate.name);
      if (seen === undefined || seen.candidate.zone !== candidate.zone) {
        const { name, zone } = candidate;
        this.#seenVms.set(name, {
          candidate: { name, zone },
          lastSeenAtMs: now,
        });
        hasChanged = true;
      } else {
        seen.lastSeenAtMs = now;
      }
    }
    for (const [name, seen] of this.#seenVms) {
      if (now - seen.lastSeenAtMs > this.#options.holdDownMs) {
        this.#seenVms.delete(name);
        hasChanged = true;
      }
    }
    this.#listedCount = listed.length;
    const isListed = listed.some((c) => c.name === this.#options.name);
    this.#listedSinceMs = isListed ? this.#listedSinceMs ?? now : undefined;
    if (hasChanged) {
      this.#candidates = [...this.#seenVms.values()].map((s) => s.candidate);
      this.#ownersByGroup.clear();
    }
  }

  /** Gets whether the daemon has not been listed for the whole hold-down, so that it owns no lane yet. */
  isHeldDown(): boolean {
    return this.#listedSinceMs === undefined ||
      performance.now() - this.#listedSinceMs < this.#options.holdDownMs;
  }

  /** Gets whether a VM keeps lanes although the newest list does not name it. */
  hasUnlistedVms(): boolean {
    return this.#seenVms.size > this.#listedCount;
  }

  /** Gets the names of all VMs that a list of the hold-down named. */
  getSeenNames(): string[] {
    return this.#candidates.map((c) => c.name);
  }

  /**
   * Gets the owner of each lane among the VMs of the hold-down.
   *
   * @param group - Group.
   */
  getPartitionOwners(group: GroupLocation): readonly string[] {
    let owners = this.#ownersByGroup.get(group.groupId);
    if (owners === undefined) {
      owners = getPartitionOwners(group, this.#candidates);
      this.#ownersByGroup.set(group.groupId, owners);
    }
    return owners;
  }

  /**
   * Gets the lanes that the daemon owns now.
   *
   * @param group - Group.
   */
  getOwnPartitions(group: GroupLocation): number[] {
    if (this.isHeldDown()) {
      return [];
    }
    const partitions: number[] = [];
    this.getPartitionOwners(group).forEach((owner, partition) => {
      if (owner === this.#options.name) {
        partitions.push(partition);
      }
    });
    return partitions;
  }
}
