import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { configSchema } from "../../version/config_schema.ts";
import { ColdRamp } from "./cold_ramp.ts";
import type { LoanBatch, LoanRequest } from "./loan_messages.ts";
import { LoanOffice } from "./loan_office.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareKeeper } from "./share_keeper.ts";
import { SlotLedger } from "./slot_ledger.ts";

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
  whole: { slots: 8, tokens: 800 },
};

describe("LoanOffice", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function createOffice(options: { cold?: boolean } = {}) {
    const ledger = new SlotLedger();
    const calculator = new ShareCalculator({ name: "entry-1", holdDownMs: 0 });
    const ramp = new ColdRamp();
    const keeper = new ShareKeeper({
      name: "entry-1",
      startId: "start-1",
      calculator,
      ledger,
      longestRequestMs: 1_000,
      channel: {
        sendLoans: () => Promise.reject(new Error("Not expected")),
        sendSettlement: () => Promise.reject(new Error("Not expected")),
      },
    });
    keeper.refresh([{ name: "entry-1", zone: "zone-a" }], [GROUP]);
    await keeper.trySettle();
    keeper.refresh([{ name: "entry-1", zone: "zone-a" }], [GROUP]);
    ramp.observe({
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
    const office = new LoanOffice({
      startId: "start-1",
      ledger,
      calculator,
      keeper,
      ramp,
      getGroup: (id) => id === GROUP_ID ? GROUP : undefined,
      onRepayment: () => {},
    });
    return { ledger, ramp, office };
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

  // Guards against one wish that is deducted twice when the borrower repeats it after a lost answer.
  it("answers a repeated borrow with the same loan", async () => {
    const { office, ledger } = await createOffice();
    const batch = createBatch({ borrows: [createBorrow("loan-1")] });
    office.answerLoans(batch);
    expect(office.answerLoans(batch).loans).toHaveLength(1);
    expect(ledger.getLent(GROUP_ID).slots).toBe(1);
  });

  // Guards against a delayed borrow that takes effect after its repayment and is held by nobody.
  it("refuses a borrow that arrives after its repayment", async () => {
    const { office, ledger } = await createOffice();
    office.answerLoans(createBatch({ repayments: [repayment] }));
    const answer = office.answerLoans(
      createBatch({ borrows: [createBorrow("loan-1")] }),
    );
    expect(answer.loans).toEqual([]);
    expect(ledger.getLent(GROUP_ID).slots).toBe(0);
  });

  // Guards against a silent borrower's slot that is given to another one while its request may run, and against one that is locked up for ever.
  it("deducts a silent borrower's loan until its expiry", async () => {
    const { office } = await createOffice();
    const all = createBatch({ borrows: [createBorrow("loan-1", 8)] });
    const next = createBatch({
      from: "entry-3",
      borrows: [createBorrow("loan-2")],
    });
    office.answerLoans(all);
    vi.advanceTimersByTime(999);
    expect(office.answerLoans(next).loans).toEqual([]);
    vi.advanceTimersByTime(1);
    expect(office.answerLoans(next).loans).toHaveLength(1);
  });

  // Guards against the renewal of a loan that a lender does not know after its restart or the expiry.
  it("does not renew an unknown loan", async () => {
    const { office } = await createOffice();
    const renewal = { loanId: "loan-1", groupId: GROUP_ID, holdMs: 1_000 };
    expect(office.answerLoans(createBatch({ renewals: [renewal] })).renewed)
      .toEqual([]);
  });

  // Guards against loans that together exceed what a cold engine bears.
  it("lends a cold group within its ramp", async () => {
    const { office, ramp } = await createOffice({ cold: true });
    const answer = office.answerLoans(
      createBatch({
        borrows: [createBorrow("loan-1"), createBorrow("loan-2")],
      }),
    );
    expect(answer.loans.map((l) => l.loanId)).toEqual(["loan-1"]);
    office.answerLoans(
      createBatch({ repayments: [{ ...repayment, finished: 4 }] }),
    );
    expect(ramp.getFinished(GROUP_ID)).toBe(4);
  });

  // Guards against a new first home that counts a cold group's load from zero beside the requests of the former one.
  it.each([[true, [GROUP_ID]], [false, []]])(
    "reports a used group as busy when it is cold: %s",
    async (cold, busyGroupIds) => {
      const { office, ledger } = await createOffice({ cold });
      ledger.tryAcquire(GROUP_ID, { slots: 1, tokens: 10 }, 0);
      const question = { from: "entry-2", groupIds: [GROUP_ID] };
      expect(office.answerSettlement(question).busyGroupIds)
        .toEqual(busyGroupIds);
    },
  );

  // Guards against a loan of a group that is no longer placed.
  it("lends nothing of an unknown group", async () => {
    const { office } = await createOffice();
    const borrow = { ...createBorrow("loan-1"), groupId: "group-9" };
    expect(office.answerLoans(createBatch({ borrows: [borrow] })).loans)
      .toEqual([]);
  });
});
