import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LoanBroker } from "./loan_broker.ts";
import type { LoanBatch, LoanBatchAnswer } from "./loan_messages.ts";
import { SlotLedger } from "./slot_ledger.ts";

const GROUP_ID = "group-1";
const COST = { slots: 1, tokens: 10 };

type ChannelFault = "none" | "lose-request" | "lose-answer" | "silent";

describe("LoanBroker", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createBroker() {
    const ledger = new SlotLedger();
    const batches: LoanBatch[] = [];
    const state = {
      fault: "none" as ChannelFault,
      startId: "lender-1",
      needed: false,
    };
    const broker = new LoanBroker({
      name: "entry-1",
      startId: "start-1",
      ledger,
      isUsable: () => true,
      isNeeded: () => state.needed,
      channel: {
        sendLoans: (_peer, batch) => {
          batches.push(batch);
          return answerBatch(batch, state);
        },
        sendSettlement: () => Promise.reject(new Error("Not expected")),
      },
    });
    return { ledger, batches, state, broker };
  }

  function answerBatch(
    batch: LoanBatch,
    state: { fault: ChannelFault; startId: string },
  ): Promise<LoanBatchAnswer> {
    if (state.fault === "silent") {
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

  async function borrow(parts: ReturnType<typeof createBroker>) {
    const gained = parts.broker.borrow("entry-2", {
      groupId: GROUP_ID,
      capacity: COST,
      untilMs: performance.now() + 1_000,
    });
    await vi.advanceTimersByTimeAsync(2);
    return await gained;
  }

  // Guards against capacity that is used without a known loan, and against an unknown loan that the lender deducts for its whole time.
  it.each<ChannelFault>(["lose-request", "lose-answer"])(
    "gives an unknown loan back after: %s",
    async (fault) => {
      const parts = createBroker();
      parts.state.fault = fault;
      expect(await borrow(parts)).toEqual({ slots: 0, tokens: 0 });
      expect(parts.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
      parts.state.fault = "none";
      parts.broker.resume();
      await vi.advanceTimersByTimeAsync(2);
      expect(parts.batches[1].repayments.map((r) => r.loanId)).toEqual(
        parts.batches[0].borrows.map((b) => b.loanId),
      );
    },
  );

  // Guards against a repayment that is lost once and leaves the lender's capacity unused until the expiry.
  it("repeats a lost repayment until the lender confirms it", async () => {
    const parts = createBroker();
    await borrow(parts);
    parts.state.fault = "lose-answer";
    parts.broker.repayFree(GROUP_ID);
    await vi.advanceTimersByTimeAsync(2);
    parts.state.fault = "none";
    parts.broker.resume();
    await vi.advanceTimersByTimeAsync(2);
    parts.broker.resume();
    await vi.advanceTimersByTimeAsync(2);
    expect(parts.batches.map((b) => b.repayments.length)).toEqual([0, 1, 1]);
  });

  // Guards against repayments to a dead lender that are repeated without end.
  it("drops a repayment when the lender has dropped the loan", async () => {
    const parts = createBroker();
    await borrow(parts);
    parts.state.fault = "lose-request";
    parts.broker.repayFree(GROUP_ID);
    await vi.advanceTimersByTimeAsync(40_000);
    parts.broker.resume();
    await vi.advanceTimersByTimeAsync(2);
    expect(parts.batches).toHaveLength(2);
  });

  // Guards against a loan that the borrower counts longer than the lender: the time starts before the sending.
  it("ends a loan before the lender does", async () => {
    const parts = createBroker();
    const sentBeforeMs = performance.now() + 2;
    await borrow(parts);
    const holdMs = parts.batches[0].borrows[0].holdMs;
    expect(parts.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs)
      .toBe(sentBeforeMs + holdMs);
  });

  // Guards against a borrower that is stuck in one batch to a silent lender: idle loans of other lenders still go back.
  it("repays one lender while another one is silent", async () => {
    const parts = createBroker();
    await borrow(parts);
    parts.state.fault = "silent";
    void parts.broker.borrow("entry-3", {
      groupId: "group-2",
      capacity: COST,
      untilMs: 1_000,
    });
    await vi.advanceTimersByTimeAsync(400);
    parts.state.fault = "none";
    parts.broker.refresh();
    await vi.advanceTimersByTimeAsync(2);
    expect(parts.batches.at(-1)?.repayments).toHaveLength(1);
    expect(parts.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
  });

  // Guards against a first home's loan that is given back because the own share covers it, while a request on a cold group runs on it.
  it("keeps a needed loan although the own share covers it", async () => {
    const parts = createBroker();
    parts.ledger.setOwn(GROUP_ID, COST);
    await borrow(parts);
    parts.state.needed = true;
    parts.ledger.tryAcquire(GROUP_ID, COST, 0);
    parts.broker.repayFree(GROUP_ID);
    expect(parts.ledger.getBorrowedLoans(GROUP_ID)).toHaveLength(1);
    parts.state.needed = false;
    parts.broker.repayFree(GROUP_ID);
    expect(parts.ledger.getBorrowedLoans(GROUP_ID)).toEqual([]);
  });

  // Guards against a loan that is given back while a request runs on it, and against one that ends under it.
  it("renews a loan in use and keeps it", async () => {
    const parts = createBroker();
    await borrow(parts);
    parts.ledger.tryAcquire(GROUP_ID, COST, 0);
    await vi.advanceTimersByTimeAsync(22_000);
    const before = parts.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs;
    parts.broker.refresh();
    await vi.advanceTimersByTimeAsync(2);
    expect(parts.batches[1].renewals).toHaveLength(1);
    expect(parts.ledger.getBorrowedLoans(GROUP_ID)[0].expiresAtMs)
      .toBeGreaterThan(before);
  });
});
