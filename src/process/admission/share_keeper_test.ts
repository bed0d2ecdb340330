import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { SettlementAnswer } from "./loan_messages.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareKeeper } from "./share_keeper.ts";
import { SlotLedger } from "./slot_ledger.ts";

const GROUP_ID = "group-1";
const HOLD_DOWN_MS = 1_000;
const LONGEST_REQUEST_MS = 5_000;
const SETTLEMENT_PAUSE_MS = 250;
const GROUP = {
  groupId: GROUP_ID,
  zone: "zone-a",
  whole: { slots: 8, tokens: 800 },
};
const SELF = { name: "entry-1", zone: "zone-a" };
const PEER = { name: "entry-2", zone: "zone-a" };
const FREE: SettlementAnswer = {
  startId: "peer-1",
  heldLoans: [],
  busyGroupIds: [],
};

interface SettlementCase {
  readonly name: string;
  readonly answer: SettlementAnswer | undefined;
  readonly settled: boolean;
}

describe("ShareKeeper", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createKeeper(options: { holdDownMs: number }) {
    const ledger = new SlotLedger();
    const state: { answer: SettlementAnswer | undefined } = { answer: FREE };
    const keeper = new ShareKeeper({
      name: SELF.name,
      startId: "self-1",
      ledger,
      calculator: new ShareCalculator({ name: SELF.name, ...options }),
      longestRequestMs: LONGEST_REQUEST_MS,
      channel: {
        sendLoans: () => Promise.reject(new Error("Not expected")),
        sendSettlement: () =>
          state.answer === undefined
            ? Promise.reject(new Error("No answer"))
            : Promise.resolve(state.answer),
      },
    });
    const refresh = async (listed = [SELF, PEER], group = GROUP) => {
      keeper.refresh(listed, [group]);
      await keeper.trySettle();
      keeper.refresh(listed, [group]);
    };
    return { keeper, ledger, state, refresh };
  }

  function createHeldLoan(lender: string, lenderStartId: string) {
    return { groupId: GROUP_ID, lender, lenderStartId };
  }

  // Guards against a gained lane that is used beside work which the former owner still runs or has lent.
  it.each<SettlementCase>([
    { name: "nothing is held", answer: FREE, settled: true },
    {
      name: "a peer uses more than its shares",
      answer: { ...FREE, busyGroupIds: [GROUP_ID] },
      settled: false,
    },
    {
      name: "a loan's lender has restarted",
      answer: { ...FREE, heldLoans: [createHeldLoan("entry-1", "self-0")] },
      settled: false,
    },
    {
      name: "a loan's lender has left",
      answer: { ...FREE, heldLoans: [createHeldLoan("entry-9", "other-1")] },
      settled: false,
    },
    {
      name: "a loan's lender deducts it",
      answer: { ...FREE, heldLoans: [createHeldLoan("entry-1", "self-1")] },
      settled: true,
    },
    { name: "a peer is silent", answer: undefined, settled: false },
  ])("settles by the answers: $name", async ({ answer, settled }) => {
    const { ledger, state, refresh } = createKeeper({ holdDownMs: 0 });
    state.answer = answer;
    await refresh();
    expect(ledger.getOwn(GROUP_ID).slots > 0).toBe(settled);
  });

  // Guards against slots that count twice: as the loan of a lender that has left and as part of the lane gained from it.
  it("waits until its own loan of a former owner has ended", async () => {
    const { ledger, refresh } = createKeeper({ holdDownMs: 0 });
    ledger.borrow({
      loanId: "loan-1",
      groupId: GROUP_ID,
      peer: "entry-9",
      lenderStartId: "other-1",
      capacity: { slots: 2, tokens: 20 },
      expiresAtMs: performance.now() + 1_000,
      firstHome: false,
      cold: false,
      sinceMs: 0,
    });
    ledger.tryAcquire(GROUP_ID, { slots: 2, tokens: 20 }, 0);
    await refresh();
    expect(ledger.getOwn(GROUP_ID).slots).toBe(0);
    ledger.release(GROUP_ID, { slots: 2, tokens: 20 });
    ledger.repay(GROUP_ID, "loan-1");
    vi.advanceTimersByTime(SETTLEMENT_PAUSE_MS);
    await refresh();
    expect(ledger.getOwn(GROUP_ID).slots).toBeGreaterThan(0);
  });

  // Guards against a silent peer that blocks a lane for ever, and against a lane used while the peer's longest request may run.
  it("waits for the longest request of a silent peer", async () => {
    const { ledger, state, refresh } = createKeeper({ holdDownMs: 0 });
    state.answer = undefined;
    await refresh();
    vi.advanceTimersByTime(LONGEST_REQUEST_MS - 1);
    await refresh();
    expect(ledger.getOwn(GROUP_ID).slots).toBe(0);
    vi.advanceTimersByTime(SETTLEMENT_PAUSE_MS);
    await refresh();
    expect(ledger.getOwn(GROUP_ID).slots).toBeGreaterThan(0);
  });

  // Guards against a lagging list that omits a fresh peer: the share shrinks at once when the peer appears, and does not grow at once when it vanishes.
  it("gives lanes up at once and takes them back after the hold-down", async () => {
    const { ledger, refresh } = createKeeper({ holdDownMs: HOLD_DOWN_MS });
    await refresh([SELF]);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    await refresh([SELF]);
    expect(ledger.getOwn(GROUP_ID).slots).toBe(8);
    await refresh([SELF, PEER]);
    const shared = ledger.getOwn(GROUP_ID).slots;
    expect(shared).toBeLessThan(8);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    await refresh([SELF]);
    expect(ledger.getOwn(GROUP_ID).slots).toBe(shared);
    vi.advanceTimersByTime(1);
    await refresh([SELF]);
    expect(ledger.getOwn(GROUP_ID).slots).toBe(8);
  });

  // Guards against the shares of an earlier configuration that stay in force.
  it("applies a changed number of slots at once and admits nothing beyond it", async () => {
    const { ledger, refresh } = createKeeper({ holdDownMs: 0 });
    await refresh([SELF]);
    ledger.tryAcquire(GROUP_ID, { slots: 6, tokens: 60 }, 0);
    await refresh([SELF], { ...GROUP, whole: { slots: 4, tokens: 400 } });
    expect(ledger.hasOverhang(GROUP_ID)).toBe(true);
    expect(ledger.tryAcquire(GROUP_ID, { slots: 1, tokens: 1 }, 0)).toBe(false);
    await refresh([SELF], { ...GROUP, whole: { slots: 16, tokens: 800 } });
    expect(ledger.getFree(GROUP_ID, 0).slots).toBe(10);
  });

  // Guards against a share of a group that is no longer placed.
  it("drops the share of a group that is gone", async () => {
    const { keeper, ledger, refresh } = createKeeper({ holdDownMs: 0 });
    await refresh([SELF]);
    keeper.refresh([SELF], []);
    expect(ledger.getOwn(GROUP_ID).slots).toBe(0);
  });
});
