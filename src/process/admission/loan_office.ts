import type { ModelConfig } from "../../version/config_schema.ts";
import type { ColdRamp } from "./cold_ramp.ts";
import type {
  CapacityLender,
  LoanAnswer,
  LoanBatch,
  LoanBatchAnswer,
  LoanRequest,
  SettlementAnswer,
  SettlementQuestion,
} from "./loan_messages.ts";
import type { ShareCalculator } from "./share_calculator.ts";
import type { SharedGroup, ShareKeeper } from "./share_keeper.ts";
import { listHeldLoans } from "./held_loans.ts";
import type { SlotLedger } from "./slot_ledger.ts";

/** Time for which a repayment that arrives before its loan is remembered, in milliseconds. */
const VOID_MS = 60_000;

/** Group with its model. */
export interface LendableGroup extends SharedGroup {
  readonly model: ModelConfig;
}

/** Parts of the lending side. */
export interface LoanOfficeOptions {
  readonly startId: string;
  readonly ledger: SlotLedger;
  readonly calculator: ShareCalculator;
  readonly keeper: ShareKeeper;
  readonly ramp: ColdRamp;
  /** Gets a placed group, or undefined when it is not placed. */
  getGroup(groupId: string): LendableGroup | undefined;
  /** Takes note that capacity came back. */
  onRepayment(): void;
}

/** Answers the loan messages of other daemons. */
export class LoanOffice implements CapacityLender {
  readonly #options: LoanOfficeOptions;
  readonly #voidedAtMs = new Map<string, number>();

  constructor(options: LoanOfficeOptions) {
    this.#options = options;
  }

  answerLoans(batch: LoanBatch): LoanBatchAnswer {
    const { startId, ledger, ramp, onRepayment } = this.#options;
    const now = performance.now();
    this.#dropVoided(now);
    for (const repayment of batch.repayments) {
      // A borrow that is processed after its repayment must not take effect.
      this.#voidedAtMs.set(repayment.loanId, now);
      const { groupId, loanId, finished } = repayment;
      const loan = ledger.recordRepayment(groupId, loanId);
      if (loan !== undefined) {
        ramp.recordFinished(groupId, {
          count: finished,
          startedAtMs: loan.sinceMs,
        });
      }
    }
    const renewed = batch.renewals.filter((r) =>
      ledger.updateExpiry(r.groupId, r.loanId, now + r.holdMs)
    );
    const loans: LoanAnswer[] = [];
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

  answerSettlement(question: SettlementQuestion): SettlementAnswer {
    const { ledger, startId } = this.#options;
    return {
      startId,
      busyGroupIds: question.groupIds.filter((id) =>
        ledger.hasOverhang(id) || this.#isColdInUse(id)
      ),
      heldLoans: listHeldLoans(ledger, question.groupIds),
    };
  }

  /** Gets whether this daemon uses a cold group: a new first home counts the load of a cold group from zero. */
  #isColdInUse(groupId: string): boolean {
    const { ledger, ramp } = this.#options;
    return ramp.isCold(groupId) &&
      ledger.getUsed(groupId).slots + ledger.getLent(groupId).slots > 0;
  }

  #lend(from: string, request: LoanRequest): LoanAnswer | undefined {
    const { startId, ledger, keeper, ramp } = this.#options;
    const group = this.#options.getGroup(request.groupId);
    if (group === undefined || this.#voidedAtMs.has(request.loanId)) {
      return undefined;
    }
    const cold = ramp.isCold(request.groupId);
    const firstHome = keeper.isFirstHome(request.groupId);
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
      sinceMs: performance.now(),
    });
    return loan && { loanId: loan.loanId, ...loan.capacity, firstHome, cold };
  }

  #getLendableSlots(from: string, group: LendableGroup): number {
    const { ledger, keeper, ramp, calculator } = this.#options;
    const { groupId, model } = group;
    if (!ramp.isCold(groupId)) {
      return model.slotsPerGroup;
    }
    if (keeper.isFirstHome(groupId)) {
      return ramp.getSlots(groupId, model) - ledger.getUsed(groupId).slots -
        ledger.getLent(groupId).slots;
    }
    // A cold group is served by its first home alone, which may use the other homes' shares.
    return calculator.getOwners(group).at(0) === from ? model.slotsPerGroup : 0;
  }

  #dropVoided(now: number): void {
    for (const [loanId, atMs] of this.#voidedAtMs) {
      if (now - atMs < VOID_MS) {
        return;
      }
      this.#voidedAtMs.delete(loanId);
    }
  }
}
