import type { GroupLocation, HomeCandidate } from "./home_selection.ts";
import {
  addCapacity,
  type Capacity,
  getPartitionCapacity,
  NO_CAPACITY,
} from "./capacity.ts";
import { listHeldLoans } from "./held_loans.ts";
import type { LoanChannel, SettlementResponse } from "./loan_messages.ts";
import type { ShareCalculator } from "./share_calculator.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";

/** Delay after a settlement before the next one, in milliseconds. */
const SETTLEMENT_RETRY_DELAY_MS = 250;

/** Group whose capacity is shared between the daemons. */
export interface SharedGroup extends GroupLocation {
  /** Capacity of the whole group. */
  readonly capacity: Capacity;
}

/** Dependencies and settings of a `ShareManager`. */
export interface ShareManagerOptions {
  /** Name of this daemon's VM. */
  readonly name: string;
  /** Id of this process, which changes with each start. */
  readonly startId: string;
  readonly shareCalculator: ShareCalculator;
  readonly ledger: CapacityLedger;
  readonly channel: LoanChannel;
  /** Longest time that a request of an unreachable daemon may still run, in milliseconds. */
  readonly longestRequestMs: number;
}

interface PartitionState {
  /** Monotonic time at which this daemon gained the partition, in milliseconds of `performance.now()`. */
  readonly ownedSinceMs: number;
  /** Whether a settlement has confirmed that no other daemon uses the partition, so that this daemon may use it. */
  isConfirmed: boolean;
}

/**
 * Updates the daemon's own shares in the ledger and confirms newly gained partitions.
 *
 * The hold-down ensures that no other daemon admits new requests on a partition that this daemon owns. Requests and loans of the previous owner may last longer than the hold-down. A gained partition is therefore used only after a settlement: every known daemon has to confirm that it uses no more than its shares. If a daemon does not respond, the partition is used after the duration of the longest request.
 */
