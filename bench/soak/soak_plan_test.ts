import { describe, expect, it } from "vitest";
import { createPlan } from "./soak_plan.ts";

describe("createPlan", () => {
  const size = { daemons: 5, servers: 8, durationMs: 20_000 };

  it("creates equal plans for equal seeds and different plans for different seeds", () => {
    expect(createPlan(7, size)).toEqual(createPlan(7, size));
    expect(createPlan(7, size)).not.toEqual(createPlan(8, size));
  });

  it("creates each of the 20 kinds of action within 50 seeds", () => {
    const kinds = new Set<string>();
    for (let seed = 1; seed <= 50; seed++) {
      const steps = createPlan(seed, size);
      expect(steps.length).toBeGreaterThan(3);
      steps.forEach(({ kind }) => kinds.add(kind));
    }
    expect(kinds).toContain("silence-server");
    expect(kinds).toContain("withdraw-server");
    expect(kinds.size).toBe(20);
  });
});
