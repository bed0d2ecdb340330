import type { Capacity } from "../src/process/admission/capacity.ts";
import {
  addCapacity,
  getPartitionCapacity,
  NO_CAPACITY,
} from "../src/process/admission/capacity.ts";
import type {
  GroupLocation,
  HomeCandidate,
} from "../src/process/admission/home_selection.ts";
import { ShareCalculator } from "../src/process/admission/share_calculator.ts";
import { CapacityLedger } from "../src/process/admission/capacity_ledger.ts";

/** Time beyond the request for which a loan is asked, as in the loan broker, in milliseconds. */
const REUSE_MS = 30_000;

/** One daemon of the computation. */
export interface BenchDaemon {
  readonly candidate: HomeCandidate;
  readonly calculator: ShareCalculator;
  readonly ledger: CapacityLedger;
  readonly grantsByGroup: Map<string, number>;
  readonly confirmed: Map<string, Set<number>>;
}

/** Granted request. */
export interface BenchGrant {
  /** Group that the request runs on. */
  readonly groupId: string;
  end(): void;
}

/** Policies that are compared. "local" takes a group with a free own share first, as the daemon does; "shares" insists on one random group. */
export const POLICIES = ["shares", "local", "owner", "none"] as const;
/** Policy of admission. */
export type Policy = typeof POLICIES[number];

/** Decides one request and counts the control messages. */
export class PolicyModel {
  messages = 0;
  bytes = 0;
  readonly #policy: Policy;
  readonly #whole: Capacity;
  readonly #cost: Capacity;
  readonly #lastLender = new Map<string, string>();
  #sequence = 0;

  constructor(policy: Policy, sizes: { whole: Capacity; cost: Capacity }) {
    this.#policy = policy;
    this.#whole = sizes.whole;
    this.#cost = sizes.cost;
  }

  /**
   * Decides one request.
   *
   * @returns The grant, or undefined when it is refused.
   */
  tryAcquire(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      groups: readonly GroupLocation[];
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): BenchGrant | undefined {
    const group = this.#policy === "local"
      ? this.#findLocalGroup(daemon, request) ?? request.group
      : request.group;
    const end = this.#tryGroup(daemon, { ...request, group });
    return end && { groupId: group.groupId, end };
  }

