import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LoanClient } from "./loan_client.ts";
import type { LoanBatch, LoanBatchResponse } from "./loan_messages.ts";
import { CapacityLedger } from "./capacity_ledger.ts";

const GROUP_ID = "group-1";
const COST = { slots: 1, tokens: 10 };

type ChannelFault = "none" | "lost request" | "lost response" | "no response";

describe("LoanClient", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createLoanClient() {
    const ledger = new CapacityLedger();
    const batches: LoanBatch[] = [];
    const state = {
      fault: "none" as ChannelFault,
      startId: "lender-1",
      needed: false,
    };
    const loanClient = new LoanClient({
      name: "entry-1",
      startId: "start-1",
      ledger,
      isUsable: () => true,
      isNeeded: () => state.needed,
      channel: {
        sendLoans: (_peer, batch) => {
          batches.push(batch);
          return handleBatch(batch, state);
        },
        sendSettlement: () => Promise.reject(new Error("Not expected")),
      },
    });
    return { ledger, batches, state, loanClient };
  }

  function handleBatch(
    batch: LoanBatch,
    state: { fault: ChannelFault; startId: string },
  ): Promise<LoanBatchResponse> {
    if (state.fault === "no response") {
      return new Promise(() => {});
    }
    if (state.fault !== "none") {
      return Promise.reject(new Error("The peer is not reachable"));
    }
    return Promise.resolve({
      startId: state.startId,
      loans: batch.borrows.map((b) => ({
        loanId: b.loanId,
        slots: b.slots,
        tokens: b.tokens,
        firstHome: true,
        cold: false,
      })),
      renewed: batch.renewals.map((r) => r.loanId),
    });
  }

  async function borrow(fixture: ReturnType<typeof createLoanClient>) {
    const grantedCapacity = fixture.loanClient.borrow("entry-2", {
      groupId: GROUP_ID,
      capacity: COST,
      untilMs: performance.now() + 1_000,
    });
    await vi.advanceTimersByTimeAsync(2);
    return await grantedCapacity;
  }

  // Guards against capacity that is used although the lender's response was lost, and against a loan that the lender then deducts until it expires.
  it.each<ChannelFault>(["lost request", "lost response"])(
    "repays a loan whose grant is unknown after a %s",
    async (fault) => {
      const fixture = createLoanClient();
      fixture.state.fault = fault;
      expect(await borrow(fixture)).toEqual({ slots: 0, tokens: 0 });
      expect(fixture.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
      fixture.state.fault = "none";
      fixture.loanClient.sendPending();
      await vi.advanceTimersByTimeAsync(2);
      expect(fixture.batches[1].repayments.map((r) => r.loanId)).toEqual(
        fixture.batches[0].borrows.map((b) => b.loanId),
      );
    },
  );

  // Guards against a lost repayment that leaves the lender's capacity unused until the loan expires.
  it("repeats a lost repayment until the lender confirms it", async () => {
    const fixture = createLoanClient();
    await borrow(fixture);
    fixture.state.fault = "lost response";
    fixture.loanClient.repayUnusedLoans(GROUP_ID);
    await vi.advanceTimersByTimeAsync(2);
    fixture.state.fault = "none";
    fixture.loanClient.sendPending();
    await vi.advanceTimersByTimeAsync(2);
    fixture.loanClient.sendPending();
    await vi.advanceTimersByTimeAsync(2);
    expect(fixture.batches.map((b) => b.repayments.length)).toEqual([0, 1, 1]);
  });

  // Guards against repayments to a crashed lender that are repeated forever.
  it("drops a repayment after the loan has expired on the lender", async () => {
    const fixture = createLoanClient();
    await borrow(fixture);
    fixture.state.fault = "lost request";
    fixture.loanClient.repayUnusedLoans(GROUP_ID);
    await vi.advanceTimersByTimeAsync(40_000);
    fixture.loanClient.sendPending();
    await vi.advanceTimersByTimeAsync(2);
    expect(fixture.batches).toHaveLength(2);
  });

  // Guards against a borrower that uses a loan after it has expired on the lender: its time is measured from before sending.
  it("expires a loan before the lender does", async () => {
    const fixture = createLoanClient();
    const sentAtMs = performance.now() + 2;
    await borrow(fixture);
    const holdMs = fixture.batches[0].borrows[0].holdMs;
    expect(fixture.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs)
      .toBe(sentAtMs + holdMs);
  });

  // Guards against a borrower that waits for one lender's response and does not repay idle loans of other lenders.
  it("repays idle loans while another lender does not respond", async () => {
    const fixture = createLoanClient();
    await borrow(fixture);
    fixture.state.fault = "no response";
    void fixture.loanClient.borrow("entry-3", {
      groupId: "group-2",
      capacity: COST,
      untilMs: 1_000,
    });
    await vi.advanceTimersByTimeAsync(400);
    fixture.state.fault = "none";
    fixture.loanClient.refresh();
    await vi.advanceTimersByTimeAsync(2);
    expect(fixture.batches.at(-1)?.repayments).toHaveLength(1);
    expect(fixture.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
  });

  // Guards against a loan from the first home of a cold group that is repaid while a request runs on it, because the own share would cover the request.
  it("keeps a needed loan although the daemon's own share covers it", async () => {
    const fixture = createLoanClient();
    fixture.ledger.setOwnShare(GROUP_ID, COST);
    await borrow(fixture);
    fixture.state.needed = true;
    fixture.ledger.tryAcquire(GROUP_ID, COST, 0);
    fixture.loanClient.repayUnusedLoans(GROUP_ID);
    expect(fixture.ledger.getBorrowedLoans(GROUP_ID)).toHaveLength(1);
    fixture.state.needed = false;
    fixture.loanClient.repayUnusedLoans(GROUP_ID);
    expect(fixture.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
  });

  // Guards against a loan that is repaid or expires while a request runs on it.
  it("renews a loan in use and keeps it", async () => {
    const fixture = createLoanClient();
    await borrow(fixture);
    fixture.ledger.tryAcquire(GROUP_ID, COST, 0);
    await vi.advanceTimersByTimeAsync(22_000);
    const initialExpiresAtMs =
      fixture.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs;
    fixture.loanClient.refresh();
    await vi.advanceTimersByTimeAsync(2);
    expect(fixture.batches[1].renewals).toHaveLength(1);
    expect(fixture.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs)
      .toBeGreaterThan(initialExpiresAtMs);
  });
});