export class ShareManager {
  readonly #options: ShareManagerOptions;
  readonly #partitionsByGroup = new Map<string, Map<number, PartitionState>>();
  #isSettling = false;
  #nextSettlementAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ShareManagerOptions) {
    this.#options = options;
  }

  /**
   * Recomputes this daemon's shares of all groups.
   *
   * @param listedVms - Entry VMs of the newest VM list.
   * @param groups - All placed groups.
   */
  refresh(
    listedVms: readonly HomeCandidate[],
    groups: readonly SharedGroup[],
  ): void {
    const { shareCalculator, ledger } = this.#options;
    shareCalculator.observeVmList(listedVms);
    const placedGroupIds = new Set<string>();
    for (const group of groups) {
      placedGroupIds.add(group.groupId);
      this.#refreshGroupShare(group);
    }
    for (const groupId of ledger.getGroupIds()) {
      if (!placedGroupIds.has(groupId)) {
        this.#partitionsByGroup.delete(groupId);
        ledger.setOwnShare(groupId, NO_CAPACITY);
      }
    }
  }

  /** Gets whether this daemon is the first home of a group, which requires that partition 0 is confirmed. */
  isFirstHome(groupId: string): boolean {
    return this.#partitionsByGroup.get(groupId)?.get(0)?.isConfirmed ?? false;
  }

  /** Gets whether any owned partition is not confirmed yet, so that a settlement is needed. */
  hasUnconfirmedPartitions(): boolean {
    return this.#listUnconfirmedGroupIds().length > 0;
  }

  /** Asks the other daemons whether they still use gained partitions, and confirms those that are free. Does nothing while another settlement runs, or shortly after one. */
  async trySettle(): Promise<void> {
    const groupIds = this.#listUnconfirmedGroupIds();
    const isTooEarly = performance.now() < this.#nextSettlementAtMs;
    if (this.#isSettling || isTooEarly || groupIds.length === 0) {
      return;
    }
    this.#isSettling = true;
    try {
      await this.#requestSettlement(groupIds);
    } finally {
      this.#isSettling = false;
      this.#nextSettlementAtMs = performance.now() + SETTLEMENT_RETRY_DELAY_MS;
    }
  }

  #refreshGroupShare(group: SharedGroup): void {
    const ownPartitions = this.#options.shareCalculator.getOwnPartitions(group);
    const previousStates = this.#partitionsByGroup.get(group.groupId);
    const states = new Map<number, PartitionState>();
    let ownShare = NO_CAPACITY;
    for (const partition of ownPartitions) {
      const state = previousStates?.get(partition) ??
        { ownedSinceMs: performance.now(), isConfirmed: false };
      states.set(partition, state);
      if (state.isConfirmed) {
        ownShare = addCapacity(
          ownShare,
          getPartitionCapacity(group.capacity, partition),
        );
      }
    }
    this.#partitionsByGroup.set(group.groupId, states);
    this.#options.ledger.setOwnShare(group.groupId, ownShare);
  }

  #listUnconfirmedGroupIds(): string[] {
    const unconfirmedGroupIds: string[] = [];
    for (const [groupId, partitions] of this.#partitionsByGroup) {
      if ([...partitions.values()].some((p) => !p.isConfirmed)) {
        unconfirmedGroupIds.push(groupId);
      }
    }
    return unconfirmedGroupIds;
  }

  async #requestSettlement(groupIds: readonly string[]): Promise<void> {
    const {
      name,
      startId,
      shareCalculator,
      channel,
      longestRequestMs,
    } = this.#options;
    const unconfirmedGroups = groupIds.map((groupId) => ({
      groupId,
      partitions: [...this.#partitionsByGroup.get(groupId)!.values()],
    }));
    const peers = shareCalculator.getSeenVmNames().filter((n) => n !== name);
    const request = { from: name, groupIds: [...groupIds] };
    const outcomes = await Promise.allSettled(
      peers.map((peer) => channel.sendSettlement(peer, request)),
    );
    const hasUnreachablePeer = outcomes.some((o) => o.status === "rejected");
    const startIds = new Map([[name, startId]]);
    outcomes.forEach((outcome, index) => {
      if (outcome.status === "fulfilled") {
        startIds.set(peers[index], outcome.value.startId);
      }
    });
    const { ledger } = this.#options;
    // This daemon's borrowed loans count too, since a gained partition may contain the slots that its previous owner lent to this daemon.
    const heldLoans = listHeldLoans(ledger, groupIds);
    const ownResponse: SettlementResponse = {
      startId,
      heldLoans,
      busyGroupIds: [],
    };
    const receivedResponses = outcomes.flatMap((o) =>
      o.status === "fulfilled" ? [o.value] : []
    );
    const busyGroupIds = findBusyGroupIds(
      [ownResponse, ...receivedResponses],
      startIds,
    );
    const confirmBeforeMs = performance.now() - longestRequestMs;
    for (const { groupId, partitions } of unconfirmedGroups) {
      for (const partition of partitions) {
        const canConfirm = !hasUnreachablePeer ||
          partition.ownedSinceMs <= confirmBeforeMs;
        partition.isConfirmed ||= canConfirm && !busyGroupIds.has(groupId);
      }
    }
  }
}

/** Finds the groups that are used beyond the shares. These include groups with a loan whose lender has left or restarted, since no daemon deducts that loan from its share any more. */
function findBusyGroupIds(
  responses: readonly SettlementResponse[],
  startIds: ReadonlyMap<string, string>,
): Set<string> {
  const busyGroupIds = new Set<string>();
  for (const response of responses) {
    response.busyGroupIds.forEach((id) => busyGroupIds.add(id));
    for (const loan of response.heldLoans) {
      if (startIds.get(loan.lender) !== loan.lenderStartId) {
        busyGroupIds.add(loan.groupId);
      }
    }
  }
  return busyGroupIds;
}
