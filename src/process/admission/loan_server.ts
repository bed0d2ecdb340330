import type { ModelConfig } from "../../version/config_schema.ts";
import type { WarmUpLimiter } from "./warm_up_limiter.ts";
import type {
  CapacityLender,
  GrantedLoan,
  LoanBatch,
  LoanBatchResponse,
  LoanRequest,
  SettlementRequest,
  SettlementResponse,
} from "./loan_messages.ts";
import type { ShareCalculator } from "./share_calculator.ts";
import type { SharedGroup, ShareManager } from "./share_manager.ts";
import { listHeldLoans } from "./held_loans.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";

/** Time for which repaid loan ids are kept, so that a loan request that arrives after its repayment is refused, in milliseconds. */
const REPAID_LOAN_RETENTION_MS = 60_000;

/** Shared group with its model. */
export interface LendableGroup extends SharedGroup {
  readonly model: ModelConfig;
}

/** Dependencies of a `LoanServer`. */
export interface LoanServerOptions {
  /** Id of this process, which changes with each start. */
  readonly startId: string;
  readonly ledger: CapacityLedger;
  readonly shareCalculator: ShareCalculator;
  readonly shareManager: ShareManager;
  readonly warmUpLimiter: WarmUpLimiter;
  /** Gets a group, or undefined when it is not placed. */
  getGroup(groupId: string): LendableGroup | undefined;
  /** Called after loans were repaid, when their capacity is free again. */
  onRepayment(): void;
}

/** Handles loan and settlement requests of other daemons. */
export class LoanServer implements CapacityLender {
  readonly #options: LoanServerOptions;
  readonly #repaidAtMsByLoan = new Map<string, number>();

  constructor(options: LoanServerOptions) {
    this.#options = options;
  }

  handleLoanBatch(batch: LoanBatch): LoanBatchResponse {
    const { startId, ledger, warmUpLimiter, onRepayment } = this.#options;
    const now = performance.now();
    this.#trimRepaidLoanIds(now);
    for (const repayment of batch.repayments) {
      // Prevents a delayed loan request from taking effect after its repayment.
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
    const renewedLoans = batch.renewals.filter((r) =>
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
    return { startId, loans, renewed: renewedLoans.map((r) => r.loanId) };
  }

  handleSettlementRequest(request: SettlementRequest): SettlementResponse {
    const { ledger, startId } = this.#options;
    return {
      startId,
      busyGroupIds: request.groupIds.filter((id) =>
        ledger.isOvercommitted(id) || this.#isUsedWhileCold(id)
      ),
      heldLoans: listHeldLoans(ledger, request.groupIds),
    };
  }

  /** Gets whether this daemon uses or lends capacity of a cold group. A new first home must not take over before that use ends, since it counts the load of a cold group from zero. */
  #isUsedWhileCold(groupId: string): boolean {
    const { ledger, warmUpLimiter } = this.#options;
    return warmUpLimiter.isCold(groupId) &&
      ledger.getUsedCapacity(groupId).slots +
            ledger.getLentCapacity(groupId).slots > 0;
  }

  #lend(borrower: string, request: LoanRequest): GrantedLoan | undefined {
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
    const slots = Math.min(
      request.slots,
      this.#getLendableSlots(borrower, group),
    );
    if (slots < 0 || (slots === 0 && request.slots > 0)) {
      return undefined;
    }
    const loan = ledger.lend({
      loanId: request.loanId,
      groupId: request.groupId,
      peer: borrower,
      lenderStartId: startId,
      capacity: { slots, tokens: request.tokens },
      expiresAtMs: performance.now() + request.holdMs,
      firstHome,
      cold,
      grantedAtMs: performance.now(),
    });
    return loan && { loanId: loan.loanId, ...loan.capacity, firstHome, cold };
  }

  #getLendableSlots(borrower: string, group: LendableGroup): number {
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
    // Only the first home may admit requests on a cold group, so the other homes lend their shares to it alone.
    return shareCalculator.getPartitionOwners(group).at(0) === borrower
      ? model.slotsPerGroup
      : 0;
  }

  #trimRepaidLoanIds(now: number): void {
    for (const [loanId, atMs] of this.#repaidAtMsByLoan) {
      if (now - atMs < REPAID_LOAN_RETENTION_MS) {
        return;
      }
      this.#repaidAtMsByLoan.delete(loanId);
    }
  }
}
