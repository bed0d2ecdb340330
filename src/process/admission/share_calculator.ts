import {
  getPartitionOwners,
  type GroupLocation,
  type HomeCandidate,
} from "./home_selection.ts";

/** Settings of a `ShareCalculator`. */
export interface ShareCalculatorOptions {
  /** Name of the VM of the daemon whose shares are computed. */
  readonly name: string;
  /**
   * Time in milliseconds for which a VM keeps its partitions after it was last listed, and for which the daemon itself has to be listed before it owns a partition. At least twice the longest lag of the VM list, see docs/decisions/admission.md.
   */
  readonly holdDownMs: number;
}

/** Entry VM that was listed within the hold-down. */
interface SeenVm {
  readonly candidate: HomeCandidate;
  lastSeenAtMs: number;
}

/**
 * Computes which partitions of a group's capacity a daemon owns, from the lists of entry VMs within the hold-down.
 *
 * The daemon owns a partition when it ranks highest among all VMs in any of these lists, and when each of these lists contains the daemon itself. It loses a partition at once when a VM that ranks higher is listed.
 */
export class ShareCalculator {
  readonly #options: ShareCalculatorOptions;
  readonly #seenVms = new Map<string, SeenVm>();
  readonly #ownersByGroup = new Map<string, string[]>();
  #candidates: HomeCandidate[] = [];
  #listedSinceMs: number | undefined;
  #listedVmCount = 0;

  constructor(options: ShareCalculatorOptions) {
    this.#options = options;
  }

  /**
   * Records the current VM list. Has to be called regularly, since the hold-down is measured between calls.
   *
   * @param listedVms - Entry VMs of the newest VM list.
   */
  observeVmList(listedVms: readonly HomeCandidate[]): void {
    const now = performance.now();
    let hasChanged = false;
    for (const candidate of listedVms) {
      const seenVm = this.#seenVms.get(candidate.name);
      if (seenVm === undefined || seenVm.candidate.zone !== candidate.zone) {
        const { name, zone } = candidate;
        this.#seenVms.set(name, {
          candidate: { name, zone },
          lastSeenAtMs: now,
        });
        hasChanged = true;
      } else {
        seenVm.lastSeenAtMs = now;
      }
    }
    for (const [name, seenVm] of this.#seenVms) {
      if (now - seenVm.lastSeenAtMs > this.#options.holdDownMs) {
        this.#seenVms.delete(name);
        hasChanged = true;
      }
    }
    this.#listedVmCount = listedVms.length;
    const isListed = listedVms.some((c) => c.name === this.#options.name);
    this.#listedSinceMs = isListed ? this.#listedSinceMs ?? now : undefined;
    if (hasChanged) {
      this.#candidates = [...this.#seenVms.values()].map((s) => s.candidate);
      this.#ownersByGroup.clear();
    }
  }

  /** Gets whether the daemon has been listed for less than the hold-down, so that it owns no partition yet. */
  isHeldDown(): boolean {
    return this.#listedSinceMs === undefined ||
      performance.now() - this.#listedSinceMs < this.#options.holdDownMs;
  }

  /** Gets whether any VM keeps its partitions although the newest list does not contain it. */
  hasUnlistedVms(): boolean {
    return this.#seenVms.size > this.#listedVmCount;
  }

  /** Gets the names of all VMs that were listed within the hold-down. */
  getSeenVmNames(): string[] {
    return this.#candidates.map((c) => c.name);
  }

  /**
   * Gets the names of the owners of all partitions, by partition number, among the VMs listed within the hold-down.
   *
   * @param group - Group to look up.
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
   * Gets the numbers of the partitions that the daemon owns now.
   *
   * @param group - Group to look up.
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
