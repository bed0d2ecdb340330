import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { MemoryStore } from "../../tests/support/memory_store.ts";
import { type Claim, CLAIM_KIND, type HeldClaim } from "./claim.ts";
import { ClaimRegistry } from "./claim_registry.ts";

const NAME = "bookings-1";
const HOUR_MS = 3_600_000;

describe("ClaimRegistry", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe("complete", () => {
    async function doTest(options: {
      otherState: Claim["state"];
      change?: (store: MemoryStore, other: Claim) => Promise<void>;
    }): Promise<string | undefined> {
      const store = new MemoryStore();
      const registry = new ClaimRegistry(store, {
        name: "entry-1",
        claimWaitMs: 1_000,
        claimRetentionMs: HOUR_MS,
      });
      const otherClaim = createClaim("attempt-2", options.otherState);
      await store.putObject({
        kind: CLAIM_KIND,
        name: NAME,
        value: otherClaim,
        expectedVersion: 0,
      });
      const completion = registry.complete(createHeldClaim("attempt-1"), {
        end: { state: "unknown" },
        isSent: true,
      });
      await vi.advanceTimersByTimeAsync(2_000);
      await options.change?.(store, otherClaim);
      await vi.advanceTimersByTimeAsync(20_000);
      const storedObject = await completion.then(() =>
        store.getObject(CLAIM_KIND, NAME)
      );
      const object = storedObject.toMaybe().extract();
      return (object?.value as Claim | undefined)?.state;
    }

    // Guards against losing the outcome of a call that ran without a claim during an outage. If the outcome is dropped because a later attempt still holds the claim, the release of that claim makes the key look unused.
    it("waits until another attempt of the call releases its claim", async () => {
      const state = await doTest({
        otherState: "claimed",
        change: async (store, other) => {
          await store.putObject({
            kind: CLAIM_KIND,
            name: NAME,
            value: { ...other, state: "released" },
            expectedVersion: 1,
          });
        },
      });
      expect(state).toBe("unknown");
    });

    it("replaces the released claim of another attempt", async () => {
      expect(await doTest({ otherState: "released" })).toBe("unknown");
    });

    it("keeps the stored outcome of another attempt", async () => {
      expect(await doTest({ otherState: "finished" })).toBe("finished");
    });
  });
});

function createClaim(attemptId: string, state: Claim["state"]): Claim {
  return {
    state,
    owner: "entry-2",
    attemptId,
    requestSha256: "0".repeat(64),
    expiresAtMs: Date.now() + 10_000,
    retainUntilMs: Date.now() + HOUR_MS,
  };
}

function createHeldClaim(attemptId: string): HeldClaim {
  return {
    name: NAME,
    version: undefined,
    sendByMs: performance.now() + 1_000,
    sendByWallMs: Date.now() + 1_000,
    claim: createClaim(attemptId, "claimed"),
  };
}
