import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { configSchema } from "../../version/config_schema.ts";
import { WarmUpLimiter } from "./warm_up_limiter.ts";
import type { LoanBatch, LoanRequest } from "./loan_messages.ts";
import { LoanServer } from "./loan_server.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareManager } from "./share_manager.ts";
import { CapacityLedger } from "./capacity_ledger.ts";

const GROUP_ID = "group-1";
const MODEL = configSchema.parse({
  schemaVersion: 1,
  zones: [{ name: "zone-a", region: "region-1" }],
  models: [{
    name: "model-1",
    groupSizeVms: 1,
    placements: [{ zones: ["zone-a"], count: 1 }],
    slotsPerGroup: 8,
    kvTokensPerGroup: 800,
    coldSlots: 1,
  }],
  clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
}).models[0];
const GROUP = {
  groupId: GROUP_ID,
  zone: "zone-a",
  model: MODEL,
  capacity: { slots: 8, tokens: 800 },
};

describe("LoanServer", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function createLoanServer(options: { cold?: boolean } = {}) {
    const ledger = new CapacityLedger();
    const shareCalculator = new ShareCalculator({
      name: "entry-1",
      holdDownMs: 0,
    });
    const warmUpLimiter = new WarmUpLimiter();
    const shareManager = new ShareManager({
      name: "entry-1",
      startId: "start-1",
      shareCalculator,
      ledger,
      longestRequestMs: 1_000,
      channel: {
        sendLoans: () => Promise.reject(new Error("Not expected")),
        sendSettlement: () => Promise.reject(new Error("Not expected")),
      },
    });
    shareManager.refresh([{ name: "entry-1", zone: "zone-a" }], [GROUP]);
    await shareManager.trySettle();
    shareManager.refresh([{ name: "entry-1", zone: "zone-a" }], [GROUP]);
    warmUpLimiter.observeHealth({
      groupId: GROUP_ID,
      generation: 1,
      state: options.cold ? "cold" : "ready",
      bootId: "boot-1",
      observer: "entry-1",
      sequence: 1,
      ageMs: 0,
      observedAtMs: 0,
      runningRequests: 0,
      heldTokens: 0,
      maxTokens: 800,
    }, { model: MODEL, isFirstHome: true, accountedRequests: 0 });
    const loanServer = new LoanServer({
      startId: "start-1",
      ledger,
      shareCalculator,
      shareManager,
      warmUpLimiter,
      getGroup: (id) => id === GROUP_ID ? GROUP : undefined,
      onRepayment: () => {},
    });
    return { ledger, warmUpLimiter, loanServer };
  }

  function createBatch(batch: Partial<LoanBatch> = {}): LoanBatch {
    return {
      from: "entry-2",
      borrows: [],
      renewals: [],
      repayments: [],
      ...batch,
    };
  }

  function createBorrow(loanId: string, slots = 1): LoanRequest {
    return {
      loanId,
      groupId: GROUP_ID,
      slots,
      tokens: slots * 10,
      holdMs: 1_000,
    };
  }

  const repayment = { loanId: "loan-1", groupId: GROUP_ID, finished: 0 };

  // Guards against a loan that is deducted twice when the borrower repeats its request after a lost response.
  it("responds to a repeated loan request with the same loan", async () => {
    const { loanServer, ledger } = await createLoanServer();
    const batch = createBatch({ borrows: [createBorrow("loan-1")] });
    loanServer.handleLoanBatch(batch);
    expect(loanServer.handleLoanBatch(batch).loans).toHaveLength(1);
    expect(ledger.getLentCapacity(GROUP_ID).slots).toBe(1);
  });

  // Guards against a delayed loan request that is granted after its repayment, so that the lender deducts a loan that no daemon holds.
  it("refuses a loan request that arrives after its repayment", async () => {
    const { loanServer, ledger } = await createLoanServer();
    loanServer.handleLoanBatch(createBatch({ repayments: [repayment] }));
    const response = loanServer.handleLoanBatch(
      createBatch({ borrows: [createBorrow("loan-1")] }),
    );
    expect(response.loans).toEqual([]);
    expect(ledger.getLentCapacity(GROUP_ID).slots).toBe(0);
  });

  // Guards against slots of an unreachable borrower that are lent again while its request may still run, or that are never lent again.
  it("deducts the loan of an unreachable borrower until it expires", async () => {
    const { loanServer } = await createLoanServer();
    const fullBatch = createBatch({ borrows: [createBorrow("loan-1", 8)] });
    const nextBatch = createBatch({
      from: "entry-3",
      borrows: [createBorrow("loan-2")],
    });
    loanServer.handleLoanBatch(fullBatch);
    vi.advanceTimersByTime(999);
    expect(loanServer.handleLoanBatch(nextBatch).loans).toEqual([]);
    vi.advanceTimersByTime(1);
    expect(loanServer.handleLoanBatch(nextBatch).loans).toHaveLength(1);
  });

  // Guards against the renewal of a loan that the lender no longer deducts, after its restart or the expiry of the loan.
  it("does not renew an unknown loan", async () => {
    const { loanServer } = await createLoanServer();
    const renewal = { loanId: "loan-1", groupId: GROUP_ID, holdMs: 1_000 };
    expect(
      loanServer.handleLoanBatch(createBatch({ renewals: [renewal] })).renewed,
    )
      .toEqual([]);
  });

  // Guards against loans that together exceed the slot limit of a cold group.
  it("lends capacity of a cold group within its warm-up limit", async () => {
    const { loanServer, warmUpLimiter } = await createLoanServer({
      cold: true,
    });
    const response = loanServer.handleLoanBatch(
      createBatch({
        borrows: [createBorrow("loan-1"), createBorrow("loan-2")],
      }),
    );
    expect(response.loans.map((l) => l.loanId)).toEqual(["loan-1"]);
    loanServer.handleLoanBatch(
      createBatch({ repayments: [{ ...repayment, finished: 4 }] }),
    );
    expect(warmUpLimiter.getFinishedRequests(GROUP_ID)).toBe(4);
  });

  // Guards against a new first home that counts the load of a cold group from zero while requests of the previous first home still run there.
  it.each([[true, [GROUP_ID]], [false, []]])(
    "reports a group in use as busy only if it is cold (cold: %s)",
    async (cold, busyGroupIds) => {
      const { loanServer, ledger } = await createLoanServer({ cold });
      ledger.tryAcquire(GROUP_ID, { slots: 1, tokens: 10 }, 0);
      const request = { from: "entry-2", groupIds: [GROUP_ID] };
      expect(loanServer.handleSettlementRequest(request).busyGroupIds)
        .toEqual(busyGroupIds);
    },
  );

  // Guards against a loan of a group that is no longer placed.
  it("lends no capacity of an unknown group", async () => {
    const { loanServer } = await createLoanServer();
    const borrow = { ...createBorrow("loan-1"), groupId: "group-9" };
    expect(loanServer.handleLoanBatch(createBatch({ borrows: [borrow] })).loans)
      .toEqual([]);
  });
});