  #tryGroup(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): (() => void) | undefined {
    if (this.#policy === "shares" || this.#policy === "local") {
      return this.#tryShares(daemon, request);
    }
    if (this.#policy === "none") {
      return this.#tryCount(daemon, request.group.groupId);
    }
    const name = daemon.calculator.getPartitionOwners(request.group).at(0) ??
      "";
    const owner = request.daemons.get(name);
    if (owner !== undefined && owner !== daemon) {
      this.#countMessage({
        from: daemon.candidate.name,
        request: request.group,
      });
      this.#countMessage({ from: daemon.candidate.name, end: request.group });
    }
    return owner && this.#tryCount(owner, request.group.groupId);
  }

  /** Finds a group with a free own share, from the wanted one on, as the daemon does before it borrows. */
  #findLocalGroup(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      groups: readonly GroupLocation[];
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): GroupLocation | undefined {
    const { groups, group, daemons, untilMs } = request;
    const first = groups.indexOf(group);
    for (let index = 0; index < groups.length; index++) {
      const candidate = groups[(first + index) % groups.length];
      this.#refreshOwn(daemon, candidate, daemons);
      const { slots, tokens } = daemon.ledger.getFreeCapacity(
        candidate.groupId,
        untilMs,
      );
      if (slots >= this.#cost.slots && tokens >= this.#cost.tokens) {
        return candidate;
      }
    }
    return undefined;
  }

  #tryCount(daemon: BenchDaemon, groupId: string): (() => void) | undefined {
    const count = daemon.grantsByGroup.get(groupId) ?? 0;
    if (count >= this.#whole.slots) {
      return undefined;
    }
    daemon.grantsByGroup.set(groupId, count + 1);
    return () => {
      const running = daemon.grantsByGroup.get(groupId) ?? 1;
      daemon.grantsByGroup.set(groupId, running - 1);
    };
  }

  #tryShares(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): (() => void) | undefined {
    const { group, daemons, untilMs } = request;
    const { groupId } = group;
    this.#refreshOwn(daemon, group, daemons);
    if (!daemon.ledger.tryAcquire(groupId, this.#cost, untilMs)) {
      const lenders = new Set(daemon.calculator.getPartitionOwners(group));
      lenders.delete(daemon.candidate.name);
      const key = `${daemon.candidate.name} ${groupId}`;
      const last = this.#policy === "local" && this.#lastLender.get(key);
      const ordered = [...lenders].sort((a, b) =>
        Number(b === last) - Number(a === last)
      );
      for (const name of ordered) {
        const lender = daemons.get(name);
        if (lender !== undefined && this.#borrow(daemon, lender, request)) {
          this.#lastLender.set(key, name);
          break;
        }
      }
      if (!daemon.ledger.tryAcquire(groupId, this.#cost, untilMs)) {
        this.#repayFree(daemon, request);
        return undefined;
      }
    }
    return () => {
      daemon.ledger.release(groupId, this.#cost);
      this.#repayFree(daemon, request);
    };
  }

  #repayFree(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
    },
  ): void {
    const { daemons } = request;
    const { groupId } = request.group;
    for (const loan of daemon.ledger.getBorrowedLoans(groupId)) {
      const repaid = daemon.ledger.tryRemoveBorrowedLoan(groupId, loan.loanId);
      if (repaid !== undefined) {
        this.#countMessage({ from: daemon.candidate.name, repay: repaid });
        daemons.get(loan.peer)?.ledger.removeLentLoan(groupId, loan.loanId);
      }
    }
  }

  #borrow(
    daemon: BenchDaemon,
    lender: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): boolean {
    this.#refreshOwn(lender, request.group, request.daemons);
    const wish = {
      loanId: `${daemon.candidate.name}/${++this.#sequence}`,
      groupId: request.group.groupId,
      peer: daemon.candidate.name,
      lenderStartId: "",
      capacity: this.#cost,
      expiresAtMs: request.untilMs + REUSE_MS,
      firstHome: false,
      cold: false,
      grantedAtMs: performance.now(),
    };
    this.#countMessage(wish);
    const loan = lender.ledger.lend(wish);
    if (loan === undefined) {
      return false;
    }
    daemon.ledger.addBorrowedLoan({ ...loan, peer: lender.candidate.name });
    return true;
  }

  /** Applies the lanes that are owned; a gained lane waits until no daemon uses more than its share, as the settlement does. */
  #refreshOwn(
    daemon: BenchDaemon,
    group: GroupLocation,
    daemons: ReadonlyMap<string, BenchDaemon>,
  ): void {
    const { groupId } = group;
    const confirmed = daemon.confirmed.get(groupId) ?? new Set<number>();
    const next = new Set<number>();
    let own = NO_CAPACITY;
    let settled: boolean | undefined;
    for (const lane of daemon.calculator.getOwnPartitions(group)) {
      if (!confirmed.has(lane)) {
        settled ??= this.#isSettled(group, daemons);
      }
      if (confirmed.has(lane) || settled) {
        next.add(lane);
        own = addCapacity(own, getPartitionCapacity(this.#whole, lane));
      }
    }
    daemon.confirmed.set(groupId, next);
    daemon.ledger.setOwnShare(groupId, own);
  }

  #isSettled(
    group: GroupLocation,
    daemons: ReadonlyMap<string, BenchDaemon>,
  ): boolean {
    const { groupId } = group;
    for (const daemon of daemons.values()) {
      this.#dropLostLanes(daemon, group);
      const orphaned = daemon.ledger.getBorrowedLoans(groupId)
        .some((loan) => !daemons.has(loan.peer));
      if (orphaned || daemon.ledger.isOvercommitted(groupId)) {
        return false;
      }
    }
    return true;
  }

  /** Applies lost lanes, which a daemon does at each tick. */
  #dropLostLanes(daemon: BenchDaemon, group: GroupLocation): void {
    const confirmed = daemon.confirmed.get(group.groupId);
    if (confirmed === undefined || confirmed.size === 0) {
      return;
    }
    const lanes = daemon.calculator.getOwnPartitions(group);
    let own = NO_CAPACITY;
    for (const lane of confirmed) {
      if (lanes.includes(lane)) {
        own = addCapacity(own, getPartitionCapacity(this.#whole, lane));
      } else {
        confirmed.delete(lane);
      }
    }
    daemon.ledger.setOwnShare(group.groupId, own);
  }

  #countMessage(message: unknown): void {
    this.messages++;
    this.bytes += JSON.stringify(message).length;
  }
}
