import { describe, expect, it } from "vitest";
import { HeldBytesLimiter, type HeldStream } from "./held_bytes_limiter.ts";

class TestStream implements HeldStream {
  readonly account: string;
  readonly maxAccountBytes: number;
  readonly lastReadAtMs: number;
  readonly isBlocked = true;
  isRunning = true;
  closed = false;
  heldBytes = 0;

  constructor(account: string, lastReadAtMs: number, maxAccountBytes = 1_000) {
    this.account = account;
    this.lastReadAtMs = lastReadAtMs;
    this.maxAccountBytes = maxAccountBytes;
  }

  park(): void {
    this.isRunning = false;
  }

  close(): void {
    this.closed = true;
  }
}

describe("HeldBytesLimiter", () => {
  describe("set", () => {
    // Guards against slow readers of one account that use up the memory of the process.
    it("parks the slowest stream near the account's limit", () => {
      const limiter = new HeldBytesLimiter({ maxProcessBytes: 10_000 });
      const slow = new TestStream("a", -999);
      const slower = new TestStream("a", -1_000);
      const other = new TestStream("b", -1_001);
      limiter.set(other, 300);
      limiter.set(slow, 400);
      slower.heldBytes = 400;
      limiter.set(slower, 400);
      expect([slow, slower, other].map((s) => s.isRunning))
        .toEqual([true, false, true]);
      expect(limiter.getHeldBytes().closed).toBe(0);
    });

    // Guards against memory use above the limits.
    it.each([
      { name: "account", maxProcessBytes: 10_000, maxAccountBytes: 1_000 },
      { name: "process", maxProcessBytes: 1_000, maxAccountBytes: 10_000 },
    ])("never buffers more than the $name limit", (limits) => {
      const limiter = new HeldBytesLimiter(limits);
      const streams = Array.from(
        { length: 20 },
        (_, index) => new TestStream("a", index, limits.maxAccountBytes),
      );
      for (let bytes = 10; bytes <= 200; bytes += 10) {
        for (const stream of streams.filter((s) => !s.closed)) {
          stream.heldBytes = bytes;
          limiter.set(stream, bytes);
          expect(limiter.getHeldBytes().processBytes)
            .toBeLessThanOrEqual(1_000);
        }
      }
      expect(streams[0].closed).toBe(true);
      expect(streams[19].closed).toBe(false);
      streams.forEach((stream) => limiter.remove(stream));
      expect(limiter.getHeldBytes().processBytes).toBe(0);
      expect(limiter.getAccountBytes("a")).toBe(0);
    });
  });
});
