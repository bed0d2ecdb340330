import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LocalQuarantineList } from "./quarantine_list.ts";
import { MAX_QUARANTINE_ENTRIES } from "./quarantine_state.ts";

const EXPIRY_MS = 60_000;

function createFingerprint(letter: string): string {
  return letter.repeat(32);
}
const A = createFingerprint("a");
const B = createFingerprint("b");
const X = createFingerprint("c");

interface Loss {
  readonly lossId: string;
  readonly fingerprints: readonly string[];
  readonly alone?: boolean;
}

function createList(losses: readonly Loss[] = []): LocalQuarantineList {
  const list = new LocalQuarantineList({
    expiryMs: EXPIRY_MS,
    decisionDelayMs: 0,
  });
  losses.forEach((loss) => list.recordLoss({ alone: false, ...loss }));
  return list;
}

describe("LocalQuarantineList", () => {
  describe("recordLoss", () => {
    // Guards against requests that are quarantined although they cause no losses, and against a request that causes losses but is not quarantined.
    it.each([
      {
        name: "quarantines no request after one loss",
        losses: [{ lossId: "1", fingerprints: [A, X] }],
        quarantined: [],
        suspects: [A, X],
      },
      {
        name:
          "quarantines no request when two losses have two requests in common",
        losses: [
          { lossId: "1", fingerprints: [A, X] },
          { lossId: "2", fingerprints: [A, X] },
        ],
        quarantined: [],
        suspects: [A, X],
      },
      {
        name: "quarantines the only request that two losses have in common",
        losses: [
          { lossId: "1", fingerprints: [A, X] },
          { lossId: "2", fingerprints: [B, X] },
        ],
        quarantined: [X],
        suspects: [],
      },
      {
        name: "quarantines a suspect that ran alone during a second loss",
        losses: [
          { lossId: "1", fingerprints: [A, B, X] },
          { lossId: "2", fingerprints: [X], alone: true },
        ],
        quarantined: [X],
        suspects: [],
      },
      {
        name: "counts a loss only once when it is reported twice",
        losses: [
          { lossId: "1", fingerprints: [X] },
          { lossId: "1", fingerprints: [X] },
        ],
        quarantined: [],
        suspects: [X],
      },
    ])("$name", ({ losses, quarantined, suspects }) => {
      const list = createList(losses);
      const all = [A, B, X];
      expect(all.filter((f) => list.isQuarantined(f))).toEqual(quarantined);
      expect(all.filter((f) => list.isSuspect(f))).toEqual(suspects);
    });
  });

  describe("waitForDecision", () => {
    const DELAY_MS = 500;
    let localList: LocalQuarantineList;
    let peerList: LocalQuarantineList;

    beforeEach(() => {
      vi.useFakeTimers();
      const options = { expiryMs: EXPIRY_MS, decisionDelayMs: DELAY_MS };
      localList = new LocalQuarantineList(options);
      peerList = new LocalQuarantineList(options);
      localList.recordLoss({ lossId: "1@1", fingerprints: [A], alone: false });
      localList.recordLoss({ lossId: "2@1", fingerprints: [A], alone: true });
    });

    afterEach(() => {
      vi.useRealTimers();
    });

    function startWaiting(): { done: boolean } {
      const state = { done: false };
      void localList.waitForDecision(A, new AbortController().signal)
        .then(() => state.done = true);
      return state;
    }

    // Guards against quarantine of a request before the daemon that ran the actual cause on the same groups reports it.
    it("takes into account the losses that peers report within the delay", async () => {
      const waiting = startWaiting();
      await vi.advanceTimersByTimeAsync(DELAY_MS - 100);
      expect(waiting.done).toBe(false);
      expect(localList.isQuarantined(A)).toBe(false);
      peerList.recordLoss({ lossId: "1@1", fingerprints: [X], alone: false });
      peerList.recordLoss({ lossId: "2@1", fingerprints: [X], alone: true });
      localList.merge(peerList.getState());
      peerList.merge(localList.getState());
      await vi.advanceTimersByTimeAsync(DELAY_MS * 2);
      expect(waiting.done).toBe(true);
      expect([A, X].filter((f) => localList.isQuarantined(f))).toEqual([]);
      expect([A, X].filter((f) => peerList.isQuarantined(f))).toEqual([]);
    });

    // Guards against a request that causes losses and is never quarantined, since no peer reports other requests.
    it("quarantines the request after the delay without a report", async () => {
      const onChange = vi.fn();
      localList.onChange(onChange);
      const waiting = startWaiting();
      await vi.advanceTimersByTimeAsync(DELAY_MS + 10);
      expect(waiting.done).toBe(true);
      expect(localList.isQuarantined(A)).toBe(true);
      expect(onChange).toHaveBeenCalledOnce();
    });
  });

  describe("recordSafeRun", () => {
    // Guards against a suspect that has to run alone forever although it does not cause losses.
    it("ends the suspect state of the request", () => {
      const list = createList([{ lossId: "1", fingerprints: [A, X] }]);
      list.recordSafeRun(A);
      expect(list.isSuspect(A)).toBe(false);
      expect(list.isSuspect(X)).toBe(true);
    });
  });

  describe("merge", () => {
    // Guards against a request that is not quarantined because each daemon recorded only one of its losses.
    it("combines the losses that two daemons recorded", () => {
      const first = createList([{ lossId: "1", fingerprints: [A, X] }]);
      const second = createList([{ lossId: "2", fingerprints: [B, X] }]);
      expect(first.merge(second.getState())).toBe(true);
      expect(second.merge(first.getState())).toBe(true);
      expect(first.isQuarantined(X)).toBe(true);
      expect(second.isQuarantined(X)).toBe(true);
      expect(first.merge(second.getState())).toBe(false);
      expect(first.getDigest()).toBe(second.getDigest());
    });

    // Guards against an older state that quarantines a request again after an operator cleared it.
    it("keeps a request cleared when an older state is merged", () => {
      const first = createList([
        { lossId: "1", fingerprints: [A, X] },
        { lossId: "2", fingerprints: [B, X] },
      ]);
      const second = createList();
      const olderState = first.getState();
      second.merge(olderState);
      expect(first.clear(X)).toBe(true);
      first.merge(olderState);
      second.merge(first.getState());
      second.merge(olderState);
      expect(first.isQuarantined(X)).toBe(false);
      expect(second.isQuarantined(X)).toBe(false);
    });

    // Guards against entries that are never removed or use memory without limit.
    it("drops expired entries and limits their number", () => {
      const list = createList();
      const create = (number: number, ageMs: number) => ({
        fingerprint: number.toString(16).padStart(32, "0"),
        revision: 1,
        state: "quarantined" as const,
        ageMs,
      });
      expect(list.merge({ entries: [create(1, EXPIRY_MS + 1)], losses: [] }))
        .toBe(false);
      for (let number = 0; number < MAX_QUARANTINE_ENTRIES + 50; number++) {
        list.merge({ entries: [create(number, 10)], losses: [] });
      }
      expect(list.getState().entries.length).toBe(MAX_QUARANTINE_ENTRIES);
    });
  });
});
