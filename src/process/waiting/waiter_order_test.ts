import { describe, expect, it } from "vitest";
import { getReturnDeadlineMs } from "./refusal_record.ts";
import { type OrderedRequest, sortWaiters } from "./waiter_order.ts";

describe("sortWaiters", () => {
  // Guards against callers that waited as instructed and find new requests before them, and against early ones that go before all.
  it("sorts callers that return by priority and lateness, and before new ones", () => {
    const createWaiter = (name: string, request: Partial<OrderedRequest>) => ({
      name,
      request: {
        priority: 0,
        latencyDeadlineMs: 500,
        ...request,
      },
    });
    const waiters = [
      createWaiter("urgent return", { isReturning: true }),
      createWaiter("old", {}),
      createWaiter("late return", {
        isReturning: true,
        latencyDeadlineMs: getReturnDeadlineMs(500, {
          refusedAgoMs: 1_000,
          isPunctual: true,
        }),
      }),
      createWaiter("early return", {
        latencyDeadlineMs: getReturnDeadlineMs(500, {
          refusedAgoMs: 10,
          isPunctual: false,
        }),
      }),
      createWaiter("late", { latencyDeadlineMs: 0 }),
      createWaiter("other return", { isReturning: true, priority: 1 }),
      createWaiter("new", {}),
    ];
    expect(sortWaiters(waiters, 100).map(({ name }) => name)).toEqual([
      "urgent return",
      "new",
      "old",
      "late return",
      "late",
      "early return",
      "other return",
    ]);
  });
});
