import type { ModelConfig } from "../../version/config_schema.ts";
import type { WarmUpLimiter } from "./warm_up_limiter.ts";
import type {
  CapacityLender,
  GrantedLoan,
  LoanBatch,
  LoanBatchAnswer,
  LoanRequest,
  SettlementAnswer,
  SettlementRequest,
} from "./loan_messages.ts";
import type { ShareCalculator } from "./share_calculator.ts";
import type { SharedGroup, ShareManager } from "./share_manager.ts";
import { listHeldLoans } from "./held_loans.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";

/** Time for which a repayment that arrives before its loan is remembered, in milliseconds. */
const REPAID_LOAN_RETENTION_MS = 60_000;

/** Group with its model. */
export interface LendableGroup extends SharedGroup {
  readonly model: ModelConfig;
}

/** Parts of the lending side. */
export interface LoanServerOptions {
  readonly startId: string;
  readonly ledger: CapacityLedger;
  readonly shareCalculator: ShareCalculator;
  readonly shareManager: ShareManager;
  readonly warmUpLimiter: WarmUpLimiter;
  /** Gets a placed group, or undefined when it is not placed. */
  getGroup(groupId: string): LendableGroup | undefined;
  /** Takes note that capacity came back. */
  onRepayment(): void;
}

/** Answers the loan messages of other daemons. */
export class LoanServer implements CapacityLender {
  readonly #options: LoanServerOptions;
  readonly #repaidAtMsByLoan = new Map<string, number>();

  constructor(options: LoanServerOptions) {
    this.#options = options;
  }

  answerLoans(batch: LoanBatch): LoanBatchAnswer {
    const { startId, ledger, warmUpLimiter, onRepayment } = this.#options;
    const now = performance.now();
    this.#dropOldRepayments(now);
    for (const repayment of batch.repayments) {
      // A borrow that is processed after its repayment must not take effect.
      this.#repaidAtMsByLoan.set(repayment.loanId, now);
      const { groupId, loanId, finished } = repayment;
      const loan = ledger.removeLentLoan(groupId, loanId);
      if (loan !== undefined) {
        warmUpLimiter.recordFinishedRequests(groupId, {
          count: finished,
          startedAtMs: loan.grantedAtMs,
        });
      }
    }
    const renewed = batch.renewals.filter((r) =>
      ledger.updateLentExpiry(r.groupId, r.loanId, now + r.holdMs)
    );
    const loans: GrantedLoan[] = [];
    for (const request of batch.borrows) {
      const loan = this.#lend(batch.from, request);
      if (loan !== undefined) {
        loans.push(loan);
      }
    }
    if (batch.repayments.length > 0) {
      onRepayment();
    }
    return { startId, loans, renewed: renewed.map((r) => r.loanId) };
  }

  answerSettlement(request: SettlementRequest): SettlementAnswer {
    const { ledger, startId } = this.#options;
    return {
      startId,
      busyGroupIds: request.groupIds.filter((id) =>
        ledger.isOvercommitted(id) || this.#isUsedWhileCold(id)
      ),
      heldLoans: listHeldLoans(ledger, request.groupIds),
    };
  }

  /** Gets whether this daemon uses a cold group: a new first home counts the load of a cold group from zero. */
  #isUsedWhileCold(groupId: string): boolean {
    const { ledger, warmUpLimiter } = this.#options;
    return warmUpLimiter.isCold(groupId) &&
      ledger.getUsedCapacity(groupId).slots +
            ledger.getLentCapacity(groupId).slots > 0;
  }

  #lend(from: string, request: LoanRequest): GrantedLoan | undefined {
    const {
      startId,
      ledger,
      shareManager,
      warmUpLimiter,
    } = this.#options;
    const group = this.#options.getGroup(request.groupId);
    if (group === undefined || this.#repaidAtMsByLoan.has(request.loanId)) {
      return undefined;
    }
    const cold = warmUpLimiter.isCold(request.groupId);
    const firstHome = shareManager.isFirstHome(request.groupId);
    const slots = Math.min(request.slots, this.#getLendableSlots(from, group));
    if (slots < 0 || (slots === 0 && request.slots > 0)) {
      return undefined;
    }
    const loan = ledger.lend({
      loanId: request.loanId,
      groupId: request.groupId,
      peer: from,
      lenderStartId: startId,
      capacity: { slots, tokens: request.tokens },
      expiresAtMs: performance.now() + request.holdMs,
      firstHome,
      cold,
      grantedAtMs: performance.now(),
    });
    return loan && { loanId: loan.loanId, ...loan.capacity, firstHome, cold };
  }

  #getLendableSlots(from: string, group: LendableGroup): number {
    const {
      ledger,
      shareManager,
      warmUpLimiter,
      shareCalculator,
    } = this.#options;
    const { groupId, model } = group;
    if (!warmUpLimiter.isCold(groupId)) {
      return model.slotsPerGroup;
    }
    if (shareManager.isFirstHome(groupId)) {
      return warmUpLimiter.getSlotLimit(groupId, model) -
        ledger.getUsedCapacity(groupId).slots -
        ledger.getLentCapacity(groupId).slots;
    }
    // A cold group is served by its first home alone, which may use the other homes' shares.
    return shareCalculator.getPartitionOwners(group).at(0) === from
      ? model.slotsPerGroup
      : 0;
  }

  #dropOldRepayments(now: number): void {
    for (const [loanId, atMs] of this.#repaidAtMsByLoan) {
      if (now - atMs < REPAID_LOAN_RETENTION_MS) {
        return;
      }
      this.#repaidAtMsByLoan.delete(loanId);
    }
  }
}
