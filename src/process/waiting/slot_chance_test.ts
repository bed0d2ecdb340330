import { describe, expect, it } from "vitest";
import { getSlotChance, MIN_SLOT_CHANCE } from "./slot_chance.ts";

const OVERLOAD = {
  ahead: 20,
  served: 200,
  arrivals: 400,
  windowMs: 2_000,
  remainingMs: 1_800,
};

describe("getSlotChance", () => {
  // Guards against requests that wait in vain behind a queue that grows.
  it("is small behind a queue that grows", () => {
    expect(getSlotChance(OVERLOAD)).toBeLessThan(MIN_SLOT_CHANCE);
    expect(getSlotChance({ ...OVERLOAD, served: 0 })).toBeLessThan(
      MIN_SLOT_CHANCE,
    );
  });

  // Guards against refusals of requests that would have been served.
  it.each([
    ["a queue that shrinks in time", { arrivals: 100 }],
    ["the front of a queue that grows", { ahead: 0 }],
    ["too small a sample", { served: 3, arrivals: 6, ahead: 1 }],
    ["a burst that has just begun", { arrivals: 230 }],
    ["no observations", { served: 0, arrivals: 0 }],
  ])("is large with %s", (_name, figures) => {
    expect(getSlotChance({ ...OVERLOAD, ...figures })).toBeGreaterThan(
      2 * MIN_SLOT_CHANCE,
    );
  });

  it("falls with the requests ahead and rises with the time", () => {
    const chances = [0, 5, 50, 500].map((ahead) =>
      getSlotChance({ ...OVERLOAD, arrivals: 150, ahead })
    );
    expect(chances).toEqual([...chances].sort((a, b) => b - a));
    expect(getSlotChance({ ...OVERLOAD, remainingMs: 0 })).toBe(0);
  });
});
