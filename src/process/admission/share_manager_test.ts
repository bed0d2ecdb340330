import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { SettlementResponse } from "./loan_messages.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareManager } from "./share_manager.ts";
import { CapacityLedger } from "./capacity_ledger.ts";

const GROUP_ID = "group-1";
const HOLD_DOWN_MS = 1_000;
const LONGEST_REQUEST_MS = 5_000;
const SETTLEMENT_RETRY_DELAY_MS = 250;
const GROUP = {
  groupId: GROUP_ID,
  zone: "zone-a",
  capacity: { slots: 8, tokens: 800 },
};
const SELF = { name: "entry-1", zone: "zone-a" };
const PEER = { name: "entry-2", zone: "zone-a" };
const FREE_RESPONSE: SettlementResponse = {
  startId: "peer-1",
  heldLoans: [],
  busyGroupIds: [],
};

interface SettlementCase {
  readonly name: string;
  readonly response: SettlementResponse | undefined;
  readonly isConfirmed: boolean;
}

describe("ShareManager", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function createShareManager(options: { holdDownMs: number }) {
    const ledger = new CapacityLedger();
    const state: { response: SettlementResponse | undefined } = {
      response: FREE_RESPONSE,
    };
    const shareManager = new ShareManager({
      name: SELF.name,
      startId: "self-1",
      ledger,
      shareCalculator: new ShareCalculator({ name: SELF.name, ...options }),
      longestRequestMs: LONGEST_REQUEST_MS,
      channel: {
        sendLoans: () => Promise.reject(new Error("Not expected")),
        sendSettlement: () =>
          state.response === undefined
            ? Promise.reject(new Error("No response"))
            : Promise.resolve(state.response),
      },
    });
    const refresh = async (listed = [SELF, PEER], group = GROUP) => {
      shareManager.refresh(listed, [group]);
      await shareManager.trySettle();
      shareManager.refresh(listed, [group]);
    };
    return { shareManager, ledger, state, refresh };
  }

  function createHeldLoan(lender: string, lenderStartId: string) {
    return { groupId: GROUP_ID, lender, lenderStartId };
  }

  // Guards against a gained partition that is used while requests or loans of its previous owner still use it.
  it.each<SettlementCase>([
    { name: "nothing is held", response: FREE_RESPONSE, isConfirmed: true },
    {
      name: "a peer uses more than its shares",
      response: { ...FREE_RESPONSE, busyGroupIds: [GROUP_ID] },
      isConfirmed: false,
    },
    {
      name: "a loan's lender has restarted",
      response: {
        ...FREE_RESPONSE,
        heldLoans: [createHeldLoan("entry-1", "self-0")],
      },
      isConfirmed: false,
    },
    {
      name: "a loan's lender has left",
      response: {
        ...FREE_RESPONSE,
        heldLoans: [createHeldLoan("entry-9", "other-1")],
      },
      isConfirmed: false,
    },
    {
      name: "a loan's lender deducts it",
      response: {
        ...FREE_RESPONSE,
        heldLoans: [createHeldLoan("entry-1", "self-1")],
      },
      isConfirmed: true,
    },
    {
      name: "a peer does not respond",
      response: undefined,
      isConfirmed: false,
    },
  ])(
    "sets whether a gained partition is confirmed to $isConfirmed when $name",
    async ({ response, isConfirmed }) => {
      const { ledger, state, refresh } = createShareManager({ holdDownMs: 0 });
      state.response = response;
      await refresh();
      expect(ledger.getOwnShare(GROUP_ID).slots > 0).toBe(isConfirmed);
    },
  );

  // Guards against slots that are counted twice: in a loan from a lender that has left, and in the partition gained from that lender.
  it("confirms a partition only after a loan from its previous owner is repaid", async () => {
    const { ledger, refresh } = createShareManager({ holdDownMs: 0 });
    ledger.addBorrowedLoan({
      loanId: "loan-1",
      groupId: GROUP_ID,
      peer: "entry-9",
      lenderStartId: "other-1",
      capacity: { slots: 2, tokens: 20 },
      expiresAtMs: performance.now() + 1_000,
      firstHome: false,
      cold: false,
      grantedAtMs: 0,
    });
    ledger.tryAcquire(GROUP_ID, { slots: 2, tokens: 20 }, 0);
    await refresh();
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(0);
    ledger.release(GROUP_ID, { slots: 2, tokens: 20 });
    ledger.tryRemoveBorrowedLoan(GROUP_ID, "loan-1");
    vi.advanceTimersByTime(SETTLEMENT_RETRY_DELAY_MS);
    await refresh();
    expect(ledger.getOwnShare(GROUP_ID).slots).toBeGreaterThan(0);
  });

  // Guards against an unreachable peer that blocks a partition forever, and against a partition that is used while a request of that peer may still run.
  it("confirms a partition despite an unreachable peer after the duration of the longest request", async () => {
    const { ledger, state, refresh } = createShareManager({ holdDownMs: 0 });
    state.response = undefined;
    await refresh();
    vi.advanceTimersByTime(LONGEST_REQUEST_MS - 1);
    await refresh();
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(0);
    vi.advanceTimersByTime(SETTLEMENT_RETRY_DELAY_MS);
    await refresh();
    expect(ledger.getOwnShare(GROUP_ID).slots).toBeGreaterThan(0);
  });

  // Guards against overlapping shares when a lagging VM list omits a new peer: the share has to shrink at once when the peer is listed, but must not grow at once when it is no longer listed.
  it("loses partitions at once and regains them after the hold-down", async () => {
    const { ledger, refresh } = createShareManager({
      holdDownMs: HOLD_DOWN_MS,
    });
    await refresh([SELF]);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    await refresh([SELF]);
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(8);
    await refresh([SELF, PEER]);
    const slotsWithPeer = ledger.getOwnShare(GROUP_ID).slots;
    expect(slotsWithPeer).toBeLessThan(8);
    vi.advanceTimersByTime(HOLD_DOWN_MS);
    await refresh([SELF]);
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(slotsWithPeer);
    vi.advanceTimersByTime(1);
    await refresh([SELF]);
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(8);
  });

  // Guards against shares that are still computed from an earlier configuration.
  it("applies a changed number of slots at once and admits nothing beyond it", async () => {
    const { ledger, refresh } = createShareManager({ holdDownMs: 0 });
    await refresh([SELF]);
    ledger.tryAcquire(GROUP_ID, { slots: 6, tokens: 60 }, 0);
    await refresh([SELF], { ...GROUP, capacity: { slots: 4, tokens: 400 } });
    expect(ledger.isOvercommitted(GROUP_ID)).toBe(true);
    expect(ledger.tryAcquire(GROUP_ID, { slots: 1, tokens: 1 }, 0)).toBe(false);
    await refresh([SELF], { ...GROUP, capacity: { slots: 16, tokens: 800 } });
    expect(ledger.getFreeCapacity(GROUP_ID, 0).slots).toBe(10);
  });

  // Guards against a share of a group that is no longer placed.
  it("drops the share of a group that is no longer placed", async () => {
    const { shareManager, ledger, refresh } = createShareManager({
      holdDownMs: 0,
    });
    await refresh([SELF]);
    shareManager.refresh([SELF], []);
    expect(ledger.getOwnShare(GROUP_ID).slots).toBe(0);
  });
});
