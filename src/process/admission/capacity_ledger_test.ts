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

  // Guards against a lender that uses lent capacity before the loan is repaid or expires.
  it("deducts a lent loan until it expires", () => {
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

  // Guards against a request that runs longer than the loan that it uses.
  it("counts a borrowed loan only for requests that end before it expires", () => {
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

  // Guards against borrowed capacity that is lent to a third daemon, and against tokens that are lent without a slot, so that nobody can use them.
  it("lends only free slots of its own share", () => {
    const ledger = new CapacityLedger();
    ledger.addBorrowedLoan(createLoan());
    expect(ledger.lend(createLoan({ loanId: "loan-2" }))).toBeUndefined();
    ledger.setOwnShare(GROUP_ID, { slots: 0, tokens: 10 });
    expect(ledger.lend(createLoan({ loanId: "loan-3" }))).toBeUndefined();
  });
});
