import { describe, expect, it } from "vitest";
import { ENGINE } from "../../../tests/support/planned_fleet.ts";
import { ModelBatchTable } from "./model_batch_table.ts";

describe("ModelBatchTable", () => {
  // Guards against a group that counts as slow for a single long prompt at the daemons that have sent it no request.
  it("uses the highest deviation for a group whose model is not known", () => {
    const table = new ModelBatchTable();
    expect(table.getSharedDeviation(undefined, 4)).toBe(0);
    for (const [model, tokens] of [["large", 2_000], ["small", 100]] as const) {
      const batches = table.get(model);
      batches.setEngine(ENGINE, model);
      batches.recordPrompt(tokens);
    }
    const [large, small] = ["large", "small"].map((model) =>
      table.getSharedDeviation(model, 4)
    );
    expect(large).toBeGreaterThan(small);
    expect(table.getSharedDeviation(undefined, 4)).toBe(large);
  });
});
