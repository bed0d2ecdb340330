import { delay } from "../../shared/delay.ts";
import type { Capacity } from "./capacity.ts";
import {
  type LoanBatch,
  type LoanBatchResponse,
  type LoanChannel,
  MAX_LOAN_DURATION_MS,
} from "./loan_messages.ts";
import type { CapacityLedger, Loan } from "./capacity_ledger.ts";

/** Time for which messages to one peer are collected into a batch, in milliseconds. */
const BATCH_DELAY_MS = 2;
/** Maximum number of loan requests, of renewals and of repayments in one batch. */
const MAX_BATCH_ITEMS = 128;
/** Time added to the duration of a requested loan, and the duration of a renewal, in milliseconds. It lets later requests use the loan too. */
const LOAN_REUSE_MS = 30_000;
/** Time before its expiry at which a loan in use is renewed, in milliseconds. */
const RENEWAL_LEAD_MS = 10_000;
/** Time without new requests on a group after which its unused loans are repaid, in milliseconds. */
const IDLE_LOAN_TIMEOUT_MS = 300;

/** Delay between two attempts to repay all loans, in milliseconds. */
const REPAY_ALL_RETRY_DELAY_MS = 50;

/** Dependencies and settings of a `LoanClient`. */
export interface LoanClientOptions {
  /** Name of this daemon's VM. */
  readonly name: string;
  /** Id of this process, which changes with each start. */
  readonly startId: string;
  readonly ledger: CapacityLedger;
  readonly channel: LoanChannel;
  /** Gets whether new requests may use a loan in the current state of the group. */
  isUsable(loan: Loan): boolean;
  /** Gets whether running requests depend on a loan although this daemon's own share would cover them. This is so on a cold group, where only loans from the first home count. */
  isNeeded(loan: Loan): boolean;
}

/** Request to borrow capacity. */
export interface BorrowRequest {
  readonly groupId: string;
  readonly capacity: Capacity;
  /** Monotonic time until which the capacity is needed. */
  readonly untilMs: number;
}

/** Messages that wait for the next batch to one peer. */
interface PeerQueue {
  readonly borrows: {
    request: BorrowRequest;
    resolve: (grantedCapacity: Capacity) => void;
  }[];
  readonly renewals: Loan[];
  readonly repayments: Repayment[];
  timer: ReturnType<typeof setTimeout> | undefined;
}

/** Repayment of one loan that waits to be sent. */
interface Repayment {
  readonly loanId: string;
  readonly groupId: string;
  /** Number of requests that finished on the loan while the group was cold. */
  readonly finished: number;
  /** Monotonic time after which the loan has expired on the lender, so that it needs no repayment. */
  readonly untilMs: number;
}

/** Borrows capacity from other daemons, and renews and repays the loans, in batches. */
export class LoanClient {
  readonly #options: LoanClientOptions;
  readonly #queues = new Map<string, PeerQueue>();
  readonly #lastDemandAtMsByGroup = new Map<string, number>();
  readonly #finishedRequestsByLoan = new Map<string, number>();
  #lastLoanNumber = 0;
  #inFlightBatchCount = 0;
  /** Number of batches sent since the start. */
  messages = 0;

  constructor(options: LoanClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a loan from another daemon and adds the granted loan to the ledger.
   *
   * @param peer - Name of the lender.
   * @param request - Requested capacity and time.
   * @returns The granted capacity, which is zero when the lender does not respond.
   */
  borrow(peer: string, request: BorrowRequest): Promise<Capacity> {
    this.recordDemand(request.groupId);
    return new Promise((resolve) => {
      this.#getQueue(peer).borrows.push({ request, resolve });
      this.#startBatchTimer(peer);
    });
  }

  /** Records demand for a group's capacity, which delays the repayment of its unused loans. */
  recordDemand(groupId: string): void {
    this.#lastDemandAtMsByGroup.set(groupId, performance.now());
  }

  /** Records a finished request on a group whose first home is another daemon. The repayment of the loan reports it to that daemon. */
  recordFinishedRequest(groupId: string): void {
    const loan = this.#options.ledger.getBorrowedLoans(groupId).find((l) =>
      l.firstHome && this.#options.isUsable(l)
    );
    if (loan !== undefined) {
      const finishedRequests = this.#finishedRequestsByLoan.get(loan.loanId) ??
        0;
      this.#finishedRequestsByLoan.set(loan.loanId, finishedRequests + 1);
    }
  }

  /** Repays idle loans and renews loans that are in use and expire soon. */
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

  /** Repays all unused loans and sends the pending messages without waiting for the batch timer. */
  async dispose(): Promise<void> {
    for (const groupId of this.#options.ledger.getGroupIds()) {
      this.repayUnusedLoans(groupId);
    }
    await Promise.all([...this.#queues.keys()].map((p) => this.#sendBatch(p)));
  }

  /**
   * Repays all loans and repeats lost repayments until every lender has confirmed them.
   *
   * @param timeoutMs - Time limit in milliseconds. A lender that does not respond keeps deducting its loan until the loan expires.
   * @returns Whether all loans were repaid. Loans that are still in use are not repaid.
   */
  async repayAll(timeoutMs: number): Promise<boolean> {
    const { ledger } = this.#options;
    const endsAtMs = performance.now() + timeoutMs;
    while (true) {
      ledger.getGroupIds().forEach((groupId) => this.repayUnusedLoans(groupId));
      this.sendPending();
      const hasUnfinishedWork = this.#inFlightBatchCount > 0 ||
        [...this.#queues.values()].some(hasPendingItems) ||
        ledger.getGroupIds().some((id) =>
          ledger.getBorrowedLoans(id).length > 0
        );
      if (!hasUnfinishedWork || performance.now() >= endsAtMs) {
        return !hasUnfinishedWork;
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
    const finishedRequests = this.#finishedRequestsByLoan.get(loan.loanId) ?? 0;
    this.#finishedRequestsByLoan.delete(loan.loanId);
    this.#getQueue(loan.peer).repayments.push({
      loanId: loan.loanId,
      groupId: loan.groupId,
      finished: finishedRequests,
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
    let response: LoanBatchResponse | undefined;
    this.#inFlightBatchCount++;
    try {
      response = await channel.sendLoans(peer, batch);
    } catch {
      // The lender may have processed the batch although its response was lost. Repeats the repayments, and repays the loans that it may have granted.
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
      this.#inFlightBatchCount--;
    }
    for (const loanId of response?.renewed ?? []) {
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
      const grantedLoan = response?.loans.find((l) => l.loanId === b.loanId);
      if (response !== undefined && grantedLoan !== undefined) {
        ledger.addBorrowedLoan({
          loanId: b.loanId,
          groupId: b.request.groupId,
          peer,
          lenderStartId: response.startId,
          capacity: { slots: grantedLoan.slots, tokens: grantedLoan.tokens },
          // Measured from the time before sending, so that the loan expires here before it expires on the lender.
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
    if (response !== undefined && hasPendingItems(queue)) {
      this.#startBatchTimer(peer);
    }
  }

  /** Schedules a batch for every peer with pending messages, such as those to be repeated because the peer did not respond. */
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
