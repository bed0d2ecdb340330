import { delay } from "../../shared/delay.ts";
import type { Capacity } from "./capacity.ts";
import {
  type LoanBatch,
  type LoanBatchAnswer,
  type LoanChannel,
  MAX_LOAN_DURATION_MS,
} from "./loan_messages.ts";
import type { CapacityLedger, Loan } from "./capacity_ledger.ts";

/** Time for which requests to one peer are collected into a batch, in milliseconds. */
const BATCH_DELAY_MS = 2;
/** Most requests, renewals or repayments in one batch. */
const MAX_BATCH_ITEMS = 128;
/** Time beyond the request's deadline for which a loan is asked, so that later requests can use it too, in milliseconds. */
const LOAN_REUSE_MS = 30_000;
/** Time before the expiry at which a loan in use is renewed, in milliseconds. */
const RENEWAL_LEAD_MS = 10_000;
/** Time without new work on a group after which its free loans are repaid, in milliseconds. */
const IDLE_LOAN_TIMEOUT_MS = 300;

/** Pause between two attempts to give everything back, in milliseconds. */
const REPAY_ALL_RETRY_DELAY_MS = 50;

/** Parts of the loan broker. */
export interface LoanClientOptions {
  readonly name: string;
  /** Start id of the process. */
  readonly startId: string;
  readonly ledger: CapacityLedger;
  readonly channel: LoanChannel;
  /** Gets whether new work may use a loan in the group's present state. */
  isUsable(loan: Loan): boolean;
  /** Gets whether running work depends on the loan even though the own share would cover it: on a cold group, where only the first home's loans count. */
  isNeeded(loan: Loan): boolean;
}

/** Wish for a loan. */
export interface BorrowRequest {
  readonly groupId: string;
  readonly capacity: Capacity;
  /** Monotonic time until which the capacity is needed. */
  readonly untilMs: number;
}

interface PeerQueue {
  readonly borrows: {
    request: BorrowRequest;
    resolve: (grantedCapacity: Capacity) => void;
  }[];
  readonly renewals: Loan[];
  readonly repayments: Repayment[];
  timer: ReturnType<typeof setTimeout> | undefined;
}

interface Repayment {
  readonly loanId: string;
  readonly groupId: string;
  readonly finished: number;
  /** Time after which the lender has dropped the loan on its own. */
  readonly untilMs: number;
}

/** Borrows capacity from other daemons, in batches, and pays it back. */
export class LoanClient {
  readonly #options: LoanClientOptions;
  readonly #queues = new Map<string, PeerQueue>();
  readonly #lastDemandAtMsByGroup = new Map<string, number>();
  readonly #finishedRequestsByLoan = new Map<string, number>();
  #lastLoanNumber = 0;
  #sendingCount = 0;
  /** Number of batches sent. */
  messages = 0;

  constructor(options: LoanClientOptions) {
    this.#options = options;
  }

  /**
   * Asks a daemon for a loan, which is entered into the ledger.
   *
   * @param peer - Name of the lender.
   * @param request - Capacity and time.
   * @returns What was lent; nothing when the daemon does not answer.
   */
  borrow(peer: string, request: BorrowRequest): Promise<Capacity> {
    this.recordDemand(request.groupId);
    return new Promise((resolve) => {
      this.#getQueue(peer).borrows.push({ request, resolve });
      this.#startBatchTimer(peer);
    });
  }

  /** Takes note that a group's capacity is in demand, so that its loans are kept for a while. */
  recordDemand(groupId: string): void {
    this.#lastDemandAtMsByGroup.set(groupId, performance.now());
  }

