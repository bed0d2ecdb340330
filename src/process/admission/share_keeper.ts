import type { HomeCandidate, HomeKey } from "./home_selection.ts";
import {
  addCapacity,
  type Capacity,
  getLaneCapacity,
  NO_CAPACITY,
} from "./capacity.ts";
import { listHeldLoans } from "./held_loans.ts";
import type { LoanChannel, SettlementAnswer } from "./loan_messages.ts";
import type { ShareCalculator } from "./share_calculator.ts";
import type { SlotLedger } from "./slot_ledger.ts";

/** Pause after a settlement that left a lane open, in milliseconds. */
const SETTLEMENT_PAUSE_MS = 250;

/** Group with the capacity that is shared. */
export interface SharedGroup extends HomeKey {
  readonly whole: Capacity;
}

/** Parts and settings of the share keeper. */
export interface ShareKeeperOptions {
  readonly name: string;
  /** Start id of the process. */
  readonly startId: string;
  readonly calculator: ShareCalculator;
  readonly ledger: SlotLedger;
  readonly channel: LoanChannel;
  /** Longest time for which a request of an unreachable daemon may still run, in milliseconds. */
  readonly longestRequestMs: number;
}

interface LaneState {
  readonly ownedSinceMs: number;
  confirmed: boolean;
}

/**
 * Keeps the daemon's own shares up to date.
 *
 * The hold-down makes sure that no other daemon admits new work on a lane. Work that the earlier owner still runs, or has lent, may last longer than the hold-down: the lane is used only after every known daemon answered that it uses nothing beyond its shares, or after the longest request.
 */
export class ShareKeeper {
  readonly #options: ShareKeeperOptions;
  readonly #lanesByGroup = new Map<string, Map<number, LaneState>>();
  #settling = false;
  #nextSettlementAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ShareKeeperOptions) {
    this.#options = options;
  }

  /**
   * Applies the newest list of entry VMs.
   *
   * @param listed - Entry VMs.
   * @param groups - All placed groups.
   */
  refresh(
    listed: readonly HomeCandidate[],
    groups: readonly SharedGroup[],
  ): void {
    const { calculator, ledger } = this.#options;
    calculator.observe(listed);
    const known = new Set<string>();
    for (const group of groups) {
      known.add(group.groupId);
      this.#refreshGroup(group);
    }
    for (const groupId of ledger.getGroupIds()) {
      if (!known.has(groupId)) {
        this.#lanesByGroup.delete(groupId);
        ledger.setOwn(groupId, NO_CAPACITY);
      }
    }
  }

  /** Gets whether this daemon is the first home of a group and may use that right. */
  isFirstHome(groupId: string): boolean {
    return this.#lanesByGroup.get(groupId)?.get(0)?.confirmed ?? false;
  }

  /** Gets whether a settlement is due. */
  hasOpenLanes(): boolean {
    return this.#listOpenGroups().length > 0;
  }

  /** Asks the other daemons whether the gained lanes are free, and confirms those that are. */
  async trySettle(): Promise<void> {
    const groupIds = this.#listOpenGroups();
    const early = performance.now() < this.#nextSettlementAtMs;
    if (this.#settling || early || groupIds.length === 0) {
      return;
    }
    this.#settling = true;
    try {
      await this.#requestSettlement(groupIds);
    } finally {
      this.#settling = false;
      this.#nextSettlementAtMs = performance.now() + SETTLEMENT_PAUSE_MS;
    }
  }

  #refreshGroup(group: SharedGroup): void {
    const lanes = this.#options.calculator.getOwnLanes(group);
    const before = this.#lanesByGroup.get(group.groupId);
    const states = new Map<number, LaneState>();
    let own = NO_CAPACITY;
    for (const lane of lanes) {
      const state = before?.get(lane) ??
        { ownedSinceMs: performance.now(), confirmed: false };
      states.set(lane, state);
      if (state.confirmed) {
        own = addCapacity(own, getLaneCapacity(group.whole, lane));
      }
    }
    this.#lanesByGroup.set(group.groupId, states);
    this.#options.ledger.setOwn(group.groupId, own);
  }

  #listOpenGroups(): string[] {
    const open: string[] = [];
    for (const [groupId, lanes] of this.#lanesByGroup) {
      if ([...lanes.values()].some((l) => !l.confirmed)) {
        open.push(groupId);
      }
    }
    return open;
  }

  async #requestSettlement(groupIds: readonly string[]): Promise<void> {
    const { name, startId, calculator, channel, longestRequestMs } =
      this.#options;
    const asked = groupIds.map((groupId) => ({
      groupId,
      lanes: [...this.#lanesByGroup.get(groupId)!.values()],
    }));
    const peers = calculator.getKnownNames().filter((n) => n !== name);
    const question = { from: name, groupIds: [...groupIds] };
    const answers = await Promise.allSettled(
      peers.map((peer) => channel.sendSettlement(peer, question)),
    );
    const silent = answers.some((a) => a.status === "rejected");
    const startIds = new Map([[name, startId]]);
    answers.forEach((answer, index) => {
      if (answer.status === "fulfilled") {
        startIds.set(peers[index], answer.value.startId);
      }
    });
    const { ledger } = this.#options;
    // Own loans count too: a gained lane may contain the very slots that its former owner lent to this daemon.
    const heldLoans = listHeldLoans(ledger, groupIds);
    const own: SettlementAnswer = { startId, heldLoans, busyGroupIds: [] };
    const given = answers.flatMap((a) =>
      a.status === "fulfilled" ? [a.value] : []
    );
    const busy = findBusyGroups([own, ...given], startIds);
    const limitMs = performance.now() - longestRequestMs;
    for (const { groupId, lanes } of asked) {
      for (const lane of lanes) {
        const settled = !silent || lane.ownedSinceMs <= limitMs;
        lane.confirmed ||= settled && !busy.has(groupId);
      }
    }
  }
}

/** Finds the groups that are used beyond the shares. A loan whose lender has left or restarted counts, since nobody deducts it. */
function findBusyGroups(
  answers: readonly SettlementAnswer[],
  startIds: ReadonlyMap<string, string>,
): Set<string> {
  const busy = new Set<string>();
  for (const answer of answers) {
    answer.busyGroupIds.forEach((id) => busy.add(id));
    for (const loan of answer.heldLoans) {
      if (startIds.get(loan.lender) !== loan.lenderStartId) {
        busy.add(loan.groupId);
      }
    }
  }
  return busy;
}
