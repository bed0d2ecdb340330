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

/** Time for which a loan stays valid beyond the end of its request, as in the loan client, in milliseconds. */
const LOAN_REUSE_MS = 30_000;

/** Simulated daemon. */
export interface BenchDaemon {
  readonly candidate: HomeCandidate;
  readonly calculator: ShareCalculator;
  readonly ledger: CapacityLedger;
  readonly grantsByGroup: Map<string, number>;
  readonly confirmedPartitions: Map<string, Set<number>>;
}

/** Admission of a request. */
export interface BenchGrant {
  /** Group that executes the request. */
  readonly groupId: string;
  release(): void;
}

/** Admission policies that the benchmark compares. */
export const ADMISSION_POLICIES = ["shares", "local", "owner", "none"] as const;
/**
 * Admission policy.
 *
 * - `shares`: a request goes to one random group, and the daemon borrows capacity when its own share of the group is used up.
 * - `local`: the daemon prefers a group with free capacity in its own share and borrows only when there is none. This is the policy of the product.
 * - `owner`: the first owner of the group's partitions admits or refuses the request.
 * - `none`: each daemon limits only its own requests to the group.
 */
export type AdmissionPolicy = typeof ADMISSION_POLICIES[number];

/** Simulates the admission of requests under one policy and counts the control messages. */
export class PolicyModel {
  messageCount = 0;
  byteCount = 0;
  readonly #policy: AdmissionPolicy;
  readonly #groupCapacity: Capacity;
  readonly #requestCost: Capacity;
  readonly #lastLender = new Map<string, string>();
  #loanSequence = 0;

  constructor(
    policy: AdmissionPolicy,
    sizes: { groupCapacity: Capacity; requestCost: Capacity },
  ) {
    this.#policy = policy;
    this.#groupCapacity = sizes.groupCapacity;
    this.#requestCost = sizes.requestCost;
  }