  /** Takes note that a request finished on a group whose first home is another daemon, which learns it with the repayment. */
  recordFinishedRequest(groupId: string): void {
    const loan = this.#options.ledger.getBorrowedLoans(groupId).find((l) =>
      l.firstHome && this.#options.isUsable(l)
    );
    if (loan !== undefined) {
      const finished = this.#finishedRequestsByLoan.get(loan.loanId) ?? 0;
      this.#finishedRequestsByLoan.set(loan.loanId, finished + 1);
    }
  }

  /** Repays idle loans and renews the loans that are in use beyond their expiry. */
  refresh(): void {
    const now = performance.now();
    for (const groupId of this.#options.ledger.getGroupIds()) {
      const lastDemandAtMs = this.#lastDemandAtMsByGroup.get(groupId) ?? 0;
      const isIdle = now - lastDemandAtMs >= IDLE_LOAN_TIMEOUT_MS;
      this.#refreshLoans(groupId, { isIdle });
    }
  }

  /** Repays all loans of a group that are not in use. */
  repayUnusedLoans(groupId: string): void {
    this.#refreshLoans(groupId, { isIdle: true });
  }

  /** Sends everything that waits, and repays all free loans. */
  async dispose(): Promise<void> {
    for (const groupId of this.#options.ledger.getGroupIds()) {
      this.repayUnusedLoans(groupId);
    }
    await Promise.all([...this.#queues.keys()].map((p) => this.#sendBatch(p)));
  }

  /**
   * Gives all loans back and repeats lost repayments until every lender has confirmed.
   *
   * @param timeoutMs - Longest time to try, in milliseconds; a lender that does not answer deducts its loan until the expiry.
   * @returns Whether nothing is left to give back. Loans that are still in use are left.
   */
  async repayAll(timeoutMs: number): Promise<boolean> {
    const { ledger } = this.#options;
    const endsAtMs = performance.now() + timeoutMs;
    while (true) {
      ledger.getGroupIds().forEach((groupId) => this.repayUnusedLoans(groupId));
      this.sendPending();
      const hasRemaining = this.#sendingCount > 0 ||
        [...this.#queues.values()].some(hasPendingItems) ||
        ledger.getGroupIds().some((id) =>
          ledger.getBorrowedLoans(id).length > 0
        );
      if (!hasRemaining || performance.now() >= endsAtMs) {
        return !hasRemaining;
      }
      await delay(REPAY_ALL_RETRY_DELAY_MS);
    }
  }

  #refreshLoans(groupId: string, options: { isIdle: boolean }): void {
    const { ledger } = this.#options;
    const now = performance.now();
    for (const loan of ledger.getBorrowedLoans(groupId)) {
      const isExpiring = loan.expiresAtMs - now < RENEWAL_LEAD_MS;
      const isRepayable = !this.#options.isNeeded(loan) &&
        (options.isIdle || isExpiring || !this.#options.isUsable(loan));
      const repaidLoan = isRepayable
        ? ledger.tryRemoveBorrowedLoan(groupId, loan.loanId)
        : undefined;
      if (repaidLoan !== undefined) {
        this.#enqueueRepayment(repaidLoan);
      } else if (isExpiring) {
        this.#getQueue(loan.peer).renewals.push(loan);
        this.#startBatchTimer(loan.peer);
      }
    }
  }

  #enqueueRepayment(loan: Loan): void {
    const finished = this.#finishedRequestsByLoan.get(loan.loanId) ?? 0;
    this.#finishedRequestsByLoan.delete(loan.loanId);
    this.#getQueue(loan.peer).repayments.push({
      loanId: loan.loanId,
      groupId: loan.groupId,
      finished,
      untilMs: loan.expiresAtMs,
    });
    this.#startBatchTimer(loan.peer);
  }

  #getQueue(peer: string): PeerQueue {
    let queue = this.#queues.get(peer);
    if (queue === undefined) {
      queue = { borrows: [], renewals: [], repayments: [], timer: undefined };
      this.#queues.set(peer, queue);
    }
    return queue;
  }

  #startBatchTimer(peer: string): void {
    const queue = this.#getQueue(peer);
    queue.timer ??= setTimeout(() => {
      queue.timer = undefined;
      void this.#sendBatch(peer);
    }, BATCH_DELAY_MS);
  }

  async #sendBatch(peer: string): Promise<void> {
    const { name, startId, ledger, channel } = this.#options;
    const queue = this.#getQueue(peer);
    const sentAtMs = performance.now();
    const borrows = queue.borrows.splice(0, MAX_BATCH_ITEMS).map((b) => {
      const holdMs = Math.min(
        MAX_LOAN_DURATION_MS,
        Math.max(0, Math.ceil(b.request.untilMs - sentAtMs)) + LOAN_REUSE_MS,
      );
      const loanId = `${name}/${startId}/${++this.#lastLoanNumber}`;
      return { ...b, holdMs, loanId };
    });
    const renewals = queue.renewals.splice(0, MAX_BATCH_ITEMS);
    const repayments = queue.repayments.splice(0, MAX_BATCH_ITEMS)
      .filter((r) => r.untilMs > sentAtMs);
    if (borrows.length + renewals.length + repayments.length === 0) {
      return;
    }
    const batch: LoanBatch = {
      from: name,
      borrows: borrows.map((b) => ({
        loanId: b.loanId,
        groupId: b.request.groupId,
        slots: b.request.capacity.slots,
        tokens: b.request.capacity.tokens,
        holdMs: b.holdMs,
      })),
      renewals: renewals.map((loan) => ({
        loanId: loan.loanId,
        groupId: loan.groupId,
        holdMs: LOAN_REUSE_MS,
      })),
      repayments: repayments.map((r) => ({
        loanId: r.loanId,
        groupId: r.groupId,
        finished: r.finished,
      })),
    };
    this.messages++;
    let answer: LoanBatchAnswer | undefined;
    this.#sendingCount++;
    try {
      answer = await channel.sendLoans(peer, batch);
    } catch {
      // The batch may have taken effect: repayments are repeated, and loans whose answer was lost are given back.
      queue.repayments.push(...repayments);
      for (const b of borrows) {
        queue.repayments.push({
          loanId: b.loanId,
          groupId: b.request.groupId,
          finished: 0,
          untilMs: sentAtMs + b.holdMs + RENEWAL_LEAD_MS,
        });
      }
    } finally {
      this.#sendingCount--;
    }
    for (const loanId of answer?.renewed ?? []) {
      const loan = renewals.find((r) => r.loanId === loanId);
      if (loan !== undefined) {
        ledger.updateBorrowedExpiry(
          loan.groupId,
          loanId,
          sentAtMs + LOAN_REUSE_MS,
        );
      }
    }
    for (const b of borrows) {
      const grantedLoan = answer?.loans.find((l) => l.loanId === b.loanId);
      if (answer !== undefined && grantedLoan !== undefined) {
        ledger.addBorrowedLoan({
          loanId: b.loanId,
          groupId: b.request.groupId,
          peer,
          lenderStartId: answer.startId,
          capacity: { slots: grantedLoan.slots, tokens: grantedLoan.tokens },
          // Counted from before the sending, so that it ends before the lender's own expiry.
          expiresAtMs: sentAtMs + b.holdMs,
          firstHome: grantedLoan.firstHome,
          cold: grantedLoan.cold,
          grantedAtMs: performance.now(),
        });
      }
      b.resolve({
        slots: grantedLoan?.slots ?? 0,
        tokens: grantedLoan?.tokens ?? 0,
      });
    }
    if (answer !== undefined && hasPendingItems(queue)) {
      this.#startBatchTimer(peer);
    }
  }

  /** Repeats the messages to peers that did not answer. */
  sendPending(): void {
    for (const [peer, queue] of this.#queues) {
      if (hasPendingItems(queue)) {
        this.#startBatchTimer(peer);
      }
    }
  }
}

function hasPendingItems(queue: PeerQueue): boolean {
  return queue.borrows.length + queue.renewals.length +
      queue.repayments.length > 0;
}
