import { delay } from "../../shared/delay.ts";
import type { Capacity } from "./capacity.ts";
import {
  type LoanBatch,
  type LoanBatchAnswer,
  type LoanChannel,
  MAX_LOAN_MS,
} from "./loan_messages.ts";
import type { Loan, SlotLedger } from "./slot_ledger.ts";

/** Time for which requests to one peer are collected into a batch, in milliseconds. */
const BATCH_MS = 2;
/** Most requests, renewals or repayments in one batch. */
const MAX_BATCH_ITEMS = 128;
/** Time beyond the request's deadline for which a loan is asked, so that later requests can use it too, in milliseconds. */
const REUSE_MS = 30_000;
/** Time before the expiry at which a loan in use is renewed, in milliseconds. */
const RENEW_BEFORE_MS = 10_000;
/** Time without new work on a group after which its free loans are repaid, in milliseconds. */
const IDLE_LOAN_MS = 300;

/** Pause between two attempts to give everything back, in milliseconds. */
const REPAY_ALL_PAUSE_MS = 50;

/** Parts of the loan broker. */
export interface LoanBrokerOptions {
  readonly name: string;
  /** Start id of the process. */
  readonly startId: string;
  readonly ledger: SlotLedger;
  readonly channel: LoanChannel;
  /** Gets whether new work may use a loan in the group's present state. */
  isUsable(loan: Loan): boolean;
  /** Gets whether running work depends on the loan even though the own share would cover it: on a cold group, where only the first home's loans count. */
  isNeeded(loan: Loan): boolean;
}

/** Wish for a loan. */
export interface LoanWish {
  readonly groupId: string;
  readonly capacity: Capacity;
  /** Monotonic time until which the capacity is needed. */
  readonly untilMs: number;
}

interface PeerQueue {
  readonly borrows: { wish: LoanWish; resolve: (gained: Capacity) => void }[];
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
export class LoanBroker {
  readonly #options: LoanBrokerOptions;
  readonly #queues = new Map<string, PeerQueue>();
  readonly #neededAtMs = new Map<string, number>();
  readonly #finishedByLoan = new Map<string, number>();
  #sequence = 0;
  #sending = 0;
  /** Number of batches sent. */
  messages = 0;

  constructor(options: LoanBrokerOptions) {
    this.#options = options;
  }

  /**
   * Asks a daemon for a loan, which is entered into the ledger.
   *
   * @param peer - Name of the lender.
   * @param wish - Capacity and time.
   * @returns What was lent; nothing when the daemon does not answer.
   */
  borrow(peer: string, wish: LoanWish): Promise<Capacity> {
    this.recordNeed(wish.groupId);
    return new Promise((resolve) => {
      this.#getQueue(peer).borrows.push({ wish, resolve });
      this.#startTimer(peer);
    });
  }

  /** Takes note that a group's capacity is in demand, so that its loans are kept for a while. */
  recordNeed(groupId: string): void {
    this.#neededAtMs.set(groupId, performance.now());
  }

  /** Takes note that a request finished on a group whose first home is another daemon, which learns it with the repayment. */
  recordFinished(groupId: string): void {
    const loan = this.#options.ledger.getBorrowedLoans(groupId).find((l) =>
      l.firstHome && this.#options.isUsable(l)
    );
    if (loan !== undefined) {
      const finished = this.#finishedByLoan.get(loan.loanId) ?? 0;
      this.#finishedByLoan.set(loan.loanId, finished + 1);
    }
  }

  /** Repays idle loans and renews the loans that are in use beyond their expiry. */
  refresh(): void {
    const now = performance.now();
    for (const groupId of this.#options.ledger.getGroupIds()) {
      const neededAtMs = this.#neededAtMs.get(groupId) ?? 0;
      const idle = now - neededAtMs >= IDLE_LOAN_MS;
      this.#refreshGroup(groupId, { idle });
    }
  }

  /** Repays all loans of a group that are not in use. */
  repayFree(groupId: string): void {
    this.#refreshGroup(groupId, { idle: true });
  }