  /**
   * Admits or refuses one request.
   *
   * @returns The grant, or undefined when the request is refused.
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
    const release = this.#tryAcquireFromGroup(daemon, { ...request, group });
    return release && { groupId: group.groupId, release };
  }

  #tryAcquireFromGroup(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): (() => void) | undefined {
    if (this.#policy === "shares" || this.#policy === "local") {
      return this.#tryAcquireFromShare(daemon, request);
    }
    if (this.#policy === "none") {
      return this.#tryAcquireByCount(daemon, request.group.groupId);
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
    return owner && this.#tryAcquireByCount(owner, request.group.groupId);
  }

  /** Finds a group with free capacity in the daemon's own share, starting at the requested group, as the daemon does before it borrows. */
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
    const firstIndex = groups.indexOf(group);
    for (let index = 0; index < groups.length; index++) {
      const candidate = groups[(firstIndex + index) % groups.length];
      this.#refreshOwnShare(daemon, candidate, daemons);
      const { slots, tokens } = daemon.ledger.getFreeCapacity(
        candidate.groupId,
        untilMs,
      );
      if (
        slots >= this.#requestCost.slots && tokens >= this.#requestCost.tokens
      ) {
        return candidate;
      }
    }
    return undefined;
  }

  #tryAcquireByCount(
    daemon: BenchDaemon,
    groupId: string,
  ): (() => void) | undefined {
    const count = daemon.grantsByGroup.get(groupId) ?? 0;
    if (count >= this.#groupCapacity.slots) {
      return undefined;
    }
    daemon.grantsByGroup.set(groupId, count + 1);
    return () => {
      const grantCount = daemon.grantsByGroup.get(groupId) ?? 1;
      daemon.grantsByGroup.set(groupId, grantCount - 1);
    };
  }

  #tryAcquireFromShare(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
      untilMs: number;
    },
  ): (() => void) | undefined {
    const { group, daemons, untilMs } = request;
    const { groupId } = group;
    this.#refreshOwnShare(daemon, group, daemons);
    if (!daemon.ledger.tryAcquire(groupId, this.#requestCost, untilMs)) {
      const lenders = new Set(daemon.calculator.getPartitionOwners(group));
      lenders.delete(daemon.candidate.name);
      const key = `${daemon.candidate.name} ${groupId}`;
      const lastLender = this.#policy === "local" && this.#lastLender.get(key);
      const orderedLenders = [...lenders].sort((a, b) =>
        Number(b === lastLender) - Number(a === lastLender)
      );
      for (const name of orderedLenders) {
        const lender = daemons.get(name);
        if (lender !== undefined && this.#borrow(daemon, lender, request)) {
          this.#lastLender.set(key, name);
          break;
        }
      }
      if (!daemon.ledger.tryAcquire(groupId, this.#requestCost, untilMs)) {
        this.#repayUnusedLoans(daemon, request);
        return undefined;
      }
    }
    return () => {
      daemon.ledger.release(groupId, this.#requestCost);
      this.#repayUnusedLoans(daemon, request);
    };
  }

  #repayUnusedLoans(
    daemon: BenchDaemon,
    request: {
      group: GroupLocation;
      daemons: ReadonlyMap<string, BenchDaemon>;
    },
  ): void {
    const { daemons } = request;
    const { groupId } = request.group;
    for (const loan of daemon.ledger.getBorrowedLoans(groupId)) {
      const repaidLoan = daemon.ledger.tryRemoveBorrowedLoan(
        groupId,
        loan.loanId,
      );
      if (repaidLoan !== undefined) {
        this.#countMessage({ from: daemon.candidate.name, repay: repaidLoan });
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
    this.#refreshOwnShare(lender, request.group, request.daemons);
    const loanRequest = {
      loanId: `${daemon.candidate.name}/${++this.#loanSequence}`,
      groupId: request.group.groupId,
      peer: daemon.candidate.name,
      lenderStartId: "",
      capacity: this.#requestCost,
      expiresAtMs: request.untilMs + LOAN_REUSE_MS,
      firstHome: false,
      cold: false,
      grantedAtMs: performance.now(),
    };
    this.#countMessage(loanRequest);
    const loan = lender.ledger.lend(loanRequest);
    if (loan === undefined) {
      return false;
    }
    daemon.ledger.addBorrowedLoan({ ...loan, peer: lender.candidate.name });
    return true;
  }

  /** Sets the daemon's share from the partitions that it owns. Like the daemon's settlement, it adds a newly owned partition only when no daemon uses more than its share of the group or has a loan from a stopped lender. */
  #refreshOwnShare(
    daemon: BenchDaemon,
    group: GroupLocation,
    daemons: ReadonlyMap<string, BenchDaemon>,
  ): void {
    const { groupId } = group;
    const confirmedPartitions = daemon.confirmedPartitions.get(groupId) ??
      new Set<number>();
    const nextPartitions = new Set<number>();
    let ownCapacity = NO_CAPACITY;
    let isSettled: boolean | undefined;
    for (const partition of daemon.calculator.getOwnPartitions(group)) {
      if (!confirmedPartitions.has(partition)) {
        isSettled ??= this.#isGroupSettled(group, daemons);
      }
      if (confirmedPartitions.has(partition) || isSettled) {
        nextPartitions.add(partition);
        ownCapacity = addCapacity(
          ownCapacity,
          getPartitionCapacity(this.#groupCapacity, partition),
        );
      }
    }
    daemon.confirmedPartitions.set(groupId, nextPartitions);
    daemon.ledger.setOwnShare(groupId, ownCapacity);
  }

  #isGroupSettled(
    group: GroupLocation,
    daemons: ReadonlyMap<string, BenchDaemon>,
  ): boolean {
    const { groupId } = group;
    for (const daemon of daemons.values()) {
      this.#dropLostPartitions(daemon, group);
      const hasOrphanedLoan = daemon.ledger.getBorrowedLoans(groupId)
        .some((loan) => !daemons.has(loan.peer));
      if (hasOrphanedLoan || daemon.ledger.isOvercommitted(groupId)) {
        return false;
      }
    }
    return true;
  }

  /** Removes partitions that the daemon no longer owns from its share, as the daemon does periodically. */
  #dropLostPartitions(daemon: BenchDaemon, group: GroupLocation): void {
    const confirmedPartitions = daemon.confirmedPartitions.get(group.groupId);
    if (confirmedPartitions === undefined || confirmedPartitions.size === 0) {
      return;
    }
    const ownedPartitions = daemon.calculator.getOwnPartitions(group);
    let ownCapacity = NO_CAPACITY;
    for (const partition of confirmedPartitions) {
      if (ownedPartitions.includes(partition)) {
        ownCapacity = addCapacity(
          ownCapacity,
          getPartitionCapacity(this.#groupCapacity, partition),
        );
      } else {
        confirmedPartitions.delete(partition);
      }
    }
    daemon.ledger.setOwnShare(group.groupId, ownCapacity);
  }

  #countMessage(message: unknown): void {
    this.messageCount++;
    this.byteCount += JSON.stringify(message).length;
  }
}
