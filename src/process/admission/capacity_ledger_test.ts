import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CapacityLedger, type Loan } from "./capacity_ledger.ts";

const GROUP_ID = "group-1";

function createLoan(loan: Partial<Loan> = {}): Loan {
  return {
    loanId: "loan-1",
    groupId: GROUP_ID,
    peer: "entry-2",
    lenderStartId: "start-1",
    capacity: { slots: 2, tokens: 20 },
    expiresAtMs: performance.now() + 1_000,
    firstHome: false,
    cold: false,
    grantedAtMs: 0,
    ...loan,
  };
}

describe("CapacityLedger", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a lender that uses what it has lent before the repayment or the expiry.
  it("deducts a loan until its expiry", () => {
    const ledger = new CapacityLedger();
    ledger.setOwnShare(GROUP_ID, { slots: 3, tokens: 30 });
    expect(ledger.lend(createLoan())?.capacity.slots).toBe(2);
    expect(ledger.getFreeCapacity(GROUP_ID, 0)).toEqual({
      slots: 1,
      tokens: 10,
    });
    vi.advanceTimersByTime(1_000);
    expect(ledger.getFreeCapacity(GROUP_ID, 0)).toEqual({
      slots: 3,
      tokens: 30,
    });
  });

  // Guards against a request that outlasts the loan it runs on.
  it("counts a borrowed loan only for requests that end before it", () => {
    const ledger = new CapacityLedger();
    const loan = createLoan();
    ledger.addBorrowedLoan(loan);
    const cost = { slots: 1, tokens: 10 };
    expect(ledger.tryAcquire(GROUP_ID, cost, loan.expiresAtMs + 1)).toBe(false);
    expect(ledger.tryAcquire(GROUP_ID, cost, loan.expiresAtMs)).toBe(true);
    expect(ledger.tryRemoveBorrowedLoan(GROUP_ID, loan.loanId)).toBeUndefined();
    ledger.release(GROUP_ID, cost);
    expect(ledger.tryRemoveBorrowedLoan(GROUP_ID, loan.loanId)).toEqual(loan);
  });

  // Guards against borrowed capacity that is lent on, and against tokens locked up in a loan without a slot.
  it("lends only its own free slots", () => {
    const ledger = new CapacityLedger();
    ledger.addBorrowedLoan(createLoan());
    expect(ledger.lend(createLoan({ loanId: "loan-2" }))).toBeUndefined();
    ledger.setOwnShare(GROUP_ID, { slots: 0, tokens: 10 });
    expect(ledger.lend(createLoan({ loanId: "loan-3" }))).toBeUndefined();
  });
});
