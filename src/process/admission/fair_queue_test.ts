import { describe, expect, it } from "vitest";
import { FairQueue } from "./fair_queue.ts";

describe("FairQueue", () => {
  // Guards against an account with many requests that starves the others.
  it("serves accounts in proportion to their weights", () => {
    const queue = new FairQueue<{ account: string; weight: number }>({
      maxLength: 100,
    });
    for (let index = 0; index < 30; index++) {
      queue.push({ account: "large", weight: 2 });
    }
    for (let index = 0; index < 30; index++) {
      queue.push({ account: "small", weight: 1 });
    }
    const served = queue.list(30);
    expect(served.filter((e) => e.account === "large")).toHaveLength(20);
  });

  // Guards against a queue that grows without bound.
  it("refuses entries beyond its maximum length", () => {
    const queue = new FairQueue<{ account: string; weight: number }>({
      maxLength: 1,
    });
    expect(queue.push({ account: "a", weight: 1 })).toBe(true);
    expect(queue.push({ account: "a", weight: 1 })).toBe(false);
  });
});