  /** Sends everything that waits, and repays all free loans. */
  async dispose(): Promise<void> {
    for (const groupId of this.#options.ledger.getGroupIds()) {
      this.repayFree(groupId);
    }
    await Promise.all([...this.#queues.keys()].map((p) => this.#send(p)));
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
      ledger.getGroupIds().forEach((groupId) => this.repayFree(groupId));
      this.resume();
      const left = this.#sending > 0 ||
        [...this.#queues.values()].some(hasWaiting) ||
        ledger.getGroupIds().some((id) =>
          ledger.getBorrowedLoans(id).length > 0
        );
      if (!left || performance.now() >= endsAtMs) {
        return !left;
      }
      await delay(REPAY_ALL_PAUSE_MS);
    }
  }

  #refreshGroup(groupId: string, options: { idle: boolean }): void {
    const { ledger } = this.#options;
    const now = performance.now();
    for (const loan of ledger.getBorrowedLoans(groupId)) {
      const ending = loan.expiresAtMs - now < RENEW_BEFORE_MS;
      const unwanted = !this.#options.isNeeded(loan) &&
        (options.idle || ending || !this.#options.isUsable(loan));
      const repaid = unwanted ? ledger.repay(groupId, loan.loanId) : undefined;
      if (repaid !== undefined) {
        this.#pushRepayment(repaid);
      } else if (ending) {
        this.#getQueue(loan.peer).renewals.push(loan);
        this.#startTimer(loan.peer);
      }
    }
  }

  #pushRepayment(loan: Loan): void {
    const finished = this.#finishedByLoan.get(loan.loanId) ?? 0;
    this.#finishedByLoan.delete(loan.loanId);
    this.#getQueue(loan.peer).repayments.push({
      loanId: loan.loanId,
      groupId: loan.groupId,
      finished,
      untilMs: loan.expiresAtMs,
    });
    this.#startTimer(loan.peer);
  }

  #getQueue(peer: string): PeerQueue {
    let queue = this.#queues.get(peer);
    if (queue === undefined) {
      queue = { borrows: [], renewals: [], repayments: [], timer: undefined };
      this.#queues.set(peer, queue);
    }
    return queue;
  }

  #startTimer(peer: string): void {
    const queue = this.#getQueue(peer);
    queue.timer ??= setTimeout(() => {
      queue.timer = undefined;
      void this.#send(peer);
    }, BATCH_MS);
  }

  async #send(peer: string): Promise<void> {
    const { name, startId, ledger, channel } = this.#options;
    const queue = this.#getQueue(peer);
    const sentAtMs = performance.now();
    const borrows = queue.borrows.splice(0, MAX_BATCH_ITEMS).map((b) => {
      const holdMs = Math.min(
        MAX_LOAN_MS,
        Math.max(0, Math.ceil(b.wish.untilMs - sentAtMs)) + REUSE_MS,
      );
      const loanId = `${name}/${startId}/${++this.#sequence}`;
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
        groupId: b.wish.groupId,
        slots: b.wish.capacity.slots,
        tokens: b.wish.capacity.tokens,
        holdMs: b.holdMs,
      })),
      renewals: renewals.map((loan) => ({
        loanId: loan.loanId,
        groupId: loan.groupId,
        holdMs: REUSE_MS,
      })),
      repayments: repayments.map((r) => ({
        loanId: r.loanId,
        groupId: r.groupId,
        finished: r.finished,
      })),
    };
    this.messages++;
    let answer: LoanBatchAnswer | undefined;
    this.#sending++;
    try {
      answer = await channel.sendLoans(peer, batch);
    } catch {
      // The batch may have taken effect: repayments are repeated, and loans whose answer was lost are given back.
      queue.repayments.push(...repayments);
      for (const b of borrows) {
        queue.repayments.push({
          loanId: b.loanId,
          groupId: b.wish.groupId,
          finished: 0,
          untilMs: sentAtMs + b.holdMs + RENEW_BEFORE_MS,
        });
      }
    } finally {
      this.#sending--;
    }
    for (const loanId of answer?.renewed ?? []) {
      const loan = renewals.find((r) => r.loanId === loanId);
      if (loan !== undefined) {
        ledger.recordRenewal(loan.groupId, loanId, sentAtMs + REUSE_MS);
      }
    }
    for (const b of borrows) {
      const given = answer?.loans.find((l) => l.loanId === b.loanId);
      if (answer !== undefined && given !== undefined) {
        ledger.borrow({
          loanId: b.loanId,
          groupId: b.wish.groupId,
          peer,
          lenderStartId: answer.startId,
          capacity: { slots: given.slots, tokens: given.tokens },
          // Counted from before the sending, so that it ends before the lender's own expiry.
          expiresAtMs: sentAtMs + b.holdMs,
          firstHome: given.firstHome,
          cold: given.cold,
          sinceMs: performance.now(),
        });
      }
      b.resolve({ slots: given?.slots ?? 0, tokens: given?.tokens ?? 0 });
    }
    if (answer !== undefined && hasWaiting(queue)) {
      this.#startTimer(peer);
    }
  }

  /** Repeats the messages to peers that did not answer. */
  resume(): void {
    for (const [peer, queue] of this.#queues) {
      if (hasWaiting(queue)) {
        this.#startTimer(peer);
      }
    }
  }
}

function hasWaiting(queue: PeerQueue): boolean {
  return queue.borrows.length + queue.renewals.length +
      queue.repayments.length > 0;
}
